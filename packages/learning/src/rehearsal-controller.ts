/**
 * The leader of the rehearsals role: sums the cohort statistics that all routers report as running totals, judges the
 * rehearsal at each interim analysis that is due, and widens it, makes it live, ends it or rolls it back. Each of these is
 * one conditional write, which also counts the analysis. As the totals are kept by the routers, a new leader has
 * them within one reporting interval. A router's two cohorts are reported and lost together, so missing reports favour neither.
 */
import { micros, runInBackground, type CohortStatistics, type MessageOf, type World } from '@tansypost/inner-protocol';
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

/** What a rehearsal controller works with. */
export interface RehearsalControllerOptions {
  /** The epoch under which this process leads the rehearsals role; undefined while it does not. */
  readonly heldEpoch: () => number | undefined;
  /** The rehearsal record as this process knows it. */
  readonly record: () => Buffer | undefined;
  readonly writer: RecordWriter;
  /** Longest duration of one stage. */
  readonly timeLimitUs: number;
  readonly verdict?: VerdictOptions;
}
/** Runs rehearsals to their end. */
export interface RehearsalController {
  readonly recordCohorts: (message: MessageOf<'Arms'>) => void;
  /** Takes the step that is due; to be called often. */
  readonly tick: () => void;
}

/** Creates a controller that has received no statistics. */
export function createRehearsalController(world: World, options: RehearsalControllerOptions): RehearsalController {
  const byRouter = new Map<string, { at: number; arms: CohortStatistics[] }>();
  let busy = false;
  let observed: { id: string; stage: number; since: number } | undefined;

  /** Keeps a router's latest totals; those of routers that have not reported for ten minutes are dropped. */
  function recordCohorts(message: MessageOf<'Arms'>): void {
    byRouter.set(message.from, { at: world.now(), arms: message.arms });
    for (const [router, report] of byRouter) if (world.now() - report.at > 600_000_000) byRouter.delete(router);
  }

  /** Changes the record by one conditional write, only if it is still at the stage and analysis that was judged. */
  function apply(judged: Rehearsal, change: (record: RehearsalRecord) => RehearsalRecord): void {
    const { id } = judged;
    busy = true;
    const applied = options.writer
      .update(
        (record) =>
          record.running?.id === id && record.running.stage === judged.stage && record.running.looks === judged.looks
            ? change(record)
            : undefined,
        () => options.heldEpoch() !== undefined,
      )
      .then((record) => {
        const ended = record?.ended.find((rehearsal) => rehearsal.id === id);
        if (ended !== undefined) world.log(4102, { rehearsal: id, outcome: ended.outcome, why: ended.measured?.why });
      })
      .finally(() => {
        world.after(micros(200_000), () => {
          busy = false;
        });
      });
    runInBackground(world.log, 'change of a rehearsal', applied);
  }

  function tick(): void {
    if (busy || options.heldEpoch() === undefined) return;
    const record = options.record();
    const running = record === undefined ? undefined : decodeRehearsalRecord(record).running;
    if (running === undefined) return;
    if (observed?.id !== running.id || observed.stage !== running.stage) {
      world.log(observed?.id === running.id ? 4104 : 4101, {
        rehearsal: running.id,
        stage: running.stage,
        slice: running.slice,
        subject: running.subject,
      });
      observed = { id: running.id, stage: running.stage, since: world.now() };
    }
    if (running.asked === 'reject') return apply(running, (latest) => endRehearsal(latest, 'rejected'));
    if (running.state === 'passed') {
      if (running.approval === 'automatic' || running.asked === 'approve')
        apply(running, (latest) =>
          latest.running!.asked === 'reject' ? endRehearsal(latest, 'rejected') : goLive(latest),
        );
      return;
    }
    const statistics = [...byRouter.values()].flatMap((report) =>
      report.arms.filter((cohort) => cohort.rehearsal === cohortNameOf(running)),
    );
    const isTimeUp = running.spent + world.now() - observed.since > options.timeLimitUs;
    // The time spent is stored in fifths of the limit, so that a new leader goes on from there.
    const timeStep = options.timeLimitUs / 5;
    if (!isTimeUp && world.now() - observed.since > timeStep) {
      observed.since += timeStep;
      return apply(running, (latest) => addElapsedTime(latest, timeStep));
    }
    const verdictOptions = options.verdict ?? verdictDefaults;
    // An analysis is due by the smaller cohort; once the change is live, that is the control.
    const smallerCount = Math.min(
      ...(['slice', 'control'] as const).map((arm) =>
        statistics.filter((cohort) => cohort.arm === arm).reduce((sum, cohort) => sum + cohort.count, 0),
      ),
    );
    if (!isTimeUp && smallerCount < requestsAtAnalysis(running.looks, verdictOptions)) return;
    const result = judgeRehearsal(statistics, verdictOptions, errorBudgetOf(running.looks, isTimeUp));
    if (result.verdict === 'harmful') apply(running, (latest) => endRehearsal(latest, 'harmful', result.measured));
    else if (running.state === 'watched') {
      if (result.verdict === 'pass' || isTimeUp)
        apply(running, (latest) =>
          endRehearsal(latest, latest.running!.asked === 'reject' ? 'rejected' : 'live', running.measured),
        );
      else apply(running, countAnalysis);
    } else if (result.verdict === 'pass')
      apply(running, (latest) =>
        latest.running!.asked === 'reject'
          ? endRehearsal(latest, 'rejected', result.measured)
          : passStage(latest, result.measured),
      );
    else if (isTimeUp)
      apply(running, (latest) =>
        endRehearsal(latest, 'inconclusive', { ...result.measured, why: `time is up: ${result.measured.why}` }),
      );
    else apply(running, countAnalysis);
  }
  return { recordCohorts, tick };
}
