/**
 * Point 1: one control node is partitioned, in one direction or both, or frozen for 20 s, while operators read and
 * update the configuration and routers restart on both sides.
 */
import { configurationKey } from '@tansypost/control-feed';
import type { ConfigService } from './config-service.js';
import type { ControlBreach, ControlHistory } from './control-history.js';
import { checkControlInvariants } from './control-invariants.js';
import { createControlRun, type ControlRun } from './control-run.js';

export const partitionKinds = ['both', 'outgoing', 'incoming', 'freeze'] as const;
/** Which messages of the node are blocked: outgoing, incoming, or both; or the node is frozen instead. */
export type PartitionKind = (typeof partitionKinds)[number];
export const partitionTargets = ['leader', 'follower'] as const;
export type PartitionTarget = (typeof partitionTargets)[number];

export interface PartitionRunOptions {
  readonly seed: number;
  readonly members: number;
  readonly kind: PartitionKind;
  readonly target: PartitionTarget;
  /** How long the fault lasts. */
  readonly durationMs?: number;
  readonly service?: ConfigService;
}

/** The breaches of a run, and how many updates each side acknowledged during the fault. */
export interface PartitionRunResult {
  readonly breaches: readonly ControlBreach[];
  readonly history: ControlHistory;
  readonly acknowledgedByMajority: number;
  readonly acknowledgedByTarget: number;
}

const defaultDurationMs = 20_000;
/** An update sent to the majority has a definite outcome within this time, also right after the fault starts. */
const updateTimeoutMs = 4000;
/** Within this time after the fault the target serves again and all routers are current. */
const recoveryTimeMs = 4000;
/** Long enough for a router to apply a configuration without a lease when it gets no leased one. */
const routerLifetimeMs = 4500;
const updateIntervalMs = 250;
const faultDelayMs = 1500;
const settleTimeMs = 1500;

/** The machine names of a cluster with this many members. */
export function memberNames(members: number): string[] {
  return Array.from({ length: members }, (_, i) => `c${i}`);
}

function startFault(run: ControlRun, target: string, kind: PartitionKind, targetSide: ReadonlySet<string>): void {
  if (kind === 'freeze') return run.freeze(target);
  run.cluster.network.partition('cut-off', (from, to) => {
    if (targetSide.has(from) === targetSide.has(to)) return false;
    return kind === 'both' || targetSide.has(kind === 'outgoing' ? from : to);
  });
}

function endFault(run: ControlRun, target: string, kind: PartitionKind): void {
  if (kind === 'freeze') run.resume(target);
  else run.cluster.network.heal('cut-off');
}

/** The run with its faulty machine and the majority. */
interface Scenario {
  readonly run: ControlRun;
  readonly target: string;
  readonly others: readonly string[];
}

/** Control flags and counters shared with the operators of a run. */
interface OperatorState {
  faultOver: boolean;
  operating: boolean;
  acknowledgedByMajority: number;
  acknowledgedByTarget: number;
}

/** Submits updates through one side until stopped; every update sent to the majority must be acknowledged. */
async function operate(scenario: Scenario, state: OperatorState, side: 'majority' | 'target'): Promise<void> {
  const { run } = scenario;
  const nodes = side === 'majority' ? scenario.others : [scenario.target];
  while (state.operating) {
    const from = run.now();
    const acknowledged = await run.submitChange(() => nodes, updateTimeoutMs);
    if (acknowledged && !state.faultOver)
      state[side === 'majority' ? 'acknowledgedByMajority' : 'acknowledgedByTarget'] += 1;
    if (side === 'majority' && !acknowledged) {
      const what = `no update acknowledged by ${nodes.join()} within ${updateTimeoutMs} ms from ${(from / 1e6).toFixed(1)} s`;
      run.breaches.push({ check: 'majorityTakesOrders', what });
    }
    await run.sleep(updateIntervalMs);
  }
}

async function restartRouters(run: ControlRun, name: string, state: OperatorState): Promise<void> {
  while (!state.faultOver) {
    run.startRouter(name);
    await run.sleep(routerLifetimeMs);
  }
}

/** Bootstraps the cluster, submits a first update, and picks the target of the fault. */
async function prepare(options: PartitionRunOptions): Promise<Scenario> {
  const names = memberNames(options.members);
  const run = await createControlRun(options.seed, names, options.service);
  await run.cluster.run(options.members > 3 ? 4000 : 1000);
  for (const router of ['r-majority', 'r-target']) run.startRouter(router);
  if (
    (await run.waitFor(
      run.submitChange(() => names, updateTimeoutMs),
      updateTimeoutMs,
    )) !== true
  )
    run.breaches.push({ check: 'firstOrder', what: 'the first update was not acknowledged' });
  const leader = run.cluster.leaders()[0] ?? names[0]!;
  const target = options.target === 'leader' ? leader : names.find((name) => name !== leader)!;
  return { run, target, others: names.filter((name) => name !== target) };
}

/** Plays one partition or freeze. */
export async function playPartitionRun(options: PartitionRunOptions): Promise<PartitionRunResult> {
  const scenario = await prepare(options);
  const { run, target } = scenario;
  const { cluster, history } = run;
  const state: OperatorState = {
    faultOver: false,
    operating: true,
    acknowledgedByMajority: 0,
    acknowledgedByTarget: 0,
  };
  const operators = [operate(scenario, state, 'majority'), operate(scenario, state, 'target')];
  await cluster.run(faultDelayMs);
  startFault(run, target, options.kind, new Set([target, 'r-target', 'r-target-new']));
  void restartRouters(run, 'r-target-new', state);
  void restartRouters(run, 'r-majority-new', state);
  await cluster.run(options.durationMs ?? defaultDurationMs);
  state.faultOver = true;
  endFault(run, target, options.kind);
  await cluster.run(recoveryTimeMs);
  state.operating = false;
  await cluster.run(updateTimeoutMs + settleTimeMs);
  await Promise.all(operators);
  await checkRecovered(run, target);
  const { acknowledgedByMajority, acknowledgedByTarget } = state;
  return {
    breaches: [...run.breaches, ...checkControlInvariants(history)],
    history,
    acknowledgedByMajority,
    acknowledgedByTarget,
  };
}

/** Checks that the target serves reads again and that every router has the configuration in force. */
async function checkRecovered(run: ControlRun, target: string): Promise<void> {
  const read = run.get(target);
  await run.cluster.run(1100);
  if ((await read) === undefined)
    run.breaches.push({ check: 'servesAfterHealing', what: `${target} returns no configuration after the fault` });
  const held = run.cluster.machine(target).host?.core()?.replica.row(configurationKey).version ?? 0;
  const newest = Math.max(
    ...run.cluster
      .voting()
      .map((name) => run.cluster.machine(name).host!.core()!.replica.row(configurationKey).version),
  );
  if (held < newest)
    run.breaches.push({ check: 'caughtUp', what: `${target} holds version ${held} of ${newest} after the fault` });
  for (const router of ['r-majority', 'r-target', 'r-majority-new', 'r-target-new']) {
    const revision =
      run.history.appliedConfigurations.filter((applied) => applied.router === router).at(-1)?.revision ?? 0;
    if (revision < run.newestAcknowledgedRevision())
      run.breaches.push({
        check: 'routersCurrent',
        what: `${router} has revision ${revision} instead of ${run.newestAcknowledgedRevision()}`,
      });
  }
}
