/** The controller analyses a rehearsal only when an analysis is due, and carries it through its stages. */
import { expect, it } from 'vitest';
import { micros, type CohortStatistics } from '@tansypost/inner-protocol';
import { beginRehearsal, emptyRecord, encodeRehearsalRecord, type RehearsalRecord } from '@tansypost/rehearsal';
import { createRehearsalController } from './rehearsal-controller.js';

function makeStatistics(rehearsal: string, arm: string, count: number, slowdown: number): CohortStatistics {
  const logTtft = Math.log(100_000 * slowdown);
  return {
    rehearsal,
    arm,
    stratum: 't/k',
    count,
    failures: 0,
    sum: count * logTtft,
    squares: count * (logTtft * logTtft + 0.25),
    tokenCount: count,
    tokenSum: 0,
    tokenSquares: 0.01 * count,
  };
}
function createTestController(): {
  report: (id: string, count: number, slowdown: number) => Promise<void>;
  currentRecord: () => RehearsalRecord;
  writes: () => number;
} {
  let record = beginRehearsal(
    emptyRecord,
    'm',
    { type: 'model', model: { version: { epoch: 64, n: 1 }, hash: 'h', blob: 'b' } },
    0.1,
    'automatic',
  );
  let writes = 0;
  const controller = createRehearsalController(
    {
      now: () => micros(0),
      random: () => 0,
      after: (_delay, callback) => {
        callback();
        return () => undefined;
      },
      send: () => undefined,
      log: () => undefined,
    },
    {
      heldEpoch: () => 64,
      record: () => encodeRehearsalRecord(record),
      timeLimitUs: 300_000_000,
      writer: {
        update: async (change) => {
          const next = change(record);
          if (next === undefined) return undefined;
          writes += 1;
          record = next;
          return record;
        },
      },
    },
  );
  async function report(id: string, count: number, slowdown: number): Promise<void> {
    controller.recordCohorts({
      kind: 'Arms',
      from: 'r',
      arms: [makeStatistics(id, 'slice', count, slowdown), makeStatistics(id, 'control', count, 1)],
    });
    for (let i = 0; i < 3; i += 1) {
      controller.tick();
      for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
    }
  }
  return { report, currentRecord: () => record, writes: () => writes };
}
it('decides only at the interim analyses that are due, and counts each in the record', async () => {
  const rehearsal = createTestController();
  await rehearsal.report('m', 199, 1.3);
  expect(rehearsal.writes()).toBe(0);
  await rehearsal.report('m', 200, 1.08);
  expect([rehearsal.currentRecord().running!.looks, rehearsal.writes()]).toEqual([1, 1]);
  await rehearsal.report('m', 390, 1.4);
  expect(rehearsal.writes()).toBe(1);
  await rehearsal.report('m', 400, 1.4);
  expect(rehearsal.currentRecord().ended[0]!.outcome).toBe('harmful');
});
it('widens, goes live, and rolls back when harm is measured against the control cohort held back', async () => {
  const rehearsal = createTestController();
  await rehearsal.report('m', 800, 0.9);
  expect(rehearsal.currentRecord().running!.stage).toBe(1);
  await rehearsal.report('m#1', 800, 0.9);
  expect([rehearsal.currentRecord().running!.state, rehearsal.currentRecord().live?.hash]).toEqual(['watched', 'h']);
  await rehearsal.report('m#2', 800, 1.5);
  expect([rehearsal.currentRecord().ended[0]!.outcome, rehearsal.currentRecord().live]).toEqual([
    'rolled back',
    undefined,
  ]);
  expect(rehearsal.currentRecord().ended[0]!.measured!.why).toMatch(/TTFT is 50/);
});
