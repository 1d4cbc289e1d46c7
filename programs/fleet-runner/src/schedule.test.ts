/** The schedules of load and faults of a run. */
import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import { parseFaultSchedule } from './schedule.js';

it('rejects an unknown kind or member with its line number', () => {
  const ok = '# a comment\n{"at":2,"do":"kill","who":"router0"}\n{"at":1,"do":"submit"}';
  const parsed = parseFaultSchedule(ok, ['router0']);
  expect(E.isRight(parsed) && parsed.right.map((fault) => fault.do)).toEqual(['submit', 'kill']);
  for (const [text, message] of [
    ['{"at":1,"do":"burn","who":"router0"}', 'line 1: unknown kind'],
    ['\n{"at":1,"do":"kill","who":"router9"}', 'line 2: unknown member'],
    ['{', 'line 1: not JSON'],
    ['{"do":"submit"}', 'line 1: at'],
  ] as const) {
    const rejected = parseFaultSchedule(text, ['router0']);
    expect(E.isLeft(rejected) && rejected.left.message).toContain(message);
  }
});
