/**
 * The typed failures with which a request can end. Each kind has its HTTP status, says whether a worker may have run the
 * request, and carries the remedy. Kinds with `ran: 'no'` are given only if no worker can have begun; otherwise the kind
 * says so.
 */

/** All kinds of failure; the remedies are documented in docs/requests.md. */
export const failureKinds = {
  bad_request: { status: 400, ran: 'no', remedy: 'Correct the request; the message names the field.' },
  unknown_tenant: { status: 404, ran: 'no', remedy: 'Name a tenant of the desired state in x-tansypost-tenant.' },
  unknown_kind: { status: 404, ran: 'no', remedy: 'Name a kind of that tenant in x-tansypost-kind.' },
  prompt_too_long: { status: 413, ran: 'no', remedy: 'Send a shorter prompt.' },
  body_too_large: { status: 413, ran: 'no', remedy: 'Send a smaller body.' },
  no_tenure: { status: 503, ran: 'no', remedy: 'Come back after the time given, or ask another router.' },
  no_workers: { status: 503, ran: 'no', remedy: 'Come back after the time given.' },
  overloaded: { status: 503, ran: 'no', remedy: 'Come back after the time given.' },
  workers_refused: { status: 503, ran: 'no', remedy: 'Come back after the time given.' },
  stopping: { status: 503, ran: 'no', remedy: 'Ask another router.' },
  claimed: { status: 409, ran: 'maybe', remedy: 'The same Idempotency-Key was used before; see what is known of it.' },
  claim_failed: { status: 503, ran: 'no', remedy: 'Come back after the time given with the same key.' },
  internal_error: { status: 500, ran: 'maybe', remedy: 'It may have run in part; tell the operators the request id.' },
  outcome_unknown: { status: 502, ran: 'maybe', remedy: 'It may have run in part; look before you send it again.' },
  budget_spent: {
    status: 504,
    ran: 'maybe',
    remedy: 'It may have run in part; allow it more patience in the template.',
  },
  workers_failed: { status: 502, ran: 'maybe', remedy: 'Come back after the time given; it may be repeated.' },
  answer_cut: { status: 502, ran: 'maybe', remedy: 'The answer so far is not whole; ask again if it may be repeated.' },
} as const;
/** The name of a kind, as clients see it. */
export type FailureKind = keyof typeof failureKinds;

/** One failure; `retryAfter` is in seconds. */
export interface Failure {
  readonly kind: FailureKind;
  readonly message: string;
  readonly retryAfter?: number;
}

/** Creates a failure. One with a status of 502 to 504 may be retried after a second if nothing else is said. */
export function failure(kind: FailureKind, message: string, retryAfter?: number): Failure {
  const status: number = failureKinds[kind].status;
  return {
    kind,
    message,
    retryAfter: retryAfter ?? (status === 503 || status === 502 || status === 504 ? 1 : undefined),
  };
}

/** Parses the error body of another router; a body that is no such error becomes `outcome_unknown`. */
export function parseFailure(text: string, status?: number): Failure {
  try {
    const error = (JSON.parse(text) as { error?: { kind?: unknown; message?: unknown; retry_after?: unknown } }).error;
    if (typeof error?.kind === 'string' && Object.hasOwn(failureKinds, error.kind)) {
      return failure(
        error.kind as FailureKind,
        String(error.message ?? ''),
        typeof error.retry_after === 'number' ? error.retry_after : undefined,
      );
    }
  } catch {
    // Handled as an untyped error below.
  }
  return failure(
    'outcome_unknown',
    `The router that the request was forwarded to returned no typed error${status === undefined ? '' : ` but status ${status}`}.`,
  );
}

/** The JSON body of a failure. */
export function failureBody(failure: Failure, request: string): object {
  const kind = failureKinds[failure.kind];
  return {
    error: {
      kind: failure.kind,
      message: failure.message,
      remedy: kind.remedy,
      ran: kind.ran,
      request_id: request,
      retry_after: failure.retryAfter,
    },
  };
}
