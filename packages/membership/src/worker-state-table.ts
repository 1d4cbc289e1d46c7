/**
 * The table of worker states (marks). They merge by a rule that gives the same table in whatever order they
 * come: the higher incarnation wins, and within one the later state. So a leaving worker is spread without a
 * majority, and nothing brings that incarnation back.
 */
import { digest, type WorkerStateEntry } from '@tansypost/inner-protocol';

/** States of a worker in the order in which they follow each other; a mark carries the index. */
export const workerStates = ['added', 'ready', 'leaving', 'gone'] as const;

/** One state of a worker. */
export type WorkerState = (typeof workerStates)[number];

/** The merged states of all workers. */
export interface WorkerStateTable {
  /** Merges marks in, and returns those that changed the table. */
  readonly merge: (marks: readonly WorkerStateEntry[]) => WorkerStateEntry[];
  /** Ordered by worker. */
  readonly all: () => WorkerStateEntry[];
  /** The same for two tables exactly if they hold the same. */
  readonly digest: () => string;
}

const digestLength = 16;

/** Whether a mark replaces the one that is known of its worker. */
export function supersedes(mark: WorkerStateEntry, known: WorkerStateEntry | undefined): boolean {
  if (known === undefined || mark.incarnation > known.incarnation) return true;
  return mark.incarnation === known.incarnation && mark.state > known.state;
}

/** Makes an empty table. */
export function createWorkerStateTable(): WorkerStateTable {
  const marksByWorker = new Map<string, WorkerStateEntry>();
  let currentDigest: string | undefined;

  function take(marks: readonly WorkerStateEntry[]): WorkerStateEntry[] {
    const fresh = marks.filter((mark) => {
      if (!isValid(mark) || !supersedes(mark, marksByWorker.get(mark.worker))) return false;
      marksByWorker.set(mark.worker, mark);
      return true;
    });
    if (fresh.length > 0) currentDigest = undefined;
    return fresh;
  }

  function all(): WorkerStateEntry[] {
    return [...marksByWorker.values()].sort((a, b) => (a.worker < b.worker ? -1 : 1));
  }

  function tableDigest(): string {
    currentDigest ??= digestOf(all());
    return currentDigest;
  }

  return { merge: take, all, digest: tableDigest };
}

function isValid(mark: WorkerStateEntry): boolean {
  return mark.worker !== '' && mark.state >= 0 && mark.state < workerStates.length;
}

function digestOf(marks: readonly WorkerStateEntry[]): string {
  const rows = marks.map((mark) => [mark.worker, mark.incarnation, mark.state, mark.address]);
  return digest(JSON.stringify(rows)).slice(0, digestLength);
}
