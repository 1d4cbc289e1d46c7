/**
 * What a router hears of the control nodes: the configuration in force, the workers there are and their loads. It
 * follows every control node it knows of with one small message; each answers with a beat, and one of them, the
 * router's source, also sends the configuration. Control nodes tell which machines hold replicas now, so that a router
 * outlives all of its seeds. With nobody to tell it, a router goes on with what it has.
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
import { createPrefillExchange } from './read-exchange.js';
import { createWorkerListFollower } from './worker-list-follower.js';
import { createWorkerLoadTable, type WorkerLoad } from './worker-loads.js';

/** A second key to be told of. */
export interface AdditionalKey {
  readonly key: string;
  /** The version that is had here. */
  readonly version: () => number;
  readonly take: (item: KeyUpdate) => void;
}

export interface ControlFeedOptions {
  readonly self: Address;
  readonly member: string;
  readonly zone: string;
  /** The region of a zone; without it each zone is a region of its own. */
  readonly regionOf?: (zone: string) => string;
  readonly seeds: readonly Address[];
  readonly fetchWorkerList: () => Promise<readonly ListedWorker[] | undefined>;
  readonly onChange: (what: 'configuration' | 'workers') => void;
  /** Loads of workers that are newer than what was known. */
  readonly onWorkerLoads?: (loads: readonly WorkerLoad[]) => void;
  /** Another router has sent a worker a prompt that takes so long to read, in microseconds. */
  readonly onPeerPrefill?: (worker: string, service: number, bad: boolean) => void;
  readonly additionalKey?: AdditionalKey;
  /**
   * A control node has told its time of day, `wall`, in milliseconds since 1970. It was read between `askedAt` and
   * `heardAt`, which are times of this router's monotonic clock in microseconds.
   */
  readonly onClockReading?: (source: Address, wall: number, askedAt: number, heardAt: number) => void;
  /** How long a starting router holds out for an answer under a serving lease, in microseconds. */
  readonly unconfirmedTimeout?: number;
  readonly followInterval?: number;
  /** How old the newest look at the list of workers may get before the router looks itself. */
  readonly maxWorkerListAge?: number;
}

export interface ControlFeed {
  readonly receive: (message: Message, from: Address) => void;
  /** The configuration that this router works by. */
  readonly configuration: () => Configuration | undefined;
  /** How it came into force. */
  readonly adoption: () => Adoption | undefined;
  readonly workers: () => readonly ListedWorker[];
  readonly loads: () => ReadonlyMap<string, WorkerLoad>;
  /** How many routers follow the control nodes, as these count them; 0 when none has told. */
  readonly routerCount: () => number;
  readonly isInContact: () => boolean;
  /** The control nodes heard that vote, in an order that is the same for all routers. */
  readonly votingNodes: () => readonly Address[];
  /** The replicas of the control cluster as last told; the epoch is 0 as long as nobody has told any. */
  readonly membership: () => { readonly membershipEpoch: number; readonly replicas: readonly ReplicaEntry[] };
  /** The control node that sends the configuration to this router. */
  readonly source: () => Address | undefined;
  /** Tells the other routers of a read; those within a moment go out together. */
  readonly announcePrefill: (worker: string, service: number, bad?: boolean) => void;
  /** The seeds of a settings file that has changed. */
  readonly setSeeds: (seeds: readonly Address[]) => void;
  readonly stop: () => void;
}

const defaultContactTime = 3_000_000;
const defaultFollowEvery = 450_000;
const defaultListPatience = 1_500_000;
const startingFollowEvery = 120_000;
/** Control nodes that are not the source are asked in one of so many rounds. */
const confirmingRounds = 2;
const secondKeyEvery = 10_000_000;
/** A beat counts as an answer to a question asked at most so long ago. */
const beatFreshFor = 500_000;
/** The jitter of the rounds of questions: they come after 0.9 to 1.1 of their period. */
const shortestPeriod = 0.9;
const periodSpread = 0.2;
const clockOriginRange = 2 ** 40;
const noPeersWanted = -1;

export function createControlFeed(world: World, options: ControlFeedOptions): ControlFeed {
  const followEvery = options.followInterval ?? defaultFollowEvery;
  // Echoed by control nodes; a random origin keeps answers to an earlier process of this address from counting.
  const clockOrigin = 1 + Math.floor(world.random() * clockOriginRange);
  const nodes = createControlNodeTable(world, { ...options, sourceTimeout: 1.5 * followEvery });
  const loads = createWorkerLoadTable(world);
  const reads = createPrefillExchange(world, { ...options, relay: () => nodes.voting()[0] });
  const workerList = createWorkerListFollower(world, {
    nodes,
    fetchWorkerList: options.fetchWorkerList,
    onChange: () => options.onChange('workers'),
    requestWholeList: (address) => follow(address, usualAsking(address)),
    maxListAge: options.maxWorkerListAge ?? defaultListPatience,
  });
  const configuration = createConfigurationFollower(world, {
    nodes,
    unconfirmedTimeout: options.unconfirmedTimeout ?? defaultContactTime,
    follow: follow,
    onAdopted: () => options.onChange('configuration'),
  });
  let seeds = options.seeds;
  let replicas: readonly ReplicaEntry[] = [];
  let membershipEpoch = 0;
  let secondKeyAt = 0;
  let round = 0;

  function usualAsking(address: Address): FollowOptions {
    return { wantsConfiguration: address === nodes.source(), acceptsPatches: true };
  }

  function follow(address: Address, asking: FollowOptions): void {
    world.send(address, {
      kind: 'Follow',
      key: configurationKey,
      version: configuration.newestVersion(),
      membershipEpoch,
      list: nodes.state(address).list,
      peers: address === nodes.voting()[0] ? reads.peersDigest() : noPeersWanted,
      confirmOnly: !asking.wantsConfiguration,
      takesPatches: asking.acceptsPatches,
      asked: clockOrigin + world.now(),
    });
  }

  function tick(): void {
    const members = replicas.map((replica) => replica.address as Address);
    const targets = new Set(members.length > 0 && nodes.isInContact() ? members : [...members, ...seeds]);
    nodes.chooseSource();
    const first = firstVoting();
    for (const address of targets) if (address === first || isDue(address)) follow(address, usualAsking(address));
    round += 1;
    nodes.retainOnly(targets);
    followSecondKey();
    workerList.fetchIfStale();
  }

  /** The first replica that votes looks at the list of workers most often, so its beats confirm the list. */
  function firstVoting(): Address | undefined {
    const voting = new Set<string>(nodes.voting());
    return replicas.find((replica) => voting.has(replica.address))?.address as Address | undefined;
  }

  /**
   * The source is asked in each round; the others, which tell of new versions unasked, only confirm that they are there.
   * Without a source or a configuration, all are asked.
   */
  function isDue(address: Address): boolean {
    const source = nodes.source();
    if (source === undefined || address === source || configuration.current() === undefined) return true;
    return (round + hash32(address)) % confirmingRounds === 0;
  }

  /** What is pushed to all may have been missed: so one control node is asked now and then. */
  function followSecondKey(): void {
    const address = nodes.voting()[0];
    const second = options.additionalKey;
    if (second === undefined || address === undefined || world.now() < secondKeyAt) return;
    secondKeyAt = world.now() + secondKeyEvery;
    world.send(address, {
      kind: 'Follow',
      key: second.key,
      version: second.version(),
      membershipEpoch,
      list: nodes.state(address).list,
      peers: noPeersWanted,
      confirmOnly: false,
      takesPatches: false,
      asked: 0,
    });
  }

  function onBeat(beat: MessageOf<'Beat'>, from: Address): void {
    const age = clockOrigin + world.now() - beat.asked;
    const fresh = age >= 0 && age <= beatFreshFor;
    nodes.recordBeat(beat, from, fresh);
    if (fresh && beat.wall > 0) options.onClockReading?.(from, beat.wall, beat.asked - clockOrigin, world.now());
    workerList.confirmList(beat.list, beat.age, from);
    configuration.handleBeat(beat, from, fresh);
  }

  function onNews(told: MessageOf<'News'>): void {
    if (told.membershipEpoch > membershipEpoch && told.replicas.length > 0) {
      membershipEpoch = told.membershipEpoch;
      replicas = told.replicas;
    }
    for (const item of told.news) {
      if (item.key !== configurationKey) options.additionalKey?.take(item);
      else
        configuration.handleConfiguration({
          version: item.version,
          value: unpackConfiguration(Buffer.from(item.value)),
        });
    }
  }

  function onLoads(told: MessageOf<'WorkerLoads'>): void {
    const newer = loads.merge(told);
    options.onWorkerLoads?.(newer);
  }

  function receive(message: Message, from: Address): void {
    switch (message.kind) {
      case 'Beat':
        return onBeat(message, from);
      case 'News':
        return onNews(message);
      case 'ConfigurationPatch':
        return configuration.handlePatch(message, from);
      case 'Peers':
        return reads.handlePeers(message);
      case 'Reading':
        return reads.handlePrefills(message);
      case 'WorkerList':
        return workerList.handleList(message, from);
      case 'WorkerLoads':
        return onLoads(message);
      default:
        return undefined;
    }
  }

  function nextTick(): number {
    const period = configuration.current() === undefined ? startingFollowEvery : followEvery;
    return period * (shortestPeriod + periodSpread * world.random());
  }

  tick();
  const stopTicking = every(world, () => micros(nextTick()), tick);
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
    announcePrefill: (worker, service, bad = false) => reads.announce(worker, service, bad),
    setSeeds: (addresses) => {
      seeds = addresses;
    },
    stop: () => {
      stopTicking();
      configuration.stop();
    },
  };
}
