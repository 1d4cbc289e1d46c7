/** How the time of a request is split and its loss attributed to a cause. */
import { expect, it } from 'vitest';
import { lossCauseOf, createRequestTimeline, splitPrefillTime, type TimeParts } from './request-timeline.js';

function timelineWith(parts: Partial<TimeParts>) {
  const created = createRequestTimeline();
  Object.assign(created.parts, parts);
  return created;
}

it('splits the time at a worker into the prefill and the wait before it', () => {
  expect(splitPrefillTime(100, 30)).toEqual({ queue: 70, prefill: 30 });
  expect(splitPrefillTime(20, 30)).toEqual({ queue: 0, prefill: 20 });
});

it('names the largest part as the cause, and the prompt size where the prefill is the largest', () => {
  expect(lossCauseOf('late first piece', timelineWith({ prefillQueue: 300, prefill: 200, move: 100 }))).toBe(
    'prefillQueue',
  );
  expect(lossCauseOf('late first piece', timelineWith({ prefill: 400, move: 100 }))).toBe('size');
  expect(lossCauseOf('late first piece', timelineWith({ decodePrefill: 400 }))).toBe('size');
  expect(lossCauseOf('requester left', timelineWith({ lostRun: 2_000_000 }))).toBe('lostRun');
  expect(lossCauseOf('late later piece', timelineWith({ move: 100 }))).toBe('pause');
  expect(lossCauseOf('refused', timelineWith({}))).toBe('none');
  expect(lossCauseOf('worker failed', timelineWith({ lostRun: 9 }))).toBe('none');
});
