/**
 * Point 3: a first loss with its repair or replacement, and a second loss at any moment of it. Whenever the fault budget
 * says that the two do not overlap, a majority must vote and hold what was acknowledged.
 */
import type { ConfigService } from './config-service.js';
import type { ControlBreach, ControlHistory } from './control-history.js';
import { judgeControl } from './control-judge.js';
import { createControlRun, type ControlRun } from './control-run.js';
import { memberNames } from './cut-run.js';

export const firstLosses = ['planned', 'planned at once', 'replaced', 'disk lost', 'restarted'] as const;
/**
 * `planned`: a successor starts, and once it has had its time the member is told to leave; or `at once`, together with
 * the successor's start. `replaced`: the member is gone for good, and a successor starts after it. `disk lost`: it starts
 * again at its address with an empty disk. `restarted`: with the disk it had.
 */
export type FirstLoss = (typeof firstLosses)[number];
export const secondLosses = ['killed', 'frozen', 'disk lost', 'replaced'] as const;
/** What happens to another member: it stays down or still, is back at once with an empty disk, or has a successor. */
export type SecondLoss = (typeof secondLosses)[number];

export interface LossRunOptions {
  readonly seed: number;
  readonly members: number;
  readonly first: FirstLoss;
  /** None where only the repair of the first loss is measured. */
  readonly second?: SecondLoss;
  /** How long after the first loss the second one comes, in milliseconds. */
  readonly offset: number;
  /** How much longer than usual each sync of a disk takes, in milliseconds. */
  readonly slowDisks?: number;
  readonly service?: ConfigService;
}

/** Times in milliseconds; undefined where what is waited for did not come. */
export interface RepairTimes {
  /** From the first loss until as many machines as before vote under one record. */
  readonly redundantAfter: number | undefined;
  /** For how long the record named a member that did not vote, after the first loss. */
  readonly recordAheadFor: number;
}

export interface LossRunResult {
  readonly breaches: readonly ControlBreach[];
  readonly history: ControlHistory;
  /** Whether the fault budget allows the second loss at that time. */
  readonly withinBudget: boolean;
  readonly repair: RepairTimes;
}

/** A machine counts as lost until this long after its return or start, in milliseconds. */
export const catchUp = 4000;
/** How many members may be lost at once. */
function lossesAllowed(members: number): number {
  return members >= 5 ? 2 : 1;
}
/** After a second loss that the budget allows, orders are taken again within this time. */
const serveAgainWithin = 4000;
const startAgainAfter = 300;
const plannedAhead = 4000;
const pauseBetweenOrders = 120;
const longestRepair = 10_000;

interface Redundancy {
  readonly times: () => RepairTimes;
  readonly stop: () => void;
}

/** Watches from now on when all members that the newest record names vote, and as many as before. */
function watchRedundancy(run: ControlRun, members: number): Redundancy {
  const from = run.now();
  const seen = { redundantAt: undefined as number | undefined, ahead: 0, over: false };
  const step = 5;
  const before = newestRecord(run)?.epoch ?? 0;
  function look(): void {
    if (seen.over) return;
    const record = newestRecord(run);
    const voting = new Set(run.cluster.voting());
    const named = record?.members ?? [];
    const whole = named.length === members && named.every((n) => voting.has(n));
    if (!whole) seen.redundantAt = undefined;
    else seen.redundantAt ??= run.now();
    if ((record?.epoch ?? 0) > before && !named.every((n) => voting.has(n))) seen.ahead += step;
    run.cluster.e.at(run.now() + step * 1000, look);
  }
  look();
  return {
    times: () => ({
      redundantAfter: seen.redundantAt === undefined ? undefined : Math.round((seen.redundantAt - from) / 1000),
      recordAheadFor: seen.ahead,
    }),
    stop: () => {
      seen.over = true;
    },
  };
}

function newestRecord(run: ControlRun): { epoch: number; members: string[] } | undefined {
  const records = run.running().flatMap((n) => {
    const record = run.cluster.machine(n).host?.controlNode()?.replica.membership();
    return record === undefined ? [] : [{ epoch: record.membershipEpoch, members: run.cluster.replicas(n) }];
  });
  return records.sort((a, b) => b.epoch - a.epoch)[0];
}

/** Starts a machine that asks the others for a slot. */
export function startSuccessor(run: ControlRun, name: string): void {
  run.cluster.add(name);
  run.cluster.start(name, false, [name, ...run.running().filter((n) => n !== name)]);
}

/** Brings the first loss about; gives when the machine stops counting as lost, in microseconds. */
async function loseFirst(run: ControlRun, first: FirstLoss, name: string, ended: () => void): Promise<number> {
  const { cluster } = run;
  if (first === 'planned' || first === 'planned at once') {
    startSuccessor(run, 'n0');
    const counted = run.now() + catchUp * 1000;
    if (first === 'planned') await cluster.run(plannedAhead);
    ended();
    run.leave(name);
    return counted;
  }
  ended();
  if (first === 'disk lost') run.wipe(name);
  else run.kill(name);
  const back = run.now() + startAgainAfter * 1000;
  cluster.e.at(back, () => {
    if (first === 'replaced') startSuccessor(run, 'n0');
    else cluster.start(name);
  });
  return back + catchUp * 1000;
}

function loseSecond(run: ControlRun, second: SecondLoss, name: string): void {
  if (second === 'disk lost') {
    run.wipe(name);
    run.cluster.start(name);
    return;
  }
  if (second === 'frozen') return run.freeze(name);
  run.kill(name);
  if (second === 'replaced') startSuccessor(run, 'n1');
}

/** Plays one pair of losses while an operator goes on. */
export async function playLossRun(o: LossRunOptions): Promise<LossRunResult> {
  const names = memberNames(o.members);
  const run = await createControlRun(o.seed, names, o.service);
  const { cluster, history } = run;
  await cluster.run(o.members > 3 ? 4000 : 1000);
  for (const m of cluster.machines.values()) m.disk.slowUs = (o.slowDisks ?? 0) * 1000;
  const state = { operating: true };
  // While a majority may be missing an order that is not taken breaks nothing.
  async function operate(): Promise<void> {
    while (state.operating) {
      await run.change(run.running, serveAgainWithin);
      await run.sleep(pauseBetweenOrders);
    }
  }
  const operator = operate();
  await cluster.run(1500);

  const [firstName, secondName] = pickTwo(names, cluster.random());
  const watched: { redundancy?: Redundancy } = {};
  const countedUntil = await loseFirst(run, o.first, firstName, () => {
    watched.redundancy = watchRedundancy(run, o.members);
  });
  await cluster.run(o.offset);
  const withinBudget = lossesAllowed(o.members) > 1 || run.now() >= countedUntil;
  const acknowledged = run.newestTaken();
  if (o.second === undefined) await cluster.run(longestRepair);
  else loseSecond(run, o.second, secondName);
  if (withinBudget) await judgeServed(run, acknowledged, o);
  const repair = watched.redundancy!.times();
  watched.redundancy!.stop();
  state.operating = false;
  await cluster.run(serveAgainWithin + 1500);
  await operator;
  // Two lost disks at once may take acknowledged changes with them; that is outside of what the budget allows.
  const judged = withinBudget || !losesTwoDisks(o) ? judgeControl(history) : [];
  return { breaches: [...run.breaches, ...judged], history, withinBudget, repair };
}

function losesTwoDisks(o: LossRunOptions): boolean {
  return o.first !== 'restarted' && (o.second === 'disk lost' || o.second === 'replaced');
}

/** Draws two different ones. */
export function pickTwo(names: readonly string[], share: number): [string, string] {
  const pairs = names.flatMap((a) => names.filter((b) => b !== a).map((b): [string, string] => [a, b]));
  return pairs[Math.floor(share * pairs.length)]!;
}

/** What was acknowledged is read again, and an order is taken, within the time; a majority of the record votes. */
async function judgeServed(run: ControlRun, acknowledged: number, o: LossRunOptions): Promise<void> {
  const from = run.now();
  const until = from + serveAgainWithin * 1000;
  let newestRead = 0;
  async function read(): Promise<void> {
    while (run.now() < until && newestRead < acknowledged) {
      const node = run.running()[0];
      newestRead = (node === undefined ? undefined : await run.get(node)) ?? 0;
      await run.sleep(50);
    }
  }
  void read();
  await run.cluster.run(serveAgainWithin);
  // The operator goes on all the time; a second one would only race with it.
  const taken = run.history.calls.some((c) => c.kind === 'put' && c.code === 200 && c.sentAt >= from);
  const second = o.second === undefined ? 'no second' : `second ${o.second} after ${o.offset} ms`;
  const where = `${o.members} members, first ${o.first}, ${second}, seed ${o.seed}`;
  if (newestRead < acknowledged)
    run.breaches.push({
      check: 'acknowledgedKept',
      what: `${where}: ${acknowledged} cannot be read, ${newestRead} can`,
    });
  if (!taken)
    run.breaches.push({ check: 'majorityVotes', what: `${where}: no order is taken within ${serveAgainWithin} ms` });
}
