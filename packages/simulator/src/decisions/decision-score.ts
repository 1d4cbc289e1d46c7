/**
 * What a virtual day earned, by the measures of the users' pages: the share of worth over the whole day, in the worst
 * windows, of the worst-served kind and zone, the share served counted in nines, less what was charged.
 */
import type { PassedHistory, TrySeen } from '../pass-through/passed-history.js';
import type { DecisionSite } from './decision-sites.js';

/** What a day earned; shares are from 0 to 1. */
export interface DecisionScore {
  /** The weighed parts less the prices. */
  readonly score: number;
  readonly mean: number;
  readonly windows: number;
  readonly worstKind: number;
  readonly nines: number;
  readonly unservedShare: number;
  readonly requests: number;
  readonly late: number;
  readonly recomputeCost: number;
  readonly transferCost: number;
}

/** One request of a client with all its tries. */
interface Task {
  readonly kind: string;
  readonly at: number;
  readonly owed: number;
  readonly earned: number;
  readonly served: boolean;
  readonly late: boolean;
  readonly size: number;
}

const windowLength = 2_000_000;
const worstWindows = 2;
/** The share unserved at which all nines are had. */
const bestUnserved = 0.001;
const leastSizeWorth = 0.3;
const mostSizeWorth = 4;
/** The largest tenth of a kind, and the fifth beneath it, count as kinds of their own. */
const largest = { from: 0.9, to: 1 };
const large = { from: 0.7, to: 0.9 };
const refusedWithin = 0.25;

function groupBy<T, K>(all: Iterable<T>, keyOf: (each: T) => K): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const each of all) {
    const key = keyOf(each);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [each]);
    else group.push(each);
  }
  return groups;
}

function share(tasks: readonly Task[]): number {
  const owed = tasks.reduce((sum, task) => sum + task.owed, 0);
  return owed === 0 ? 1 : tasks.reduce((sum, task) => sum + task.earned, 0) / owed;
}

/** The part of the worth that the tries of one task earned: 1 in time, less when late, 0 when not served. */
function earnedBy(tries: readonly TrySeen[], aim: number, pause: number, lateShare: number): number {
  const first = tries[0]!;
  const served = tries.find((each) => each.ended === 'whole');
  if (served === undefined) return 0;
  const answeredAt = served.streaming ? (served.firstAt ?? served.end!) : served.end!;
  const paused = pause > 0 && served.longestPause > pause;
  if (!paused && answeredAt - first.at <= aim) return 1;
  const refusedSoon = served !== first && first.ended === 'refused' && first.end! - first.at <= refusedWithin * aim;
  if (refusedSoon && !paused && answeredAt - served.at <= aim) return (1 + lateShare) / 2;
  return lateShare;
}

function tasksOf(history: PassedHistory, site: DecisionSite): Task[] {
  const kinds = new Map(site.deployment.kinds.map((kind) => [kind.name, kind]));
  const byTask = groupBy(
    history.tries.filter((each) => each.at >= history.from),
    (each) => each.task,
  );
  const firsts = [...byTask.values()].map((tries) => tries[0]!);
  const meanSizes = new Map(
    [...groupBy(firsts, (each) => each.kind)].map(([kind, all]) => [
      kind,
      all.reduce((sum, each) => sum + each.size, 0) / all.length,
    ]),
  );
  return [...byTask.values()].map((tries) => {
    const first = tries[0]!;
    const kind = kinds.get(first.kind)!;
    const worth = kind.worth ?? 1;
    const relative = first.size / Math.max(1, meanSizes.get(first.kind)!);
    const weight = first.size <= 10 ? 1 : Math.min(mostSizeWorth, leastSizeWorth + (1 - leastSizeWorth) * relative);
    const part = earnedBy(tries, kind.aim, kind.pause, (kind.lateWorth ?? 0) / worth);
    const owed = worth * weight;
    return {
      kind: first.kind,
      at: first.at,
      owed,
      earned: owed * part,
      served: part > 0,
      late: part > 0 && part < 1,
      size: first.size,
    };
  });
}

function worstKindOf(tasks: readonly Task[]): number {
  const shares: number[] = [];
  for (const all of groupBy(tasks, (task) => task.kind).values()) {
    const bySize = [...all].sort((a, b) => a.size - b.size);
    shares.push(share(all));
    for (const { from, to } of [largest, large])
      shares.push(share(bySize.slice(Math.floor(from * all.length), Math.floor(to * all.length))));
  }
  return Math.min(...shares);
}

function worstWindowsOf(tasks: readonly Task[]): number {
  const windows = [...groupBy(tasks, (task) => Math.floor(task.at / windowLength)).values()].map(share);
  const worst = windows.sort((a, b) => a - b).slice(0, worstWindows);
  return worst.reduce((sum, each) => sum + each, 0) / worst.length;
}

function ninesOf(unserved: number): number {
  const least = Math.max(unserved, bestUnserved);
  return Math.max(0, Math.min(1, Math.log(least) / Math.log(bestUnserved)));
}

/** Scores what the day showed. */
export function scoreDay(history: PassedHistory, site: DecisionSite): DecisionScore {
  const tasks = tasksOf(history, site);
  const owed = tasks.reduce((sum, task) => sum + task.owed, 0);
  const unserved = tasks.filter((task) => !task.served).length / Math.max(1, tasks.length);
  const mean = share(tasks);
  const windows = worstWindowsOf(tasks);
  const worstKind = worstKindOf(tasks);
  const nines = ninesOf(unserved);
  const reread = ((history.costs.reread / 1000) * site.rates.recompute) / owed;
  const moved = ((history.costs.moved / 1000) * site.rates.transfer) / owed;
  const { weights: goal } = site;
  // Zones are served alike but for chance here, so the whole day stands for the worst of them.
  const parts =
    goal.mean * mean + goal.windows * windows + goal.kinds * worstKind + goal.zones * mean + goal.nines * nines;
  const late = tasks.filter((task) => task.late).length;
  return {
    score: parts - reread - moved,
    mean,
    windows,
    worstKind,
    nines,
    unservedShare: unserved,
    requests: tasks.length,
    late,
    recomputeCost: reread,
    transferCost: moved,
  };
}
