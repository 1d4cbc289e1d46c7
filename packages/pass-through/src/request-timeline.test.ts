import { expect, it } from 'vitest';
import { causeOf, createRequestTimeline, splitReading, type TimeParts } from './request-timeline.js';

function timeline(parts: Partial<TimeParts>) {
  const made = createRequestTimeline();
  Object.assign(made.parts, parts);
  return made;
}

it('splits the time at a reader into the reading and the wait before it', () => {
  expect(splitReading(100, 30)).toEqual({ queue: 70, reading: 30 });
  expect(splitReading(20, 30)).toEqual({ queue: 0, reading: 20 });
});

it('names the largest part as the cause, and the size of the prompt where reading it is the largest', () => {
  expect(causeOf('late first piece', timeline({ prefillQueue: 300, prefill: 200, move: 100 }))).toBe('prefillQueue');
  expect(causeOf('late first piece', timeline({ prefill: 400, move: 100 }))).toBe('size');
  expect(causeOf('late first piece', timeline({ decodePrefill: 400 }))).toBe('size');
  expect(causeOf('requester left', timeline({ lostRun: 2_000_000 }))).toBe('lostRun');
  expect(causeOf('late later piece', timeline({ move: 100 }))).toBe('pause');
  expect(causeOf('refused', timeline({}))).toBe('none');
  expect(causeOf('worker failed', timeline({ lostRun: 9 }))).toBe('none');
});
