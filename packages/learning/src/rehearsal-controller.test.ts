import { expect, it } from 'vitest';
import { micros, type CohortStatistics } from '@tansypost/inner-protocol';
import { beginRehearsal, emptyRecord, encodeRehearsalRecord, type RehearsalRecord } from '@tansypost/rehearsal';
import { createRehearsalController } from './rehearsal-controller.js';

function arm(rehearsal: string, which: string, count: number, slower: number): CohortStatistics {
  const l = Math.log(100_000 * slower);
  return {
    rehearsal,
    arm: which,
    stratum: 't/k',
    count,
    failures: 0,
    sum: count * l,
    squares: count * (l * l + 0.25),
    tokenCount: count,
    tokenSum: 0,
    tokenSquares: 0.01 * count,
  };
}
function bench(): {
  tell: (id: string, n: number, slower: number) => Promise<void>;
  now: () => RehearsalRecord;
  writes: () => number;
} {
  let rec = beginRehearsal(
    emptyRecord,
    'm',
    { type: 'model', model: { version: { epoch: 64, n: 1 }, hash: 'h', blob: 'b' } },
    0.1,
    'automatic',
  );
  let writes = 0;
  const d = createRehearsalController(
    {
      now: () => micros(0),
      random: () => 0,
      after: (_d, f) => {
        f();
        return () => undefined;
      },
      send: () => undefined,
      log: () => undefined,
    },
    {
      heldEpoch: () => 64,
      record: () => encodeRehearsalRecord(rec),
      timeLimitUs: 300_000_000,
      writer: {
        update: async (f) => {
          const next = f(rec);
          if (next === undefined) return undefined;
          writes += 1;
          rec = next;
          return rec;
        },
      },
    },
  );
  async function tell(id: string, n: number, slower: number): Promise<void> {
    d.recordCohorts({ kind: 'Arms', from: 'r', arms: [arm(id, 'slice', n, slower), arm(id, 'control', n, 1)] });
    for (let i = 0; i < 3; i += 1) {
      d.tick();
      for (let k = 0; k < 10; k += 1) await Promise.resolve();
    }
  }
  return { tell, now: () => rec, writes: () => writes };
}
it('decides at the looks that are due and nowhere between them, and records each', async () => {
  const b = bench();
  await b.tell('m', 199, 1.3);
  expect(b.writes()).toBe(0);
  await b.tell('m', 200, 1.08);
  expect([b.now().running!.looks, b.writes()]).toEqual([1, 1]);
  await b.tell('m', 390, 1.4);
  expect(b.writes()).toBe(1);
  await b.tell('m', 400, 1.4);
  expect(b.now().ended[0]!.outcome).toBe('harmful');
});
it('widens, goes live, and rolls back by measurement when harm shows beside the control held back', async () => {
  const b = bench();
  await b.tell('m', 800, 0.9);
  expect(b.now().running!.stage).toBe(1);
  await b.tell('m#1', 800, 0.9);
  expect([b.now().running!.state, b.now().live?.hash]).toEqual(['watched', 'h']);
  await b.tell('m#2', 800, 1.5);
  expect([b.now().ended[0]!.outcome, b.now().live]).toEqual(['rolled back', undefined]);
  expect(b.now().ended[0]!.measured!.why).toMatch(/TTFT is 50/);
});
