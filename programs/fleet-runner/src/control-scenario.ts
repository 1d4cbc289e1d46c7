/**
 * Runs partitions, concurrent writes, a lost disk and a catch-up after an outage against real processes: control nodes
 * are partitioned, frozen, killed and wiped while operators write and read the desired state through agents. The history
 * of calls is checked with the simulator's invariants.
 */
import { join } from 'node:path';
import { request } from 'undici';
import {
  createControlHistory,
  oneOrderPerBase,
  properOrdersNotRefused,
  readsAreCurrent,
  refusedNeverInForce,
  takenStaysTaken,
  type ConfigCall,
  type ControlBreach,
  type ControlHistory,
} from '@tansypost/simulator';
import { coldStorage, buildDesiredState, type Deployment } from '@tansypost/requester-stand-in';
import { createFleet, type Fleet } from './fleet.js';
import type { PlanOptions } from './plan.js';

export interface ControlScenarioOptions extends PlanOptions {
  readonly log: (message: string) => void;
}

export interface ControlScenarioReport {
  readonly violations: readonly ControlBreach[];
  readonly writes: number;
  readonly acknowledged: number;
  readonly reads: number;
  /** Measured times, one line of text each. */
  readonly measurements: readonly string[];
}

interface WriteRequest {
  readonly change: string;
  readonly base: number;
  readonly mark: number;
}

const deployment: Deployment = { ...coldStorage, zones: 3, machines: 4, workers: 3 };
const callTimeoutMs = 6000;
const partitionMs = 4000;
const writeTimeoutMs = 15_000;
const recoveryTimeoutMs = 15_000;
const retryDelayMs = 100;
const writesDuringOutage = 10;
const duplicateCount = 8;
const microsPerMs = 1000;
const checks = [oneOrderPerBase, takenStaysTaken, refusedNeverInForce, properOrdersNotRefused, readsAreCurrent];

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A desired state that is unique in its run: the mark is added to the priority (`worth`) of every kind. */
function createState(mark: number): unknown {
  return buildDesiredState(deployment, (kind) => kind.worth + mark);
}

/** The text by which the checks distinguish states. */
function fingerprintState(state: unknown): string {
  return JSON.stringify((state as { templates: unknown[] }).templates[0]);
}

/** The operators of a run; every call and response is recorded in the history. */
class Operators {
  private lastMark = 0;
  readonly history: ControlHistory = createControlHistory();

  constructor(private readonly fleet: Fleet) {}

  private http(agent: string): string {
    return this.fleet.member(agent).http;
  }

  private now(): number {
    return performance.now() * microsPerMs;
  }

  createWrite(base: number): WriteRequest {
    this.lastMark += 1;
    return { change: `order-${this.lastMark}`, base, mark: this.lastMark };
  }

  /** Records the state that is current before the first write as an acknowledged write. */
  async noteInitial(agent: string): Promise<void> {
    const sentAt = this.now();
    const revision = await this.read(agent);
    const found = this.history.calls.at(-1)?.readResult;
    if (revision === undefined || found === undefined) return;
    const acknowledged = {
      kind: 'put',
      node: agent,
      sentAt,
      answeredAt: sentAt,
      code: 200,
      nodeWasAvailable: true,
    } as const;
    this.history.calls.unshift({ ...acknowledged, text: found.text, revision, expectedRevision: revision - 1 });
  }

  /** Sends a write once. Returns the response's status, or undefined without a response. */
  async write(agent: string, write: WriteRequest): Promise<number | undefined> {
    const state = createState(write.mark);
    const call: ConfigCall = {
      kind: 'put',
      node: agent,
      sentAt: this.now(),
      text: fingerprintState(state),
      revision: write.base + 1,
      expectedRevision: write.base,
      nodeWasAvailable: true,
    };
    this.history.calls.push(call);
    const body = JSON.stringify({ base: write.base, change: write.change, state });
    const answer = await this.call(agent, 'POST', body);
    if (answer === undefined) return undefined;
    call.answeredAt = this.now();
    call.code = answer.code;
    return answer.code;
  }

  /** Reads once. Returns the version, or undefined if none was returned. */
  async read(agent: string): Promise<number | undefined> {
    const call: ConfigCall = { kind: 'get', node: agent, sentAt: this.now(), nodeWasAvailable: true };
    this.history.calls.push(call);
    const answer = await this.call(agent, 'GET');
    if (answer === undefined) return undefined;
    call.answeredAt = this.now();
    call.code = answer.code;
    const { version, state } = answer.body as { version?: number; state?: unknown };
    if (answer.code !== 200 || version === undefined) return undefined;
    call.readResult = { revision: version, text: fingerprintState(state) };
    return version;
  }

  private async call(
    agent: string,
    method: 'GET' | 'POST',
    body?: string,
  ): Promise<{ code: number; body: unknown } | undefined> {
    try {
      const response = await request(`http://${this.http(agent)}/desired-state`, {
        method,
        headersTimeout: callTimeoutMs,
        bodyTimeout: callTimeoutMs,
        ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } }),
      });
      return { code: response.statusCode, body: await response.body.json() };
    } catch {
      return undefined;
    }
  }

  /**
   * Reads the current version, then sends one write based on it until its outcome is known; after a rejection it starts
   * over. Returns whether a write was acknowledged within the time-out.
   */
  async writeUntilKnown(agents: readonly string[], timeoutMs = writeTimeoutMs): Promise<boolean> {
    const deadline = performance.now() + timeoutMs;
    let write: WriteRequest | undefined;
    for (let attempt = 0; performance.now() < deadline; attempt += 1) {
      const agent = agents[attempt % agents.length]!;
      if (write === undefined) {
        const base = await this.read(agent);
        if (base !== undefined) write = this.createWrite(base);
      } else {
        const code = await this.write(agent, write);
        if (code === 200) return true;
        if (code !== undefined && code < 500) write = undefined;
      }
      await sleep(retryDelayMs);
    }
    return false;
  }
}

/** Runs the scenario on a fleet of its own and stops the fleet. */
export async function runControlScenario(options: ControlScenarioOptions): Promise<ControlScenarioReport> {
  const fleet = createFleet(deployment, options);
  const operators = new Operators(fleet);
  const violations: ControlBreach[] = [];
  const measurements: string[] = [];
  const agents = ['agent0', 'agent1', 'agent2'];

  /** Requires that a write is acknowledged in time, and records how long it took. */
  async function expectWrite(phase: string, through: readonly string[]): Promise<void> {
    const startedAt = performance.now();
    if (await operators.writeUntilKnown(through))
      measurements.push(`${phase}: a write was acknowledged after ${Math.round(performance.now() - startedAt)} ms`);
    else
      violations.push({
        check: 'majorityTakesOrders',
        what: `${phase}: no write acknowledged within ${writeTimeoutMs} ms`,
      });
  }
  /** Requires that the control node is ready in time, and records how long it took. */
  async function expectReady(node: string, phase: string): Promise<void> {
    const { http } = fleet.member(node);
    try {
      const elapsedMs = await fleet.waitUntil(
        `${node} is ready`,
        async () => (await fleet.get(http, '/vitals')) !== undefined,
        recoveryTimeoutMs / 1000,
      );
      measurements.push(`${phase}: ${node} was ready after ${Math.round(elapsedMs)} ms`);
    } catch {
      violations.push({ check: 'votesAgain', what: `${phase}: ${node} was not ready within ${recoveryTimeoutMs} ms` });
    }
  }
  /** Writes and reads through the given agents until `isFinished`. */
  async function writeAndRead(through: readonly string[], isFinished: () => boolean): Promise<void> {
    while (!isFinished()) await operators.writeUntilKnown(through, partitionMs);
  }

  async function runPartition(kind: 'isolate' | 'one-way' | 'freeze', index: number): Promise<void> {
    const controlNode = `keeper${index}`;
    const localAgent = `agent${index}`;
    const otherAgents = agents.filter((agent) => agent !== localAgent);
    options.log(`${kind} ${controlNode}`);
    const state = { isFinished: false };
    await fleet.injectFault({ at: 0, do: kind, who: controlNode });
    const writers = [
      writeAndRead([localAgent], () => state.isFinished),
      writeAndRead(otherAgents, () => state.isFinished),
    ];
    await sleep(partitionMs);
    await fleet.injectFault({ at: 0, do: kind === 'freeze' ? 'wake' : 'rejoin', who: controlNode });
    state.isFinished = true;
    await Promise.all(writers);
    await expectWrite(`after ${kind} of ${controlNode}`, [localAgent]);
  }

  async function runConcurrentWrites(): Promise<void> {
    options.log('races');
    for (const writerCount of [2, duplicateCount]) {
      const base = (await operators.read('agent0')) ?? 0;
      const writes = Array.from({ length: writerCount }, () => operators.createWrite(base));
      const codes = await Promise.all(
        writes.map((write, index) => operators.write(agents[index % agents.length]!, write)),
      );
      if (codes.filter((code) => code === 200).length !== 1)
        violations.push({
          check: 'oneOfARaceIsTaken',
          what: `${writerCount} writes based on version ${base} got the statuses ${codes.join()}`,
        });
      const winner = writes[codes.indexOf(200)];
      if (winner === undefined) continue;
      for (let index = 0; index < duplicateCount; index += 1)
        await operators.write(agents[index % agents.length]!, winner);
    }
  }

  async function runDiskLoss(): Promise<void> {
    options.log('one control node loses its disk, then another one is killed');
    await fleet.injectFault({ at: 0, do: 'empty', who: 'keeper0' });
    await expectReady('keeper0', 'after its disk was lost');
    await fleet.injectFault({ at: 0, do: 'kill', who: 'keeper1' });
    await expectWrite('with keeper1 killed after keeper0 had caught up', ['agent2']);
    await fleet.injectFault({ at: 0, do: 'restart', who: 'keeper1' });
    await expectReady('keeper1', 'after its restart');
  }

  async function runCatchUp(): Promise<void> {
    options.log('writes while keeper2 is down');
    await fleet.injectFault({ at: 0, do: 'kill', who: 'keeper2' });
    for (let index = 0; index < writesDuringOutage; index += 1) await expectWriteDuringOutage(index);
    await fleet.injectFault({ at: 0, do: 'restart', who: 'keeper2' });
    await expectReady('keeper2', `after missing ${writesDuringOutage} writes`);
    await fleet.injectFault({ at: 0, do: 'kill', who: 'keeper0' });
    await expectWrite('with keeper0 killed after keeper2 had caught up', ['agent2']);
    await operators.read('agent2');
  }
  async function expectWriteDuringOutage(index: number): Promise<void> {
    if (!(await operators.writeUntilKnown(agents)))
      violations.push({ check: 'majorityTakesOrders', what: `write ${index} with keeper2 down was not acknowledged` });
  }

  try {
    await fleet.startAndWait();
    options.log('the fleet is ready');
    await operators.noteInitial('agent1');
    await expectWrite('before any fault', agents);
    await runPartition('isolate', 0);
    await runPartition('one-way', 1);
    await runPartition('freeze', 2);
    await runConcurrentWrites();
    await runDiskLoss();
    await runCatchUp();
  } finally {
    await fleet.stop();
  }
  const { history } = operators;
  const writes = history.calls.filter((call) => call.kind === 'put');
  return {
    violations: [...violations, ...checks.flatMap((check) => check(history))],
    writes: writes.length,
    acknowledged: writes.filter((call) => call.code === 200).length,
    reads: history.calls.length - writes.length,
    measurements,
  };
}

/** The default folder for a scenario's logs and data. */
export function scenarioFolder(): string {
  return join('runs', `control-${process.pid}`);
}
