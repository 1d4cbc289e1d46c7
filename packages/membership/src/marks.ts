/**
 * The table of worker states (marks). They merge by a rule that gives the same table in whatever order they
 * come: the higher incarnation wins, and within one the later state. So a leaving worker is spread without a
 * majority, and nothing brings that incarnation back.
 */
import { digest, type Mark } from '@tansypost/inner-protocol';

/** States of a worker in the order in which they follow each other; a mark carries the index. */
export const markStates = ['added', 'ready', 'leaving', 'gone'] as const;

/** One state of a worker. */
export type MarkState = (typeof markStates)[number];

/** The merged states of all workers. */
export interface Marks {
  /** Merges marks in, and returns those that changed the table. */
  readonly take: (marks: readonly Mark[]) => Mark[];
  /** Ordered by worker. */
  readonly all: () => Mark[];
  /** The same for two tables exactly if they hold the same. */
  readonly digest: () => string;
}

const digestLength = 16;

/** Whether a mark replaces the one that is known of its worker. */
export function outranks(mark: Mark, known: Mark | undefined): boolean {
  if (known === undefined || mark.incarnation > known.incarnation) return true;
  return mark.incarnation === known.incarnation && mark.state > known.state;
}

/** Makes an empty table. */
export function createMarks(): Marks {
  const marksByWorker = new Map<string, Mark>();
  let currentDigest: string | undefined;

  function take(marks: readonly Mark[]): Mark[] {
    const fresh = marks.filter((mark) => {
      if (!isValid(mark) || !outranks(mark, marksByWorker.get(mark.worker))) return false;
      marksByWorker.set(mark.worker, mark);
      return true;
    });
    if (fresh.length > 0) currentDigest = undefined;
    return fresh;
  }

  function all(): Mark[] {
    return [...marksByWorker.values()].sort((a, b) => (a.worker < b.worker ? -1 : 1));
  }

  function tableDigest(): string {
    currentDigest ??= digestOf(all());
    return currentDigest;
  }

  return { take, all, digest: tableDigest };
}

function isValid(mark: Mark): boolean {
  return mark.worker !== '' && mark.state >= 0 && mark.state < markStates.length;
}

function digestOf(marks: readonly Mark[]): string {
  const rows = marks.map((mark) => [mark.worker, mark.incarnation, mark.state, mark.address]);
  return digest(JSON.stringify(rows)).slice(0, digestLength);
}
