/** A rehearsal widens, goes live only when it passed, and can be rolled back. */
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

function model(n: number): Subject {
  return { type: 'model', model: { version: { epoch: 64, n }, hash: `h${n}`, blob: 'blob/0' } };
}
const m: Measured = {
  slice: { count: 200, failures: 0, meanLog: 0, sdLog: 1 },
  control: { count: 200, failures: 0, meanLog: 0, sdLog: 1 },
  why: '',
};
function through(r: RehearsalRecord): RehearsalRecord {
  return endRehearsal(goLive(passStage(passStage(r, m), m)), 'live');
}
it('widens in stages with arms of their own, and what is watched and turns out harmful is rolled back', () => {
  let r = passStage(
    beginRehearsal(
      through(beginRehearsal(emptyRecord, 'a', model(1), 0.1, 'automatic')),
      'b',
      model(2),
      0.1,
      'automatic',
    ),
    m,
  );
  expect([r.running!.state, r.running!.slice, cohortNameOf(r.running!)]).toEqual(['running', 0.5, 'b#1']);
  expect(countAnalysis(r).running!.looks).toBe(1);
  r = passStage(r, m);
  expect([r.running!.state, r.live?.hash]).toEqual(['passed', 'h1']);
  r = goLive(r);
  expect([r.running!.state, r.live?.hash, r.before?.hash]).toEqual(['watched', 'h2', 'h1']);
  for (const why of ['harmful', 'rejected', 'superseded'] as const) {
    const back = endRehearsal(r, why);
    expect([back.live?.hash, back.ended[0]!.outcome]).toEqual(['h1', 'rolled back']);
  }
  expect(endRehearsal(r, 'live').live?.hash).toBe('h2');
  const shift: Subject = { type: 'part', shift: { worker: 'w', incarnation: 1, from: 'decode', to: 'prefill' } };
  const s = goLive(passStage(passStage(beginRehearsal(emptyRecord, 'p', shift, 0.1, 'automatic'), m), m));
  expect(s.parts['w']).toEqual({ part: 'prefill', incarnation: 1 });
  expect(endRehearsal(s, 'harmful').parts['w']).toEqual({ part: 'decode', incarnation: 1 });
});
it('goes live only through an end called live, and a reject rolls back to the one before', () => {
  let r = through(beginRehearsal(emptyRecord, 'a', model(1), 0.1, 'automatic'));
  r = beginRehearsal(r, 'b', model(2), 0.1, 'automatic');
  expect(r.live?.hash).toBe('h1');
  r = decodeRehearsalRecord(encodeRehearsalRecord(r));
  expect(r.live?.hash).toBe('h1');
  expect(endRehearsal(r, 'harmful').live?.hash).toBe('h1');
  expect(endRehearsal(r, 'inconclusive').live?.hash).toBe('h1');
  r = through(r);
  expect(r.live?.hash).toBe('h2');
  const back = applyOperatorDecision(r, 'b', 'reject');
  expect(back.kind).toBe('taken');
  expect(back.record.live?.hash).toBe('h1');
});
it('answers a word on an unknown, ended or superseded rehearsal by kind and changes nothing', () => {
  let r = through(beginRehearsal(emptyRecord, 'a', model(1), 0.1, 'automatic'));
  r = through(beginRehearsal(r, 'b', model(2), 0.1, 'automatic'));
  r = endRehearsal(beginRehearsal(r, 'c', model(3), 0.1, 'automatic'), 'harmful');
  expect(applyOperatorDecision(r, 'x', 'approve')).toEqual({ kind: 'unknown_rehearsal', record: r });
  expect(applyOperatorDecision(r, 'c', 'approve')).toEqual({ kind: 'ended_rehearsal', record: r });
  expect(applyOperatorDecision(r, 'c', 'reject')).toEqual({ kind: 'ended_rehearsal', record: r });
  expect(applyOperatorDecision(r, 'a', 'reject')).toEqual({ kind: 'superseded_rehearsal', record: r });
});
