/**
 * The duty of keeping rehearsals: sums the arms that all routers report as running totals, asks for the
 * verdict at each look that is due, and widens the rehearsal, lets it go live, ends it or rolls it back by one conditional
 * write, which also records the look. Since the totals live at the routers, a new holder has them again within a
 * second; a router's two arms come and are lost together, so that what is missing favours neither.
 */
import { micros, type CohortStatistics, type MessageOf, type World } from '@tansypost/inner-protocol';
import {
  cohortNameOf,
  endRehearsal,
  goLive,
  requestsAtAnalysis,
  countAnalysis,
  passStage,
  decodeRehearsalRecord,
  errorBudgetOf,
  addElapsedTime,
  judgeRehearsal,
  verdictDefaults,
  type Rehearsal,
  type RehearsalRecord,
  type VerdictOptions,
} from '@tansypost/rehearsal';
import type { RecordWriter } from './record-writer.js';

export interface RehearsalControllerOptions {
  readonly heldEpoch: () => number | undefined;
  readonly record: () => Buffer | undefined;
  readonly writer: RecordWriter;
  readonly timeLimitUs: number;
  readonly verdict?: VerdictOptions;
}
export interface RehearsalController {
  readonly recordCohorts: (m: MessageOf<'Arms'>) => void;
  readonly tick: () => void;
}

export function createRehearsalController(w: World, o: RehearsalControllerOptions): RehearsalController {
  const byRouter = new Map<string, { at: number; arms: CohortStatistics[] }>();
  let busy = false;
  let watched: { id: string; stage: number; since: number } | undefined;

  function arms(m: MessageOf<'Arms'>): void {
    byRouter.set(m.from, { at: w.now(), arms: m.arms });
    for (const [r, x] of byRouter) if (w.now() - x.at > 600_000_000) byRouter.delete(r);
  }

  // One conditional write, on the very stage and look that was judged.
  function act(x: Rehearsal, f: (r: RehearsalRecord) => RehearsalRecord): void {
    const { id } = x;
    busy = true;
    void o.writer
      .update(
        (r) => (r.running?.id === id && r.running.stage === x.stage && r.running.looks === x.looks ? f(r) : undefined),
        () => o.heldEpoch() !== undefined,
      )
      .then((r) => {
        const done = r?.ended.find((e) => e.id === id);
        if (done !== undefined) w.log(4102, { rehearsal: id, outcome: done.outcome, why: done.measured?.why });
      })
      .finally(() => {
        w.after(micros(200_000), () => {
          busy = false;
        });
      });
  }

  function tick(): void {
    if (busy || o.heldEpoch() === undefined) return;
    const b = o.record();
    const run = b === undefined ? undefined : decodeRehearsalRecord(b).running;
    if (run === undefined) return;
    if (watched?.id !== run.id || watched.stage !== run.stage) {
      w.log(watched?.id === run.id ? 4104 : 4101, {
        rehearsal: run.id,
        stage: run.stage,
        slice: run.slice,
        subject: run.subject,
      });
      watched = { id: run.id, stage: run.stage, since: w.now() };
    }
    if (run.asked === 'reject') return act(run, (r) => endRehearsal(r, 'rejected'));
    if (run.state === 'passed') {
      if (run.approval === 'automatic' || run.asked === 'approve')
        act(run, (r) => (r.running!.asked === 'reject' ? endRehearsal(r, 'rejected') : goLive(r)));
      return;
    }
    const all = [...byRouter.values()].flatMap((x) => x.arms.filter((a) => a.rehearsal === cohortNameOf(run)));
    const late = run.spent + w.now() - watched.since > o.timeLimitUs;
    const step = o.timeLimitUs / 5;
    if (!late && w.now() - watched.since > step) {
      watched.since += step;
      return act(run, (r) => addElapsedTime(r, step));
    }
    const v0 = o.verdict ?? verdictDefaults;
    // In the watch the control is the smaller arm; a look is due by the smaller one.
    const least = Math.min(
      ...(['slice', 'control'] as const).map((arm) =>
        all.filter((a) => a.arm === arm).reduce((n, a) => n + a.count, 0),
      ),
    );
    if (!late && least < requestsAtAnalysis(run.looks, v0)) return;
    const v = judgeRehearsal(all, v0, errorBudgetOf(run.looks, late));
    if (v.verdict === 'harmful') act(run, (r) => endRehearsal(r, 'harmful', v.measured));
    else if (run.state === 'watched') {
      if (v.verdict === 'pass' || late)
        act(run, (r) => endRehearsal(r, r.running!.asked === 'reject' ? 'rejected' : 'live', run.measured));
      else act(run, countAnalysis);
    } else if (v.verdict === 'pass')
      act(run, (r) =>
        r.running!.asked === 'reject' ? endRehearsal(r, 'rejected', v.measured) : passStage(r, v.measured),
      );
    else if (late)
      act(run, (r) => endRehearsal(r, 'inconclusive', { ...v.measured, why: `time is up: ${v.measured.why}` }));
    else act(run, countAnalysis);
  }
  return { recordCohorts: arms, tick };
}
