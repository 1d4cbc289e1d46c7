/**
 * Point 4: many changes while members go away and come back and their disks are slow, full and emptied: how long each
 * takes to catch up, and that nobody serves old state.
 */
import { configurationKey } from '@tansypost/control-feed';
import type { ConfigService } from './config-service.js';
import type { ControlBreach, ControlHistory } from './control-history.js';
import { judgeControl } from './control-judge.js';
import { createControlRun, type ControlRun } from './control-run.js';
import { memberNames } from './cut-run.js';
import { catchUp } from './loss-run.js';

export const absences = ['killed', 'frozen', 'cut off', 'emptied', 'full disk', 'slow disk'] as const;
export type Absence = (typeof absences)[number];

export interface CatchUpRunOptions {
  readonly seed: number;
  readonly members: number;
  /** How many changes are made in all. */
  readonly changes: number;
  /** How many changes are made while each member is away. */
  readonly changesAway?: number;
  readonly service?: ConfigService;
}

export interface CatchUpTime {
  readonly absence: Absence;
  readonly node: string;
  readonly changesBefore: number;
  /** Milliseconds from the return until the member votes and holds what was acknowledged; undefined if it did not. */
  readonly tookMs: number | undefined;
}

export interface CatchUpRunResult {
  readonly breaches: readonly ControlBreach[];
  readonly history: ControlHistory;
  readonly catchUps: readonly CatchUpTime[];
  /** Bytes of the journal of a member that was never away, at the end. */
  readonly journalBytes: number;
}

const longestCatchUp = 20_000;
const orderWithin = 4000;
const slowSync = 40_000;
const step = 10;

/** Plays the changes with every kind of absence in turn, a member at a time. */
export async function playCatchUpRun(o: CatchUpRunOptions): Promise<CatchUpRunResult> {
  const names = memberNames(o.members);
  const run = await createControlRun(o.seed, names, o.service);
  const { cluster, history } = run;
  await cluster.run(o.members > 3 ? 4000 : 1000);
  const router = run.startRouter('r');
  const catchUps: CatchUpTime[] = [];
  const away = o.changesAway ?? Math.max(20, Math.round(o.changes / (2 * absences.length * 2)));
  let made = 0;
  let unreachable: string | undefined;

  function reachable(): string[] {
    return run.running().filter((n) => n !== unreachable);
  }
  async function change(): Promise<void> {
    const state = { over: false };
    void run.change(reachable, orderWithin).then((taken) => {
      state.over = true;
      if (!taken) run.breaches.push({ check: 'majorityTakesOrders', what: `change ${made + 1} is not taken` });
    });
    while (!state.over) await cluster.run(step);
    made += 1;
  }

  let turn = 0;
  const rest = Math.max(1, Math.floor(o.changes / (2 * absences.length)) - away);
  while (made < o.changes) {
    for (let i = 0; i < rest && made < o.changes; i += 1) await change();
    const absence = absences[turn % absences.length]!;
    // The journal that is measured stays in place; any other member goes away.
    const node = names[1 + (turn % (names.length - 1))]!;
    // Reads repair old copies on their way, so half of the returns are measured without any.
    const withReads = Math.floor(turn / absences.length) % 2 === 0;
    turn += 1;
    if (made + away > o.changes) continue;
    goAway(run, node, absence);
    unreachable = absence === 'cut off' ? node : undefined;
    for (let i = 0; i < away; i += 1) await change();
    comeBack(run, node, absence);
    unreachable = undefined;
    catchUps.push({ absence, node, changesBefore: made, tookMs: await timeToCatchUp(run, node, withReads) });
  }
  await cluster.run(2500);
  judgeCatchUps(run, catchUps);
  const document = router.configuration();
  const routerHas = document === undefined ? 0 : history.views.at(-1)!.revision;
  if (routerHas < run.newestTaken())
    run.breaches.push({ check: 'routersCurrent', what: `the router has ${routerHas}, not ${run.newestTaken()}` });
  const journalBytes = cluster.machine(names[0]!).disk.bytes().length;
  return { breaches: [...run.breaches, ...judgeControl(history)], history, catchUps, journalBytes };
}

function goAway(run: ControlRun, node: string, absence: Absence): void {
  const { disk } = run.cluster.machine(node);
  if (absence === 'killed') run.kill(node);
  if (absence === 'emptied') run.wipe(node);
  if (absence === 'frozen') run.freeze(node);
  if (absence === 'cut off') run.cluster.net.cut('away', (from, to) => (from === node) !== (to === node));
  if (absence === 'full disk') disk.full = true;
  if (absence === 'slow disk') disk.slowUs = slowSync;
}

function comeBack(run: ControlRun, node: string, absence: Absence): void {
  const { disk } = run.cluster.machine(node);
  if (absence === 'killed' || absence === 'emptied') run.cluster.start(node);
  if (absence === 'frozen') run.wake(node);
  run.cluster.net.heal('away');
  disk.full = false;
  disk.slowUs = 0;
}

/** No change is made meanwhile. With reads, they go through the member that is back, so that old state would be seen. */
async function timeToCatchUp(run: ControlRun, node: string, withReads: boolean): Promise<number | undefined> {
  const from = run.now();
  const wanted = run.newestTaken();
  const state = { reading: withReads };
  async function read(): Promise<void> {
    while (state.reading) {
      await run.get(node);
      await run.sleep(50);
    }
  }
  void read();
  let took: number | undefined;
  while (took === undefined && run.now() - from < longestCatchUp * 1000) {
    await run.cluster.run(step);
    if (heldRevision(run, node) >= wanted) took = Math.round((run.now() - from) / 1000);
  }
  state.reading = false;
  await run.cluster.run(1200);
  return took;
}

/** The revision that a member which votes has on its own disk. */
function heldRevision(run: ControlRun, node: string): number {
  const { host, proc } = run.cluster.machine(node);
  const replica = host?.controlNode()?.replica;
  if (!proc.alive || replica === undefined || replica.state() !== 'voting') return -1;
  const { value } = replica.row(configurationKey);
  return value.length === 0 ? 0 : (JSON.parse(value.toString()) as { revision: number }).revision;
}

function judgeCatchUps(run: ControlRun, catchUps: readonly CatchUpTime[]): void {
  for (const c of catchUps)
    if (c.tookMs === undefined || c.tookMs > catchUp)
      run.breaches.push({
        check: 'caughtUpInTime',
        what: `${c.node}, ${c.absence}, after ${c.changesBefore} changes: ${c.tookMs ?? `more than ${longestCatchUp}`} ms`,
      });
}
