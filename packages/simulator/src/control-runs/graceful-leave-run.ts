/**
 * Point 3: a member that holds one of only two current copies leaves gracefully, and the other copy is lost as soon as
 * the fault budget allows it.
 */
import { configurationKey } from '@tansypost/control-feed';
import type { ControlBreach } from './control-history.js';
import { checkControlInvariants } from './control-invariants.js';
import { createControlRun, type ControlRun } from './control-run.js';
import { memberNames } from './partition-run.js';
import { catchUpTimeMs, pickDistinctPair, startSuccessor } from './loss-run.js';

const requestTimeoutMs = 1000;
const maxAttempts = 5;
/** A leaving member exits within the grace period of the platform after SIGTERM. */
const gracePeriodMs = 8000;

export interface GracefulLeaveRunOptions {
  readonly seed: number;
  /** How long after the return of the absent member the leaving one gets SIGTERM. */
  readonly leaveDelayMs: number;
  /** Whether the successor starts before the member leaves or after it has exited. */
  readonly successor: 'ready' | 'after';
  /** How many keys besides the configuration are written during the absence. */
  readonly otherKeyCount?: number;
}

/** The machines of a run by their part in it. */
interface Scenario {
  readonly run: ControlRun;
  readonly leaving: string;
  readonly absent: string;
  readonly remaining: string;
  readonly keys: readonly string[];
  /** The newest acknowledged revision. */
  readonly acknowledged: number;
}

/** Plays one such run: values are written while a third member is absent, which then returns before the leave. */
export async function playGracefulLeaveRun(options: GracefulLeaveRunOptions): Promise<readonly ControlBreach[]> {
  const scenario = await writeDuringAbsence(options);
  const { run, leaving, absent, remaining } = scenario;
  const { cluster } = run;
  cluster.start(absent);
  if (options.successor === 'ready') startSuccessor(run, 'n0');
  let startedAt = run.now();
  await cluster.run(options.leaveDelayMs);
  run.leave(leaving);
  for (let waited = 0; waited < gracePeriodMs && cluster.machine(leaving).proc.alive; waited += 10)
    await cluster.run(10);
  if (cluster.machine(leaving).proc.alive)
    run.breaches.push({ check: 'leaverEnds', what: `${leaving} is still running ${gracePeriodMs} ms after SIGTERM` });
  if (options.successor === 'after') {
    startSuccessor(run, 'n0');
    startedAt = run.now();
  }
  await cluster.run(Math.max(0, catchUpTimeMs - (run.now() - startedAt) / 1000));
  cluster.wipe(remaining);
  await cluster.run(3000);
  await checkKept(
    scenario,
    `seed ${options.seed}, SIGTERM ${options.leaveDelayMs} ms after the return, successor ${options.successor}`,
  );
  return [...run.breaches, ...checkControlInvariants(run.history)];
}

async function writeDuringAbsence(options: GracefulLeaveRunOptions): Promise<Scenario> {
  const names = memberNames(3);
  const run = await createControlRun(options.seed, names);
  const { cluster } = run;
  await cluster.run(1000);
  const [leaving, absent] = pickDistinctPair(names, cluster.random());
  const remaining = names.find((name) => name !== leaving && name !== absent)!;
  run.kill(absent);
  await cluster.run(1000);
  const keys = Array.from({ length: options.otherKeyCount ?? 20 }, (_, i) => `other/${i}`);
  for (const key of keys) await writeKey(run, remaining, key);
  await run.waitFor(run.submitChange(run.runningNodes, 4000), 4000);
  return { run, leaving, absent, remaining, keys, acknowledged: run.newestAcknowledgedRevision() };
}

/** Checks that every acknowledged key still has its value. */
async function checkKept(scenario: Scenario, where: string): Promise<void> {
  const { run, keys, acknowledged } = scenario;
  for (const key of [...keys, configurationKey]) {
    const via = run.runningNodes().find((node) => run.cluster.voting().includes(node)) ?? run.runningNodes()[0]!;
    const answer = await readKey(run, via, key);
    const wanted = key === configurationKey ? `${acknowledged}` : key;
    const found = key === configurationKey ? revisionOf(answer) : answer;
    const shown = found === undefined || found === '' ? 'not present' : found;
    if (found !== wanted)
      run.breaches.push({ check: 'acknowledgedKept', what: `${where}: ${key} is ${shown} instead of ${wanted}` });
  }
}

function revisionOf(text: string | undefined): string | undefined {
  return text === undefined || text === '' ? undefined : `${(JSON.parse(text) as { revision: number }).revision}`;
}

async function writeKey(run: ControlRun, via: string, key: string): Promise<void> {
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const answer = await run.waitFor(
      run.cluster.request(via, { op: 'write', key, change: key, base: 0, value: Buffer.from(key) }),
      requestTimeoutMs,
    );
    if (answer?.status === 'done') return;
  }
  run.breaches.push({ check: 'writesTaken', what: `write of ${key} was not acknowledged by two of three members` });
}

async function readKey(run: ControlRun, via: string, key: string): Promise<string | undefined> {
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const answer = await run.waitFor(run.cluster.request(via, { op: 'read', key }), requestTimeoutMs);
    if (answer?.status === 'value') return answer.value.toString();
  }
  return undefined;
}
