/**
 * A cluster of control nodes in virtual time, with the routers that follow it. Every machine runs the real control
 * node; a router is the real follower of the configuration feed and nothing else.
 */
import {
  createControlFeed,
  configurationKey,
  type ControlFeed,
  type ControlResponse,
  type ControlRequest,
  type ListedWorker,
} from '@tansypost/control-feed';
import { createSeededRandom, type Address } from '@tansypost/inner-protocol';
import {
  addMachine,
  startControlNode,
  type MessageObserver,
  type SimulatedMachine,
  type StartedControlNode,
  type VirtualSite,
} from '../core-machine.js';
import { createEngine } from '../engine.js';
import { createNetwork, type Network } from '../network.js';
import { createProc, die, procWorld, wake, type Proc } from '../process.js';

/** A question without the time by which it must be answered. */
export type Question = Omit<ControlRequest, 'deadline'>;

/** A machine of the cluster and the control node that was last started on it. */
export interface ClusterMachine extends SimulatedMachine {
  node: StartedControlNode | undefined;
}

/** A router that follows the cluster; started again under its name it begins anew and knows nothing. */
export interface ClusterRouter {
  readonly name: string;
  readonly proc: Proc;
  readonly feed: ControlFeed;
}

export interface ControlCluster extends VirtualSite {
  readonly machines: ReadonlyMap<string, ClusterMachine>;
  readonly machine: (name: string) => ClusterMachine;
  readonly add: (name: string) => ClusterMachine;
  /** Starts a control node; `told` names the machines that its settings give as seeds. */
  readonly start: (name: string, bootstrap?: boolean, told?: readonly string[]) => void;
  /** Takes the power away: what was not synced may be lost. */
  readonly kill: (name: string) => void;
  /** Takes the power and the disk away. */
  readonly wipe: (name: string) => void;
  readonly wake: (name: string) => void;
  readonly startRouter: (name: string, changed?: (feed: ControlFeed) => void) => ClusterRouter;
  readonly ask: (via: string, q: Question, patience?: number) => Promise<ControlResponse>;
  /** Passes virtual time. */
  readonly run: (ms: number) => Promise<void>;
  /** Which machines run and vote. */
  readonly voting: () => string[];
  /** The members that a machine knows of. */
  readonly replicas: (via: string) => string[];
  /** The machines that take themselves for the leader of the configuration. */
  readonly leaders: () => string[];
}

/** The names of the machines that found a cluster. */
export const seedNames: readonly string[] = ['c0', 'c1', 'c2'];
const questionPatience = 850_000;
const workers: readonly ListedWorker[] = ['a', 'b'].map((id) => ({
  id,
  service: 's',
  address: `${id}:1`,
  zone: 'z',
  slots: 1,
  leaving: id === 'b',
  coldMs: 0,
  part: 'decode',
}));
const feedSources = {
  fetchWorkerList: async () => workers,
  fetchWorkerLoad: async (x: ListedWorker) => ({
    id: x.id,
    queued: 1,
    active: 2,
    kvUsed: 3,
    kvTotal: 4,
    part: 'decode',
  }),
  loadPollInterval: 500_000,
};

function addressOf(name: string): Address {
  return `${name}:1` as Address;
}

/** What may differ between clusters. */
export interface ControlClusterOptions {
  readonly observer?: MessageObserver;
  /** The size of a journal in bytes above which it is rewritten, where it isn't the usual one. */
  readonly rewriteOver?: number;
}

export function createControlCluster(seed: number, o: ControlClusterOptions = {}): ControlCluster {
  const random = createSeededRandom(seed);
  const e = createEngine();
  const net: Network = createNetwork(e, random);
  const site: VirtualSite = { e, net, random };
  const machines = new Map<string, ClusterMachine>();
  const routers = new Map<string, ClusterRouter>();

  function machine(name: string): ClusterMachine {
    return machines.get(name)!;
  }
  function add(name: string): ClusterMachine {
    const m: ClusterMachine = Object.assign(addMachine(site, name), { node: undefined });
    machines.set(name, m);
    return m;
  }
  function start(name: string, bootstrap = false, told: readonly string[] = seedNames): void {
    const seeds = told.map(addressOf);
    const m = machine(name);
    m.node = startControlNode(site, m, {
      founders: seeds,
      seeds: () => seeds,
      bootstrap,
      dutyTenure: 3_000_000,
      feed: () => feedSources,
      ...o,
    });
  }
  function kill(name: string): void {
    die(machine(name).proc);
    machine(name).disk.crash();
  }
  function startRouter(name: string, changed?: (feed: ControlFeed) => void): ClusterRouter {
    const before = routers.get(name);
    if (before !== undefined) die(before.proc);
    const proc = createProc(name, name);
    const self = addressOf(name);
    proc.alive = true;
    net.add(self, proc);
    const w = procWorld(
      e,
      proc,
      random,
      (to, m) => net.send(proc, self, to, m),
      () => undefined,
    );
    const feed: ControlFeed = createControlFeed(w, {
      self,
      member: name,
      zone: 'z',
      seeds: seedNames.map(addressOf),
      fetchWorkerList: async () => undefined,
      onChange: (what) => {
        if (what === 'configuration') changed?.(feed);
      },
    });
    proc.receive = feed.receive;
    const router = { name, proc, feed };
    routers.set(name, router);
    return router;
  }
  function ask(via: string, q: Question, patience = questionPatience): Promise<ControlResponse> {
    const { asker, world } = machine(via).node!;
    return new Promise((done) => asker.request({ ...q, deadline: world.now() + patience }, done));
  }
  function votes(m: ClusterMachine): boolean {
    return m.proc.alive && m.host?.controlNode()?.replica.state() === 'voting';
  }
  function leads(m: ClusterMachine): boolean {
    return (
      votes(m) &&
      m
        .host!.controlNode()!
        .ledKeys()
        .some((k) => k.key === configurationKey)
    );
  }
  function namesWhere(f: (m: ClusterMachine) => boolean): string[] {
    return [...machines.values()].filter(f).map((m) => m.name);
  }
  return {
    ...site,
    machines,
    machine,
    add,
    start,
    kill,
    wipe: (name) => {
      kill(name);
      machine(name).disk.lose();
    },
    wake: (name) => wake(e, machine(name).proc),
    startRouter,
    ask,
    run: (ms) => e.run(e.now() + ms * 1000),
    voting: () => namesWhere(votes),
    leaders: () => namesWhere(leads),
    replicas: (via) =>
      (machine(via).host?.controlNode()?.replica.membership().replicas ?? [])
        .map((p) => p.address.split(':')[0]!)
        .sort(),
  };
}

/** Adds machines with empty disks and lets them found a cluster. */
export async function foundControlCluster(
  seed: number,
  names: readonly string[] = seedNames,
  o: ControlClusterOptions = {},
): Promise<ControlCluster> {
  const c = createControlCluster(seed, o);
  for (const n of names) {
    c.add(n);
    c.start(n, true);
  }
  await c.run(3000);
  return c;
}
