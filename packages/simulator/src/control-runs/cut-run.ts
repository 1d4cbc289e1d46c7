/**
 * Point 1: one control node is cut off, one way or both, or frozen for twenty seconds, while operators read and order
 * and routers start again on both sides.
 */
import { configurationKey } from '@tansypost/control-feed';
import type { ConfigService } from './config-service.js';
import type { ControlBreach, ControlHistory } from './control-history.js';
import { judgeControl } from './control-judge.js';
import { createControlRun, type ControlRun } from './control-run.js';

export const cutKinds = ['both', 'outgoing', 'incoming', 'freeze'] as const;
/** What is cut: all that the node sends, all that it should receive, both, or the node stands still. */
export type CutKind = (typeof cutKinds)[number];
export const cutTargets = ['leader', 'follower'] as const;
export type CutTarget = (typeof cutTargets)[number];

export interface CutRunOptions {
  readonly seed: number;
  readonly members: number;
  readonly kind: CutKind;
  readonly target: CutTarget;
  /** How long the fault lasts, in milliseconds. */
  readonly length?: number;
  readonly service?: ConfigService;
}

/** What a run gave: its breaches, and how many orders of which side were taken while the fault lasted. */
export interface CutRunResult {
  readonly breaches: readonly ControlBreach[];
  readonly history: ControlHistory;
  readonly takenByMajority: number;
  readonly takenBesideTarget: number;
}

const usualLength = 20_000;
/** An order that reaches the majority is answered clearly within this time, also right after the fault. */
const orderWithin = 4000;
/** After the fault the target serves again, and all routers are current, within this time. */
const healWithin = 4000;
/** Long enough for a router to take what it is told without a lease, where nothing better comes. */
const routerLife = 4500;
const pauseBetweenOrders = 250;
const calmBefore = 1500;
const settleTime = 1500;

/** The names of the machines of a cluster of that size. */
export function memberNames(members: number): string[] {
  return Array.from({ length: members }, (_, i) => `c${i}`);
}

function cutOff(run: ControlRun, target: string, kind: CutKind, beside: ReadonlySet<string>): void {
  if (kind === 'freeze') return run.freeze(target);
  run.cluster.net.cut('cut-off', (from, to) => {
    if (beside.has(from) === beside.has(to)) return false;
    return kind === 'both' || beside.has(kind === 'outgoing' ? from : to);
  });
}

function heal(run: ControlRun, target: string, kind: CutKind): void {
  if (kind === 'freeze') run.wake(target);
  else run.cluster.net.heal('cut-off');
}

/** Who is cut off, and who talks to whom. */
interface CutScene {
  readonly run: ControlRun;
  readonly target: string;
  readonly others: readonly string[];
}

/** What the operators of a run go by and count. */
interface OperatorState {
  faultOver: boolean;
  operating: boolean;
  takenByMajority: number;
  takenBesideTarget: number;
}

/** Orders through some machines until told to stop; through the majority every order must be taken. */
async function operate(scene: CutScene, state: OperatorState, side: 'majority' | 'target'): Promise<void> {
  const { run } = scene;
  const nodes = side === 'majority' ? scene.others : [scene.target];
  while (state.operating) {
    const from = run.now();
    const taken = await run.change(() => nodes, orderWithin);
    if (taken && !state.faultOver) state[side === 'majority' ? 'takenByMajority' : 'takenBesideTarget'] += 1;
    if (side === 'majority' && !taken) {
      const what = `no order taken by ${nodes.join()} from ${(from / 1e6).toFixed(1)} s for ${orderWithin} ms`;
      run.breaches.push({ check: 'majorityTakesOrders', what });
    }
    await run.sleep(pauseBetweenOrders);
  }
}

async function restartRouters(run: ControlRun, name: string, state: OperatorState): Promise<void> {
  while (!state.faultOver) {
    run.startRouter(name);
    await run.sleep(routerLife);
  }
}

/** Founds the cluster, has a first order taken, and picks the machine that is to be cut off. */
async function prepare(o: CutRunOptions): Promise<CutScene> {
  const names = memberNames(o.members);
  const run = await createControlRun(o.seed, names, o.service);
  await run.cluster.run(o.members > 3 ? 4000 : 1000);
  for (const r of ['r-majority', 'r-target']) run.startRouter(r);
  if (
    (await run.finish(
      run.change(() => names, orderWithin),
      orderWithin,
    )) !== true
  )
    run.breaches.push({ check: 'firstOrder', what: 'the first order was not taken' });
  const leader = run.cluster.leaders()[0] ?? names[0]!;
  const target = o.target === 'leader' ? leader : names.find((n) => n !== leader)!;
  return { run, target, others: names.filter((n) => n !== target) };
}

/** Plays one fault. */
export async function playCutRun(o: CutRunOptions): Promise<CutRunResult> {
  const scene = await prepare(o);
  const { run, target } = scene;
  const { cluster, history } = run;
  const state: OperatorState = { faultOver: false, operating: true, takenByMajority: 0, takenBesideTarget: 0 };
  const operators = [operate(scene, state, 'majority'), operate(scene, state, 'target')];
  await cluster.run(calmBefore);
  cutOff(run, target, o.kind, new Set([target, 'r-target', 'r-target-new']));
  void restartRouters(run, 'r-target-new', state);
  void restartRouters(run, 'r-majority-new', state);
  await cluster.run(o.length ?? usualLength);
  state.faultOver = true;
  heal(run, target, o.kind);
  await cluster.run(healWithin);
  state.operating = false;
  await cluster.run(orderWithin + settleTime);
  await Promise.all(operators);
  await judgeHealed(run, target);
  const { takenByMajority, takenBesideTarget } = state;
  return { breaches: [...run.breaches, ...judgeControl(history)], history, takenByMajority, takenBesideTarget };
}

/** The machine that was away serves reads again, and every router has what is in force. */
async function judgeHealed(run: ControlRun, target: string): Promise<void> {
  const read = run.get(target);
  await run.cluster.run(1100);
  if ((await read) === undefined)
    run.breaches.push({ check: 'servesAfterHealing', what: `${target} gives no configuration after the fault` });
  const held = run.cluster.machine(target).host?.controlNode()?.replica.row(configurationKey).version ?? 0;
  const newest = Math.max(
    ...run.cluster
      .voting()
      .map((n) => run.cluster.machine(n).host!.controlNode()!.replica.row(configurationKey).version),
  );
  if (held < newest)
    run.breaches.push({ check: 'caughtUp', what: `${target} holds version ${held} of ${newest} after the fault` });
  for (const r of ['r-majority', 'r-target', 'r-majority-new', 'r-target-new']) {
    const revision = run.history.views.filter((v) => v.router === r).at(-1)?.revision ?? 0;
    if (revision < run.newestTaken())
      run.breaches.push({ check: 'routersCurrent', what: `${r} has ${revision}, not ${run.newestTaken()}` });
  }
}
