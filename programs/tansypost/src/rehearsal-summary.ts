/**
 * A readable summary of the record of rehearsals: what is live, the running rehearsal with its share of requests, its
 * measurements and its next step, and the ended ones. `tansypost rehearsals --json` prints the record itself.
 */
import type { Measured, Rehearsal, RehearsalRecord } from '@tansypost/rehearsal';

function describeSubject(rehearsal: Rehearsal): string {
  const subject = rehearsal.subject;
  return subject.type === 'model'
    ? `placement model ${subject.model.version.epoch}/${subject.model.version.n}`
    : `${subject.shift.worker} from ${subject.shift.from} to ${subject.shift.to}`;
}
function describeMeasurements(measured: Measured | undefined): string {
  return measured === undefined
    ? 'no interim analysis yet'
    : `${measured.slice.count} requests in the treatment cohort and ${measured.control.count} in the control cohort: ${measured.why}`;
}
function describeShare(rehearsal: Rehearsal): string {
  return `${Math.round(100 * rehearsal.slice)} % of the requests`;
}
function describeNextStep(rehearsal: Rehearsal): string {
  if (rehearsal.asked === 'reject') return 'It was rejected and is about to end.';
  if (rehearsal.state === 'passed')
    return rehearsal.approval === 'operator' && rehearsal.asked !== 'approve'
      ? `It waits for your approval: tansypost rehearsal approve ${rehearsal.id}`
      : 'It is about to go live.';
  if (rehearsal.state === 'watched')
    return 'It is live, with a control cohort held back. It is rolled back if it shows harm, or at once if you reject it.';
  const after =
    rehearsal.stage === 0
      ? 'it widens to half of the requests'
      : rehearsal.approval === 'operator' && rehearsal.asked !== 'approve'
        ? 'it waits for your approval'
        : 'it goes live, with a control cohort held back';
  return `If it shows no harm, ${after}; harm, or no conclusion in time, ends it. To end it now: tansypost rehearsal reject ${rehearsal.id}`;
}

/** The text for one record. */
export function summarizeRehearsals(record: RehearsalRecord): string {
  const live =
    record.live === undefined
      ? 'No model is live; prompts are placed by the heuristic.'
      : `Live model: ${record.live.version.epoch}/${record.live.version.n}.`;
  const stages = Object.entries(record.parts)
    .map(([worker, entry]) => `${worker} ${entry.part}`)
    .join(', ');
  const running = record.running;
  const current =
    running === undefined
      ? ['No rehearsal is running.']
      : [
          `Running: ${running.id}, ${describeSubject(running)}, ${running.state}, on ${describeShare(running)} (stage ${running.stage + 1} of 3, interim analysis ${running.looks + 1}).`,
          `  Last interim analysis: ${describeMeasurements(running.measured)}`,
          `  Next: ${describeNextStep(running)}`,
        ];
  const ended = record.ended.map(
    (entry) =>
      `  ${entry.id}, ${describeSubject(entry)}: ${entry.outcome ?? ''}; ${describeMeasurements(entry.measured)}`,
  );
  return [
    live,
    `Worker stages: ${stages === '' ? 'none assigned yet' : stages}.`,
    ...current,
    ...(ended.length > 0 ? ['Ended, newest first:', ...ended] : []),
    '',
  ].join('\n');
}
