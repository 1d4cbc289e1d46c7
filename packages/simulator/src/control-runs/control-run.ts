/**
 * A control cluster under test with its operators and routers. Every API call and every configuration that a router
 * applies is recorded in the history. Faults are injected through this interface, so that it knows which machines were
 * able to answer.
 */
import type { ControlFeed } from '@tansypost/control-feed';
import { deliver, killProcess } from '../process.js';
import { parseRevision, simulatedConfigService, type ConfigService } from './config-service.js';
import { bootstrapControlCluster, type ControlCluster } from './control-cluster.js';
import {
  createControlHistory,
  noRevision,
  createRoundObserver,
  type ConfigCall,
  type ControlBreach,
  type ControlHistory,
} from './control-history.js';
import { answerTimeoutUs } from './control-invariants.js';

/** A configuration update of an operator, which may be submitted any number of times. */
export interface ConfigUpdate {
  readonly text: string;
  readonly revision: number;
  readonly expectedRevision: number;
}

export interface ControlRun {
  readonly cluster: ControlCluster;
  readonly history: ControlHistory;
  /** Breaches that the run itself finds, in addition to those that the invariant checks find in the history. */
  readonly breaches: ControlBreach[];
  readonly createUpdate: (expectedRevision: number, revision?: number) => ConfigUpdate;
  /** Submits an update once; returns its status, undefined without an answer within `answerTimeoutUs`. */
  readonly put: (node: string, update: ConfigUpdate) => Promise<number | undefined>;
  /** Reads the configuration once; returns its revision, undefined unless the status is 200. */
  readonly get: (node: string) => Promise<number | undefined>;
  /** Reads the current revision and submits an update of it until the outcome is definite; returns whether it is 200. */
  readonly submitChange: (nodes: () => readonly string[], timeoutMs: number) => Promise<boolean>;
  /** Advances virtual time until a promise resolves; returns undefined if it does not within the timeout. */
  readonly waitFor: <T>(work: Promise<T>, timeoutMs: number) => Promise<T | undefined>;
  readonly sleep: (ms: number) => Promise<void>;
  readonly startRouter: (name: string) => ControlFeed;
  readonly freeze: (name: string) => void;
  readonly resume: (name: string) => void;
  readonly kill: (name: string) => void;
  readonly wipe: (name: string) => void;
  /** Simulates SIGTERM: the control node leaves gracefully and then exits. */
  readonly leave: (name: string) => void;
  /** The machines whose control node runs and is not frozen. */
  readonly runningNodes: () => string[];
  readonly newestAcknowledgedRevision: () => number;
  readonly now: () => number;
}

/** How long a control node may take to leave gracefully after SIGTERM. */
export const gracefulLeaveTimeoutMs = 6500;
const retryDelayMs = 100;
const waitStepMs = 10;

export async function createControlRun(
  seed: number,
  names: readonly string[],
  service: ConfigService = simulatedConfigService,
): Promise<ControlRun> {
  const history = createControlHistory();
  const later: { cluster?: ControlCluster } = {};
  const observer = createRoundObserver(
    history,
    () => later.cluster?.engine.now() ?? 0,
    (machine) => later.cluster?.replicas(machine).length ?? names.length,
  );
  const cluster = await bootstrapControlCluster(seed, names, { observer });
  later.cluster = cluster;
  const { engine, random } = cluster;
  const openCalls = new Set<ConfigCall>();
  let updates = 0;
  let newestAcknowledged = noRevision;

  /** Calls in progress at a machine that stops running may remain unanswered. */
  function markUnavailable(node: string): void {
    for (const call of openCalls) if (call.node === node) call.nodeWasAvailable = false;
  }

  function sleep(ms: number): Promise<void> {
    return new Promise((ok) => engine.at(engine.now() + ms * 1000, ok));
  }

  /** Sends one call and waits until it is answered or times out. */
  function send<T>(call: ConfigCall, execute: () => Promise<T>, onAnswer: (result: T) => void): Promise<void> {
    const { proc } = cluster.machine(call.node);
    history.calls.push(call);
    call.nodeWasAvailable = proc.alive && !proc.frozen;
    return new Promise((done) => {
      openCalls.add(call);
      function end(): void {
        if (openCalls.delete(call)) done();
      }
      engine.at(engine.now() + answerTimeoutUs + 1, end);
      const { incarnation } = proc;
      deliver(proc, incarnation, () => {
        void execute().then((result) => {
          if (!openCalls.has(call) || proc.incarnation !== incarnation) return;
          call.answeredAt = engine.now();
          onAnswer(result);
          end();
        });
      });
    });
  }

  function serviceWorld(node: string): Parameters<ConfigService['get']>[0] {
    const { client, world } = cluster.machine(node).node!;
    return { ask: (request) => new Promise((done) => client.request(request, done)), now: world.now };
  }

  async function put(node: string, update: ConfigUpdate): Promise<number | undefined> {
    const call: ConfigCall = { kind: 'put', node, sentAt: engine.now(), ...update, nodeWasAvailable: true };
    await send(
      call,
      () => service.put(serviceWorld(node), update.text, update.expectedRevision),
      (code) => {
        call.code = code;
        if (code === 200) newestAcknowledged = Math.max(newestAcknowledged, update.revision);
      },
    );
    return call.code;
  }

  async function get(node: string): Promise<number | undefined> {
    const call: ConfigCall = { kind: 'get', node, sentAt: engine.now(), nodeWasAvailable: true };
    await send(
      call,
      () => service.get(serviceWorld(node)),
      (result) => {
        call.code = result.code;
        if (result.code === 200) call.readResult = { revision: parseRevision(result.text), text: result.text };
      },
    );
    return call.readResult?.revision;
  }

  function createUpdate(expectedRevision: number, revision = expectedRevision + 1): ConfigUpdate {
    updates += 1;
    return { expectedRevision, revision, text: service.renderConfiguration(revision, `o${updates}`) };
  }

  function randomNode(nodes: readonly string[]): string | undefined {
    return nodes[Math.floor(random() * nodes.length)];
  }

  async function submitChange(nodes: () => readonly string[], timeoutMs: number): Promise<boolean> {
    const until = engine.now() + timeoutMs * 1000;
    let update: ConfigUpdate | undefined;
    while (engine.now() < until) {
      const node = randomNode(nodes());
      if (update === undefined) {
        const current = node === undefined ? undefined : history.calls.length === 0 ? noRevision : await get(node);
        if (current !== undefined) update = createUpdate(current);
      } else if (node !== undefined) {
        const code = await put(node, update);
        if (code === 200) return true;
        if (code !== undefined && code < 500) update = undefined;
      }
      await sleep(retryDelayMs);
    }
    return false;
  }

  async function waitFor<T>(work: Promise<T>, timeoutMs: number): Promise<T | undefined> {
    const state = { over: false, result: undefined as T | undefined };
    void work.then((result) => Object.assign(state, { over: true, result }));
    const until = engine.now() + timeoutMs * 1000;
    while (!state.over && engine.now() < until) await cluster.run(waitStepMs);
    return state.result;
  }

  function startRouter(router: string): ControlFeed {
    const startedAt = engine.now();
    return cluster.startRouter(router, (feed) => {
      const revision = parseRevision(feed.configuration()!.value.toString());
      history.appliedConfigurations.push({ router, startedAt, at: engine.now(), revision });
    }).feed;
  }

  function kill(node: string): void {
    markUnavailable(node);
    cluster.kill(node);
  }

  return {
    cluster,
    history,
    breaches: [],
    createUpdate,
    put,
    get,
    submitChange,
    waitFor,
    sleep,
    startRouter,
    kill,
    freeze: (node) => {
      markUnavailable(node);
      cluster.machine(node).proc.frozen = true;
    },
    resume: cluster.resume,
    wipe: (node) => {
      markUnavailable(node);
      cluster.wipe(node);
    },
    leave: (node) => {
      const { proc, host } = cluster.machine(node);
      const { incarnation } = proc;
      host?.leave(gracefulLeaveTimeoutMs * 1000, () => {
        if (proc.incarnation !== incarnation) return;
        markUnavailable(node);
        killProcess(proc);
      });
    },
    runningNodes: () =>
      [...cluster.machines.values()]
        .filter((machine) => machine.proc.alive && !machine.proc.frozen)
        .map((machine) => machine.name),
    newestAcknowledgedRevision: () => newestAcknowledged,
    now: engine.now,
  };
}
