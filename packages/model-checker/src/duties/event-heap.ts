/** A binary min-heap of planned events. */

/** A callback and its time, in microseconds. */
export interface PlannedEvent {
  readonly at: number;
  /** Breaks ties between equal times. */
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** The pending events. */
export interface EventHeap {
  readonly push: (event: PlannedEvent) => void;
  /** Removes and returns the next event. */
  readonly pop: () => PlannedEvent;
  readonly next: () => PlannedEvent | undefined;
}

function isBefore(a: PlannedEvent, b: PlannedEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** An empty heap. */
export function createEventHeap(): EventHeap {
  const heap: PlannedEvent[] = [];

  function swap(a: number, b: number): void {
    [heap[a], heap[b]] = [heap[b]!, heap[a]!];
  }

  function push(event: PlannedEvent): void {
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index]!, heap[parent]!)) return;
      swap(index, parent);
      index = parent;
    }
  }

  function pop(): PlannedEvent {
    swap(0, heap.length - 1);
    const first = heap.pop()!;
    let index = 0;
    for (;;) {
      const [left, right] = [2 * index + 1, 2 * index + 2];
      let next = index;
      if (left < heap.length && isBefore(heap[left]!, heap[next]!)) next = left;
      if (right < heap.length && isBefore(heap[right]!, heap[next]!)) next = right;
      if (next === index) return first;
      swap(index, next);
      index = next;
    }
  }

  return { push, pop, next: () => heap[0] };
}
