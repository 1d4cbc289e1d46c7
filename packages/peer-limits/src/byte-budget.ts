/**
 * One bound for the bytes that a process holds for the peers that it calls: parts of events and bodies that are not
 * complete. Where the bound is exceeded, the largest holders give way, so that one peer that floods does not affect others.
 */

/** What one exchange holds. */
export interface HeldBytes {
  /** States how many bytes are held now. The holder, or larger ones, may be told to give way before this returns. */
  readonly report: (bytes: number) => void;
  /** Nothing is held any more. */
  readonly close: () => void;
}

/** The bound, shared by all exchanges of a process. */
export interface ByteBudget {
  /** Adds a holder; `giveWay` is called at most once, and must drop what is held. */
  readonly open: (giveWay: () => void) => HeldBytes;
  /** Bytes held at the moment. */
  readonly total: () => number;
}

interface Holder {
  readonly giveWay: () => void;
  bytes: number;
}

function largestOf(holders: Iterable<Holder>): Holder | undefined {
  let largest: Holder | undefined;
  for (const holder of holders) if (largest === undefined || holder.bytes > largest.bytes) largest = holder;
  return largest;
}

/** Creates a budget of `maxBytes`. */
export function createByteBudget(maxBytes: number): ByteBudget {
  const holders = new Set<Holder>();
  let total = 0;

  function remove(holder: Holder): void {
    if (holders.delete(holder)) total -= holder.bytes;
  }

  function enforce(): void {
    while (total > maxBytes) {
      const largest = largestOf(holders);
      if (largest === undefined) return;
      remove(largest);
      largest.giveWay();
    }
  }

  return {
    open: (giveWay) => {
      const holder: Holder = { giveWay, bytes: 0 };
      holders.add(holder);
      return {
        report: (bytes) => {
          if (bytes === holder.bytes || !holders.has(holder)) return;
          total += bytes - holder.bytes;
          holder.bytes = bytes;
          enforce();
        },
        close: () => remove(holder),
      };
    },
    total: () => total,
  };
}
