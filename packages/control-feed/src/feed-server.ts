/**
 * The control node's side of the feed. It answers whoever follows it with a beat, and tells followers of the
 * configuration, the replicas, the workers and their loads.
 */
import { micros, type Address, type Message, type MessageOf, type World } from '@tansypost/inner-protocol';
import type { ControlNode, FollowStatus } from '@tansypost/control-state';
import { configurationKey } from './configuration.js';
import { createConfigurationPublisher } from './configuration-publisher.js';
import { createFollowerRegistry } from './follower-registry.js';
import { startMembershipAnnouncer } from './membership-announcer.js';
import type { ListedWorker } from './listed-worker.js';
import { createWorkerListPoller } from './worker-list-watch.js';
import { startWorkerLoadPoll, type ReportedLoad } from './worker-load-poll.js';
import { createWorkerLoadTable, type WorkerLoad } from './worker-loads.js';

export interface FeedServerOptions {
  readonly self: Address;
  /** The zone of this machine; routers of the same zone prefer it. */
  readonly zone?: string;
  readonly controlNode: () => ControlNode | undefined;
  /** Where routers that know nobody begin; these are told of the replicas without asking. */
  readonly seeds?: () => readonly Address[];
  readonly fetchWorkerList: () => Promise<readonly ListedWorker[] | undefined>;
  /** Asks one worker for its load; without it, or with a period of 0, no worker is asked. */
  readonly fetchWorkerLoad?: (worker: ListedWorker) => Promise<ReportedLoad | undefined>;
  readonly loadPollInterval?: number;
  /** Control nodes tell each other the loads too, so that each knows those of all workers. */
  readonly sharesLoadsBetweenNodes?: boolean;
  readonly listPollInterval?: number;
  readonly standbyListPollInterval?: number;
  /** This machine's time of day in milliseconds since 1970, told in each beat; without it none is told. */
  readonly wallClock?: () => number;
}

export interface FeedServer {
  /** Takes in a message and says whether it was meant for the feed alone. */
  readonly receive: (message: Message, from: Address) => boolean;
  readonly followerCount: () => number;
  /** The routers that have asked lately, and whoever else follows this node. */
  readonly followerAddresses: () => readonly Address[];
  readonly workers: () => readonly ListedWorker[];
  /** How old the list of workers is, in microseconds. */
  readonly workerListAge: () => number;
  /** The loads known here; of all workers only where control nodes share them. */
  readonly loads: () => ReadonlyMap<string, WorkerLoad>;
  readonly stop: () => void;
}

/** What a control node says of itself before it has a replica. */
const noReplica: FollowStatus = { version: 0, membershipEpoch: 0, voting: false, leased: false };
function noSeeds(): readonly Address[] {
  return [];
}

const relayWithin = micros(40_000);
const microsPerMillisecond = 1000;

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
    sendBeat: (to, version) => sendUnaskedBeat(to, version),
  });
  const loads = createWorkerLoadTable(world);
  let relayed: MessageOf<'Reading'>['reads'] = [];
  let last: FollowStatus = noReplica;

  function sendBeat(to: Address, following: FollowStatus, asked: number): void {
    world.send(to, {
      kind: 'Beat',
      version: following.version,
      membershipEpoch: following.membershipEpoch,
      list: workerList.digest(),
      age: workerList.ageMs(),
      followers: followers.addresses().length,
      voting: following.voting,
      leased: following.leased,
      zone: options.zone ?? '',
      asked,
      wall: Math.round(options.wallClock?.() ?? 0),
    });
  }

  /** It answers no question, so nobody counts it as leased. */
  function sendUnaskedBeat(to: Address, version: number): void {
    sendBeat(to, { ...last, version, leased: false }, 0);
  }

  function onFollow(question: MessageOf<'Follow'>, from: Address): void {
    followers.recordFollow(from);
    const following = configuration.handleFollow(question, from);
    if (question.key !== configurationKey) return;
    last = following ?? noReplica;
    if (workerList.digest() !== 0 && question.list !== workerList.digest()) world.send(from, workerList.whole());
    const peers = question.peers >= 0 ? followers.peersFor(from, question.peers) : undefined;
    if (peers !== undefined) world.send(from, peers);
    sendBeat(from, last, question.asked);
  }

  /** What routers that are too many to tell each other say goes out to all of them together. */
  function relay(told: MessageOf<'Reading'>): void {
    const isFirst = relayed.length === 0;
    relayed.push(...told.reads);
    if (isFirst) world.after(relayWithin, flushRelayed);
  }

  function flushRelayed(): void {
    const told: MessageOf<'Reading'> = { kind: 'Reading', reads: relayed };
    relayed = [];
    for (const address of followers.addresses()) world.send(address, told);
  }

  function receive(message: Message, from: Address): boolean {
    switch (message.kind) {
      case 'Follow':
        onFollow(message, from);
        return true;
      case 'Reading':
        relay(message);
        return true;
      case 'WorkerLoads':
        loads.merge(message);
        return true;
      case 'News':
        // Only this node's own replica is told to be on a majority here.
        if (from === options.self) configuration.handleNews(message);
        return from === options.self;
      case 'Committed':
        // Also for the replica, which is to take it in first.
        if (message.key === configurationKey) configuration.handleCommitted(message.version);
        return false;
      default:
        return false;
    }
  }

  function shareOfWorkers(): { rank: number; nodes: number } | undefined {
    const node = options.controlNode();
    return node === undefined ? undefined : { rank: node.rankAmongLive(), nodes: node.liveReplicas().length };
  }

  function toldOfLoads(): readonly Address[] {
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
  const { fetchWorkerLoad: fetchLoad, loadPollInterval: loadEvery } = options;
  if (fetchLoad !== undefined && loadEvery !== undefined && loadEvery > 0)
    stops.push(
      startWorkerLoadPoll(world, {
        fetchWorkerLoad: fetchLoad,
        period: loadEvery,
        workers: workerList.workers,
        share: shareOfWorkers,
        followers: toldOfLoads,
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
