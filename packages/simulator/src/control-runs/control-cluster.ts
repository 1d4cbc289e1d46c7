/**
 * A control cluster in virtual time, with routers that subscribe to it. Every machine runs the real control node; a
 * router consists of the real client of the configuration feed and nothing else.
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
  type SimulationEnvironment,
} from '../simulated-control-node.js';
import { createEngine } from '../engine.js';
import { createNetwork, type Network } from '../network.js';
import { createSimProcess, killProcess, createProcessWorld, resumeProcess, type SimProcess } from '../process.js';

/** A control request whose deadline is filled in when it is sent. */
export type RequestWithoutDeadline = Omit<ControlRequest, 'deadline'>;

/** A machine of the cluster with the control node that was last started on it. */
export interface ClusterMachine extends SimulatedMachine {
  node: StartedControlNode | undefined;
}

/** A router that subscribes to the cluster. A restart under the same name loses all its state. */
export interface ClusterRouter {
  readonly name: string;
  readonly proc: SimProcess;
  readonly feed: ControlFeed;
}

export interface ControlCluster extends SimulationEnvironment {
  readonly machines: ReadonlyMap<string, ClusterMachine>;
  readonly machine: (name: string) => ClusterMachine;
  readonly add: (name: string) => ClusterMachine;
  /** Starts a control node; `seeds` are the machines that its settings name as seeds. */
  readonly start: (name: string, mayBootstrap?: boolean, seeds?: readonly string[]) => void;
  /** Simulates a power failure: data that was not synced may be lost. */
  readonly kill: (name: string) => void;
  /** Simulates a power failure that also loses the disk. */
  readonly wipe: (name: string) => void;
  readonly resume: (name: string) => void;
  readonly startRouter: (name: string, onConfiguration?: (feed: ControlFeed) => void) => ClusterRouter;
  /** Sends a request through one machine; the timeout is in microseconds. */
  readonly request: (via: string, request: RequestWithoutDeadline, timeoutUs?: number) => Promise<ControlResponse>;
  /** Advances virtual time. */
  readonly run: (ms: number) => Promise<void>;
  /** The machines that run a voting replica. */
  readonly voting: () => string[];
  /** The replicas in the membership record of one machine. */
  readonly replicas: (via: string) => string[];
  /** The machines that consider themselves leader of the configuration key. */
  readonly leaders: () => string[];
}

/** The default bootstrap members, which are also the default seeds. */
export const bootstrapMemberNames: readonly string[] = ['c0', 'c1', 'c2'];
const requestTimeoutUs = 850_000;
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
  fetchWorkerLoad: async (worker: ListedWorker) => ({
    id: worker.id,
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

/** Optional settings of a cluster. */
export interface ControlClusterOptions {
  readonly observer?: MessageObserver;
  /** The journal size in bytes above which the journal is compacted, where it differs from the default. */
  readonly compactAboveBytes?: number;
}

export function createControlCluster(seed: number, options: ControlClusterOptions = {}): ControlCluster {
  const random = createSeededRandom(seed);
  const engine = createEngine();
  const network: Network = createNetwork(engine, random);
  const environment: SimulationEnvironment = { engine, network, random };
  const machines = new Map<string, ClusterMachine>();
  const routers = new Map<string, ClusterRouter>();

  function machine(name: string): ClusterMachine {
    return machines.get(name)!;
  }
  function add(name: string): ClusterMachine {
    const added: ClusterMachine = Object.assign(addMachine(environment, name), { node: undefined });
    machines.set(name, added);
    return added;
  }
  function start(name: string, mayBootstrap = false, seeds: readonly string[] = bootstrapMemberNames): void {
    const addresses = seeds.map(addressOf);
    const target = machine(name);
    target.node = startControlNode(environment, target, {
      bootstrapMembers: addresses,
      seeds: () => addresses,
      mayBootstrap,
      roleLeaseUs: 3_000_000,
      feed: () => feedSources,
      ...options,
    });
  }
  function kill(name: string): void {
    killProcess(machine(name).proc);
    machine(name).disk.crash();
  }
  function startRouter(name: string, onConfiguration?: (feed: ControlFeed) => void): ClusterRouter {
    const previous = routers.get(name);
    if (previous !== undefined) killProcess(previous.proc);
    const proc = createSimProcess(name, name);
    const self = addressOf(name);
    proc.alive = true;
    network.add(self, proc);
    const world = createProcessWorld(
      engine,
      proc,
      random,
      (to, message) => network.send(proc, self, to, message),
      () => undefined,
    );
    const feed: ControlFeed = createControlFeed(world, {
      self,
      member: name,
      zone: 'z',
      seeds: bootstrapMemberNames.map(addressOf),
      fetchWorkerList: async () => undefined,
      onChange: (what) => {
        if (what === 'configuration') onConfiguration?.(feed);
      },
    });
    proc.receive = feed.receive;
    const router = { name, proc, feed };
    routers.set(name, router);
    return router;
  }
  function request(
    via: string,
    controlRequest: RequestWithoutDeadline,
    timeoutUs = requestTimeoutUs,
  ): Promise<ControlResponse> {
    const { client, world } = machine(via).node!;
    return new Promise((done) => client.request({ ...controlRequest, deadline: world.now() + timeoutUs }, done));
  }
  function isVoting(candidate: ClusterMachine): boolean {
    return candidate.proc.alive && candidate.host?.core()?.replica.state() === 'voting';
  }
  function isLeading(candidate: ClusterMachine): boolean {
    return (
      isVoting(candidate) &&
      candidate
        .host!.core()!
        .ledKeys()
        .some((led) => led.key === configurationKey)
    );
  }
  function namesWhere(predicate: (candidate: ClusterMachine) => boolean): string[] {
    return [...machines.values()].filter(predicate).map((match) => match.name);
  }
  return {
    ...environment,
    machines,
    machine,
    add,
    start,
    kill,
    wipe: (name) => {
      kill(name);
      machine(name).disk.wipe();
    },
    resume: (name) => resumeProcess(engine, machine(name).proc),
    startRouter,
    request,
    run: (ms) => engine.run(engine.now() + ms * 1000),
    voting: () => namesWhere(isVoting),
    leaders: () => namesWhere(isLeading),
    replicas: (via) =>
      (machine(via).host?.core()?.replica.membership().replicas ?? [])
        .map((replica) => replica.address.split(':')[0]!)
        .sort(),
  };
}

/** Adds machines with empty disks and bootstraps a cluster from them. */
export async function bootstrapControlCluster(
  seed: number,
  names: readonly string[] = bootstrapMemberNames,
  options: ControlClusterOptions = {},
): Promise<ControlCluster> {
  const cluster = createControlCluster(seed, options);
  for (const name of names) {
    cluster.add(name);
    cluster.start(name, true);
  }
  await cluster.run(3000);
  return cluster;
}
