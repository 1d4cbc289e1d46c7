/**
 * Point 4: many updates while members are absent and return, and their disks are slow, full or emptied. Measures how
 * long each member takes to catch up, and checks that none serves outdated state.
 */
import { configurationKey } from '@tansypost/control-feed';
import type { ConfigService } from './config-service.js';
import type { ControlBreach, ControlHistory } from './control-history.js';
import { checkControlInvariants } from './control-invariants.js';
import { createControlRun, type ControlRun } from './control-run.js';
import { memberNames } from './partition-run.js';
import { catchUpTimeMs } from './loss-run.js';

export const absences = ['killed', 'frozen', 'cut off', 'emptied', 'full disk', 'slow disk'] as const;
export type Absence = (typeof absences)[number];

export interface CatchUpRunOptions {
  readonly seed: number;
  readonly members: number;
  /** The total number of updates. */
  readonly changes: number;
  /** The number of updates during each absence. */
  readonly changesPerAbsence?: number;
  readonly service?: ConfigService;
}

export interface CatchUpTime {
  readonly absence: Absence;
  readonly node: string;
  readonly changesBefore: number;
  /** From the return until the member votes and holds everything acknowledged; undefined if that did not happen. */
  readonly durationMs: number | undefined;
}

export interface CatchUpRunResult {
  readonly breaches: readonly ControlBreach[];
  readonly history: ControlHistory;
  readonly catchUps: readonly CatchUpTime[];
  /** Final journal size of a member that was never absent. */
  readonly journalBytes: number;
}

const maxCatchUpMs = 20_000;
const updateTimeoutMs = 4000;
const slowSyncUs = 40_000;
const stepMs = 10;

/** Plays the updates while one member at a time is absent, with every kind of absence in turn. */
export async function playCatchUpRun(options: CatchUpRunOptions): Promise<CatchUpRunResult> {
  const names = memberNames(options.members);
  const run = await createControlRun(options.seed, names, options.service);
  const { cluster, history } = run;
  await cluster.run(options.members > 3 ? 4000 : 1000);
  const router = run.startRouter('r');
  const catchUps: CatchUpTime[] = [];
  const updatesPerAbsence =
    options.changesPerAbsence ?? Math.max(20, Math.round(options.changes / (2 * absences.length * 2)));
  let made = 0;
  let unreachable: string | undefined;

  function reachable(): string[] {
    return run.runningNodes().filter((node) => node !== unreachable);
  }
  async function update(): Promise<void> {
    const state = { over: false };
    void run.submitChange(reachable, updateTimeoutMs).then((acknowledged) => {
      state.over = true;
      if (!acknowledged)
        run.breaches.push({ check: 'majorityTakesOrders', what: `update ${made + 1} was not acknowledged` });
    });
    while (!state.over) await cluster.run(stepMs);
    made += 1;
  }

  let turn = 0;
  const updatesBetween = Math.max(1, Math.floor(options.changes / (2 * absences.length)) - updatesPerAbsence);
  while (made < options.changes) {
    for (let i = 0; i < updatesBetween && made < options.changes; i += 1) await update();
    const absence = absences[turn % absences.length]!;
    // The first member stays present, as its journal is measured.
    const node = names[1 + (turn % (names.length - 1))]!;
    // Reads repair outdated copies, so half of the returns are measured without reads.
    const withReads = Math.floor(turn / absences.length) % 2 === 0;
    turn += 1;
    if (made + updatesPerAbsence > options.changes) continue;
    startAbsence(run, node, absence);
    unreachable = absence === 'cut off' ? node : undefined;
    for (let i = 0; i < updatesPerAbsence; i += 1) await update();
    endAbsence(run, node, absence);
    unreachable = undefined;
    catchUps.push({ absence, node, changesBefore: made, durationMs: await measureCatchUp(run, node, withReads) });
  }
  await cluster.run(2500);
  checkCatchUps(run, catchUps);
  const configuration = router.configuration();
  const routerRevision = configuration === undefined ? 0 : history.appliedConfigurations.at(-1)!.revision;
  if (routerRevision < run.newestAcknowledgedRevision())
    run.breaches.push({
      check: 'routersCurrent',
      what: `the router has revision ${routerRevision} instead of ${run.newestAcknowledgedRevision()}`,
    });
  const journalBytes = cluster.machine(names[0]!).disk.bytes().length;
  return { breaches: [...run.breaches, ...checkControlInvariants(history)], history, catchUps, journalBytes };
}

function startAbsence(run: ControlRun, node: string, absence: Absence): void {
  const { disk } = run.cluster.machine(node);
  if (absence === 'killed') run.kill(node);
  if (absence === 'emptied') run.wipe(node);
  if (absence === 'frozen') run.freeze(node);
  if (absence === 'cut off') run.cluster.network.partition('away', (from, to) => (from === node) !== (to === node));
  if (absence === 'full disk') disk.full = true;
  if (absence === 'slow disk') disk.extraLatencyUs = slowSyncUs;
}

function endAbsence(run: ControlRun, node: string, absence: Absence): void {
  const { disk } = run.cluster.machine(node);
  if (absence === 'killed' || absence === 'emptied') run.cluster.start(node);
  if (absence === 'frozen') run.resume(node);
  run.cluster.network.heal('away');
  disk.full = false;
  disk.extraLatencyUs = 0;
}

/**
 * Measures the catch-up time of a returned member while no updates are made. Reads, if any, go through that member, so
 * that outdated state would be noticed.
 */
async function measureCatchUp(run: ControlRun, node: string, withReads: boolean): Promise<number | undefined> {
  const from = run.now();
  const wanted = run.newestAcknowledgedRevision();
  const state = { reading: withReads };
  async function read(): Promise<void> {
    while (state.reading) {
      await run.get(node);
      await run.sleep(50);
    }
  }
  void read();
  let durationMs: number | undefined;
  while (durationMs === undefined && run.now() - from < maxCatchUpMs * 1000) {
    await run.cluster.run(stepMs);
    if (heldRevision(run, node) >= wanted) durationMs = Math.round((run.now() - from) / 1000);
  }
  state.reading = false;
  await run.cluster.run(1200);
  return durationMs;
}

/** The revision on the own disk of a member, -1 unless it votes. */
function heldRevision(run: ControlRun, node: string): number {
  const { host, proc } = run.cluster.machine(node);
  const replica = host?.core()?.replica;
  if (!proc.alive || replica === undefined || replica.state() !== 'voting') return -1;
  const { value } = replica.row(configurationKey);
  return value.length === 0 ? 0 : (JSON.parse(value.toString()) as { revision: number }).revision;
}

function checkCatchUps(run: ControlRun, catchUps: readonly CatchUpTime[]): void {
  for (const catchUp of catchUps)
    if (catchUp.durationMs === undefined || catchUp.durationMs > catchUpTimeMs)
      run.breaches.push({
        check: 'caughtUpInTime',
        what: `${catchUp.node}, ${catchUp.absence}, after ${catchUp.changesBefore} updates: caught up in ${catchUp.durationMs ?? `more than ${maxCatchUpMs}`} ms`,
      });
}
