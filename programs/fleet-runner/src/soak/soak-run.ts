/**
 * One soak test: a fleet of real processes on loopback under overlapping bursts of signals, restarts and configuration
 * changes, while clients keep using their open connections; then a period without faults, in which all must recover.
 */
import { mkdirSync } from 'node:fs';
import { createSeededRandom } from '@tansypost/inner-protocol';
import { exchange, runSoakClient, type SoakOutcome } from './soak-client.js';
import { submitFaultyChanges } from './faulty-operator.js';
import { runMisbehavingClients } from './misbehaving-clients.js';
import { runSlowOperator } from './slow-operators.js';
import { pick } from './pick.js';
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
  /** The number of machines that store control state. */
  readonly controlMachines: number;
  /** Whether these machines run routers as well. */
  readonly sharesRouters: boolean;
  /** How long faults are injected, in milliseconds. */
  readonly durationMs: number;
  readonly folder: string;
  /** The second octet of the loopback addresses. */
  readonly octet: number;
}

export interface SoakReport {
  readonly seed: number;
  readonly machines: number;
  readonly violations: readonly SoakViolation[];
  readonly requests: Readonly<Record<SoakOutcome['ended'], number>>;
  /** The number of requests that were sent on a reused connection. */
  readonly onReusedConnections: number;
  readonly starts: number;
  readonly acknowledged: number;
  readonly maxObservedStopMs: number;
}

const clientsPerRouter = 3;
/** Share of the requests whose streams may be resumed. */
const resumableShare = 0.4;
const seedsPerMachine = 3;
/** Last octets of the addresses of the platform and the workers, which the soak test simulates. */
const platformHostNumber = 250;
const workerHostNumbers = [251, 252];
/** The maximum time from SIGTERM to the exit of a process; its own grace period is 6 s. */
const maxStopMs = 15_000;
/** The maximum time until the fleet serves again. */
const recoveryTimeoutMs = 60_000;
const pollIntervalMs = 100;

function addressOf(options: SoakOptions, hostNumber: number): string {
  return `127.${options.octet}.${1 + (options.seed % 250)}.${hostNumber}`;
}

function createMachineList(options: SoakOptions, ip: (hostNumber: number) => string): SoakMachine[] {
  const controls = Array.from({ length: options.controlMachines }, (_, index): SoakMachine => {
    return { name: `control-${index}`, role: options.sharesRouters ? 'both' : 'control', ip: ip(1 + index) };
  });
  const routers = Array.from({ length: options.routers }, (_, index): SoakMachine => {
    return { name: `router-${index}`, role: 'router', ip: ip(1 + options.controlMachines + index) };
  });
  return [...controls, ...routers];
}

/** Half of the draws choose only machines that store no control state. */
function drawSeeds(position: number, all: readonly SoakMachine[]): SoakMachine[] {
  const candidates = position < 0.5 ? all.filter((machine) => machine.role === 'router') : all;
  const firstIndex = Math.floor(position * candidates.length);
  return Array.from(
    { length: Math.min(seedsPerMachine, candidates.length) },
    (_, index) => candidates[(firstIndex + index) % candidates.length]!,
  );
}

function applyStep(step: SoakStep, machines: SoakMachines, operator: SoakOperator): void {
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
      return machines.setSeeds(drawSeeds(step.who, machines.all));
  }
}

/** Polls until the condition holds; false after the time-out. */
async function becomesTrueWithin(timeoutMs: number, condition: () => Promise<boolean>): Promise<boolean> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) return false;
    await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
  }
  return true;
}

/** Runs one soak test and checks its history. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { adapter } = options;
  const random = createSeededRandom(options.seed);
  function ip(hostNumber: number): string {
    return addressOf(options, hostNumber);
  }
  const allMachines = createMachineList(options, ip);
  const controlNodes = allMachines.slice(0, options.controlMachines);
  const routers = allMachines.filter((machine) => machine.role !== 'control');
  const outcomes: SoakOutcome[] = [];
  const violations: SoakViolation[] = [];
  let requests = 0;
  let isFinished = false;

  mkdirSync(options.folder, { recursive: true });
  const platformIp = ip(platformHostNumber);
  const workers = await startSoakWorkers({ adapter, ips: workerHostNumbers.map(ip), platformIp, random });
  const machines = createSoakMachines({
    adapter,
    machines: allMachines,
    seeds: controlNodes.slice(0, seedsPerMachine),
    platformIp,
    folder: options.folder,
    random,
  });
  const operator = createSoakOperator(adapter, controlNodes);

  function requestOn(revision: number): { id: string; call: ReturnType<SoakAdapter['request']> } {
    requests += 1;
    const id = `soak-${options.seed}-${requests}`;
    return { id, call: adapter.request(id, revision) };
  }
  function ordinaryRequest(): { id: string; call: ReturnType<SoakAdapter['request']> } {
    if (random() >= resumableShare) return requestOn(1);
    requests += 1;
    const id = `soak-${options.seed}-${requests}`;
    return { id, call: adapter.resumableRequest(id) };
  }
  function faultyRequest(): { id: string; call: ReturnType<SoakAdapter['request']> } {
    requests += 1;
    const id = `soak-${options.seed}-${requests}`;
    return { id, call: pick(adapter.faultyInput.requests(id), random()) };
  }
  async function isReady(machine: SoakMachine): Promise<boolean> {
    return (await exchange(machine.ip, adapter.readiness)).answer?.status === 200;
  }
  async function allReady(): Promise<boolean> {
    return (await Promise.all(routers.map(isReady))).every((isMachineReady) => isMachineReady);
  }
  async function serves(machine: SoakMachine): Promise<boolean> {
    const { answer } = await exchange(machine.ip, requestOn(operator.acknowledged()).call);
    return answer?.status === 200 && answer.complete;
  }
  /** The last client of each router sends faulty requests. */
  function startClients(): Promise<void>[] {
    return routers.flatMap((machine) =>
      Array.from({ length: clientsPerRouter + 1 }, (_, index) =>
        runSoakClient({
          machine: machine.name,
          ip: machine.ip,
          runsOf: (call) =>
            Array.from({ length: adapter.maxRuns(call.path) }, (_, run) => adapter.events(call.headers, run)),
          nextRequest: () => (index < clientsPerRouter ? ordinaryRequest() : faultyRequest()),
          isFinished: () => isFinished,
          random,
          onOutcome: (outcome) => outcomes.push(outcome),
        }),
      ),
    );
  }
  async function runSchedule(): Promise<void> {
    const startedAt = performance.now();
    for (const step of drawSoakSchedule({
      seed: options.seed,
      durationMs: options.durationMs,
      machines: allMachines.length,
    })) {
      const delayMs = startedAt + step.at - performance.now();
      if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs));
      applyStep(step, machines, operator);
    }
  }
  async function checkRecovery(): Promise<void> {
    const hasRecovered = await Promise.all(
      routers.map((machine) => becomesTrueWithin(recoveryTimeoutMs, () => serves(machine))),
    );
    const unrecovered = routers.filter((_, index) => hasRecovered[index] !== true).map((machine) => machine.name);
    if (unrecovered.length > 0)
      violations.push({
        rule: 'not back',
        detail: `${unrecovered.join(', ')} after ${recoveryTimeoutMs} ms without faults`,
      });
    const revision = await operator.read();
    if (revision === undefined || revision < operator.acknowledged())
      violations.push({
        rule: 'changes',
        detail: `${revision ?? 'nothing'} read back, ${operator.acknowledged()} acknowledged`,
      });
    if (operator.unresolved() > 0)
      violations.push({
        rule: 'changes',
        detail: `${operator.unresolved()} not acknowledged in time`,
      });
  }

  try {
    for (const machine of allMachines) machines.start(machine);
    operator.submitChange();
    await operator.whenSettled();
    if (!(await becomesTrueWithin(recoveryTimeoutMs, allReady)))
      violations.push({ rule: 'not back', detail: 'not ready after the first start' });
    const clients = startClients();
    const misbehavingClients = allMachines.map((machine) =>
      runMisbehavingClients({ adapter, machine, isFinished: () => isFinished, random }),
    );
    const slowOperators = controlNodes.map((machine) =>
      runSlowOperator({ adapter, machine, isFinished: () => isFinished, random }),
    );
    const faultyChanges = submitFaultyChanges({
      adapter,
      machines: controlNodes,
      acknowledged: operator.acknowledged,
      isFinished: () => isFinished,
      random,
    });
    await runSchedule();
    await operator.whenSettled();
    await checkRecovery();
    isFinished = true;
    await Promise.all([...clients, ...misbehavingClients, ...slowOperators]);
    violations.push(...(await faultyChanges));
  } finally {
    isFinished = true;
    await machines.stopAll(maxStopMs);
    workers.close();
  }
  const { lifetimes, exits } = machines;
  violations.push(
    ...judgeSoak({
      outcomes,
      executions: workers.executions,
      lifetimes,
      exits,
      maxStopMs,
      graceMs: adapter.graceMs,
    }),
  );
  return createReport(options.seed, allMachines.length, outcomes, machines, operator, violations);
}

function createReport(
  seed: number,
  machines: number,
  outcomes: readonly SoakOutcome[],
  { lifetimes, exits }: SoakMachines,
  operator: SoakOperator,
  violations: readonly SoakViolation[],
): SoakReport {
  const requests = { whole: 0, failed: 0, refused: 0, cut: 0, unsent: 0 };
  for (const { ended } of outcomes) requests[ended] += 1;
  return {
    seed,
    machines,
    violations,
    requests,
    onReusedConnections: outcomes.filter((outcome) => outcome.reusedConnection).length,
    starts: lifetimes.length,
    acknowledged: operator.acknowledged(),
    maxObservedStopMs: Math.round(Math.max(0, ...exits.map((exit) => exit.stopDurationMs))),
  };
}
