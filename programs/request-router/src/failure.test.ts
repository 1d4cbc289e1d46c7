/** The answers to failures. */
import { readFileSync } from 'node:fs';
import { expect, it } from 'vitest';
import { failureKinds, type FailureKind, failure, parseFailure, failureBody } from './failure.js';

it('docs/requests.md lists every kind as it is, and every failure that may be retried says when', async () => {
  const page = readFileSync(new URL('../../../docs/requests.md', import.meta.url), 'utf8');
  for (const [kind, properties] of Object.entries(failureKinds)) {
    expect(page).toContain(`| ${kind} | ${properties.status} | ${properties.ran} | ${properties.remedy} |`);
    if (properties.status >= 502) expect(failure(kind as FailureKind, '').retryAfter).toBeGreaterThanOrEqual(1);
  }
});
it('turns any body of another router into a typed failure', () => {
  expect(parseFailure(JSON.stringify(failureBody(failure('overloaded', 'm', 4), 'q')))).toEqual(
    failure('overloaded', 'm', 4),
  );
  for (const body of [
    '',
    '<html>',
    'null',
    '[]',
    '{"error":"no"}',
    '{"error":{"kind":"toString"}}',
    '{"error":{"kind":7}}',
    '{"error":{}}',
  ]) {
    expect(parseFailure(body, 502)).toMatchObject({ kind: 'outcome_unknown', retryAfter: 1 });
  }
});
