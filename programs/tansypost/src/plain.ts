/**
 * What is being rehearsed, in plain words: on how many requests, what was measured, and what happens next. `--json` gives
 * the record itself.
 */
import type { Measured, Rehearsal, RehearsalRecord } from '@tansypost/rehearsal';

function subject(x: Rehearsal): string {
  const s = x.subject;
  return s.type === 'model'
    ? `placement model ${s.model.version.epoch}/${s.model.version.n}`
    : `${s.shift.worker} from ${s.shift.from} to ${s.shift.to}`;
}
function measured(m: Measured | undefined): string {
  return m === undefined
    ? 'nothing judged yet'
    : `${m.slice.count} requests in the slice beside ${m.control.count} in the control: ${m.why}`;
}
function share(x: Rehearsal): string {
  return `${Math.round(100 * x.slice)} % of the requests`;
}
function next(x: Rehearsal): string {
  if (x.asked === 'reject') return 'It was rejected and ends within a moment.';
  if (x.state === 'passed')
    return x.approval === 'operator' && x.asked !== 'approve'
      ? `It waits for you: tansypost rehearsal approve ${x.id}`
      : 'It goes live within a moment.';
  if (x.state === 'watched')
    return 'It is live. If the control arm held back shows harm, it is rolled back; a reject rolls it back now.';
  const after =
    x.stage === 0
      ? 'it widens to half of the requests'
      : x.approval === 'operator' && x.asked !== 'approve'
        ? 'it waits for your approval'
        : 'it goes live, with a control arm held back';
  return `When no harm is shown ${after}; harm, or no answer in time, ends it. To end it now: tansypost rehearsal reject ${x.id}`;
}

export function plainRehearsals(r: RehearsalRecord): string {
  const live =
    r.live === undefined
      ? 'No model is live; the heuristic places prompts.'
      : `Live model: ${r.live.version.epoch}/${r.live.version.n}.`;
  const parts = Object.entries(r.parts)
    .map(([w, e]) => `${w} ${e.part}`)
    .join(', ');
  const x = r.running;
  const now =
    x === undefined
      ? ['Nothing is being rehearsed.']
      : [
          `Now: ${x.id}, ${subject(x)}, ${x.state}, on ${share(x)} (stage ${x.stage + 1} of 3, look ${x.looks + 1}).`,
          `  Last judged: ${measured(x.measured)}`,
          `  Next: ${next(x)}`,
        ];
  const ended = r.ended.map((e) => `  ${e.id}, ${subject(e)}: ${e.outcome ?? ''}; ${measured(e.measured)}`);
  return [
    live,
    `Parts: ${parts === '' ? 'none assigned yet' : parts}.`,
    ...now,
    ...(ended.length > 0 ? ['Ended, newest first:', ...ended] : []),
    '',
  ].join('\n');
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { beginRehearsal, emptyRecord, endRehearsal, goLive, passStage } = await import('@tansypost/rehearsal');
  it('says at each stage what is measured and what happens next', () => {
    const m: Measured = {
      slice: { count: 210, failures: 0, meanLog: 0, sdLog: 1 },
      control: { count: 640, failures: 0, meanLog: 0, sdLog: 1 },
      why: 'TTFT -3.0 %',
    };
    const a = beginRehearsal(
      emptyRecord,
      'model-64-1',
      { type: 'model', model: { version: { epoch: 64, n: 1 }, hash: 'h', blob: 'b' } },
      0.1,
      'operator',
    );
    expect(plainRehearsals(emptyRecord)).toMatch(/No model is live.*\n.*none assigned.*\nNothing is being rehearsed/);
    expect(plainRehearsals(a)).toMatch(/10 % of the requests[^]*nothing judged yet[^]*widens to half/);
    const b = passStage(a, m);
    expect(plainRehearsals(b)).toMatch(/50 %[^]*210 requests in the slice beside 640[^]*waits for your approval/);
    const c = passStage(b, m);
    expect(plainRehearsals(c)).toMatch(/It waits for you: tansypost rehearsal approve model-64-1/);
    const d = goLive(c);
    expect(plainRehearsals(d)).toMatch(/Live model: 64\/1[^]*watched[^]*rolled back/);
    expect(plainRehearsals(endRehearsal(d, 'live', m))).toMatch(/Ended, newest first:\n {2}model-64-1.*live; 210/);
  });
}
