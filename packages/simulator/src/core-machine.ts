/**
 * One machine of the core in virtual time: the real control node on a simulated disk, the way for operators' questions
 * and the feed to routers, wired as the programs wire them.
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
import { createProc, procWorld, type Proc } from './process.js';
import { createSimDisk, type SimDisk } from './sim-disk.js';

/** The virtual time, network and randomness that all machines of a run share. */
export interface VirtualSite {
  readonly e: Engine;
  readonly net: Network;
  readonly random: () => number;
}

/** A machine that outlives the control nodes started on it one after the other. */
export interface SimulatedMachine {
  readonly name: string;
  readonly address: Address;
  readonly proc: Proc;
  readonly disk: SimDisk;
  host: ControlNodeHost | undefined;
}

/** Sees each message that a control node sends to another machine or receives. */
export interface MessageObserver {
  readonly sent: (m: Message, from: Address, to: Address) => void;
  readonly received: (m: Message, at: Address, from: Address) => void;
}

/** What one start of a control node is given. */
export interface ControlNodeStart {
  /** Who founds the core together, in the order of their slots. */
  readonly founders: readonly Address[];
  /** Whom to ask where no replica is known, as the settings say it now. */
  readonly seeds: () => readonly Address[];
  readonly bootstrap: boolean;
  readonly dutyTenure: number;
  readonly sweepEvery?: number;
  readonly wantedReplicas?: number;
  /** With how many machines a cluster is founded where no seed holds state. */
  readonly founderCount?: BootstrapSize;
  /** The size of the journal in bytes above which it is rewritten, where it isn't the usual one. */
  readonly rewriteOver?: number;
  readonly feed: (proc: Proc) => Omit<FeedServerOptions, 'controlNode' | 'self'>;
  /** Builds what else runs on the machine; it gets the messages before the control node and says which it took. */
  readonly beside?: (
    w: World,
    host: ControlNodeHost,
    asker: ControlClient,
    workers: FeedServer['workers'],
  ) => (m: Message, from: Address) => boolean;
  readonly observer?: MessageObserver;
}

/** The parts of a started control node that its operators use. */
export interface StartedControlNode {
  readonly world: World;
  readonly host: ControlNodeHost;
  readonly asker: ControlClient;
}

const beginAgainAfter = micros(300_000);

/** Adds a machine with an empty disk to the network; nothing runs on it yet. */
export function addMachine(site: VirtualSite, name: string): SimulatedMachine {
  const proc = createProc(name, name);
  const machine: SimulatedMachine = {
    name,
    address: `${name}:1` as Address,
    proc,
    disk: createSimDisk(site.e, site.random),
    host: undefined,
  };
  site.net.add(machine.address, proc);
  return machine;
}

/** Opens the machine's disk as the programs open their file: a torn tail is cut, a damaged journal counts as empty. */
async function openDisk(
  machine: SimulatedMachine,
  afresh: boolean,
  blank: boolean,
): Promise<E.Either<Error, OpenDisk>> {
  if (blank) machine.disk.lose();
  const journal = readJournal(machine.disk.bytes());
  if (E.isRight(journal)) machine.disk.cut(journal.right.validBytes);
  const found = E.isLeft(journal) ? [] : journal.right.records;
  const disk = machine.disk.open(machine.proc);
  const error = afresh ? await new Promise<Error | undefined>((ok) => disk.rewrite(found, ok)) : undefined;
  return error === undefined ? E.right({ disk, storedRecords: found, truncatedBytes: 0 }) : E.left(error);
}

/** Starts a control node on a machine on which none runs. */
export function startControlNode(
  site: VirtualSite,
  machine: SimulatedMachine,
  o: ControlNodeStart,
): StartedControlNode {
  const { proc, address: self } = machine;
  proc.alive = true;
  const outer = procWorld(
    site.e,
    proc,
    site.random,
    (to, m) => {
      o.observer?.sent(m, self, to);
      site.net.send(proc, self, to, m);
    },
    () => undefined,
  );
  const world = { ...outer, send };
  function send(to: Address, m: Message): void {
    if (to === self) outer.after(micros(0), () => proc.receive(m, self));
    else outer.send(to, m);
  }
  const { founders } = o;
  const host = createControlNodeHost(world, {
    slot: undefined,
    bootstrapSlot: founders.includes(self) ? founders.indexOf(self) : undefined,
    mayBootstrap: o.bootstrap,
    rejoinsWhenSuperseded: true,
    initialRetryDelayUs: 300_000,
    maxRetryDelayUs: 1_000_000,
    self,
    bootstrapMembers: founders,
    initialSeeds: [...founders],
    seeds: [],
    routerLeaseUs: 10_000_000,
    roleLeaseUs: o.dutyTenure,
    ...(o.sweepEvery === undefined ? {} : { antiEntropyIntervalUs: o.sweepEvery }),
    ...(o.wantedReplicas === undefined ? {} : { targetReplicas: o.wantedReplicas }),
    ...(o.founderCount === undefined ? {} : { bootstrapSize: o.founderCount }),
    ...(o.rewriteOver === undefined ? {} : { compactAboveBytes: o.rewriteOver }),
    newDiskId: () => Math.floor(site.random() * 2 ** 48).toString(36),
    open: (afresh, blank) => openDisk(machine, afresh, blank),
  });
  const asker = createControlClient(world, self, createReplicaAddressList(host.controlNode, self, o.seeds));
  const feed = createFeedServer(world, { self, controlNode: host.controlNode, seeds: o.seeds, ...o.feed(proc) });
  const beside = o.beside?.(world, host, asker, feed.workers);
  proc.receive = (m, from) => {
    o.observer?.received(m, self, from);
    if (m.kind === 'Answer') asker.handleAnswer(m);
    else if (!feed.receive(m, from) && beside?.(m, from) !== true) host.receive(m, from);
  };
  machine.host = host;
  // A disk in trouble at the start is tried again.
  async function begin(): Promise<void> {
    if (E.isLeft(await host.start())) outer.after(beginAgainAfter, () => void begin());
  }
  void begin();
  return { world, host, asker };
}
