/**
 * Point 3: a first loss with its repair or replacement, and a second loss at any moment of it. Whenever the fault budget
 * says that the two do not overlap, a majority must vote and hold what was acknowledged.
 */
import { configurationKey } from '@tansypost/control-feed';
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
const askPatience = 1000;
/** A leaver ends within the time that the platform gives it after SIGTERM. */
const leaverEndsWithin = 8000;

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
    const record = run.cluster.machine(n).host?.core()?.replica.membership();
    return record === undefined ? [] : [{ epoch: record.membershipEpoch, members: run.cluster.replicas(n) }];
  });
  return records.sort((a, b) => b.epoch - a.epoch)[0];
}

/** Starts a machine that asks the others for a slot. */
function startSuccessor(run: ControlRun, name: string): void {
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

function pickTwo(names: readonly string[], share: number): [string, string] {
  const pairs = names.flatMap((a) => names.filter((b) => b !== a).map((b): [string, string] => [a, b]));
  return pairs[Math.floor(share * pairs.length)]!;
}

/** What was acknowledged is read again, and an order is taken, within the time; a majority of the record votes. */
async function judgeServed(run: ControlRun, acknowledged: number, o: LossRunOptions): Promise<void> {
  const until = run.now() + serveAgainWithin * 1000;
  const served = { read: 0, taken: false };
  async function read(): Promise<void> {
    while (run.now() < until && served.read < acknowledged) {
      const node = run.running()[0];
      served.read = (node === undefined ? undefined : await run.get(node)) ?? 0;
      await run.sleep(50);
    }
  }
  async function order(): Promise<void> {
    served.taken = await run.change(run.running, serveAgainWithin);
  }
  void read();
  void order();
  await run.cluster.run(serveAgainWithin + 1500);
  const second = o.second === undefined ? 'no second' : `second ${o.second} after ${o.offset} ms`;
  const where = `${o.members} members, first ${o.first}, ${second}, seed ${o.seed}`;
  if (served.read < acknowledged)
    run.breaches.push({
      check: 'acknowledgedKept',
      what: `${where}: ${acknowledged} cannot be read, ${served.read} can`,
    });
  if (!served.taken)
    run.breaches.push({ check: 'majorityVotes', what: `${where}: no order is taken within ${serveAgainWithin} ms` });
}

export interface LeaverRunOptions {
  readonly seed: number;
  /** How long after the return of the member that was away the leaver is told to leave, in milliseconds. */
  readonly leaveAfter: number;
  /** Whether the successor stands ready before the leaver leaves, or starts after it has ended. */
  readonly successor: 'ready' | 'after';
  /** How many keys beside the configuration are written while the member is away. */
  readonly otherKeys?: number;
}

/**
 * A leaver with one of two fresh copies: values are written while a third member is away; it comes back, the leaver
 * leaves, to a successor that stands ready or one that starts after it, and once the time allowed for both has passed the other fresh copy is lost.
 */
export async function playLeaverRun(o: LeaverRunOptions): Promise<readonly ControlBreach[]> {
  const names = memberNames(3);
  const run = await createControlRun(o.seed, names);
  const { cluster } = run;
  await cluster.run(1000);
  const [leaver, away] = pickTwo(names, cluster.random());
  const fresh = names.find((n) => n !== leaver && n !== away)!;
  run.kill(away);
  await cluster.run(1000);
  const keys = Array.from({ length: o.otherKeys ?? 20 }, (_, i) => `other/${i}`);
  for (const key of keys) await writeKey(run, fresh, key);
  const taken = run.change(run.running, 4000);
  await cluster.run(4000);
  await taken;
  const acknowledged = run.newestTaken();

  cluster.start(away);
  if (o.successor === 'ready') startSuccessor(run, 'n0');
  let startedAt = run.now();
  await cluster.run(o.leaveAfter);
  run.leave(leaver);
  for (let waited = 0; waited < leaverEndsWithin && cluster.machine(leaver).proc.alive; waited += 10)
    await cluster.run(10);
  if (cluster.machine(leaver).proc.alive)
    run.breaches.push({
      check: 'leaverEnds',
      what: `${leaver} still runs ${leaverEndsWithin} ms after it was told to leave`,
    });
  if (o.successor === 'after') {
    startSuccessor(run, 'n0');
    startedAt = run.now();
  }
  await cluster.run(Math.max(0, catchUp - (run.now() - startedAt) / 1000));
  cluster.wipe(fresh);
  await cluster.run(3000);

  const where = `seed ${o.seed}, left ${o.leaveAfter} ms after the return, successor ${o.successor}`;
  for (const key of [...keys, configurationKey]) {
    const via = run.running().find((n) => cluster.voting().includes(n)) ?? run.running()[0]!;
    const answer = await readKey(run, via, key);
    const wanted = key === configurationKey ? `${acknowledged}` : key;
    const found = key === configurationKey ? revisionOf(answer) : answer;
    if (found !== wanted)
      run.breaches.push({
        check: 'acknowledgedKept',
        what: `${where}: ${key} is ${found === undefined || found === '' ? 'not there' : found}, not ${wanted}`,
      });
  }
  return [...run.breaches, ...judgeControl(run.history)];
}

function revisionOf(text: string | undefined): string | undefined {
  return text === undefined || text === '' ? undefined : `${(JSON.parse(text) as { revision: number }).revision}`;
}

async function writeKey(run: ControlRun, via: string, key: string): Promise<void> {
  for (let tries = 0; tries < 5; tries += 1) {
    const answer = await run.finish(
      run.cluster.ask(via, { op: 'write', key, change: key, base: 0, value: Buffer.from(key) }),
      askPatience,
    );
    if (answer?.status === 'done') return;
  }
  run.breaches.push({ check: 'writesTaken', what: `${key} is not taken with two of three members` });
}

async function readKey(run: ControlRun, via: string, key: string): Promise<string | undefined> {
  for (let tries = 0; tries < 5; tries += 1) {
    const answer = await run.finish(run.cluster.ask(via, { op: 'read', key }), askPatience);
    if (answer?.status === 'value') return answer.value.toString();
  }
  return undefined;
}
