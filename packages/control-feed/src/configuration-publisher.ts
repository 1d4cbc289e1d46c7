/**
 * The control node's side of the configuration. The node is a follower of its own replica: it is told what is on a
 * majority, and nothing else, and tells it on. Followers that have this node as their source are sent each new version
 * itself; the others are sent a beat with the version, so that one whose source is behind can fetch it here. What goes
 * to one follower is paced, and the last thing sent is always the newest.
 */
import { every, micros, type Address, type MessageOf, type KeyUpdate, type World } from '@tansypost/inner-protocol';
import type { ControlNode, FollowStatus } from '@tansypost/control-state';
import { configurationKey } from './configuration.js';
import { createConfigurationHistory } from './configuration-history.js';

export interface ConfigurationPublisherOptions {
  readonly self: Address;
  readonly controlNode: () => ControlNode | undefined;
  /** The followers that have asked lately. */
  readonly followers: () => readonly Address[];
  /** Sends a follower an unasked beat. */
  readonly sendBeat: (to: Address, version: number) => void;
}

export interface ConfigurationPublisher {
  /** Sends a follower that asks what it lacks, and gives what is to be said in the beat. */
  readonly handleFollow: (question: MessageOf<'Follow'>, from: Address) => FollowStatus | undefined;
  /** What this node's own replica tells it as a follower. */
  readonly handleNews: (told: MessageOf<'News'>) => void;
  /** Another control node has told that a version is on a majority. */
  readonly handleCommitted: (version: number) => void;
  readonly stop: () => void;
}

interface Pace {
  wanted: boolean;
  takesPatches: boolean;
  /** The version that the follower has or is being sent. */
  version: number;
  sentAt: number;
  pending: boolean;
}

/** Two versions go to one follower at least so far apart. */
const pushApart = 50_000;
/** Two unasked beats go to one follower at least so far apart. */
const beatsApart = 200_000;
/** What was sent so lately is not sent again to a follower that asks, as the two may have crossed. */
const crossing = 200_000;
const refreshEvery = micros(250_000);
/** A row told to be on a majority may still be on its way to this node's own disk. */
const catchUpEvery = micros(10_000);
const catchUpTries = 50;
const anyMembership = Number.MAX_SAFE_INTEGER;

export function createConfigurationPublisher(
  world: World,
  options: ConfigurationPublisherOptions,
): ConfigurationPublisher {
  const history = createConfigurationHistory();
  const others = new Map<string, KeyUpdate>();
  /** Followers that wait for this node's replica to tell a key. */
  const askers = new Map<string, Set<Address>>();
  const paces = new Map<Address, Pace>();
  let committedVersion = 0;
  let catchingUp = false;

  function newestVersion(): number {
    return history.newest()?.version ?? 0;
  }

  /** Renews what this node follows at its own replica; what is newer comes back as news to this address. */
  function refresh(key = configurationKey): FollowStatus | undefined {
    const version = key === configurationKey ? newestVersion() : (others.get(key)?.version ?? 0);
    return options.controlNode()?.follow(key, version, anyMembership, options.self);
  }

  function paceOf(address: Address): Pace {
    let pace = paces.get(address);
    if (pace === undefined) {
      pace = { wanted: false, takesPatches: false, version: 0, sentAt: -Infinity, pending: false };
      paces.set(address, pace);
    }
    return pace;
  }

  function asked(question: MessageOf<'Follow'>, from: Address): FollowStatus | undefined {
    if (question.key !== configurationKey) return void askedForOther(question, from);
    const following = refresh();
    const pace = paceOf(from);
    pace.wanted = !question.confirmOnly;
    pace.takesPatches = question.takesPatches;
    const mayCross = pace.version > question.version && world.now() - pace.sentAt < crossing && question.takesPatches;
    if (!mayCross) pace.version = question.version;
    if (pace.wanted && pace.version < newestVersion()) push(from);
    else tellMembership(question, from);
    return following;
  }

  /** Of any other key only what is newer is told, without a beat. */
  function askedForOther(question: MessageOf<'Follow'>, from: Address): void {
    const { key, version } = question;
    const node = options.controlNode();
    if (node === undefined || node.replica.row(key).version === 0) return;
    const known = others.get(key);
    const newest = refresh(key)?.version ?? 0;
    if (newest > (known?.version ?? 0)) waitFor(key, from);
    else if (known !== undefined && known.version > version) sendNews(from, [known]);
  }

  function waitFor(key: string, follower: Address): void {
    const waiting = askers.get(key) ?? new Set();
    askers.set(key, waiting.add(follower));
  }

  function tellMembership(question: MessageOf<'Follow'>, from: Address): void {
    const membership = options.controlNode()?.replica.membership();
    if (membership !== undefined && membership.membershipEpoch > question.membershipEpoch) sendNews(from, []);
  }

  function sendNews(to: Address, news: KeyUpdate[]): void {
    const membership = options.controlNode()?.replica.membership();
    const { membershipEpoch, replicas } = membership ?? { membershipEpoch: 0, replicas: [] };
    world.send(to, { kind: 'News', news, membershipEpoch, replicas: [...replicas] });
  }

  function send(to: Address, pace: Pace): void {
    const newest = history.newest();
    if (newest === undefined) return;
    const patch = pace.takesPatches ? history.patchFrom(pace.version) : undefined;
    if (patch !== undefined) world.send(to, patch);
    else sendNews(to, [{ key: configurationKey, epoch: 0, ...newest }]);
    pace.version = newest.version;
    pace.sentAt = world.now();
  }

  /** Sends the newest version, or a beat with it, now or as soon as the pace allows. */
  function push(to: Address): void {
    const pace = paceOf(to);
    if (pace.pending) return;
    const due = pace.sentAt + (pace.wanted ? pushApart : beatsApart);
    if (due <= world.now()) return pushNow(to, pace);
    pace.pending = true;
    world.after(micros(due - world.now()), () => {
      pace.pending = false;
      pushNow(to, pace);
    });
  }

  function pushNow(to: Address, pace: Pace): void {
    if (pace.version >= newestVersion()) return;
    if (pace.wanted) return send(to, pace);
    options.sendBeat(to, newestVersion());
    pace.sentAt = world.now();
  }

  function take(told: MessageOf<'News'>): void {
    for (const item of told.news) {
      if (item.key !== configurationKey) takeOther(item);
      else if (history.add({ version: item.version, value: item.value })) pushToAll();
    }
  }

  function pushToAll(): void {
    const followers = new Set(options.followers());
    for (const address of paces.keys()) if (!followers.has(address)) paces.delete(address);
    for (const address of followers) push(address);
  }

  /** What this node's leader has just written goes to all; what it was asked for goes to those who asked. */
  function takeOther(item: KeyUpdate): void {
    const isNewer = item.version > (others.get(item.key)?.version ?? 0);
    const receivers = askers.get(item.key) ?? options.followers();
    askers.delete(item.key);
    if (!isNewer) return;
    others.set(item.key, item);
    for (const address of receivers) sendNews(address, [item]);
  }

  function committed(version: number): void {
    committedVersion = Math.max(committedVersion, version);
    world.after(micros(0), () => catchUp(catchUpTries));
  }

  function catchUp(tries: number): void {
    if (catchingUp || tries === 0 || newestVersion() >= committedVersion) return;
    refresh();
    catchingUp = true;
    world.after(catchUpEvery, () => {
      catchingUp = false;
      catchUp(tries - 1);
    });
  }

  const stop = every(
    world,
    () => refreshEvery,
    () => void refresh(),
  );
  return { handleFollow: asked, handleNews: take, handleCommitted: committed, stop };
}
