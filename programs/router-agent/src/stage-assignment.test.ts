/** Assignment of stages to new workers, and orders only to workers that answered a fence. */
import { micros, type WorkerStateEntry } from '@tansypost/inner-protocol';
import { emptyRecord } from '@tansypost/rehearsal';
import { expect, it } from 'vitest';
import { assignNewWorkers, createStageAssignment } from './stage-assignment.js';

function workerState(worker: string, incarnation = 1): WorkerStateEntry {
  return { worker, incarnation, state: 1, address: 'x' };
}
it('splits new workers evenly, keeps the stage of a new incarnation, and leaves no stage without workers', () => {
  const workers = ['a', 'b', 'c', 'd', 'e'].map((worker) => workerState(worker));
  const record = assignNewWorkers(emptyRecord, workers)!;
  expect(Object.values(record.parts).filter((entry) => entry.part === 'prefill').length).toBe(3);
  expect(assignNewWorkers(record, workers)).toBeUndefined();
  expect(
    assignNewWorkers(record, [workerState('b', 2), ...workers.filter((other) => other.worker !== 'b')])!.parts['b'],
  ).toEqual({
    incarnation: 2,
    part: 'decode',
  });
  const decodeWorkers = workers.filter((worker) => record.parts[worker.worker]!.part === 'decode');
  expect(Object.values(assignNewWorkers(record, decodeWorkers)!.parts).some((entry) => entry.part === 'both')).toBe(
    true,
  );
});
it('orders a stage only from a worker that has just answered a fence', async () => {
  const ordered: string[] = [];
  const record = Buffer.from(
    JSON.stringify({
      ...emptyRecord,
      parts: { a: { part: 'prefill', incarnation: 1 }, b: { part: 'decode', incarnation: 1 } },
    }),
  );
  const assignment = createStageAssignment(
    {
      now: () => micros(0),
      random: () => 0,
      after: () => () => undefined,
      send: () => undefined,
      log: () => undefined,
    },
    {
      heldEpoch: () => 64,
      record: () => record,
      workers: () => [workerState('a'), workerState('b')],
      reports: () => [],
      writer: { update: async () => undefined },
      orderStage: async (worker, _epoch, stage) => {
        ordered.push(`${worker.worker} ${stage === '' ? 'fence' : stage}`);
        return worker.worker === 'a' ? true : undefined;
      },
      shiftStages: false,
      treatmentShare: 0.1,
      approval: () => 'automatic',
    },
  );
  assignment.tick();
  for (let i = 0; i < 20; i += 1) await Promise.resolve();
  expect(ordered.sort()).toEqual(['a fence', 'a prefill', 'b fence']);
});
