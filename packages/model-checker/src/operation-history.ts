/**
 * The operators' calls to the configuration register and their answers. Times are positions in one global order of
 * events. An operation without a definite answer has no end (its `returned` is `neverReturned`): it may take effect at any
 * later time, or never.
 */

/** A configuration change on top of an expected version. The same request may be sent several times. */
export interface WriteRequest {
  readonly change: string;
  readonly expectedVersion: number;
}

/** How a write ended; `refused` and `done` are definite answers. */
export type WriteOutcome = 'done' | 'refused' | 'unknown';

/** One attempt of a write request. */
export interface WriteOperation {
  readonly kind: 'write';
  readonly client: string;
  readonly request: WriteRequest;
  readonly invoked: number;
  returned: number;
  outcome: WriteOutcome;
}

/** One attempt of a read. */
export interface ReadOperation {
  readonly kind: 'read';
  readonly client: string;
  readonly invoked: number;
  returned: number;
  /** Undefined until there is a definite answer. */
  seen: RegisterValue | undefined;
}

/** The register's content: the content that the last change wrote, empty before the first one, and its version. */
export interface RegisterValue {
  readonly change: string;
  readonly version: number;
}

/** Any call that an operator makes. */
export type Operation = WriteOperation | ReadOperation;

/** The return time of an operation without a definite answer. */
export const neverReturned = Infinity;

/** A one-line description for reports. */
export function describeOperation(operation: Operation): string {
  const span = `[${operation.invoked}, ${operation.returned === neverReturned ? '…' : operation.returned}]`;
  if (operation.kind === 'write')
    return `${span} ${operation.client} write ${operation.request.change} on version ${operation.request.expectedVersion}: ${operation.outcome}`;
  return `${span} ${operation.client} read: ${operation.seen === undefined ? 'unknown' : `version ${operation.seen.version} ${operation.seen.change}`}`;
}
