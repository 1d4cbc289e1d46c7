/**
 * The typed ways in which a request ends without a whole answer. Each kind has its HTTP status, says
 * whether anything may have run, and carries the remedy. `refused` kinds are only ever given before
 * any send; once something may have run the kind says so.
 */

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
export type FailureKind = keyof typeof failureKinds;

export interface Failure {
  readonly kind: FailureKind;
  readonly message: string;
  readonly retryAfter?: number;
}

export function failure(kind: FailureKind, message: string, retryAfter?: number): Failure {
  const status: number = failureKinds[kind].status;
  return {
    kind,
    message,
    retryAfter: retryAfter ?? (status === 503 || status === 502 || status === 504 ? 1 : undefined),
  };
}

// Reads the error that another router gave, and makes a typed one of whatever is not ours.
export function parseFailure(text: string, status?: number): Failure {
  try {
    const e = (JSON.parse(text) as { error?: { kind?: unknown; message?: unknown; retry_after?: unknown } }).error;
    if (typeof e?.kind === 'string' && Object.hasOwn(failureKinds, e.kind)) {
      return failure(
        e.kind as FailureKind,
        String(e.message ?? ''),
        typeof e.retry_after === 'number' ? e.retry_after : undefined,
      );
    }
  } catch {
    // Falls through to the typed answer below.
  }
  return failure(
    'outcome_unknown',
    `The router it was sent on to gave no typed error${status === undefined ? '' : ` but status ${status}`}.`,
  );
}

export function failureBody(f: Failure, request: string): object {
  const k = failureKinds[f.kind];
  return {
    error: {
      kind: f.kind,
      message: f.message,
      remedy: k.remedy,
      ran: k.ran,
      request_id: request,
      retry_after: f.retryAfter,
    },
  };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('docs/requests.md lists every kind as it is, and every refusal that may be tried again says when', async () => {
    const { readFileSync } = await import('node:fs');
    const page = readFileSync(new URL('../../../docs/requests.md', import.meta.url), 'utf8');
    for (const [k, v] of Object.entries(failureKinds)) {
      expect(page).toContain(`| ${k} | ${v.status} | ${v.ran} | ${v.remedy} |`);
      if (v.status >= 502) expect(failure(k as FailureKind, '').retryAfter).toBeGreaterThanOrEqual(1);
    }
  });
  it('makes a typed failure of whatever another router says', () => {
    expect(parseFailure(JSON.stringify(failureBody(failure('overloaded', 'm', 4), 'q')))).toEqual(
      failure('overloaded', 'm', 4),
    );
    for (const x of [
      '',
      '<html>',
      'null',
      '[]',
      '{"error":"no"}',
      '{"error":{"kind":"toString"}}',
      '{"error":{"kind":7}}',
      '{"error":{}}',
    ]) {
      expect(parseFailure(x, 502)).toMatchObject({ kind: 'outcome_unknown', retryAfter: 1 });
    }
  });
}
