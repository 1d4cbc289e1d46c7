/**
 * The lifecycle states of workers, replicated without a leader. The merge is commutative, associative and idempotent:
 * the higher incarnation wins, and within an incarnation the later state. So the state of a leaving worker spreads
 * without a majority, and no late message makes that incarnation ready again.
 */
import { digest, type WorkerStateEntry } from '@tansypost/inner-protocol';

/** States of a worker in the order of its lifecycle; entries on the wire carry the index. */
export const workerStates = ['added', 'ready', 'leaving', 'gone'] as const;

/** A state in the lifecycle of a worker. */
export type WorkerState = (typeof workerStates)[number];

/** The merged states of all workers. */
export interface WorkerStateTable {
  /** Merges entries, and returns those that changed the table. */
  readonly merge: (entries: readonly WorkerStateEntry[]) => WorkerStateEntry[];
  /** All entries, ordered by worker. */
  readonly all: () => WorkerStateEntry[];
  /** Equal for two tables if and only if they have the same entries. */
  readonly digest: () => string;
}

const digestLength = 16;

/** Whether an entry replaces the known one of its worker. */
export function supersedes(entry: WorkerStateEntry, known: WorkerStateEntry | undefined): boolean {
  if (known === undefined || entry.incarnation > known.incarnation) return true;
  return entry.incarnation === known.incarnation && entry.state > known.state;
}

/** Creates an empty table. */
export function createWorkerStateTable(): WorkerStateTable {
  const entriesByWorker = new Map<string, WorkerStateEntry>();
  let currentDigest: string | undefined;

  function merge(entries: readonly WorkerStateEntry[]): WorkerStateEntry[] {
    const applied = entries.filter((entry) => {
      if (!isValid(entry) || !supersedes(entry, entriesByWorker.get(entry.worker))) return false;
      entriesByWorker.set(entry.worker, entry);
      return true;
    });
    if (applied.length > 0) currentDigest = undefined;
    return applied;
  }

  function all(): WorkerStateEntry[] {
    return [...entriesByWorker.values()].sort((a, b) => (a.worker < b.worker ? -1 : 1));
  }

  function tableDigest(): string {
    currentDigest ??= digestOf(all());
    return currentDigest;
  }

  return { merge, all, digest: tableDigest };
}

function isValid(entry: WorkerStateEntry): boolean {
  return entry.worker !== '' && entry.state >= 0 && entry.state < workerStates.length;
}

function digestOf(entries: readonly WorkerStateEntry[]): string {
  const rows = entries.map((entry) => [entry.worker, entry.incarnation, entry.state, entry.address]);
  return digest(JSON.stringify(rows)).slice(0, digestLength);
}
