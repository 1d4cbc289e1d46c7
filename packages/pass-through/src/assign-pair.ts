/**
 * The placement of one request: which worker reads its prompt and which makes its tokens, or one that does both. The
 * reader is assigned as Lodestar says (heuristic first, then the model where one serves and knows the range); the
 * heuristic's cost is the expected time to the first token, to which the memory that would move is added at a rate,
 * more between zones. Coming late costs a step, so that a prompt which will be late anyway takes nobody's place.
 */
import {
  assignPrefill,
  type Assignment,
  type Model,
  type PlacementOptions,
  type PromptFacts,
} from '@tansypost/placement';
import { hash32, rendezvous } from '@tansypost/inner-protocol';
import type { Incoming } from './incoming.js';
import type { FleetWorker, View } from './worker-fleet.js';

export interface PairTerms {
  readonly zone: string;
  readonly regionOf: (zone: string) => string;
  readonly aim: number;
  // Bytes of memory a token, and megabits a second of a worker's link.
  readonly tokenBytes: number;
  readonly linkMbps: number;
  // Microseconds that a mebibyte moved, a kilobyte sent to another zone, and a token read again are worth.
  readonly moveCost: number;
  readonly zoneCost: number;
  readonly rereadCost: number;
  readonly runCost: number;
  // What a microsecond is worth by which a run under way is held up.
  readonly holdCost: number;
  readonly pauseCost: number;
  // The part of what is shared that the first workers in the rank of its group are taken to hold.
  readonly homeCredits: readonly number[];
  // Whether a connection to it is open and free, and what a new one costs.
  readonly warm?: (w: FleetWorker) => boolean;
  readonly connectCost: number;
  // What a send that fails costs.
  readonly badCost: number;
  // What a microsecond until the first token is worth, what being late is, and from which part of the aim on.
  readonly slope: number;
  readonly lateCost: number;
  readonly lateFrom: number;
  readonly placement: PlacementOptions;
}
export const pairDefaults = {
  moveCost: 150,
  zoneCost: 400,
  rereadCost: 110,
  runCost: 3000,
  holdCost: 0.4,
  pauseCost: 1,
  homeCredits: [0.9, 0.4],
  badCost: 600_000,
  connectCost: 15_000,
  slope: 0.3,
  lateCost: 500_000,
  lateFrom: 0.8,
};

export interface Pair {
  readonly reader: FleetWorker | undefined;
  readonly runner: FleetWorker;
  readonly readerTokens: number;
  readonly runnerTokens: number;
  // Until the reader has answered, and until the first token.
  readonly readTime: number;
  readonly firstTime: number;
  // How long the prompt takes to read once its turn comes.
  readonly serviceTime: number;
  readonly assignment: Assignment | undefined;
}

// Ours: past so many readers the dearest are left out before they are scored.
const mostScored = 40;

export function promptBlocks(q: Incoming): number[] {
  return q.parts.map((p) => hash32(p.id));
}
// What requests share: all parts but the last.
export function promptGroup(q: Incoming): string {
  return q.parts
    .slice(0, -1)
    .map((p) => p.id)
    .join('/');
}
/** The tokens of the first n parts, for each n from 0. */
function tokensUpTo(q: Incoming): number[] {
  const sums = [0];
  for (const part of q.parts) sums.push(sums[sums.length - 1]! + part.tokens);
  return sums;
}
/** Works a value out once for each worker: a decision asks for most of them several times. */
function remembered(valueOf: (v: View) => number): (v: View) => number {
  const values = new Map<View, number>();
  return function value(v) {
    let known = values.get(v);
    if (known === undefined) values.set(v, (known = valueOf(v)));
    return known;
  };
}

export function assignPair(
  q: Incoming,
  readers: readonly View[],
  runners: readonly View[],
  hits: ReadonlyMap<string, number>,
  model: Model | undefined,
  t: PairTerms,
  now: () => number,
  random: () => number,
): Pair | undefined {
  if (runners.length === 0) return undefined;
  const blocks = promptBlocks(q);
  const group = promptGroup(q);
  const tokens = tokensUpTo(q);
  const shared = tokens[Math.max(0, q.parts.length - 1)]!;
  const facts: PromptFacts = { tokens: q.promptTokens, blocks, group };

  // Routers do not tell each other what they sent where, but all rank workers alike for a group: the first is taken to
  // hold what the group shares, the second, where what the first cannot take goes, to hold some of it.
  function homes(vs: readonly View[]): Map<string, number> {
    const ranked = rendezvous(group, vs, (v) => v.worker.id);
    return new Map(ranked.slice(0, t.homeCredits.length).map((v, i) => [v.worker.id, t.homeCredits[i]!]));
  }
  const readerHomes = homes(readers);
  const runnerHomes = homes(runners);
  function known(v: View, home: ReadonlyMap<string, number>): number {
    // A request that was read elsewhere is asked about without its parts, while hits are those of the whole prompt.
    const held = tokens[Math.min(hits.get(v.worker.id) ?? 0, q.parts.length)]!;
    return Math.max(held, shared * (home.get(v.worker.id) ?? 0));
  }
  const readerKnown = remembered((v) => known(v, readerHomes));
  const runnerKnown = remembered((v) => known(v, runnerHomes));
  function readerMiss(v: View): number {
    return Math.max(1, q.promptTokens - readerKnown(v));
  }
  function runnerMiss(v: View): number {
    return Math.max(1, q.promptTokens - runnerKnown(v));
  }
  function apart(a: string, b: string): number {
    return a === b ? 0 : t.regionOf(a) === t.regionOf(b) ? 1 : 5;
  }
  const send = remembered((v) => {
    const connect = t.warm?.(v.worker) === true ? 0 : t.connectCost;
    return connect + apart(t.zone, v.worker.zone) * t.zoneCost * (1 + q.body.length / 1024);
  });
  function score(time: number, cost: number): number {
    // A step where it comes late, and a slope before and behind it.
    const late = 1 / (1 + Math.exp(-(time - t.lateFrom * t.aim) / (0.08 * t.aim)));
    return t.slope * time + t.lateCost * late + cost;
  }

  function readTime(v: View): number {
    return v.wait + readerMiss(v) * v.perToken;
  }
  function readCost(v: View, time: number): number {
    return score(time, t.badCost * v.bad + send(v) + t.rereadCost * Math.max(0, shared - readerKnown(v)));
  }
  function moveTime(v: View, from: FleetWorker): number {
    const bytes = Math.max(0, q.promptTokens - runnerKnown(v)) * t.tokenBytes;
    return ((bytes * 8) / t.linkMbps) * (1 + apart(v.worker.zone, from.zone));
  }
  function moveCost(v: View, from: FleetWorker): number {
    return ((q.promptTokens * t.tokenBytes) / 1_048_576) * t.moveCost * (1 + apart(v.worker.zone, from.zone));
  }
  const paused = runners.filter((v) => v.pause > 0);
  const usualPause = paused.length === 0 ? 0 : Math.min(...paused.map((v) => v.pause));
  function runLoad(v: View): number {
    return (
      t.badCost * v.bad +
      t.runCost * v.runs +
      t.pauseCost * (v.pause > 0 ? v.pause : usualPause) +
      Math.max(0, v.candidate.kvUsed - 0.85) * 10_000_000
    );
  }
  function direct(v: View): { time: number; cost: number } {
    const own = runnerMiss(v) * v.perToken;
    const time = v.wait + own + 10_000;
    // What it reads holds up all that it runs.
    const held = own * v.runs * t.holdCost;
    return {
      time,
      cost: score(time, held + send(v) + runLoad(v) + t.rereadCost * Math.max(0, shared - runnerKnown(v))),
    };
  }
  function best<T>(xs: readonly T[], cost: (x: T) => number): T | undefined {
    let [b, c] = [undefined as T | undefined, Infinity];
    for (const x of xs) {
      const y = cost(x) + random();
      if (y < c) [b, c] = [x, y];
    }
    return b;
  }

  const one = best(runners, (v) => direct(v).cost)!;
  const alone: Pair = {
    reader: undefined,
    runner: one.worker,
    readerTokens: 0,
    runnerTokens: runnerMiss(one),
    readTime: 0,
    firstTime: direct(one).time,
    serviceTime: runnerMiss(one) * one.perToken,
    assignment: undefined,
  };
  if (readers.length === 0) return alone;
  const few =
    readers.length <= mostScored
      ? readers
      : readers
          .map((v) => ({ v, cost: readCost(v, readTime(v)) }))
          .sort((x, y) => x.cost - y.cost)
          .slice(0, mostScored)
          .map((x) => x.v);
  const views = new Map(few.map((v) => [v.candidate.worker as string, v]));
  function viewOf(c: { readonly worker: string }): View {
    return views.get(c.worker)!;
  }
  const a = assignPrefill(
    {
      prompt: facts,
      candidates: few.map((v) => v.candidate),
      expected: (c) => readTime(viewOf(c)),
      expectedHit: (c) => readerKnown(viewOf(c)) / Math.max(1, q.promptTokens),
      priced: (c, time) => readCost(viewOf(c), time),
      hits,
      model,
      now,
      random,
      first: (cs) => {
        const v = best(few, (x) => readCost(x, readTime(x)))!;
        return cs.find((c) => c.worker === v.worker.id)!;
      },
    },
    t.placement,
  )!;
  const r = readers.find((v) => v.worker.id === a.worker.worker)!;
  function through(v: View): number {
    return score(
      readTime(r) + moveTime(v, r.worker) + 20_000,
      send(r) +
        t.badCost * r.bad +
        send(v) +
        moveCost(v, r.worker) +
        runLoad(v) +
        t.rereadCost * Math.max(0, shared - readerKnown(r)),
    );
  }
  const d = best(runners, through)!;
  if (direct(one).cost <= through(d)) return alone;
  return {
    reader: r.worker,
    runner: d.worker,
    readerTokens: readerMiss(r),
    runnerTokens: 1,
    readTime: readTime(r),
    firstTime: readTime(r) + moveTime(d, r.worker) + 20_000,
    serviceTime: readerMiss(r) * r.perToken,
    assignment: a,
  };
}
