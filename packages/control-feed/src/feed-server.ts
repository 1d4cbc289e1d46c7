/**
 * The control node's side of the feed. It answers each follower with a heartbeat, and sends followers the
 * configuration, the membership of the control cluster, the worker list and the loads of workers.
 */
import { micros, type Address, type Message, type MessageOf, type World } from '@tansypost/inner-protocol';
import type { ControlNode, FollowStatus } from '@tansypost/control-state';
import { configurationKey } from './configuration.js';
import { createConfigurationPublisher } from './configuration-publisher.js';
import { createFollowerRegistry } from './follower-registry.js';
import { startMembershipAnnouncer } from './membership-announcer.js';
import type { ListedWorker } from './listed-worker.js';
import { createWorkerListPoller } from './worker-list-poller.js';
import { startWorkerLoadPoller, type PolledLoad } from './worker-load-poller.js';
import { createWorkerLoadTable, type WorkerLoad } from './worker-loads.js';

/** Options of a feed server; intervals are in microseconds. */
export interface FeedServerOptions {
  readonly self: Address;
  /** The zone of this machine; routers in the same zone prefer it as their source. */
  readonly zone?: string;
  readonly controlNode: () => ControlNode | undefined;
  /** The addresses that a starting router contacts first; they are sent the replicas unsolicited. */
  readonly seeds?: () => readonly Address[];
  readonly fetchWorkerList: () => Promise<readonly ListedWorker[] | undefined>;
  /** Fetches the load of one worker; without it, or with an interval of 0, no loads are polled. */
  readonly fetchWorkerLoad?: (worker: ListedWorker) => Promise<PolledLoad | undefined>;
  readonly loadPollInterval?: number;
  /** Whether control nodes also send the loads to each other, so that each has those of all workers. */
  readonly sharesLoadsBetweenNodes?: boolean;
  readonly listPollInterval?: number;
  /** Interval of all control nodes but the first. */
  readonly standbyListPollInterval?: number;
  /** This machine's time of day in milliseconds since 1970, sent in each heartbeat; without it none is sent. */
  readonly wallClock?: () => number;
}

/** The feed of one control node. */
export interface FeedServer {
  /** Handles a message; returns whether it was for the feed only. */
  readonly receive: (message: Message, from: Address) => boolean;
  readonly followerCount: () => number;
  /** The routers and other processes that currently follow this node. */
  readonly followerAddresses: () => readonly Address[];
  readonly workers: () => readonly ListedWorker[];
  /** Age of the worker list, in microseconds. */
  readonly workerListAge: () => number;
  /** The known loads; those of all workers only if control nodes share them. */
  readonly loads: () => ReadonlyMap<string, WorkerLoad>;
  readonly stop: () => void;
}

/** The state that a control node reports before it has a replica. */
const noReplica: FollowStatus = { version: 0, membershipEpoch: 0, voting: false, leased: false };
function noSeeds(): readonly Address[] {
  return [];
}

/** Prefill announcements that arrive within this time are relayed together. */
const relayDelay = micros(40_000);
const microsPerMillisecond = 1000;

/** Starts the feed of a control node. */
export function createFeedServer(world: World, options: FeedServerOptions): FeedServer {
  const followers = createFollowerRegistry(world);
  const workerList = createWorkerListPoller(world, {
    ...options,
    rank: () => options.controlNode()?.rankAmongLive() ?? 0,
    followers: followers.addresses,
  });
  const configuration = createConfigurationPublisher(world, {
    self: options.self,
    controlNode: options.controlNode,
    followers: followers.addresses,
    sendHeartbeat: (to, version) => sendUnsolicitedHeartbeat(to, version),
  });
  const loads = createWorkerLoadTable(world);
  let pendingPrefills: MessageOf<'Reading'>['reads'] = [];
  let lastStatus: FollowStatus = noReplica;

  function sendHeartbeat(to: Address, status: FollowStatus, asked: number): void {
    world.send(to, {
      kind: 'Beat',
      version: status.version,
      membershipEpoch: status.membershipEpoch,
      list: workerList.digest(),
      age: workerList.ageMs(),
      followers: followers.addresses().length,
      voting: status.voting,
      leased: status.leased,
      zone: options.zone ?? '',
      asked,
      wall: Math.round(options.wallClock?.() ?? 0),
    });
  }

  /** A lease only counts in the reply to a `Follow`, so an unsolicited heartbeat never claims one. */
  function sendUnsolicitedHeartbeat(to: Address, version: number): void {
    sendHeartbeat(to, { ...lastStatus, version, leased: false }, 0);
  }

  function onFollow(request: MessageOf<'Follow'>, from: Address): void {
    followers.recordFollow(from);
    const status = configuration.handleFollow(request, from);
    if (request.key !== configurationKey) return;
    lastStatus = status ?? noReplica;
    if (workerList.digest() !== 0 && request.list !== workerList.digest()) world.send(from, workerList.fullList());
    const peers = request.peers >= 0 ? followers.stalePeersOf(from, request.peers) : undefined;
    if (peers !== undefined) world.send(from, peers);
    sendHeartbeat(from, lastStatus, request.asked);
  }

  /** Collects prefill announcements of routers that are too many to send to each other directly. */
  function relayPrefills(message: MessageOf<'Reading'>): void {
    const isFirst = pendingPrefills.length === 0;
    for (const prefill of message.reads) pendingPrefills.push(prefill);
    if (isFirst) world.after(relayDelay, flushPrefills);
  }

  function flushPrefills(): void {
    const message: MessageOf<'Reading'> = { kind: 'Reading', reads: pendingPrefills };
    pendingPrefills = [];
    for (const address of followers.addresses()) world.send(address, message);
  }

  function receive(message: Message, from: Address): boolean {
    switch (message.kind) {
      case 'Follow':
        onFollow(message, from);
        return true;
      case 'Reading':
        relayPrefills(message);
        return true;
      case 'WorkerLoads':
        loads.merge(message);
        return true;
      case 'News':
        // Only this node's own replica is trusted to send committed values.
        if (from === options.self) configuration.handleNews(message);
        return from === options.self;
      case 'Committed':
        // The replica needs this message too, and has to handle it first.
        if (message.key === configurationKey) configuration.handleCommitted(message.version);
        return false;
      default:
        return false;
    }
  }

  /** This node's share in polling the loads of workers. */
  function shareOfWorkers(): { rank: number; nodeCount: number } | undefined {
    const node = options.controlNode();
    return node === undefined ? undefined : { rank: node.rankAmongLive(), nodeCount: node.liveReplicas().length };
  }

  function loadReceivers(): readonly Address[] {
    if (options.sharesLoadsBetweenNodes !== true) return followers.addresses();
    const nodes = options.controlNode()?.liveReplicas() ?? [];
    return [...new Set([...followers.addresses(), ...nodes, options.self])];
  }

  const stopAnnouncing = startMembershipAnnouncer(world, {
    controlNode: options.controlNode,
    followers,
    seeds: options.seeds ?? noSeeds,
  });
  const stops = [workerList.stop, configuration.stop, stopAnnouncing];
  const { fetchWorkerLoad: fetchLoad, loadPollInterval } = options;
  if (fetchLoad !== undefined && loadPollInterval !== undefined && loadPollInterval > 0)
    stops.push(
      startWorkerLoadPoller(world, {
        fetchWorkerLoad: fetchLoad,
        pollInterval: loadPollInterval,
        workers: workerList.workers,
        share: shareOfWorkers,
        receivers: loadReceivers,
      }),
    );
  return {
    receive,
    followerCount: () => followers.addresses().length,
    followerAddresses: followers.addresses,
    workers: workerList.workers,
    workerListAge: () => workerList.ageMs() * microsPerMillisecond,
    loads: loads.loads,
    stop: () => stops.forEach((stop) => stop()),
  };
}
