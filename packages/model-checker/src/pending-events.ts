/** The events that wait for the scheduler, and the order in which links deliver them. */

/** The kind of a pending event; only messages and answers can be lost, duplicated or late. */
export type EventKind = 'message' | 'timer' | 'sync' | 'call' | 'answer' | 'end-of-fault';

/** An event that may happen next. */
export interface PendingEvent {
  /** Stable: the same in each replay of the same prefix. */
  readonly id: string;
  readonly kind: EventKind;
  /** The process whose state the event changes; empty for the end of a fault. */
  readonly owner: string;
  /** The sender of a message; empty for other kinds. */
  readonly sender: string;
  /** The order of creation, which breaks ties between equal planned times. */
  readonly sequence: number;
  /** The global time at which the default order runs the event. */
  plannedAt: number;
  /** The encoded message. */
  readonly content: Uint8Array | undefined;
  readonly run: () => void;
}

/** Compares two events by the default order. */
export function byPlannedTime(left: PendingEvent, right: PendingEvent): number {
  return left.plannedAt - right.plannedAt || left.sequence - right.sequence;
}

/** Whether the event is a message between two different processes or an answer to an operator. */
export function isLossy(event: PendingEvent): boolean {
  return event.kind === 'answer' || (event.kind === 'message' && event.sender !== event.owner);
}

/** The name of the link that a message uses. */
export function linkOf(event: Pick<PendingEvent, 'sender' | 'owner'>): string {
  return `${event.sender}>${event.owner}`;
}

/** Filters ordered events down to those that are not queued behind an earlier message of the same link. */
export function headsOfLinks(events: readonly PendingEvent[]): PendingEvent[] {
  const begun = new Set<string>();
  return events.filter((event) => {
    if (event.kind !== 'message') return true;
    const isHead = !begun.has(linkOf(event));
    begun.add(linkOf(event));
    return isHead;
  });
}
