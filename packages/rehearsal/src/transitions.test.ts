/** A rehearsal widens in stages, goes live only after it has passed, and can be rolled back. */
import { expect, it } from 'vitest';
import { applyOperatorDecision } from './operator-decision.js';
import {
  emptyRecord,
  decodeRehearsalRecord,
  encodeRehearsalRecord,
  type Measured,
  type RehearsalRecord,
  type Subject,
} from './record.js';
import { cohortNameOf, beginRehearsal, endRehearsal, goLive, countAnalysis, passStage } from './transitions.js';

function modelSubject(number: number): Subject {
  return { type: 'model', model: { version: { epoch: 64, n: number }, hash: `h${number}`, blob: 'blob/0' } };
}
const measured: Measured = {
  slice: { count: 200, failures: 0, meanLog: 0, sdLog: 1 },
  control: { count: 200, failures: 0, meanLog: 0, sdLog: 1 },
  why: '',
};
/** Passes all stages and ends the running rehearsal as live. */
function runToLive(record: RehearsalRecord): RehearsalRecord {
  return endRehearsal(goLive(passStage(passStage(record, measured), measured)), 'live');
}
it('widens in stages with separate cohorts, and rolls back a live change that turns out harmful', () => {
  let record = passStage(
    beginRehearsal(
      runToLive(beginRehearsal(emptyRecord, 'a', modelSubject(1), 0.1, 'automatic')),
      'b',
      modelSubject(2),
      0.1,
      'automatic',
    ),
    measured,
  );
  expect([record.running!.state, record.running!.slice, cohortNameOf(record.running!)]).toEqual([
    'running',
    0.5,
    'b#1',
  ]);
  expect(countAnalysis(record).running!.looks).toBe(1);
  record = passStage(record, measured);
  expect([record.running!.state, record.live?.hash]).toEqual(['passed', 'h1']);
  record = goLive(record);
  expect([record.running!.state, record.live?.hash, record.before?.hash]).toEqual(['watched', 'h2', 'h1']);
  for (const outcome of ['harmful', 'rejected', 'superseded'] as const) {
    const ended = endRehearsal(record, outcome);
    expect([ended.live?.hash, ended.ended[0]!.outcome]).toEqual(['h1', 'rolled back']);
  }
  expect(endRehearsal(record, 'live').live?.hash).toBe('h2');
  const stageChange: Subject = { type: 'part', shift: { worker: 'w', incarnation: 1, from: 'decode', to: 'prefill' } };
  const stageRecord = goLive(
    passStage(passStage(beginRehearsal(emptyRecord, 'p', stageChange, 0.1, 'automatic'), measured), measured),
  );
  expect(stageRecord.parts['w']).toEqual({ part: 'prefill', incarnation: 1 });
  expect(endRehearsal(stageRecord, 'harmful').parts['w']).toEqual({ part: 'decode', incarnation: 1 });
});
it('goes live only through a rehearsal that ends as live, and rolls back to the previous model on a reject', () => {
  let record = runToLive(beginRehearsal(emptyRecord, 'a', modelSubject(1), 0.1, 'automatic'));
  record = beginRehearsal(record, 'b', modelSubject(2), 0.1, 'automatic');
  expect(record.live?.hash).toBe('h1');
  record = decodeRehearsalRecord(encodeRehearsalRecord(record));
  expect(record.live?.hash).toBe('h1');
  expect(endRehearsal(record, 'harmful').live?.hash).toBe('h1');
  expect(endRehearsal(record, 'inconclusive').live?.hash).toBe('h1');
  record = runToLive(record);
  expect(record.live?.hash).toBe('h2');
  const decision = applyOperatorDecision(record, 'b', 'reject');
  expect(decision.kind).toBe('taken');
  expect(decision.record.live?.hash).toBe('h1');
});
it('answers a decision on an unknown, ended or superseded rehearsal with the reason and changes nothing', () => {
  let record = runToLive(beginRehearsal(emptyRecord, 'a', modelSubject(1), 0.1, 'automatic'));
  record = runToLive(beginRehearsal(record, 'b', modelSubject(2), 0.1, 'automatic'));
  record = endRehearsal(beginRehearsal(record, 'c', modelSubject(3), 0.1, 'automatic'), 'harmful');
  expect(applyOperatorDecision(record, 'x', 'approve')).toEqual({ kind: 'unknown_rehearsal', record });
  expect(applyOperatorDecision(record, 'c', 'approve')).toEqual({ kind: 'ended_rehearsal', record });
  expect(applyOperatorDecision(record, 'c', 'reject')).toEqual({ kind: 'ended_rehearsal', record });
  expect(applyOperatorDecision(record, 'a', 'reject')).toEqual({ kind: 'superseded_rehearsal', record });
});
