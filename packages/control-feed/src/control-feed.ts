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
  type NewsItem,
  type ReplicaEntry,
  type World,
} from '@tansypost/inner-protocol';
import { configurationKey, type Configuration } from './configuration.js';
import { unpackConfiguration } from './configuration-packing.js';
import { createConfigurationFollower, type Adoption, type Asking } from './configuration-follower.js';
import { createControlNodeTable } from './control-node-table.js';
import type { ListedWorker } from './listed-worker.js';
import { createReadExchange } from './read-exchange.js';
import { createWorkerListFollower } from './worker-list-follower.js';
import { createWorkerLoadTable, type WorkerLoad } from './worker-loads.js';

/** A second key to be told of. */
export interface SecondKey {
  readonly key: string;
  /** The version that is had here. */
  readonly version: () => number;
  readonly take: (item: NewsItem) => void;
}

export interface ControlFeedOptions {
  readonly self: Address;
  readonly member: string;
  readonly zone: string;
  /** The region of a zone; without it each zone is a region of its own. */
  readonly regionOf?: (zone: string) => string;
  readonly seeds: readonly Address[];
  readonly fetchList: () => Promise<readonly ListedWorker[] | undefined>;
  readonly changed: (what: 'configuration' | 'workers') => void;
  /** Loads of workers that are newer than what was known. */
  readonly loadsTold?: (loads: readonly WorkerLoad[]) => void;
  /** Another router has sent a worker a prompt that takes so long to read, in microseconds. */
  readonly elsewhere?: (worker: string, service: number, bad: boolean) => void;
  readonly more?: SecondKey;
  /**
   * A control node has told its time of day, `wall`, in milliseconds since 1970. It was read between `askedAt` and
   * `heardAt`, which are times of this router's monotonic clock in microseconds.
   */
  readonly clockTold?: (source: Address, wall: number, askedAt: number, heardAt: number) => void;
  /** How long a starting router holds out for an answer under a serving lease, in microseconds. */
  readonly contactTime?: number;
  readonly followEvery?: number;
  /** How old the newest look at the list of workers may get before the router looks itself. */
  readonly listPatience?: number;
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
  readonly routers: () => number;
  readonly heardCore: () => boolean;
  /** The control nodes heard that vote, in an order that is the same for all routers. */
  readonly keepers: () => readonly Address[];
  /** The replicas of the control cluster as last told; the epoch is 0 as long as nobody has told any. */
  readonly membership: () => { readonly membershipEpoch: number; readonly replicas: readonly ReplicaEntry[] };
  /** The control node that sends the configuration to this router. */
  readonly source: () => Address | undefined;
  /** Tells the other routers of a read; those within a moment go out together. */
  readonly reading: (worker: string, service: number, bad?: boolean) => void;
  /** The seeds of a settings file that has changed. */
  readonly reseed: (seeds: readonly Address[]) => void;
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
  const followEvery = options.followEvery ?? defaultFollowEvery;
  // Echoed by control nodes; a random origin keeps answers to an earlier process of this address from counting.
  const clockOrigin = 1 + Math.floor(world.random() * clockOriginRange);
  const nodes = createControlNodeTable(world, { ...options, sourceSilence: 1.5 * followEvery });
  const loads = createWorkerLoadTable(world);
  const reads = createReadExchange(world, { ...options, relay: () => nodes.voting()[0] });
  const workerList = createWorkerListFollower(world, {
    nodes,
    fetchList: options.fetchList,
    changed: () => options.changed('workers'),
    askAgain: (address) => follow(address, usualAsking(address)),
    patience: options.listPatience ?? defaultListPatience,
  });
  const configuration = createConfigurationFollower(world, {
    nodes,
    contactTime: options.contactTime ?? defaultContactTime,
    ask: follow,
    adopted: () => options.changed('configuration'),
  });
  let seeds = options.seeds;
  let replicas: readonly ReplicaEntry[] = [];
  let membershipEpoch = 0;
  let secondKeyAt = 0;
  let round = 0;

  function usualAsking(address: Address): Asking {
    return { wanted: address === nodes.source(), takesPatches: true };
  }

  function follow(address: Address, asking: Asking): void {
    world.send(address, {
      kind: 'Follow',
      key: configurationKey,
      version: configuration.newestVersion(),
      membershipEpoch,
      list: nodes.state(address).list,
      peers: address === nodes.voting()[0] ? reads.peersDigest() : noPeersWanted,
      confirmOnly: !asking.wanted,
      takesPatches: asking.takesPatches,
      asked: clockOrigin + world.now(),
    });
  }

  function tick(): void {
    const members = replicas.map((replica) => replica.address as Address);
    const targets = new Set(members.length > 0 && nodes.isInTouch() ? members : [...members, ...seeds]);
    nodes.chooseSource();
    const first = firstVoting();
    for (const address of targets) if (address === first || isDue(address)) follow(address, usualAsking(address));
    round += 1;
    nodes.keepOnly(targets);
    followSecondKey();
    workerList.lookIfStale();
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
    const second = options.more;
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
    nodes.heard(beat, from, fresh);
    if (fresh && beat.wall > 0) options.clockTold?.(from, beat.wall, beat.asked - clockOrigin, world.now());
    workerList.confirm(beat.list, beat.age, from);
    configuration.heard(beat, from, fresh);
  }

  function onNews(told: MessageOf<'News'>): void {
    if (told.membershipEpoch > membershipEpoch && told.replicas.length > 0) {
      membershipEpoch = told.membershipEpoch;
      replicas = told.replicas;
    }
    for (const item of told.news) {
      if (item.key !== configurationKey) options.more?.take(item);
      else configuration.take({ version: item.version, value: unpackConfiguration(Buffer.from(item.value)) });
    }
  }

  function onLoads(told: MessageOf<'WorkerLoads'>): void {
    const newer = loads.take(told);
    options.loadsTold?.(newer);
  }

  function receive(message: Message, from: Address): void {
    switch (message.kind) {
      case 'Beat':
        return onBeat(message, from);
      case 'News':
        return onNews(message);
      case 'ConfigurationPatch':
        return configuration.takePatch(message, from);
      case 'Peers':
        return reads.takePeers(message);
      case 'Reading':
        return reads.take(message);
      case 'WorkerList':
        return workerList.take(message, from);
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
    routers: nodes.followers,
    heardCore: nodes.isInTouch,
    keepers: nodes.voting,
    membership: () => ({ membershipEpoch, replicas }),
    source: nodes.source,
    reading: (worker, service, bad = false) => reads.tell(worker, service, bad),
    reseed: (addresses) => {
      seeds = addresses;
    },
    stop: () => {
      stopTicking();
      configuration.stop();
    },
  };
}
