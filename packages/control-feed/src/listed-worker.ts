/**
 * A worker as the list of workers shows it, and the digest by which two copies of a list are compared. How
 * long a worker stays cold is left out of the digest, as it changes with every look.
 */
import { hash32, type WorkerListEntry } from '@tansypost/inner-protocol';

export interface ListedWorker {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly leaving: boolean;
  readonly coldMs: number;
  readonly part: 'prefill' | 'decode';
}

export function decodeListedWorker(x: WorkerListEntry): ListedWorker {
  return { ...x, part: x.part === 'prefill' ? 'prefill' : 'decode' };
}

function line(x: ListedWorker): string {
  return `${x.id} ${x.service} ${x.address} ${x.zone} ${x.slots} ${x.leaving ? 1 : 0} ${x.part}`;
}

export function isSameListing(a: ListedWorker | undefined, b: ListedWorker): boolean {
  return a !== undefined && line(a) === line(b);
}

// Never 0, which stands for no list.
export function workerListDigest(xs: readonly ListedWorker[]): number {
  return hash32(xs.map(line).sort().join('\n')) || 1;
}
