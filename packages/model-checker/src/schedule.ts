/**
 * Plays one run: the default order of events, with moves put in where a chooser wants them. A move is kept with its
 * moment (the virtual time, and how many events ran at just that time), so that the list of moves alone replays the
 * run, and still makes sense when some of them are taken out.
 */
import { createCluster, foundedDisks, type Cluster, type Scope } from './cluster.js';
import type { Violation } from './invariants.js';
import { isLinearizable } from './linearizability.js';
import { makeMove, type Move } from './moves.js';
import { describeOperation } from './operation-history.js';
import type { RegisterCalls } from './operator.js';

export interface Moment {
  readonly timeUs: number;
  readonly order: number;
}
export interface PlacedMove {
  readonly at: Moment;
  readonly move: Move;
}

/** Decides, before each event of the default order, whether to make a move instead. */
export type Chooser = (c: Cluster, at: Moment) => Move | undefined | 'stop';

export interface Run {
  readonly scope: Scope;
  readonly seed: number;
  /** The virtual time until which the chooser is asked. */
  readonly untilUs: number;
  /** How many steps of the default order the chooser is asked for, at most. */
  readonly maxSteps?: number;
  readonly choose: Chooser;
  readonly calls?: RegisterCalls;
  /** Whether the run ends with a time without faults and with reads at every machine; it does unless told. */
  readonly heals?: boolean;
  /** Told of each run before its first step. */
  readonly watch?: (c: Cluster) => void;
}

export interface Outcome {
  readonly violation: Violation | undefined;
  readonly moves: readonly PlacedMove[];
  readonly steps: number;
  readonly history: readonly string[];
  readonly stopped: boolean;
}

/** Time for the core to heal after the last fault, before it is asked for the last time. */
const healingUs = 6_000_000;
const closingStepsAtMost = 40_000;

export async function playRun(r: Run): Promise<Outcome> {
  const founded = r.scope.founding ? undefined : await foundedDisks(r.scope);
  const c = createCluster(r.scope, r.seed, founded, r.calls);
  const moves: PlacedMove[] = [];
  r.watch?.(c);
  c.start();
  let order = 0;
  let last = -1;
  let defaults = 0;
  let stopped = false;

  function moment(): Moment {
    const timeUs = c.kernel.now();
    if (timeUs !== last) {
      last = timeUs;
      order = 0;
    }
    return { timeUs, order };
  }
  function outcome(violation: Violation | undefined): Outcome {
    return { violation, moves, steps: c.kernel.steps(), history: c.history.map(describeOperation), stopped };
  }

  while (c.kernel.now() < r.untilUs && defaults < (r.maxSteps ?? Infinity)) {
    const at = moment();
    const move = r.choose(c, at);
    if (move === 'stop') {
      stopped = true;
      break;
    }
    if (move !== undefined) {
      if (await makeMove(c, move)) moves.push({ at, move });
    } else {
      const e = c.kernel.next();
      if (e === undefined) break;
      await c.kernel.run(e);
      defaults += 1;
      order += 1;
    }
    const broken = c.invariants.check();
    if (broken !== undefined) return outcome(broken);
  }
  if (stopped) return outcome(undefined);
  return outcome(r.heals === false ? checkHistory(c) : await close(c));
}

// All faults end, the machines that are down start again, and after a while every one is asked what is in force.
async function close(c: Cluster): Promise<Violation | undefined> {
  for (const o of c.operators) o.stop();
  const until = lastEndOfFault(c) + healingUs;
  const broken = await runUntil(c, until);
  if (broken !== undefined) return broken;
  const reads = await Promise.all(
    [...c.machines, ...c.spares].filter((m) => m.access() !== undefined).map((m) => readBack(c, m.name)),
  );
  return reads.find((v) => v !== undefined) ?? checkFollowers(c) ?? checkHistory(c);
}

function lastEndOfFault(c: Cluster): number {
  const ends = c.kernel.pending().filter((e) => e.kind === 'end-of-fault');
  return Math.max(c.kernel.now(), ...ends.map((e) => e.planned));
}

async function runUntil(c: Cluster, until: number): Promise<Violation | undefined> {
  for (let n = 0; n < closingStepsAtMost; n += 1) {
    const e = c.kernel.next();
    if (e === undefined || e.planned > until) return undefined;
    await c.kernel.run(e);
    const broken = c.invariants.check();
    if (broken !== undefined) return broken;
  }
  return { rule: 'comes to rest', what: `more than ${closingStepsAtMost} steps in ${healingUs / 1e6} s` };
}

async function readBack(c: Cluster, name: string): Promise<Violation | undefined> {
  const access = c.machine(name).access()!;
  const answer: { seen?: Awaited<ReturnType<RegisterCalls['read']>>; ended: boolean } = { ended: false };
  void c.calls.read(access).then((seen) => {
    answer.seen = seen;
    answer.ended = true;
  });
  while (!answer.ended) {
    const e = c.kernel.next();
    if (e === undefined) break;
    await c.kernel.run(e);
  }
  const newest = c.invariants.newestAcknowledged();
  if (answer.seen === undefined) return { rule: 'serves after healing', what: `${name} gives no answer to a read` };
  if (answer.seen.version < newest)
    return { rule: 'read back', what: `${name} gives version ${answer.seen.version}, ${newest} was acknowledged` };
  return undefined;
}

function checkFollowers(c: Cluster): Violation | undefined {
  const newest = c.invariants.newestAcknowledged();
  for (const f of c.followers) {
    const version = f.feed()?.configuration()?.version ?? 0;
    if (version < newest)
      return { rule: 'followers follow', what: `${f.process.name} has version ${version} of ${newest}` };
  }
  return undefined;
}

function checkHistory(c: Cluster): Violation | undefined {
  return isLinearizable(c.history)
    ? undefined
    : { rule: 'linearizable', what: 'no order of the operations explains their answers' };
}

/** Replays a list of moves; those that are not possible any more are passed over. */
export function replayChooser(moves: readonly PlacedMove[]): Chooser {
  let n = 0;
  return function choose(_c, at) {
    const m = moves[n];
    if (m === undefined || !isDue(m.at, at)) return undefined;
    n += 1;
    return m.move;
  };
}

function isDue(planned: Moment, at: Moment): boolean {
  return planned.timeUs < at.timeUs || (planned.timeUs === at.timeUs && planned.order <= at.order);
}
