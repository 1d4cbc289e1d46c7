/**
 * One machine of the control cluster in virtual time: the real control node on a simulated disk, the client for operator
 * requests and the configuration feed for routers, wired as in the programs.
 */
import * as E from 'fp-ts/lib/Either.js';
import {
  createControlClient,
  createFeedServer,
  createReplicaAddressList,
  type ControlClient,
  type FeedServer,
  type FeedServerOptions,
} from '@tansypost/control-feed';
import { createControlNodeHost, type ControlNodeHost, type OpenDisk } from '@tansypost/control-node';
import { readJournal, type BootstrapSize } from '@tansypost/control-state';
import { micros, type Address, type Message, type World } from '@tansypost/inner-protocol';
import type { Engine } from './engine.js';
import type { Network } from './network.js';
import { createSimProcess, createProcessWorld, type SimProcess } from './process.js';
import { createSimDisk, type SimDisk } from './sim-disk.js';

/** The virtual time, network and random numbers that all machines of a run share. */
export interface SimulationEnvironment {
  readonly engine: Engine;
  readonly network: Network;
  readonly random: () => number;
}

/** A machine, which persists across restarts of its control node. */
export interface SimulatedMachine {
  readonly name: string;
  readonly address: Address;
  readonly proc: SimProcess;
  readonly disk: SimDisk;
  host: ControlNodeHost | undefined;
}

/** Observes each message that a control node sends to another machine or receives. */
export interface MessageObserver {
  readonly sent: (message: Message, from: Address, to: Address) => void;
  readonly received: (message: Message, at: Address, from: Address) => void;
}

/** Options for one start of a control node. */
export interface ControlNodeOptions {
  /** The members that bootstrap the cluster together, in the order of their slots. */
  readonly bootstrapMembers: readonly Address[];
  /** The addresses to contact while no replica is known, from the current settings. */
  readonly seeds: () => readonly Address[];
  readonly mayBootstrap: boolean;
  readonly roleLeaseUs: number;
  readonly antiEntropyIntervalUs?: number;
  readonly targetReplicas?: number;
  /** How many machines bootstrap a cluster if no seed holds state. */
  readonly bootstrapSize?: BootstrapSize;
  /** The journal size in bytes above which the journal is compacted, where it differs from the default. */
  readonly compactAboveBytes?: number;
  readonly feed: (proc: SimProcess) => Omit<FeedServerOptions, 'controlNode' | 'self'>;
  /**
   * Creates the other components on the machine. Returns a message handler that is called before the control node and
   * returns whether it handled the message.
   */
  readonly attachComponents?: (
    world: World,
    host: ControlNodeHost,
    client: ControlClient,
    workers: FeedServer['workers'],
  ) => (message: Message, from: Address) => boolean;
  readonly observer?: MessageObserver;
}

/** A started control node with the interfaces that operators use. */
export interface StartedControlNode {
  readonly world: World;
  readonly host: ControlNodeHost;
  readonly client: ControlClient;
}

const startRetryDelay = micros(300_000);

/** Adds a machine with an empty disk to the network; nothing runs on it yet. */
export function addMachine(environment: SimulationEnvironment, name: string): SimulatedMachine {
  const proc = createSimProcess(name, name);
  const machine: SimulatedMachine = {
    name,
    address: `${name}:1` as Address,
    proc,
    disk: createSimDisk(environment.engine, environment.random),
    host: undefined,
  };
  environment.network.add(machine.address, proc);
  return machine;
}

/** Opens the disk as the programs open their file: truncates a torn tail and treats a corrupt journal as empty. */
async function openDisk(
  machine: SimulatedMachine,
  rewrite: boolean,
  wipe: boolean,
): Promise<E.Either<Error, OpenDisk>> {
  if (wipe) machine.disk.wipe();
  const journal = readJournal(machine.disk.bytes());
  if (E.isRight(journal)) machine.disk.truncate(journal.right.validBytes);
  const storedRecords = E.isLeft(journal) ? [] : journal.right.records;
  const disk = machine.disk.open(machine.proc);
  const error = rewrite ? await new Promise<Error | undefined>((ok) => disk.rewrite(storedRecords, ok)) : undefined;
  return error === undefined ? E.right({ disk, found: storedRecords, cut: 0 }) : E.left(error);
}

/** Starts a control node on a machine that runs none. */
export function startControlNode(
  environment: SimulationEnvironment,
  machine: SimulatedMachine,
  options: ControlNodeOptions,
): StartedControlNode {
  const { proc, address: self } = machine;
  proc.alive = true;
  const processWorld = createProcessWorld(
    environment.engine,
    proc,
    environment.random,
    (to, message) => {
      options.observer?.sent(message, self, to);
      environment.network.send(proc, self, to, message);
    },
    () => undefined,
  );
  const world = { ...processWorld, send };
  function send(to: Address, message: Message): void {
    if (to === self) processWorld.after(micros(0), () => proc.receive(message, self));
    else processWorld.send(to, message);
  }
  const { bootstrapMembers } = options;
  const host = createControlNodeHost(world, {
    slot: undefined,
    bootstrapSlot: bootstrapMembers.includes(self) ? bootstrapMembers.indexOf(self) : undefined,
    mayBootstrap: options.mayBootstrap,
    rejoins: true,
    firstPause: 300_000,
    longestPause: 1_000_000,
    self,
    bootstrapMembers,
    initialSeeds: [...bootstrapMembers],
    seeds: [],
    routerLeaseUs: 10_000_000,
    dutyTenure: options.roleLeaseUs,
    ...(options.antiEntropyIntervalUs === undefined ? {} : { antiEntropyIntervalUs: options.antiEntropyIntervalUs }),
    ...(options.targetReplicas === undefined ? {} : { targetReplicas: options.targetReplicas }),
    ...(options.bootstrapSize === undefined ? {} : { bootstrapSize: options.bootstrapSize }),
    ...(options.compactAboveBytes === undefined ? {} : { compactAboveBytes: options.compactAboveBytes }),
    newDiskId: () => Math.floor(environment.random() * 2 ** 48).toString(36),
    open: (rewrite, wipe) => openDisk(machine, rewrite, wipe),
  });
  const client = createControlClient(world, self, createReplicaAddressList(host.core, self, options.seeds));
  const feed = createFeedServer(world, { self, controlNode: host.core, seeds: options.seeds, ...options.feed(proc) });
  const handleByComponents = options.attachComponents?.(world, host, client, feed.workers);
  proc.receive = (message, from) => {
    options.observer?.received(message, self, from);
    if (message.kind === 'Answer') client.handleAnswer(message);
    else if (!feed.receive(message, from) && handleByComponents?.(message, from) !== true) host.receive(message, from);
  };
  machine.host = host;
  // Retries while the disk fails at the start.
  async function start(): Promise<void> {
    if (E.isLeft(await host.begin())) processWorld.after(startRetryDelay, () => void start());
  }
  void start();
  return { world, host, client };
}
