/**
 * The runs of the control side put together by point: what is played, and what is printed of it. The command plays them
 * at length, the tests in short form with fixed seeds.
 */
import { playEmptyDiskRun } from './empty-disk-run.js';
import { playCatchUpRun, type CatchUpRunOptions } from './catch-up-run.js';
import type { ConfigService } from './config-service.js';
import type { ControlBreach } from './control-history.js';
import { partitionKinds, partitionTargets, playPartitionRun } from './partition-run.js';
import { playJournalRun, type JournalRunOptions, type JournalSize } from './journal-run.js';
import {
  catchUpTimeMs,
  firstLosses,
  playLossRun,
  secondLosses,
  type FirstLoss,
  type LossRunOptions,
  type SecondLoss,
} from './loss-run.js';
import { playGracefulLeaveRun } from './graceful-leave-run.js';
import { playRaceRun } from './race-run.js';

/** What a set of runs showed. */
export interface ControlReport {
  readonly runs: number;
  readonly breaches: readonly ControlBreach[];
  /** Lines for the reader. */
  readonly summaryLines: readonly string[];
}

/** Which seeds a set of runs takes. */
export interface SeedRange {
  readonly from: number;
  readonly count: number;
}

/** What the runs of every set share. */
export interface ReportOptions {
  readonly members: number;
  readonly seeds: SeedRange;
  readonly service?: ConfigService;
}

/** The bounds on catching up that repairs are printed against, in milliseconds. */
export const catchUpBoundsMs: readonly number[] = [catchUpTimeMs, 6000];

function* seedsOf(r: SeedRange): Generator<number> {
  for (let i = 0; i < r.count; i += 1) yield r.from + i;
}

function percentile(xs: readonly number[], share: number): number | undefined {
  const sorted = [...xs].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
}

/** Point 1: every kind of cut of every target. */
export async function reportPartitions(o: ReportOptions): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  const figures: string[] = [];
  let runs = 0;
  for (const kind of partitionKinds)
    for (const target of partitionTargets) {
      const taken: number[] = [];
      const beside: number[] = [];
      let broken = 0;
      for (const seed of seedsOf(o.seeds)) {
        const r = await playPartitionRun({ ...o, seed, kind, target });
        runs += 1;
        taken.push(r.acknowledgedByMajority);
        beside.push(r.acknowledgedByTarget);
        if (r.breaches.length > 0) broken += 1;
        breaches.push(...r.breaches.map((b) => ({ ...b, what: `seed ${seed}, ${kind}, ${target}: ${b.what}` })));
      }
      figures.push(
        `${o.members} members, ${kind} of the ${target}: ${taken.length} runs, ${broken} with a breach; ` +
          `orders taken by the others ${Math.min(...taken)} to ${Math.max(...taken)}, ` +
          `by the one ${Math.min(...beside)} to ${Math.max(...beside)}`,
      );
    }
  return { runs, breaches, summaryLines: figures };
}

/** Point 2: races and repeated orders. */
export async function reportRaces(o: ReportOptions & { readonly interveningUpdates: number }): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  const answers: Record<string, number> = {};
  let runs = 0;
  let calls = 0;
  for (const seed of seedsOf(o.seeds)) {
    const r = await playRaceRun({ ...o, seed });
    runs += 1;
    calls += r.history.calls.length;
    for (const [code, n] of Object.entries(r.repeatedAnswers)) answers[code] = (answers[code] ?? 0) + n;
    breaches.push(...r.breaches.map((b) => ({ ...b, what: `seed ${seed}: ${b.what}` })));
  }
  const late = Object.entries(answers).map(([code, n]) => `${n} times ${code}`);
  return {
    runs,
    breaches,
    summaryLines: [
      `${o.members} members: ${runs} runs, ${calls} calls; after ${o.interveningUpdates} other orders: ${late.join(', ')}`,
    ],
  };
}

/** Every pair of losses at offsets of equal steps. */
export function* lossJobs(
  o: ReportOptions & { readonly step: number; readonly to: number },
): Generator<LossRunOptions> {
  for (const first of firstLosses)
    for (const second of secondLosses)
      for (const seed of seedsOf(o.seeds))
        for (let offset = 0, i = 0; offset <= o.to; offset += o.step, i += 1)
          yield { members: o.members, first, second, offsetMs: offset, seed: seed * 1000 + i };
}

/** Pairs of losses drawn by seed. */
export function* drawnLossJobs(o: ReportOptions, random: () => number): Generator<LossRunOptions> {
  for (const seed of seedsOf(o.seeds)) {
    const first: FirstLoss = firstLosses[Math.floor(random() * firstLosses.length)]!;
    const second: SecondLoss = secondLosses[Math.floor(random() * secondLosses.length)]!;
    yield { members: o.members, first, second, offsetMs: Math.floor(random() * 6000), seed };
  }
}

/** What one pair of losses gave, as far as the report needs it. */
export interface LossOutcome {
  readonly job: LossRunOptions;
  readonly withinFaultBudget: boolean;
  readonly breaches: readonly ControlBreach[];
}

/** Plays one pair. */
export async function playLossJob(job: LossRunOptions): Promise<LossOutcome> {
  const { withinFaultBudget: withinBudget, breaches } = await playLossRun(job);
  const { members, first, second, offsetMs: offset, seed, extraSyncMs: slowDisks } = job;
  return {
    job: { members, first, second, offsetMs: offset, seed, extraSyncMs: slowDisks } as LossRunOptions,
    withinFaultBudget: withinBudget,
    breaches,
  };
}

/** Point 3: the pairs of losses, counted by their kinds. */
export function reportLosses(outcomes: readonly LossOutcome[]): ControlReport {
  const groups = new Map<string, LossOutcome[]>();
  for (const x of outcomes) {
    const key = `${x.job.members} members, first ${x.job.first}, second ${x.job.second}`;
    groups.set(key, [...(groups.get(key) ?? []), x]);
  }
  const figures = [...groups].map(([key, xs]) => {
    const broken = xs.filter((x) => x.breaches.length > 0).map((x) => x.job.offsetMs);
    const where = broken.length === 0 ? '' : ` at ${Math.min(...broken)} to ${Math.max(...broken)} ms`;
    return `${key}: ${xs.length} runs, ${xs.filter((x) => x.withinFaultBudget).length} within the budget, ${broken.length} with a breach${where}`;
  });
  return { runs: outcomes.length, breaches: outcomes.flatMap((x) => x.breaches), summaryLines: figures };
}

/** Point 3: how long each first loss leaves less redundancy than before. */
export async function reportRepairs(o: ReportOptions & { readonly extraSyncMs: number }): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  const figures: string[] = [];
  let runs = 0;
  for (const first of firstLosses) {
    const whole: number[] = [];
    const ahead: number[] = [];
    let never = 0;
    for (const seed of seedsOf(o.seeds)) {
      const r = await playLossRun({ ...o, seed, first, offsetMs: 0 });
      runs += 1;
      breaches.push(...r.breaches);
      if (r.repair.redundancyRestoredAfterMs === undefined) never += 1;
      else whole.push(r.repair.redundancyRestoredAfterMs);
      ahead.push(r.repair.membershipAheadMs);
    }
    const worst = Math.max(...whole);
    const bounds = catchUpBoundsMs.map((b) => `${worst <= b && never === 0 ? 'within' : 'NOT within'} ${b / 1000} s`);
    figures.push(
      `${o.members} members, syncs ${o.extraSyncMs} ms longer, ${first}: whole again after ${percentile(whole, 0.5)} ms in the middle, ` +
        `${worst} at most (${bounds.join(', ')}; ${never} of ${o.seeds.count} never); ` +
        `record ahead of the votes ${percentile(ahead, 0.5)} ms in the middle, ${Math.max(...ahead)} at most`,
    );
  }
  return { runs, breaches, summaryLines: figures };
}

/** Point 3: leavers that hold one of two fresh copies, at several times after the third member's return. */
export async function reportGracefulLeaves(seeds: SeedRange, step: number): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  let runs = 0;
  for (const successor of ['ready', 'after'] as const)
    for (const seed of seedsOf(seeds))
      for (let leaveAfter = 0; leaveAfter <= catchUpTimeMs; leaveAfter += step) {
        breaches.push(...(await playGracefulLeaveRun({ seed, leaveDelayMs: leaveAfter, successor })));
        runs += 1;
      }
  return { runs, breaches, summaryLines: [] };
}

/** Point 3: an empty disk beside a member that is behind, while the only complete copy is frozen. */
export async function reportEmptyDisks(seeds: SeedRange): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  let runs = 0;
  for (const returned of ['same address', 'successor'] as const)
    for (const seed of seedsOf(seeds)) {
      breaches.push(...(await playEmptyDiskRun({ seed, replacement: returned })));
      runs += 1;
    }
  return { runs, breaches, summaryLines: [] };
}

/** Point 4: many changes with members away. */
export async function reportChanges(o: ReportOptions & Pick<CatchUpRunOptions, 'changes'>): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  const byAbsence = new Map<string, number[]>();
  const journals: number[] = [];
  for (const seed of seedsOf(o.seeds)) {
    const r = await playCatchUpRun({ ...o, seed });
    breaches.push(...r.breaches.map((b) => ({ ...b, what: `seed ${seed}: ${b.what}` })));
    journals.push(r.journalBytes);
    for (const c of r.catchUps) {
      const times = byAbsence.get(c.absence) ?? [];
      byAbsence.set(c.absence, [...times, c.durationMs ?? Infinity]);
    }
  }
  const figures = [...byAbsence].map(
    ([absence, times]) =>
      `${o.members} members, ${absence}: caught up after ${Math.max(...times)} ms at most in ${times.length} returns`,
  );
  figures.push(
    `${o.members} members, ${o.changes} changes with members away: the journal of one that stayed takes ${Math.max(...journals)} B at most`,
  );
  return { runs: o.seeds.count, breaches, summaryLines: figures };
}

/** Point 4: the journal with every member there; the sizes are of the first seed. */
export async function reportJournals(
  o: ReportOptions & Pick<JournalRunOptions, 'changes' | 'compactAboveBytes'>,
): Promise<ControlReport & { readonly sizes: readonly JournalSize[] }> {
  const breaches: ControlBreach[] = [];
  let sizes: readonly JournalSize[] = [];
  for (const seed of seedsOf(o.seeds)) {
    const r = await playJournalRun({ ...o, seed });
    breaches.push(...r.breaches.map((b) => ({ ...b, what: `seed ${seed}: ${b.what}` })));
    if (seed === o.seeds.from) sizes = r.sizes;
  }
  const figures = sizes.map(
    (j) =>
      `${o.members} members, ${j.changes} changes: journal ${j.bytes} B, ${j.bytesPerChange} B a change, read in ${j.readMs} ms`,
  );
  return { runs: o.seeds.count, breaches, summaryLines: figures, sizes };
}
