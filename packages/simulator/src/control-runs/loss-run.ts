/**
 * Point 3: a first loss with its repair or replacement, and a second loss at any moment of it. Whenever the fault budget
 * counts the two as not overlapping, a majority must vote and hold everything acknowledged.
 */
import type { ConfigService } from './config-service.js';
import type { ControlBreach, ControlHistory } from './control-history.js';
import { checkControlInvariants } from './control-invariants.js';
import { createControlRun, type ControlRun } from './control-run.js';
import { memberNames } from './partition-run.js';

export const firstLosses = ['planned', 'planned at once', 'replaced', 'disk lost', 'restarted'] as const;
/**
 * `planned`: a successor starts, and after the catch-up time the member leaves gracefully; `planned at once`: it leaves
 * as soon as the successor starts. `replaced`: the member is lost permanently, and a successor starts afterwards.
 * `disk lost`: it restarts at its address with an empty disk. `restarted`: it restarts with its disk intact.
 */
export type FirstLoss = (typeof firstLosses)[number];
export const secondLosses = ['killed', 'frozen', 'disk lost', 'replaced'] as const;
/** What happens to another member: it stays down or frozen, restarts at once with an empty disk, or gets a successor. */
export type SecondLoss = (typeof secondLosses)[number];

export interface LossRunOptions {
  readonly seed: number;
  readonly members: number;
  readonly first: FirstLoss;
  /** Undefined where only the repair of the first loss is measured. */
  readonly second?: SecondLoss;
  /** Time from the first loss to the second. */
  readonly offsetMs: number;
  /** Additional time of each disk sync. */
  readonly extraSyncMs?: number;
  readonly service?: ConfigService;
}

/** Repair times after the first loss. */
export interface RepairTimes {
  /** Until as many machines as before vote under one membership record; undefined if that did not happen. */
  readonly redundancyRestoredAfterMs: number | undefined;
  /** How long the membership record named a member that did not vote. */
  readonly membershipAheadMs: number;
}

export interface LossRunResult {
  readonly breaches: readonly ControlBreach[];
  readonly history: ControlHistory;
  /** Whether the fault budget allows the second loss at its time. */
  readonly withinFaultBudget: boolean;
  readonly repair: RepairTimes;
}

/** A machine counts as lost until this long after its return or start. */
export const catchUpTimeMs = 4000;
/** How many members may be lost at the same time. */
function maxConcurrentLosses(members: number): number {
  return members >= 5 ? 2 : 1;
}
/** After a second loss within the fault budget, updates are acknowledged again within this time. */
const recoveryTimeMs = 4000;
const restartDelayMs = 300;
const plannedLeaveDelayMs = 4000;
const updateIntervalMs = 120;
const maxRepairMs = 10_000;

interface RedundancyMonitor {
  readonly times: () => RepairTimes;
  readonly stop: () => void;
}

/** Starts to monitor when all members of the newest membership record vote, and are as many as before. */
function monitorRedundancy(run: ControlRun, members: number): RedundancyMonitor {
  const from = run.now();
  const state = { restoredAt: undefined as number | undefined, aheadMs: 0, stopped: false };
  const stepMs = 5;
  const initialEpoch = newestRecord(run)?.epoch ?? 0;
  function check(): void {
    if (state.stopped) return;
    const record = newestRecord(run);
    const voting = new Set(run.cluster.voting());
    const named = record?.members ?? [];
    const isRedundant = named.length === members && named.every((node) => voting.has(node));
    if (!isRedundant) state.restoredAt = undefined;
    else state.restoredAt ??= run.now();
    if ((record?.epoch ?? 0) > initialEpoch && !named.every((node) => voting.has(node))) state.aheadMs += stepMs;
    run.cluster.engine.at(run.now() + stepMs * 1000, check);
  }
  check();
  return {
    times: () => ({
      redundancyRestoredAfterMs:
        state.restoredAt === undefined ? undefined : Math.round((state.restoredAt - from) / 1000),
      membershipAheadMs: state.aheadMs,
    }),
    stop: () => {
      state.stopped = true;
    },
  };
}

function newestRecord(run: ControlRun): { epoch: number; members: string[] } | undefined {
  const records = run.runningNodes().flatMap((node) => {
    const record = run.cluster.machine(node).host?.core()?.replica.membership();
    return record === undefined ? [] : [{ epoch: record.membershipEpoch, members: run.cluster.replicas(node) }];
  });
  return records.sort((a, b) => b.epoch - a.epoch)[0];
}

/** Starts a new machine that requests a replica slot from the others. */
export function startSuccessor(run: ControlRun, name: string): void {
  run.cluster.add(name);
  run.cluster.start(name, false, [name, ...run.runningNodes().filter((node) => node !== name)]);
}

/** Injects the first loss; returns the time in microseconds from which the machine no longer counts as lost. */
async function injectFirstLoss(run: ControlRun, first: FirstLoss, name: string, onLoss: () => void): Promise<number> {
  const { cluster } = run;
  if (first === 'planned' || first === 'planned at once') {
    startSuccessor(run, 'n0');
    const countedUntil = run.now() + catchUpTimeMs * 1000;
    if (first === 'planned') await cluster.run(plannedLeaveDelayMs);
    onLoss();
    run.leave(name);
    return countedUntil;
  }
  onLoss();
  if (first === 'disk lost') run.wipe(name);
  else run.kill(name);
  const returnsAt = run.now() + restartDelayMs * 1000;
  cluster.engine.at(returnsAt, () => {
    if (first === 'replaced') startSuccessor(run, 'n0');
    else cluster.start(name);
  });
  return returnsAt + catchUpTimeMs * 1000;
}

function injectSecondLoss(run: ControlRun, second: SecondLoss, name: string): void {
  if (second === 'disk lost') {
    run.wipe(name);
    run.cluster.start(name);
    return;
  }
  if (second === 'frozen') return run.freeze(name);
  run.kill(name);
  if (second === 'replaced') startSuccessor(run, 'n1');
}

/** Plays one pair of losses while an operator continues to submit updates. */
export async function playLossRun(options: LossRunOptions): Promise<LossRunResult> {
  const names = memberNames(options.members);
  const run = await createControlRun(options.seed, names, options.service);
  const { cluster, history } = run;
  await cluster.run(options.members > 3 ? 4000 : 1000);
  for (const machine of cluster.machines.values()) machine.disk.extraLatencyUs = (options.extraSyncMs ?? 0) * 1000;
  const state = { operating: true };
  // A majority may be missing at times, so an update without acknowledgement is no breach here.
  async function operate(): Promise<void> {
    while (state.operating) {
      await run.submitChange(run.runningNodes, recoveryTimeMs);
      await run.sleep(updateIntervalMs);
    }
  }
  const operator = operate();
  await cluster.run(1500);

  const [firstName, secondName] = pickDistinctPair(names, cluster.random());
  const monitor: { redundancy?: RedundancyMonitor } = {};
  const countedUntil = await injectFirstLoss(run, options.first, firstName, () => {
    monitor.redundancy = monitorRedundancy(run, options.members);
  });
  await cluster.run(options.offsetMs);
  const withinFaultBudget = maxConcurrentLosses(options.members) > 1 || run.now() >= countedUntil;
  const acknowledged = run.newestAcknowledgedRevision();
  if (options.second === undefined) await cluster.run(maxRepairMs);
  else injectSecondLoss(run, options.second, secondName);
  if (withinFaultBudget) await checkServed(run, acknowledged, options);
  const repair = monitor.redundancy!.times();
  monitor.redundancy!.stop();
  state.operating = false;
  await cluster.run(recoveryTimeMs + 1500);
  await operator;
  // Losing two disks at once, beyond the fault budget, may lose acknowledged updates.
  const invariantBreaches = withinFaultBudget || !losesTwoDisks(options) ? checkControlInvariants(history) : [];
  return { breaches: [...run.breaches, ...invariantBreaches], history, withinFaultBudget, repair };
}

function losesTwoDisks(options: LossRunOptions): boolean {
  return options.first !== 'restarted' && (options.second === 'disk lost' || options.second === 'replaced');
}

/** Picks an ordered pair of different names; `fraction`, from 0 to below 1, selects the pair. */
export function pickDistinctPair(names: readonly string[], fraction: number): [string, string] {
  const pairs = names.flatMap((a) => names.filter((b) => b !== a).map((b): [string, string] => [a, b]));
  return pairs[Math.floor(fraction * pairs.length)]!;
}

/** Checks that everything acknowledged can be read and that an update is acknowledged within `recoveryTimeMs`. */
async function checkServed(run: ControlRun, acknowledged: number, options: LossRunOptions): Promise<void> {
  const from = run.now();
  const until = from + recoveryTimeMs * 1000;
  let newestRead = 0;
  async function read(): Promise<void> {
    while (run.now() < until && newestRead < acknowledged) {
      const node = run.runningNodes()[0];
      newestRead = (node === undefined ? undefined : await run.get(node)) ?? 0;
      await run.sleep(50);
    }
  }
  void read();
  await run.cluster.run(recoveryTimeMs);
  // The update is that of the running operator, as a second operator would only compete with it.
  const acknowledgesUpdates = run.history.calls.some(
    (call) => call.kind === 'put' && call.code === 200 && call.sentAt >= from,
  );
  const second =
    options.second === undefined ? 'no second loss' : `second ${options.second} after ${options.offsetMs} ms`;
  const where = `${options.members} members, first ${options.first}, ${second}, seed ${options.seed}`;
  if (newestRead < acknowledged)
    run.breaches.push({
      check: 'acknowledgedKept',
      what: `${where}: revision ${acknowledged} was acknowledged, but reads return ${newestRead}`,
    });
  if (!acknowledgesUpdates)
    run.breaches.push({
      check: 'majorityVotes',
      what: `${where}: no update was acknowledged within ${recoveryTimeMs} ms`,
    });
}
