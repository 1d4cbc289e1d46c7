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
import type { IncomingRequest } from './incoming.js';
import type { FleetWorker, WorkerView } from './worker-fleet.js';

export interface PairCosts {
  readonly zone: string;
  readonly regionOf: (zone: string) => string;
  readonly targetLatency: number;
  // Bytes of memory a token, and megabits a second of a worker's link.
  readonly kvBytesPerToken: number;
  readonly linkMbps: number;
  // Microseconds that a mebibyte moved, a kilobyte sent to another zone, and a token read again are worth.
  readonly kvTransferCost: number;
  readonly crossZoneCost: number;
  readonly recomputeCost: number;
  readonly activeRunCost: number;
  // What a microsecond is worth by which a run under way is held up.
  readonly interferenceCost: number;
  readonly eventGapCost: number;
  // The part of what is shared that the first workers in the rank of its group are taken to hold.
  readonly affinityCredits: readonly number[];
  // Whether a connection to it is open and free, and what a new one costs.
  readonly hasIdleConnection?: (w: FleetWorker) => boolean;
  readonly connectCost: number;
  // What a send that fails costs.
  readonly failureCost: number;
  // What a microsecond until the first token is worth, what being late is, and from which part of the aim on.
  readonly latencyCost: number;
  readonly lateCost: number;
  readonly lateThreshold: number;
  readonly placement: PlacementOptions;
}
export const defaultPairCosts = {
  kvTransferCost: 150,
  crossZoneCost: 400,
  recomputeCost: 110,
  activeRunCost: 3000,
  interferenceCost: 0.4,
  eventGapCost: 1,
  affinityCredits: [0.9, 0.4],
  failureCost: 600_000,
  connectCost: 15_000,
  latencyCost: 0.3,
  lateCost: 500_000,
  lateThreshold: 0.8,
};

export interface WorkerPair {
  readonly prefillWorker: FleetWorker | undefined;
  readonly decodeWorker: FleetWorker;
  readonly prefillWorkerTokens: number;
  readonly decodeWorkerTokens: number;
  // Until the reader has answered, and until the first token.
  readonly prefillTime: number;
  readonly timeToFirstToken: number;
  // How long the prompt takes to read once its turn comes.
  readonly serviceTime: number;
  readonly assignment: Assignment | undefined;
}

// Ours: past so many readers the dearest are left out before they are scored.
const mostScored = 40;

export function promptBlocks(q: IncomingRequest): number[] {
  return q.promptSegments.map((p) => hash32(p.id));
}
// What requests share: all parts but the last.
export function promptGroup(q: IncomingRequest): string {
  return q.promptSegments
    .slice(0, -1)
    .map((p) => p.id)
    .join('/');
}
/** The tokens of the first n parts, for each n from 0. */
function tokensUpTo(q: IncomingRequest): number[] {
  const sums = [0];
  for (const part of q.promptSegments) sums.push(sums[sums.length - 1]! + part.tokens);
  return sums;
}
/** Works a value out once for each worker: a decision asks for most of them several times. */
function remembered(valueOf: (v: WorkerView) => number): (v: WorkerView) => number {
  const values = new Map<WorkerView, number>();
  return function value(v) {
    let known = values.get(v);
    if (known === undefined) values.set(v, (known = valueOf(v)));
    return known;
  };
}

export function assignWorkerPair(
  q: IncomingRequest,
  readers: readonly WorkerView[],
  runners: readonly WorkerView[],
  hits: ReadonlyMap<string, number>,
  model: Model | undefined,
  t: PairCosts,
  now: () => number,
  random: () => number,
): WorkerPair | undefined {
  if (runners.length === 0) return undefined;
  const blocks = promptBlocks(q);
  const group = promptGroup(q);
  const tokens = tokensUpTo(q);
  const shared = tokens[Math.max(0, q.promptSegments.length - 1)]!;
  const facts: PromptFacts = { tokens: q.promptTokens, blocks, group };

  // Routers do not tell each other what they sent where, but all rank workers alike for a group: the first is taken to
  // hold what the group shares, the second, where what the first cannot take goes, to hold some of it.
  function homes(vs: readonly WorkerView[]): Map<string, number> {
    const ranked = rendezvous(group, vs, (v) => v.worker.id);
    return new Map(ranked.slice(0, t.affinityCredits.length).map((v, i) => [v.worker.id, t.affinityCredits[i]!]));
  }
  const readerHomes = homes(readers);
  const runnerHomes = homes(runners);
  function known(v: WorkerView, home: ReadonlyMap<string, number>): number {
    // A request that was read elsewhere is asked about without its parts, while hits are those of the whole prompt.
    const held = tokens[Math.min(hits.get(v.worker.id) ?? 0, q.promptSegments.length)]!;
    return Math.max(held, shared * (home.get(v.worker.id) ?? 0));
  }
  const readerKnown = remembered((v) => known(v, readerHomes));
  const runnerKnown = remembered((v) => known(v, runnerHomes));
  function readerMiss(v: WorkerView): number {
    return Math.max(1, q.promptTokens - readerKnown(v));
  }
  function runnerMiss(v: WorkerView): number {
    return Math.max(1, q.promptTokens - runnerKnown(v));
  }
  function apart(a: string, b: string): number {
    return a === b ? 0 : t.regionOf(a) === t.regionOf(b) ? 1 : 5;
  }
  const send = remembered((v) => {
    const connect = t.hasIdleConnection?.(v.worker) === true ? 0 : t.connectCost;
    return connect + apart(t.zone, v.worker.zone) * t.crossZoneCost * (1 + q.body.length / 1024);
  });
  function score(time: number, cost: number): number {
    // A step where it comes late, and a slope before and behind it.
    const late = 1 / (1 + Math.exp(-(time - t.lateThreshold * t.targetLatency) / (0.08 * t.targetLatency)));
    return t.latencyCost * time + t.lateCost * late + cost;
  }

  function readTime(v: WorkerView): number {
    return v.queueDelay + readerMiss(v) * v.timePerToken;
  }
  function readCost(v: WorkerView, time: number): number {
    return score(
      time,
      t.failureCost * v.failureRate + send(v) + t.recomputeCost * Math.max(0, shared - readerKnown(v)),
    );
  }
  function moveTime(v: WorkerView, from: FleetWorker): number {
    const bytes = Math.max(0, q.promptTokens - runnerKnown(v)) * t.kvBytesPerToken;
    return ((bytes * 8) / t.linkMbps) * (1 + apart(v.worker.zone, from.zone));
  }
  function moveCost(v: WorkerView, from: FleetWorker): number {
    return (
      ((q.promptTokens * t.kvBytesPerToken) / 1_048_576) * t.kvTransferCost * (1 + apart(v.worker.zone, from.zone))
    );
  }
  const paused = runners.filter((v) => v.eventGap > 0);
  const usualPause = paused.length === 0 ? 0 : Math.min(...paused.map((v) => v.eventGap));
  function runLoad(v: WorkerView): number {
    return (
      t.failureCost * v.failureRate +
      t.activeRunCost * v.activeRuns +
      t.eventGapCost * (v.eventGap > 0 ? v.eventGap : usualPause) +
      Math.max(0, v.candidate.kvUsed - 0.85) * 10_000_000
    );
  }
  function direct(v: WorkerView): { time: number; cost: number } {
    const own = runnerMiss(v) * v.timePerToken;
    const time = v.queueDelay + own + 10_000;
    // What it reads holds up all that it runs.
    const held = own * v.activeRuns * t.interferenceCost;
    return {
      time,
      cost: score(time, held + send(v) + runLoad(v) + t.recomputeCost * Math.max(0, shared - runnerKnown(v))),
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
  const alone: WorkerPair = {
    prefillWorker: undefined,
    decodeWorker: one.worker,
    prefillWorkerTokens: 0,
    decodeWorkerTokens: runnerMiss(one),
    prefillTime: 0,
    timeToFirstToken: direct(one).time,
    serviceTime: runnerMiss(one) * one.timePerToken,
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
  function viewOf(c: { readonly worker: string }): WorkerView {
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
  function through(v: WorkerView): number {
    return score(
      readTime(r) + moveTime(v, r.worker) + 20_000,
      send(r) +
        t.failureCost * r.failureRate +
        send(v) +
        moveCost(v, r.worker) +
        runLoad(v) +
        t.recomputeCost * Math.max(0, shared - readerKnown(r)),
    );
  }
  const d = best(runners, through)!;
  if (direct(one).cost <= through(d)) return alone;
  return {
    prefillWorker: r.worker,
    decodeWorker: d.worker,
    prefillWorkerTokens: readerMiss(r),
    decodeWorkerTokens: 1,
    prefillTime: readTime(r),
    timeToFirstToken: readTime(r) + moveTime(d, r.worker) + 20_000,
    serviceTime: readerMiss(r) * r.timePerToken,
    assignment: a,
  };
}
