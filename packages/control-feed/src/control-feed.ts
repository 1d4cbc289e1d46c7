/**
 * A router's feed from the control nodes: the current configuration, the list of workers and their loads. The router
 * polls every known control node with a small `Follow` message; each replies with a heartbeat, and one of them, the
 * router's source, also sends the configuration. Control nodes also send the current membership of the control
 * cluster, so that a router keeps working when all of its seeds are gone. Without any control node it continues with
 * its last state.
 */
import {
  every,
  hash32,
  micros,
  type Address,
  type Message,
  type MessageOf,
  type KeyUpdate,
  type ReplicaEntry,
  type World,
} from '@tansypost/inner-protocol';
import { configurationKey, type Configuration } from './configuration.js';
import { unpackConfiguration } from './configuration-packing.js';
import { createConfigurationFollower, type Adoption, type FollowOptions } from './configuration-follower.js';
import { createControlNodeTable } from './control-node-table.js';
import type { ListedWorker } from './listed-worker.js';
import { createPrefillExchange } from './prefill-exchange.js';
import { createWorkerListFollower } from './worker-list-follower.js';
import { createWorkerLoadTable, type WorkerLoad } from './worker-loads.js';

/** A key to follow in addition to the configuration. */
export interface AdditionalKey {
  readonly key: string;
  /** The version known to the router. */
  readonly version: () => number;
  readonly onUpdate: (update: KeyUpdate) => void;
}

/** Options of a router's feed; times are in microseconds. */
export interface ControlFeedOptions {
  readonly self: Address;
  readonly member: string;
  readonly zone: string;
  /** The region of a zone; without this function each zone is its own region. */
  readonly regionOf?: (zone: string) => string;
  readonly seeds: readonly Address[];
  readonly fetchWorkerList: () => Promise<readonly ListedWorker[] | undefined>;
  readonly onChange: (what: 'configuration' | 'workers') => void;
  /** Loads of workers that are newer than the known ones have arrived. */
  readonly onWorkerLoads?: (loads: readonly WorkerLoad[]) => void;
  /** Another router has sent a worker a prompt whose prefill takes `duration`, or an attempt there has `failed`. */
  readonly onPeerPrefill?: (worker: string, duration: number, failed: boolean) => void;
  readonly additionalKey?: AdditionalKey;
  /**
   * A control node has sent its time of day, `wall`, in milliseconds since 1970. It was read between `requestedAt` and
   * `receivedAt`, which are times of this router's monotonic clock.
   */
  readonly onClockReading?: (source: Address, wall: number, requestedAt: number, receivedAt: number) => void;
  /** How long a starting router waits for a node with a serving lease to confirm the configuration. */
  readonly unconfirmedTimeout?: number;
  readonly followInterval?: number;
  /** Age of the newest worker list above which the router fetches the list itself. */
  readonly maxWorkerListAge?: number;
}

/** The feed of one router. */
export interface ControlFeed {
  readonly receive: (message: Message, from: Address) => void;
  /** The adopted configuration. */
  readonly configuration: () => Configuration | undefined;
  /** How it was adopted. */
  readonly adoption: () => Adoption | undefined;
  readonly workers: () => readonly ListedWorker[];
  readonly loads: () => ReadonlyMap<string, WorkerLoad>;
  /** Number of routers as counted by the control nodes; 0 while unknown. */
  readonly routerCount: () => number;
  /** Whether any voting control node has sent a heartbeat lately. */
  readonly isInContact: () => boolean;
  /** The voting control nodes with a recent heartbeat, in an order that is the same for all routers. */
  readonly votingNodes: () => readonly Address[];
  /** The replicas of the control cluster as last received; the epoch is 0 while none are known. */
  readonly membership: () => { readonly membershipEpoch: number; readonly replicas: readonly ReplicaEntry[] };
  /** The control node that sends the configuration to this router. */
  readonly source: () => Address | undefined;
  /** Announces a prefill to the other routers; announcements within a few milliseconds are sent together. */
  readonly announcePrefill: (worker: string, duration: number, failed?: boolean) => void;
  /** Replaces the seeds, after a change of the settings. */
  readonly setSeeds: (seeds: readonly Address[]) => void;
  readonly stop: () => void;
}

const defaultUnconfirmedTimeoutUs = 3_000_000;
const defaultFollowIntervalUs = 450_000;
const defaultMaxWorkerListAgeUs = 1_500_000;
/** Polling interval of a router that has no configuration yet. */
const startupFollowIntervalUs = 120_000;
/** Control nodes other than the source are polled in one of this many rounds. */
const roundsPerConfirmation = 2;
const additionalKeyIntervalUs = 10_000_000;
/** A heartbeat is fresh if the `Follow` that it answers was sent at most this long ago. */
const maxHeartbeatDelayUs = 500_000;
/** Jitter: a polling round comes after 0.9 to 1.1 times the interval. */
const minIntervalFactor = 0.9;
const intervalFactorRange = 0.2;
const clockOriginRange = 2 ** 40;
/** As the digest of peers in a `Follow`: no list of peers is requested. */
const noPeersRequested = -1;

/** Starts the feed of a router. */
export function createControlFeed(world: World, options: ControlFeedOptions): ControlFeed {
  const followInterval = options.followInterval ?? defaultFollowIntervalUs;
  // Times in `Follow` messages, which heartbeats echo, have a random origin, so that heartbeats sent to an earlier
  // process at this address aren't taken for replies.
  const clockOrigin = 1 + Math.floor(world.random() * clockOriginRange);
  const nodes = createControlNodeTable(world, { ...options, sourceTimeout: 1.5 * followInterval });
  const loads = createWorkerLoadTable(world);
  const prefills = createPrefillExchange(world, { ...options, relay: () => nodes.voting()[0] });
  const workerList = createWorkerListFollower(world, {
    nodes,
    fetchWorkerList: options.fetchWorkerList,
    onChange: () => options.onChange('workers'),
    requestFullList: (address) => follow(address, defaultFollowOptions(address)),
    maxListAge: options.maxWorkerListAge ?? defaultMaxWorkerListAgeUs,
  });
  const configuration = createConfigurationFollower(world, {
    nodes,
    unconfirmedTimeout: options.unconfirmedTimeout ?? defaultUnconfirmedTimeoutUs,
    follow: follow,
    onAdopted: () => options.onChange('configuration'),
  });
  let seeds = options.seeds;
  let replicas: readonly ReplicaEntry[] = [];
  let membershipEpoch = 0;
  let additionalKeyDueAt = 0;
  let round = 0;

  function defaultFollowOptions(address: Address): FollowOptions {
    return { wantsConfiguration: address === nodes.source(), acceptsPatches: true };
  }

  function follow(address: Address, followOptions: FollowOptions): void {
    world.send(address, {
      kind: 'Follow',
      key: configurationKey,
      version: configuration.newestVersion(),
      membershipEpoch,
      list: nodes.state(address).list,
      peers: address === nodes.voting()[0] ? prefills.peersDigest() : noPeersRequested,
      confirmOnly: !followOptions.wantsConfiguration,
      takesPatches: followOptions.acceptsPatches,
      asked: clockOrigin + world.now(),
    });
  }

  function tick(): void {
    const members = replicas.map((replica) => replica.address as Address);
    const targets = new Set(members.length > 0 && nodes.isInContact() ? members : [...members, ...seeds]);
    nodes.chooseSource();
    const first = firstVoting();
    for (const address of targets)
      if (address === first || isDue(address)) follow(address, defaultFollowOptions(address));
    round += 1;
    nodes.retainOnly(targets);
    followAdditionalKey();
    workerList.fetchIfStale();
  }

  /**
   * The first voting replica polls the worker list most often, so it is polled in every round: its heartbeats confirm
   * the list.
   */
  function firstVoting(): Address | undefined {
    const voting = new Set<string>(nodes.voting());
    return replicas.find((replica) => voting.has(replica.address))?.address as Address | undefined;
  }

  /**
   * The source is polled in every round. The others, which send new versions in unsolicited heartbeats, are polled
   * less often, only to confirm that they are up. Without a source or a configuration, all are polled.
   */
  function isDue(address: Address): boolean {
    const source = nodes.source();
    if (source === undefined || address === source || configuration.current() === undefined) return true;
    return (round + hash32(address)) % roundsPerConfirmation === 0;
  }

  /**
   * Updates of the key are pushed to all followers but may be lost, so one control node is polled from time to time.
   */
  function followAdditionalKey(): void {
    const address = nodes.voting()[0];
    const additional = options.additionalKey;
    if (additional === undefined || address === undefined || world.now() < additionalKeyDueAt) return;
    additionalKeyDueAt = world.now() + additionalKeyIntervalUs;
    world.send(address, {
      kind: 'Follow',
      key: additional.key,
      version: additional.version(),
      membershipEpoch,
      list: nodes.state(address).list,
      peers: noPeersRequested,
      confirmOnly: false,
      takesPatches: false,
      asked: 0,
    });
  }

  function onHeartbeat(heartbeat: MessageOf<'Beat'>, from: Address): void {
    const age = clockOrigin + world.now() - heartbeat.asked;
    const fresh = age >= 0 && age <= maxHeartbeatDelayUs;
    nodes.recordHeartbeat(heartbeat, from, fresh);
    if (fresh && heartbeat.wall > 0)
      options.onClockReading?.(from, heartbeat.wall, heartbeat.asked - clockOrigin, world.now());
    workerList.confirmList(heartbeat.list, heartbeat.age, from);
    configuration.handleHeartbeat(heartbeat, from, fresh);
  }

  function onNews(message: MessageOf<'News'>): void {
    if (message.membershipEpoch > membershipEpoch && message.replicas.length > 0) {
      membershipEpoch = message.membershipEpoch;
      replicas = message.replicas;
    }
    for (const update of message.news) {
      if (update.key !== configurationKey) options.additionalKey?.onUpdate(update);
      else
        configuration.handleConfiguration({
          version: update.version,
          value: unpackConfiguration(Buffer.from(update.value)),
        });
    }
  }

  function onLoads(message: MessageOf<'WorkerLoads'>): void {
    const newer = loads.merge(message);
    options.onWorkerLoads?.(newer);
  }

  function receive(message: Message, from: Address): void {
    switch (message.kind) {
      case 'Beat':
        return onHeartbeat(message, from);
      case 'News':
        return onNews(message);
      case 'ConfigurationPatch':
        return configuration.handlePatch(message, from);
      case 'Peers':
        return prefills.handlePeers(message);
      case 'Reading':
        return prefills.handlePrefills(message);
      case 'WorkerList':
        return workerList.handleList(message, from);
      case 'WorkerLoads':
        return onLoads(message);
      default:
        return undefined;
    }
  }

  function nextTickDelay(): number {
    const interval = configuration.current() === undefined ? startupFollowIntervalUs : followInterval;
    return interval * (minIntervalFactor + intervalFactorRange * world.random());
  }

  tick();
  const stopTicking = every(world, () => micros(nextTickDelay()), tick);
  return {
    receive,
    configuration: configuration.current,
    adoption: configuration.adoption,
    workers: workerList.workers,
    loads: loads.loads,
    routerCount: nodes.followerCount,
    isInContact: nodes.isInContact,
    votingNodes: nodes.voting,
    membership: () => ({ membershipEpoch, replicas }),
    source: nodes.source,
    announcePrefill: (worker, duration, failed = false) => prefills.announce(worker, duration, failed),
    setSeeds: (addresses) => {
      seeds = addresses;
    },
    stop: () => {
      stopTicking();
      configuration.stop();
    },
  };
}
