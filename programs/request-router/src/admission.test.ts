/** Which waiting request is admitted next, and which is rejected. */
import { micros } from '@tansypost/inner-protocol';
import { expect, it } from 'vitest';
import { type AdmissionRequest, type Admission, createAdmission } from './admission.js';

function createFixture(): {
  admission: Admission;
  step: (durationUs: number) => void;
  freeSlots: (count: number) => void;
} {
  let [now, slots] = [0, 0];
  let timers: { at: number; task: () => void }[] = [];
  const admission = createAdmission(
    {
      now: () => micros(now),
      after: (delay, task) => {
        const timer = { at: now + delay, task };
        timers.push(timer);
        return () => {
          timers = timers.filter((other) => other !== timer);
        };
      },
    },
    () => slots > 0 && ((slots -= 1), true),
  );
  function step(durationUs: number): void {
    const end = now + durationUs;
    for (;;) {
      const next = timers.filter((timer) => timer.at <= end).sort((left, right) => left.at - right.at)[0];
      if (next === undefined) break;
      timers = timers.filter((timer) => timer !== next);
      now = next.at;
      next.task();
    }
    now = end;
  }
  return {
    admission,
    step,
    freeSlots: (count) => {
      slots += count;
    },
  };
}
function admissionRequest(fairShareKey: string, overrides: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return { fairShareKey, share: 1, priority: 1, cost: 1, timeoutUs: 4_000_000, elapsedUs: 0, ...overrides };
}
it('sheds a request that it cannot admit in time, long before its timeout, and says when to retry', async () => {
  const fixture = createFixture();
  const result = fixture.admission.requestSlot(admissionRequest('p', { timeoutUs: 800_000 }));
  expect(await result).toMatchObject({ tag: 'shed' });
  expect(((await result) as { retryAfter: number }).retryAfter).toBeGreaterThanOrEqual(1);
});
it('keeps no request queued when the router may no longer handle requests', async () => {
  let isAble = true;
  const ticks: (() => void)[] = [];
  const admission = createAdmission(
    {
      now: () => micros(0),
      after: (_delay, task) => {
        ticks.push(task);
        return () => undefined;
      },
    },
    () => false,
    () => isAble,
  );
  const result = admission.requestSlot(admissionRequest('p'));
  for (const task of ticks.splice(0)) task();
  expect(admission.queueLength()).toBe(1);
  isAble = false;
  for (const task of ticks.splice(0)) task();
  expect(await result).toEqual({ tag: 'unable' });
  expect(admission.queueLength()).toBe(0);
});
it('uses the template in force, which may change while a request is queued', async () => {
  const fixture = createFixture();
  let priority = 1;
  const admitted: string[] = [];
  const results = [
    fixture.admission.requestSlot(admissionRequest('p', { priority: 2 })).then(() => admitted.push('same')),
    fixture.admission
      .requestSlot(admissionRequest('p', { priority }), () => admissionRequest('p', { priority }))
      .then(() => admitted.push('raised')),
  ];
  priority = 3;
  fixture.freeSlots(1);
  fixture.step(20_000);
  await Promise.race(results);
  fixture.freeSlots(1);
  fixture.step(20_000);
  await Promise.all(results);
  expect(admitted).toEqual(['raised', 'same']);
});
it('admits requests under their fair share first, then by priority', async () => {
  const fixture = createFixture();
  fixture.freeSlots(8);
  for (let i = 0; i < 8; i += 1) {
    const result = await fixture.admission.requestSlot(admissionRequest('greedy'));
    if (result.tag === 'go') result.started();
  }
  const admitted: string[] = [];
  const results = [
    admissionRequest('greedy', { priority: 9 }),
    admissionRequest('modest', { priority: 1 }),
    admissionRequest('modest', { priority: 5 }),
  ].map(async (queued, index) => {
    const result = await fixture.admission.requestSlot(queued);
    if (result.tag === 'go') admitted.push(`${queued.fairShareKey}${index}`);
  });
  for (let i = 0; i < 3; i += 1) {
    fixture.freeSlots(1);
    fixture.step(20_000);
    await Promise.resolve();
    await Promise.resolve();
  }
  await Promise.all(results);
  expect(admitted).toEqual(['modest2', 'modest1', 'greedy0']);
});
