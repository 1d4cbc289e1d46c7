/**
 * Sets of control runs, grouped by the property that they test, and the summary printed for each set. The `control`
 * command plays the full-length sets, the tests short ones with fixed seeds.
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

/** The result of a set of runs. */
export interface ControlReport {
  readonly runs: number;
  readonly breaches: readonly ControlBreach[];
  /** Human-readable summary lines. */
  readonly summaryLines: readonly string[];
}

/** The seeds of a set of runs: `count` consecutive ones starting at `from`. */
export interface SeedRange {
  readonly from: number;
  readonly count: number;
}

/** Options common to all sets of runs. */
export interface ReportOptions {
  readonly members: number;
  readonly seeds: SeedRange;
  readonly service?: ConfigService;
}

/** The catch-up time limits that measured repair times are compared with in the summary. */
export const catchUpBoundsMs: readonly number[] = [catchUpTimeMs, 6000];

function* seedsOf(range: SeedRange): Generator<number> {
  for (let i = 0; i < range.count; i += 1) yield range.from + i;
}

function percentile(values: readonly number[], fraction: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))];
}

/** Point 1: every kind of partition, or freeze, of every target. */
export async function reportPartitions(options: ReportOptions): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  const summaryLines: string[] = [];
  let runs = 0;
  for (const kind of partitionKinds)
    for (const target of partitionTargets) {
      const byMajority: number[] = [];
      const byTarget: number[] = [];
      let runsWithBreach = 0;
      for (const seed of seedsOf(options.seeds)) {
        const result = await playPartitionRun({ ...options, seed, kind, target });
        runs += 1;
        byMajority.push(result.acknowledgedByMajority);
        byTarget.push(result.acknowledgedByTarget);
        if (result.breaches.length > 0) runsWithBreach += 1;
        breaches.push(
          ...result.breaches.map((breach) => ({ ...breach, what: `seed ${seed}, ${kind}, ${target}: ${breach.what}` })),
        );
      }
      summaryLines.push(
        `${options.members} members, ${kind} of the ${target}: ${byMajority.length} runs, ${runsWithBreach} with a breach; ` +
          `updates acknowledged by the majority ${Math.min(...byMajority)} to ${Math.max(...byMajority)}, ` +
          `by the target ${Math.min(...byTarget)} to ${Math.max(...byTarget)}`,
      );
    }
  return { runs, breaches, summaryLines };
}

/** Point 2: concurrent and repeated updates. */
export async function reportRaces(
  options: ReportOptions & { readonly interveningUpdates: number },
): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  const answers: Record<string, number> = {};
  let runs = 0;
  let calls = 0;
  for (const seed of seedsOf(options.seeds)) {
    const result = await playRaceRun({ ...options, seed });
    runs += 1;
    calls += result.history.calls.length;
    for (const [code, count] of Object.entries(result.repeatedAnswers)) answers[code] = (answers[code] ?? 0) + count;
    breaches.push(...result.breaches.map((breach) => ({ ...breach, what: `seed ${seed}: ${breach.what}` })));
  }
  const repeated = Object.entries(answers).map(([code, count]) => `${count} times ${code}`);
  return {
    runs,
    breaches,
    summaryLines: [
      `${options.members} members: ${runs} runs, ${calls} calls; answers to repeats after ${options.interveningUpdates} other updates: ${repeated.join(', ')}`,
    ],
  };
}

/** Every pair of losses, with the second loss at equally spaced offsets from the first. */
export function* lossJobs(
  options: ReportOptions & { readonly step: number; readonly to: number },
): Generator<LossRunOptions> {
  for (const first of firstLosses)
    for (const second of secondLosses)
      for (const seed of seedsOf(options.seeds))
        for (let offsetMs = 0, i = 0; offsetMs <= options.to; offsetMs += options.step, i += 1)
          yield { members: options.members, first, second, offsetMs, seed: seed * 1000 + i };
}

/** Random pairs of losses, one for each seed. */
export function* drawnLossJobs(options: ReportOptions, random: () => number): Generator<LossRunOptions> {
  for (const seed of seedsOf(options.seeds)) {
    const first: FirstLoss = firstLosses[Math.floor(random() * firstLosses.length)]!;
    const second: SecondLoss = secondLosses[Math.floor(random() * secondLosses.length)]!;
    yield { members: options.members, first, second, offsetMs: Math.floor(random() * 6000), seed };
  }
}

/** The result of one pair of losses, reduced to what the report needs. */
export interface LossOutcome {
  readonly job: LossRunOptions;
  readonly withinFaultBudget: boolean;
  readonly breaches: readonly ControlBreach[];
}

/** Plays one pair of losses. */
export async function playLossJob(job: LossRunOptions): Promise<LossOutcome> {
  const { withinFaultBudget, breaches } = await playLossRun(job);
  const { members, first, second, offsetMs, seed, extraSyncMs } = job;
  return {
    job: { members, first, second, offsetMs, seed, extraSyncMs } as LossRunOptions,
    withinFaultBudget,
    breaches,
  };
}

/** Point 3: the pairs of losses, counted by the kinds of both losses. */
export function reportLosses(outcomes: readonly LossOutcome[]): ControlReport {
  const groups = new Map<string, LossOutcome[]>();
  for (const outcome of outcomes) {
    const key = `${outcome.job.members} members, first ${outcome.job.first}, second ${outcome.job.second}`;
    groups.set(key, [...(groups.get(key) ?? []), outcome]);
  }
  const summaryLines = [...groups].map(([key, group]) => {
    const breachOffsets = group.filter((outcome) => outcome.breaches.length > 0).map((outcome) => outcome.job.offsetMs);
    const where =
      breachOffsets.length === 0 ? '' : ` at offsets ${Math.min(...breachOffsets)} to ${Math.max(...breachOffsets)} ms`;
    return `${key}: ${group.length} runs, ${group.filter((outcome) => outcome.withinFaultBudget).length} within the fault budget, ${breachOffsets.length} with a breach${where}`;
  });
  return { runs: outcomes.length, breaches: outcomes.flatMap((outcome) => outcome.breaches), summaryLines };
}

/** Point 3: how long the redundancy is reduced after each kind of first loss. */
export async function reportRepairs(options: ReportOptions & { readonly extraSyncMs: number }): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  const summaryLines: string[] = [];
  let runs = 0;
  for (const first of firstLosses) {
    const restoredAfter: number[] = [];
    const aheadFor: number[] = [];
    let neverRestored = 0;
    for (const seed of seedsOf(options.seeds)) {
      const result = await playLossRun({ ...options, seed, first, offsetMs: 0 });
      runs += 1;
      breaches.push(...result.breaches);
      if (result.repair.redundancyRestoredAfterMs === undefined) neverRestored += 1;
      else restoredAfter.push(result.repair.redundancyRestoredAfterMs);
      aheadFor.push(result.repair.membershipAheadMs);
    }
    const worst = Math.max(...restoredAfter);
    const bounds = catchUpBoundsMs.map(
      (bound) => `${worst <= bound && neverRestored === 0 ? 'within' : 'NOT within'} ${bound / 1000} s`,
    );
    summaryLines.push(
      `${options.members} members, disk syncs ${options.extraSyncMs} ms slower, ${first}: full redundancy after ${percentile(restoredAfter, 0.5)} ms in the median, ` +
        `${worst} ms at most (${bounds.join(', ')}; ${neverRestored} of ${options.seeds.count} never); ` +
        `membership record names a non-voting member for ${percentile(aheadFor, 0.5)} ms in the median, ${Math.max(...aheadFor)} ms at most`,
    );
  }
  return { runs, breaches, summaryLines };
}

/** Point 3: graceful leaves of a member that holds one of two current copies, at several times after the third returned. */
export async function reportGracefulLeaves(seeds: SeedRange, step: number): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  let runs = 0;
  for (const successor of ['ready', 'after'] as const)
    for (const seed of seedsOf(seeds))
      for (let leaveDelayMs = 0; leaveDelayMs <= catchUpTimeMs; leaveDelayMs += step) {
        breaches.push(...(await playGracefulLeaveRun({ seed, leaveDelayMs, successor })));
        runs += 1;
      }
  return { runs, breaches, summaryLines: [] };
}

/** Point 3: an empty disk next to an outdated member, while the only complete copy is frozen. */
export async function reportEmptyDisks(seeds: SeedRange): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  let runs = 0;
  for (const replacement of ['same address', 'successor'] as const)
    for (const seed of seedsOf(seeds)) {
      breaches.push(...(await playEmptyDiskRun({ seed, replacement })));
      runs += 1;
    }
  return { runs, breaches, summaryLines: [] };
}

/** Point 4: many updates while members are absent. */
export async function reportChanges(
  options: ReportOptions & Pick<CatchUpRunOptions, 'changes'>,
): Promise<ControlReport> {
  const breaches: ControlBreach[] = [];
  const timesByAbsence = new Map<string, number[]>();
  const journalSizes: number[] = [];
  for (const seed of seedsOf(options.seeds)) {
    const result = await playCatchUpRun({ ...options, seed });
    breaches.push(...result.breaches.map((breach) => ({ ...breach, what: `seed ${seed}: ${breach.what}` })));
    journalSizes.push(result.journalBytes);
    for (const catchUp of result.catchUps) {
      const times = timesByAbsence.get(catchUp.absence) ?? [];
      timesByAbsence.set(catchUp.absence, [...times, catchUp.durationMs ?? Infinity]);
    }
  }
  const summaryLines = [...timesByAbsence].map(
    ([absence, times]) =>
      `${options.members} members, ${absence}: caught up after ${Math.max(...times)} ms at most in ${times.length} returns`,
  );
  summaryLines.push(
    `${options.members} members, ${options.changes} updates while members were absent: journal of a member that was always present ${Math.max(...journalSizes)} B at most`,
  );
  return { runs: options.seeds.count, breaches, summaryLines };
}

/** Point 4: the journal while every member is present; the sizes are those of the first seed. */
export async function reportJournals(
  options: ReportOptions & Pick<JournalRunOptions, 'changes' | 'compactAboveBytes'>,
): Promise<ControlReport & { readonly sizes: readonly JournalSize[] }> {
  const breaches: ControlBreach[] = [];
  let sizes: readonly JournalSize[] = [];
  for (const seed of seedsOf(options.seeds)) {
    const result = await playJournalRun({ ...options, seed });
    breaches.push(...result.breaches.map((breach) => ({ ...breach, what: `seed ${seed}: ${breach.what}` })));
    if (seed === options.seeds.from) sizes = result.sizes;
  }
  const summaryLines = sizes.map(
    (size) =>
      `${options.members} members, ${size.changes} updates: journal ${size.bytes} B, ${size.bytesPerChange} B per update, read in ${size.readMs} ms`,
  );
  return { runs: options.seeds.count, breaches, summaryLines, sizes };
}
