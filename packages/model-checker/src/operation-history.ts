/**
 * What operators asked of the configuration register and what they were told. Times are positions in one global order
 * of events. An operation without a clear answer has no end: it may take effect at any later time, or never.
 */

/** A change of the configuration that builds on a stated version. The same order may be sent several times. */
export interface WriteRequest {
  readonly change: string;
  readonly expectedVersion: number;
}

/** `refused` and `done` are clear answers. */
export type WriteOutcome = 'done' | 'refused' | 'unknown';

/** An order sent once. */
export interface WriteOperation {
  readonly kind: 'write';
  readonly client: string;
  readonly request: WriteRequest;
  readonly invoked: number;
  returned: number;
  outcome: WriteOutcome;
}

/** A read sent once. */
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

/** Any call of an operator. */
export type Operation = WriteOperation | ReadOperation;

/** The end of an operation without a clear answer. */
export const neverReturned = Infinity;

/** One line for a person. */
export function describeOperation(operation: Operation): string {
  const span = `[${operation.invoked}, ${operation.returned === neverReturned ? '…' : operation.returned}]`;
  if (operation.kind === 'write')
    return `${span} ${operation.client} write ${operation.request.change} on version ${operation.request.expectedVersion}: ${operation.outcome}`;
  return `${span} ${operation.client} read: ${operation.seen === undefined ? 'unknown' : `version ${operation.seen.version} ${operation.seen.change}`}`;
}
