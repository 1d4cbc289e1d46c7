/**
 * One soak: a fleet of real processes on loopback under series of signals, restarts and changes that overlap, while
 * clients go on using their open connections; then calm, in which all must be served again.
 */
import { mkdirSync } from 'node:fs';
import { createSeededRandom } from '@tansypost/inner-protocol';
import { exchange, runSoakClient, type SoakOutcome } from './soak-client.js';
import type { SoakAdapter, SoakMachine } from './soak-adapter.js';
import { createSoakMachines, type SoakMachines } from './soak-machines.js';
import { createSoakOperator, type SoakOperator } from './soak-operator.js';
import { drawSoakSchedule, type SoakStep } from './soak-schedule.js';
import { judgeSoak, type SoakViolation } from './soak-verdict.js';
import { startSoakWorkers } from './soak-workers.js';

export interface SoakOptions {
  readonly adapter: SoakAdapter;
  readonly seed: number;
  readonly routers: number;
  /** Machines that hold control state. */
  readonly controls: number;
  /** Whether these run routers as well. */
  readonly sharesRouters: boolean;
  /** How long troubles come, in milliseconds. */
  readonly durationMs: number;
  readonly folder: string;
  /** The second number of the loopback addresses. */
  readonly octet: number;
}

export interface SoakReport {
  readonly seed: number;
  readonly machines: number;
  readonly violations: readonly SoakViolation[];
  readonly requests: Readonly<Record<SoakOutcome['ended'], number>>;
  /** Requests that were sent on a connection that had served before. */
  readonly onReusedConnections: number;
  readonly starts: number;
  readonly acknowledged: number;
  readonly maxObservedStopMs: number;
}

const clientsPerRouter = 3;
const seedsOfMachine = 3;
/** Loopback numbers of what the soak plays itself. */
const platformNumber = 250;
const workerNumbers = [251, 252];
/** How long a process may take from SIGTERM to its end; its own bound is 6 s. */
const longestStopMs = 15_000;
/** How long the fleet may take to serve again. */
const recoveryMs = 60_000;
const lookEveryMs = 100;

function addressOf(o: SoakOptions, n: number): string {
  return `127.${o.octet}.${1 + (o.seed % 250)}.${n}`;
}

function machinesOf(o: SoakOptions, ip: (n: number) => string): SoakMachine[] {
  const controls = Array.from({ length: o.controls }, (_, n): SoakMachine => {
    return { name: `control-${n}`, role: o.sharesRouters ? 'both' : 'control', ip: ip(1 + n) };
  });
  const routers = Array.from({ length: o.routers }, (_, n): SoakMachine => {
    return { name: `router-${n}`, role: 'router', ip: ip(1 + o.controls + n) };
  });
  return [...controls, ...routers];
}

function pick<T>(from: readonly T[], share: number): T {
  return from[Math.min(from.length - 1, Math.floor(share * from.length))]!;
}

/** Half of the draws take machines that hold no control state. */
function seedsFor(who: number, all: readonly SoakMachine[]): SoakMachine[] {
  const from = who < 0.5 ? all.filter((machine) => machine.role === 'router') : all;
  const first = Math.floor(who * from.length);
  return Array.from({ length: Math.min(seedsOfMachine, from.length) }, (_, n) => from[(first + n) % from.length]!);
}

function apply(step: SoakStep, machines: SoakMachines, operator: SoakOperator): void {
  switch (step.do) {
    case 'stop':
    case 'stop-again':
      return machines.stop(pick(machines.all, step.who));
    case 'reload':
      return machines.reload(pick(machines.all, step.who));
    case 'kill':
      return machines.kill(pick(machines.all, step.who));
    case 'kill-all':
      return machines.all.forEach(machines.kill);
    case 'change':
      return operator.submitChange();
    case 'seeds':
      return machines.setSeeds(seedsFor(step.who, machines.all));
  }
}

/** Asks again until it holds, or until the time is over. */
async function holdsWithin(limitMs: number, holds: () => Promise<boolean>): Promise<boolean> {
  const until = performance.now() + limitMs;
  while (!(await holds())) {
    if (performance.now() > until) return false;
    await new Promise((again) => setTimeout(again, lookEveryMs));
  }
  return true;
}

/** Plays one soak and judges it. */
export async function runSoak(o: SoakOptions): Promise<SoakReport> {
  const { adapter: dialect } = o;
  const random = createSeededRandom(o.seed);
  function ip(n: number): string {
    return addressOf(o, n);
  }
  const all = machinesOf(o, ip);
  const holders = all.slice(0, o.controls);
  const routers = all.filter((machine) => machine.role !== 'control');
  const outcomes: SoakOutcome[] = [];
  const breaches: SoakViolation[] = [];
  let requests = 0;
  let over = false;

  mkdirSync(o.folder, { recursive: true });
  const platformIp = ip(platformNumber);
  const workers = await startSoakWorkers({ adapter: dialect, ips: workerNumbers.map(ip), platformIp, random });
  const machines = createSoakMachines({
    adapter: dialect,
    machines: all,
    seeds: holders.slice(0, seedsOfMachine),
    platformIp,
    folder: o.folder,
    random,
  });
  const operator = createSoakOperator(dialect, holders);

  function requestOn(revision: number): { id: string; call: ReturnType<SoakAdapter['request']> } {
    requests += 1;
    const id = `soak-${o.seed}-${requests}`;
    return { id, call: dialect.request(id, revision) };
  }
  async function isReady(machine: SoakMachine): Promise<boolean> {
    return (await exchange(machine.ip, dialect.readiness)).answer?.status === 200;
  }
  async function allReady(): Promise<boolean> {
    return (await Promise.all(routers.map(isReady))).every((ready) => ready);
  }
  async function serves(machine: SoakMachine): Promise<boolean> {
    const { answer } = await exchange(machine.ip, requestOn(operator.acknowledged()).call);
    return answer?.status === 200 && answer.complete;
  }
  function startClients(): Promise<void>[] {
    return routers.flatMap((machine) =>
      Array.from({ length: clientsPerRouter }, () =>
        runSoakClient({
          machine: machine.name,
          ip: machine.ip,
          expectedBody: dialect.chunks.join(''),
          nextRequest: () => requestOn(1),
          isFinished: () => over,
          random,
          onOutcome: (outcome) => outcomes.push(outcome),
        }),
      ),
    );
  }
  async function playSchedule(): Promise<void> {
    const begun = performance.now();
    for (const step of drawSoakSchedule({ seed: o.seed, durationMs: o.durationMs, machines: all.length })) {
      const wait = begun + step.at - performance.now();
      if (wait > 0) await new Promise((due) => setTimeout(due, wait));
      apply(step, machines, operator);
    }
  }
  async function judgeCalm(): Promise<void> {
    const back = await Promise.all(routers.map((machine) => holdsWithin(recoveryMs, () => serves(machine))));
    const late = routers.filter((_, n) => back[n] !== true).map((machine) => machine.name);
    if (late.length > 0)
      breaches.push({ rule: 'not back', detail: `${late.join(', ')} after ${recoveryMs} ms of calm` });
    const read = await operator.read();
    if (read === undefined || read < operator.acknowledged())
      breaches.push({
        rule: 'changes',
        detail: `${read ?? 'nothing'} read back, ${operator.acknowledged()} acknowledged`,
      });
    if (operator.unresolved() > 0)
      breaches.push({
        rule: 'changes',
        detail: `${operator.unresolved()} without a clear answer that they were taken`,
      });
  }

  try {
    for (const machine of all) machines.start(machine);
    operator.submitChange();
    await operator.whenSettled();
    if (!(await holdsWithin(recoveryMs, allReady))) breaches.push({ rule: 'not back', detail: 'not ready at first' });
    const clients = startClients();
    await playSchedule();
    await operator.whenSettled();
    await judgeCalm();
    over = true;
    await Promise.all(clients);
  } finally {
    over = true;
    await machines.stopAll(longestStopMs);
    workers.close();
  }
  const { lifetimes: lives, exits } = machines;
  breaches.push(
    ...judgeSoak({
      outcomes,
      executions: workers.executions,
      lifetimes: lives,
      exits,
      maxStopMs: longestStopMs,
      graceMs: dialect.graceMs,
    }),
  );
  return reportOf(o.seed, all.length, outcomes, machines, operator, breaches);
}

function reportOf(
  seed: number,
  machines: number,
  outcomes: readonly SoakOutcome[],
  { lifetimes: lives, exits }: SoakMachines,
  operator: SoakOperator,
  breaches: readonly SoakViolation[],
): SoakReport {
  const requests = { whole: 0, failed: 0, refused: 0, cut: 0, unsent: 0 };
  for (const { ended } of outcomes) requests[ended] += 1;
  return {
    seed,
    machines,
    violations: breaches,
    requests,
    onReusedConnections: outcomes.filter((outcome) => outcome.reusedConnection).length,
    starts: lives.length,
    acknowledged: operator.acknowledged(),
    maxObservedStopMs: Math.round(Math.max(0, ...exits.map((exit) => exit.stopDurationMs))),
  };
}
