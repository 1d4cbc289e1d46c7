/**
 * What operators asked of the configuration register and what they were told. Times are positions in one global order
 * of events. An operation without a clear answer has no end: it may take effect at any later time, or never.
 */

/** A change of the configuration that builds on a stated version. The same order may be sent several times. */
export interface Order {
  readonly change: string;
  readonly base: number;
}

export type WriteOutcome = 'done' | 'refused' | 'unknown';

export interface WriteOperation {
  readonly kind: 'write';
  readonly client: string;
  readonly order: Order;
  readonly invoked: number;
  returned: number;
  outcome: WriteOutcome;
}

export interface ReadOperation {
  readonly kind: 'read';
  readonly client: string;
  readonly invoked: number;
  returned: number;
  /** Undefined as long as there is no clear answer. */
  seen: RegisterValue | undefined;
}

/** The register's content: the change in force, empty before the first, and its version. */
export interface RegisterValue {
  readonly change: string;
  readonly version: number;
}

export type Operation = WriteOperation | ReadOperation;

export const never = Infinity;

/** One line for a person. */
export function describeOperation(o: Operation): string {
  const span = `[${o.invoked}, ${o.returned === never ? '…' : o.returned}]`;
  if (o.kind === 'write') return `${span} ${o.client} write ${o.order.change} on version ${o.order.base}: ${o.outcome}`;
  return `${span} ${o.client} read: ${o.seen === undefined ? 'unknown' : `version ${o.seen.version} ${o.seen.change}`}`;
}
