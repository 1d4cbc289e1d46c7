/** What may happen next: the events that wait for the scheduler, and the order in which links let them go. */

/** What a pending event is: only messages and answers can be lost, doubled or late. */
export type EventKind = 'message' | 'timer' | 'sync' | 'call' | 'answer' | 'end-of-fault';

/** Something that may happen next. */
export interface PendingEvent {
  /** The same in each replay of the same prefix. */
  readonly id: string;
  readonly kind: EventKind;
  /** The process whose state it changes; empty for the end of a fault. */
  readonly owner: string;
  /** For a message: who sent it. */
  readonly sender: string;
  /** The order of making, which decides between equal planned times. */
  readonly sequence: number;
  /** The global time by which the default order runs it. */
  plannedAt: number;
  /** The bytes of a message. */
  readonly content: Uint8Array | undefined;
  readonly run: () => void;
}

/** The order in which events run by default. */
export function byPlannedTime(left: PendingEvent, right: PendingEvent): number {
  return left.plannedAt - right.plannedAt || left.sequence - right.sequence;
}

/** Whether a message between two different processes, or an answer on its way to an operator. */
export function isLossy(event: PendingEvent): boolean {
  return event.kind === 'answer' || (event.kind === 'message' && event.sender !== event.owner);
}

/** Names the link of a message. */
export function linkOf(event: Pick<PendingEvent, 'sender' | 'owner'>): string {
  return `${event.sender}>${event.owner}`;
}

/** Of events in their order, those that are not behind an earlier message of the same link. */
export function headsOfLinks(events: readonly PendingEvent[]): PendingEvent[] {
  const begun = new Set<string>();
  return events.filter((event) => {
    if (event.kind !== 'message') return true;
    const isHead = !begun.has(linkOf(event));
    begun.add(linkOf(event));
    return isHead;
  });
}
