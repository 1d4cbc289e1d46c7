/**
 * A worker in the platform's worker list, and the digest by which two copies of the list are compared. The digest
 * leaves out how long a worker still takes to warm up, as that differs at every poll.
 */
import { hash32, type WorkerListEntry } from '@tansypost/inner-protocol';

/** A worker in the platform's worker list. */
export interface ListedWorker {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly leaving: boolean;
  /** How long the worker still takes to warm up. */
  readonly coldMs: number;
  /** The stage that it serves. */
  readonly part: 'prefill' | 'decode';
}

/** Converts a worker from its form on the wire. */
export function decodeListedWorker(entry: WorkerListEntry): ListedWorker {
  return { ...entry, part: entry.part === 'prefill' ? 'prefill' : 'decode' };
}

/** The fields that the digest covers. */
function digestLine(worker: ListedWorker): string {
  return `${worker.id} ${worker.service} ${worker.address} ${worker.zone} ${worker.slots} ${worker.leaving ? 1 : 0} ${worker.part}`;
}

/** Whether two entries are equal in the fields that the digest covers. */
export function isSameListing(a: ListedWorker | undefined, b: ListedWorker): boolean {
  return a !== undefined && digestLine(a) === digestLine(b);
}

/** The digest of a list, in any order; never 0, which stands for no list. */
export function workerListDigest(workers: readonly ListedWorker[]): number {
  return hash32(workers.map(digestLine).sort().join('\n')) || 1;
}
