/**
 * A cluster under test together with its operators and routers: every call and every configuration taken goes into the
 * history. Runs bring the losses about through it, so that it knows which machines could answer.
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

/** An order as an operator sends it, any number of times. */
export interface ConfigUpdate {
  readonly text: string;
  readonly revision: number;
  readonly expectedRevision: number;
}

export interface ControlRun {
  readonly cluster: ControlCluster;
  readonly history: ControlHistory;
  /** What a run itself finds broken, beside what the judges read from the history. */
  readonly breaches: ControlBreach[];
  readonly createUpdate: (base: number, revision?: number) => ConfigUpdate;
  /** Sends an order once; undefined when no answer came within the second. */
  readonly put: (node: string, order: ConfigUpdate) => Promise<number | undefined>;
  /** Reads once; undefined unless it was answered 200. */
  readonly get: (node: string) => Promise<number | undefined>;
  /** Reads a base and sends an order on it until its answer is clear; gives whether it was taken. */
  readonly submitChange: (nodes: () => readonly string[], patience: number) => Promise<boolean>;
  /** Passes virtual time until some work is done; undefined when it is not within the limit. */
  readonly waitFor: <T>(work: Promise<T>, limit: number) => Promise<T | undefined>;
  readonly sleep: (ms: number) => Promise<void>;
  readonly startRouter: (name: string) => ControlFeed;
  readonly freeze: (name: string) => void;
  readonly resume: (name: string) => void;
  readonly kill: (name: string) => void;
  readonly wipe: (name: string) => void;
  /** SIGTERM: the control node hands over, then ends. */
  readonly leave: (name: string) => void;
  /** The machines on which a control node runs and is not frozen. */
  readonly runningNodes: () => string[];
  /** The newest revision that was acknowledged. */
  readonly newestAcknowledgedRevision: () => number;
  readonly now: () => number;
}

/** How long a control node may take to hand over after SIGTERM. */
export const gracefulLeaveTimeoutMs = 6500;
const pauseBetweenTries = 100;
const finishStep = 10;

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
    (m) => later.cluster?.replicas(m).length ?? names.length,
  );
  const cluster = await bootstrapControlCluster(seed, names, { observer });
  later.cluster = cluster;
  const { engine: e, random } = cluster;
  const open = new Set<ConfigCall>();
  let orders = 0;
  let newest = noRevision;

  /** Calls under way to a machine that stops running may stay without an answer. */
  function excuse(node: string): void {
    for (const c of open) if (c.node === node) c.nodeWasAvailable = false;
  }

  function sleep(ms: number): Promise<void> {
    return new Promise((ok) => e.at(e.now() + ms * 1000, ok));
  }

  /** Sends one call and waits for its answer or for the second to pass. */
  function call<T>(c: ConfigCall, f: () => Promise<T>, answered: (x: T) => void): Promise<void> {
    const { proc } = cluster.machine(c.node);
    history.calls.push(c);
    c.nodeWasAvailable = proc.alive && !proc.frozen;
    return new Promise((done) => {
      open.add(c);
      function end(): void {
        if (open.delete(c)) done();
      }
      e.at(e.now() + answerTimeoutUs + 1, end);
      const { incarnation } = proc;
      deliver(proc, incarnation, () => {
        void f().then((x) => {
          if (!open.has(c) || proc.incarnation !== incarnation) return;
          c.answeredAt = e.now();
          answered(x);
          end();
        });
      });
    });
  }

  function serviceWorld(node: string): Parameters<ConfigService['get']>[0] {
    const { client: asker, world } = cluster.machine(node).node!;
    return { ask: (q) => new Promise((done) => asker.request(q, done)), now: world.now };
  }

  async function put(node: string, order: ConfigUpdate): Promise<number | undefined> {
    const c: ConfigCall = { kind: 'put', node, sentAt: e.now(), ...order, nodeWasAvailable: true };
    await call(
      c,
      () => service.put(serviceWorld(node), order.text, order.expectedRevision),
      (code) => {
        c.code = code;
        if (code === 200) newest = Math.max(newest, order.revision);
      },
    );
    return c.code;
  }

  async function get(node: string): Promise<number | undefined> {
    const c: ConfigCall = { kind: 'get', node, sentAt: e.now(), nodeWasAvailable: true };
    await call(
      c,
      () => service.get(serviceWorld(node)),
      (a) => {
        c.code = a.code;
        if (a.code === 200) c.readResult = { revision: parseRevision(a.text), text: a.text };
      },
    );
    return c.readResult?.revision;
  }

  function order(base: number, revision = base + 1): ConfigUpdate {
    orders += 1;
    return { expectedRevision: base, revision, text: service.renderConfiguration(revision, `o${orders}`) };
  }

  function anyOf(nodes: readonly string[]): string | undefined {
    return nodes[Math.floor(random() * nodes.length)];
  }

  async function change(nodes: () => readonly string[], patience: number): Promise<boolean> {
    const until = e.now() + patience * 1000;
    let wanted: ConfigUpdate | undefined;
    while (e.now() < until) {
      const node = anyOf(nodes());
      if (wanted === undefined) {
        const base = node === undefined ? undefined : history.calls.length === 0 ? noRevision : await get(node);
        if (base !== undefined) wanted = order(base);
      } else if (node !== undefined) {
        const code = await put(node, wanted);
        if (code === 200) return true;
        if (code !== undefined && code < 500) wanted = undefined;
      }
      await sleep(pauseBetweenTries);
    }
    return false;
  }

  async function finish<T>(work: Promise<T>, limit: number): Promise<T | undefined> {
    const state = { over: false, result: undefined as T | undefined };
    void work.then((result) => Object.assign(state, { over: true, result }));
    const until = e.now() + limit * 1000;
    while (!state.over && e.now() < until) await cluster.run(finishStep);
    return state.result;
  }

  function startRouter(router: string): ControlFeed {
    const startedAt = e.now();
    return cluster.startRouter(router, (feed) => {
      const revision = parseRevision(feed.configuration()!.value.toString());
      history.appliedConfigurations.push({ router, startedAt, at: e.now(), revision });
    }).feed;
  }

  function kill(node: string): void {
    excuse(node);
    cluster.kill(node);
  }

  return {
    cluster,
    history,
    breaches: [],
    createUpdate: order,
    put,
    get,
    submitChange: change,
    waitFor: finish,
    sleep,
    startRouter,
    kill,
    freeze: (node) => {
      excuse(node);
      cluster.machine(node).proc.frozen = true;
    },
    resume: cluster.resume,
    wipe: (node) => {
      excuse(node);
      cluster.wipe(node);
    },
    leave: (node) => {
      const { proc, host } = cluster.machine(node);
      const { incarnation } = proc;
      host?.leave(gracefulLeaveTimeoutMs * 1000, () => {
        if (proc.incarnation !== incarnation) return;
        excuse(node);
        killProcess(proc);
      });
    },
    runningNodes: () => [...cluster.machines.values()].filter((m) => m.proc.alive && !m.proc.frozen).map((m) => m.name),
    newestAcknowledgedRevision: () => newest,
    now: e.now,
  };
}
