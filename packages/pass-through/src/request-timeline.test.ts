import { expect, it } from 'vitest';
import { lossCauseOf, createRequestTimeline, splitPrefillTime, type TimeParts } from './request-timeline.js';

function timeline(parts: Partial<TimeParts>) {
  const made = createRequestTimeline();
  Object.assign(made.parts, parts);
  return made;
}

it('splits the time at a reader into the reading and the wait before it', () => {
  expect(splitPrefillTime(100, 30)).toEqual({ queue: 70, prefill: 30 });
  expect(splitPrefillTime(20, 30)).toEqual({ queue: 0, prefill: 20 });
});

it('names the largest part as the cause, and the size of the prompt where reading it is the largest', () => {
  expect(lossCauseOf('late first piece', timeline({ prefillQueue: 300, prefill: 200, move: 100 }))).toBe(
    'prefillQueue',
  );
  expect(lossCauseOf('late first piece', timeline({ prefill: 400, move: 100 }))).toBe('size');
  expect(lossCauseOf('late first piece', timeline({ decodePrefill: 400 }))).toBe('size');
  expect(lossCauseOf('requester left', timeline({ lostRun: 2_000_000 }))).toBe('lostRun');
  expect(lossCauseOf('late later piece', timeline({ move: 100 }))).toBe('pause');
  expect(lossCauseOf('refused', timeline({}))).toBe('none');
  expect(lossCauseOf('worker failed', timeline({ lostRun: 9 }))).toBe('none');
});
