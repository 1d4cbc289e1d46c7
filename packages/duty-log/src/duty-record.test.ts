/** The record of a duty: encoding, open intents, superseding, and its size limits. */
import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import {
  encodeDutyRecord,
  maxOpenIntents,
  maxOutcomes,
  decodeDutyRecord,
  closeIntent,
  addPlannedIntents,
  type DutyRecord,
} from './duty-record.js';

const emptyRecord = E.getOrElseW(() => {
  throw new Error('unreadable');
})(decodeDutyRecord(Buffer.alloc(0)));

function plannedCalls(subject: string, ...contents: string[]): { subject: string; content: string }[] {
  return contents.map((content) => ({ subject, content }));
}

function contentsOf(record: DutyRecord): string[] {
  return record.open.map((intent) => intent.content);
}

it('decodes what it encoded, and rejects values that are not records', () => {
  const { record } = addPlannedIntents(emptyRecord, plannedCalls('a', '1', '2'), false);
  const written: DutyRecord = { ...closeIntent(record, 1, 'accepted', 7), term: { holder: 'c0', id: 'x' } };
  expect(decodeDutyRecord(encodeDutyRecord(written))).toEqual(E.right(written));
  for (const value of ['{', '[]', '{"term":null}', JSON.stringify({ ...written, open: [{ id: 0 }] })])
    expect(E.isLeft(decodeDutyRecord(Buffer.from(value)))).toBe(true);
});

it('keeps open calls in order, and does not add a call that is already open', () => {
  const first = addPlannedIntents(emptyRecord, plannedCalls('a', '1', '2'), false);
  const second = addPlannedIntents(first.record, plannedCalls('a', '2', '3'), false);
  expect(contentsOf(second.record)).toEqual(['1', '2', '3']);
  expect(second.record.open.map((intent) => intent.id)).toEqual([1, 2, 3]);
  expect([first.superseded, second.superseded]).toEqual([[], []]);
  expect(addPlannedIntents(second.record, plannedCalls('a', '3'), false).record).toBe(second.record);
});

it('lets a newer call supersede an open one for the same subject if the duty allows it', () => {
  const first = addPlannedIntents(emptyRecord, [...plannedCalls('a', '1'), ...plannedCalls('b', '1')], true).record;
  const { record, superseded } = addPlannedIntents(first, plannedCalls('a', '2'), true);
  expect(record.open.map(({ subject, content }) => subject + content)).toEqual(['b1', 'a2']);
  expect(superseded.map(({ subject, content }) => subject + content)).toEqual(['a1']);
});

it('limits the number of open calls, and returns how many wait', () => {
  const numbers = Array.from({ length: maxOpenIntents + 5 }).map((_, index) => `${index}`);
  const { record, waiting } = addPlannedIntents(emptyRecord, plannedCalls('a', ...numbers), false);
  expect([record.open.length, waiting]).toEqual([maxOpenIntents, 5]);
});

it('keeps the last outcome of each subject, and drops the oldest subjects beyond the limit', () => {
  let record = emptyRecord;
  for (let index = 0; index <= maxOutcomes; index += 1) {
    record = addPlannedIntents(record, plannedCalls(`s${index}`, '1'), false).record;
    record = closeIntent(record, record.lastIntent, 'accepted', 3);
  }
  expect([record.open.length, record.outcomes.length]).toEqual([0, maxOutcomes]);
  expect(record.outcomes[0]!.subject).toBe('s1');
  const again = addPlannedIntents(record, plannedCalls('s1', '2'), false).record;
  const refused = closeIntent(again, again.lastIntent, 'refused', 4);
  expect(refused.outcomes).toHaveLength(maxOutcomes);
  expect(refused.outcomes.at(-1)).toEqual({ subject: 's1', content: '2', outcome: 'refused', fence: 4 });
  expect(closeIntent(refused, again.lastIntent, 'accepted', 4)).toBe(refused);
});
