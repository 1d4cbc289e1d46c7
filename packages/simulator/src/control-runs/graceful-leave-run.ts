/**
 * Point 3: a member leaves that holds one of only two fresh copies, and the other one is lost as soon as the fault budget
 * allows it.
 */
import { configurationKey } from '@tansypost/control-feed';
import type { ControlBreach } from './control-history.js';
import { checkControlInvariants } from './control-invariants.js';
import { createControlRun, type ControlRun } from './control-run.js';
import { memberNames } from './partition-run.js';
import { catchUpTimeMs, pickDistinctPair, startSuccessor } from './loss-run.js';

const askPatience = 1000;
const askTries = 5;
/** A leaver ends within the time that the platform gives it after SIGTERM. */
const leaverEndsWithin = 8000;

export interface GracefulLeaveRunOptions {
  readonly seed: number;
  /** How long after the return of the member that was away the leaver is told to leave, in milliseconds. */
  readonly leaveDelayMs: number;
  /** Whether the successor stands ready before the leaver leaves, or starts after it has ended. */
  readonly successor: 'ready' | 'after';
  /** How many keys beside the configuration are written while the member is away. */
  readonly otherKeyCount?: number;
}

/** Who is who in a run. */
interface LeaverScene {
  readonly run: ControlRun;
  readonly leaver: string;
  readonly away: string;
  readonly fresh: string;
  readonly keys: readonly string[];
  /** The revision that was acknowledged last. */
  readonly acknowledged: number;
}

/** Plays one such run: values are written while a third member is away, then it comes back and the leaver leaves. */
export async function playGracefulLeaveRun(o: GracefulLeaveRunOptions): Promise<readonly ControlBreach[]> {
  const scene = await writeWhileAway(o);
  const { run, leaver, away, fresh } = scene;
  const { cluster } = run;
  cluster.start(away);
  if (o.successor === 'ready') startSuccessor(run, 'n0');
  let startedAt = run.now();
  await cluster.run(o.leaveDelayMs);
  run.leave(leaver);
  for (let waited = 0; waited < leaverEndsWithin && cluster.machine(leaver).proc.alive; waited += 10)
    await cluster.run(10);
  if (cluster.machine(leaver).proc.alive)
    run.breaches.push({ check: 'leaverEnds', what: `${leaver} still runs ${leaverEndsWithin} ms after SIGTERM` });
  if (o.successor === 'after') {
    startSuccessor(run, 'n0');
    startedAt = run.now();
  }
  await cluster.run(Math.max(0, catchUpTimeMs - (run.now() - startedAt) / 1000));
  cluster.wipe(fresh);
  await cluster.run(3000);
  await judgeKept(scene, `seed ${o.seed}, left ${o.leaveDelayMs} ms after the return, successor ${o.successor}`);
  return [...run.breaches, ...checkControlInvariants(run.history)];
}

async function writeWhileAway(o: GracefulLeaveRunOptions): Promise<LeaverScene> {
  const names = memberNames(3);
  const run = await createControlRun(o.seed, names);
  const { cluster } = run;
  await cluster.run(1000);
  const [leaver, away] = pickDistinctPair(names, cluster.random());
  const fresh = names.find((n) => n !== leaver && n !== away)!;
  run.kill(away);
  await cluster.run(1000);
  const keys = Array.from({ length: o.otherKeyCount ?? 20 }, (_, i) => `other/${i}`);
  for (const key of keys) await writeKey(run, fresh, key);
  await run.waitFor(run.submitChange(run.runningNodes, 4000), 4000);
  return { run, leaver, away, fresh, keys, acknowledged: run.newestAcknowledgedRevision() };
}

/** Every key that was acknowledged is there and has its value. */
async function judgeKept(scene: LeaverScene, where: string): Promise<void> {
  const { run, keys, acknowledged } = scene;
  for (const key of [...keys, configurationKey]) {
    const via = run.runningNodes().find((n) => run.cluster.voting().includes(n)) ?? run.runningNodes()[0]!;
    const answer = await readKey(run, via, key);
    const wanted = key === configurationKey ? `${acknowledged}` : key;
    const found = key === configurationKey ? revisionOf(answer) : answer;
    const shown = found === undefined || found === '' ? 'not there' : found;
    if (found !== wanted)
      run.breaches.push({ check: 'acknowledgedKept', what: `${where}: ${key} is ${shown}, not ${wanted}` });
  }
}

function revisionOf(text: string | undefined): string | undefined {
  return text === undefined || text === '' ? undefined : `${(JSON.parse(text) as { revision: number }).revision}`;
}

async function writeKey(run: ControlRun, via: string, key: string): Promise<void> {
  for (let tries = 0; tries < askTries; tries += 1) {
    const answer = await run.waitFor(
      run.cluster.request(via, { op: 'write', key, change: key, base: 0, value: Buffer.from(key) }),
      askPatience,
    );
    if (answer?.status === 'done') return;
  }
  run.breaches.push({ check: 'writesTaken', what: `${key} is not taken with two of three members` });
}

async function readKey(run: ControlRun, via: string, key: string): Promise<string | undefined> {
  for (let tries = 0; tries < askTries; tries += 1) {
    const answer = await run.waitFor(run.cluster.request(via, { op: 'read', key }), askPatience);
    if (answer?.status === 'value') return answer.value.toString();
  }
  return undefined;
}
