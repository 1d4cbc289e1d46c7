/**
 * The control node's side of the configuration. The node follows its own replica, from which it receives committed
 * versions only, and sends them on to its followers. Followers that have this node as their source are sent each new
 * version itself; the others are sent a heartbeat with its number, so that one whose source is behind can fetch it
 * here. Sending to each follower is rate limited, and the last version sent is always the newest.
 */
import { every, micros, type Address, type MessageOf, type KeyUpdate, type World } from '@tansypost/inner-protocol';
import type { ControlNode, FollowStatus } from '@tansypost/control-state';
import { configurationKey } from './configuration.js';
import { createConfigurationHistory } from './configuration-history.js';

/** Options of the publisher. */
export interface ConfigurationPublisherOptions {
  readonly self: Address;
  readonly controlNode: () => ControlNode | undefined;
  /** The current followers. */
  readonly followers: () => readonly Address[];
  /** Sends a follower an unsolicited heartbeat. */
  readonly sendHeartbeat: (to: Address, version: number) => void;
}

/** Sends the configuration to the followers of one control node. */
export interface ConfigurationPublisher {
  /** Sends a follower what it lacks, and returns what the heartbeat in reply is to contain. */
  readonly handleFollow: (request: MessageOf<'Follow'>, from: Address) => FollowStatus | undefined;
  /** Handles committed values from this node's own replica. */
  readonly handleNews: (message: MessageOf<'News'>) => void;
  /** Another control node has sent that a version is committed. */
  readonly handleCommitted: (version: number) => void;
  readonly stop: () => void;
}

/** The state of sending to one follower. */
interface FollowerState {
  wantsConfiguration: boolean;
  acceptsPatches: boolean;
  /** The version that the follower has or is being sent. */
  version: number;
  lastSentAt: number;
  /** Whether a timer is set to send. */
  scheduled: boolean;
}

/** Minimum time between two versions sent to one follower. */
const minPushIntervalUs = 50_000;
/** Minimum time between two unsolicited heartbeats sent to one follower. */
const minHeartbeatIntervalUs = 200_000;
/** A version sent within this time isn't sent again in reply to a `Follow`, as the two may have crossed on the way. */
const crossingTimeUs = 200_000;
const refreshInterval = micros(250_000);
/** A committed row may not have reached this node's own disk yet. */
const catchUpInterval = micros(10_000);
const maxCatchUpAttempts = 50;
/** As the known epoch of the membership, so that the replica sends no membership. */
const newestMembershipEpoch = Number.MAX_SAFE_INTEGER;

/** Starts to publish. */
export function createConfigurationPublisher(
  world: World,
  options: ConfigurationPublisherOptions,
): ConfigurationPublisher {
  const history = createConfigurationHistory();
  /** The newest values of keys other than the configuration. */
  const otherKeys = new Map<string, KeyUpdate>();
  /** Followers that wait for a value from this node's replica, by key. */
  const waitingFollowers = new Map<string, Set<Address>>();
  const followerStates = new Map<Address, FollowerState>();
  let committedVersion = 0;
  let catchingUp = false;

  function newestVersion(): number {
    return history.newest()?.version ?? 0;
  }

  /** Follows this node's own replica again; a newer value arrives as a `News` message to this address. */
  function refresh(key = configurationKey): FollowStatus | undefined {
    const version = key === configurationKey ? newestVersion() : (otherKeys.get(key)?.version ?? 0);
    return options.controlNode()?.follow(key, version, newestMembershipEpoch, options.self);
  }

  function stateOf(address: Address): FollowerState {
    let state = followerStates.get(address);
    if (state === undefined) {
      state = { wantsConfiguration: false, acceptsPatches: false, version: 0, lastSentAt: -Infinity, scheduled: false };
      followerStates.set(address, state);
    }
    return state;
  }

  function handleFollow(request: MessageOf<'Follow'>, from: Address): FollowStatus | undefined {
    if (request.key !== configurationKey) return void followOtherKey(request, from);
    const status = refresh();
    const state = stateOf(from);
    state.wantsConfiguration = !request.confirmOnly;
    state.acceptsPatches = request.takesPatches;
    const mayHaveCrossed =
      state.version > request.version && world.now() - state.lastSentAt < crossingTimeUs && request.takesPatches;
    if (!mayHaveCrossed) state.version = request.version;
    if (state.wantsConfiguration && state.version < newestVersion()) push(from);
    else sendNewerMembership(request, from);
    return status;
  }

  /** For any other key only a newer value is sent, without a heartbeat. */
  function followOtherKey(request: MessageOf<'Follow'>, from: Address): void {
    const { key, version } = request;
    const node = options.controlNode();
    if (node === undefined || node.replica.row(key).version === 0) return;
    const knownUpdate = otherKeys.get(key);
    const newest = refresh(key)?.version ?? 0;
    if (newest > (knownUpdate?.version ?? 0)) addWaitingFollower(key, from);
    else if (knownUpdate !== undefined && knownUpdate.version > version) sendUpdates(from, [knownUpdate]);
  }

  function addWaitingFollower(key: string, follower: Address): void {
    const waiting = waitingFollowers.get(key) ?? new Set();
    waitingFollowers.set(key, waiting.add(follower));
  }

  function sendNewerMembership(request: MessageOf<'Follow'>, from: Address): void {
    const membership = options.controlNode()?.replica.membership();
    if (membership !== undefined && membership.membershipEpoch > request.membershipEpoch) sendUpdates(from, []);
  }

  /** Sends values of keys, with the membership of the control cluster. */
  function sendUpdates(to: Address, updates: KeyUpdate[]): void {
    const membership = options.controlNode()?.replica.membership();
    const { membershipEpoch, replicas } = membership ?? { membershipEpoch: 0, replicas: [] };
    world.send(to, { kind: 'News', news: updates, membershipEpoch, replicas: [...replicas] });
  }

  function sendConfiguration(to: Address, state: FollowerState): void {
    const newest = history.newest();
    if (newest === undefined) return;
    const patch = state.acceptsPatches ? history.patchFrom(state.version) : undefined;
    if (patch !== undefined) world.send(to, patch);
    else sendUpdates(to, [{ key: configurationKey, epoch: 0, ...newest }]);
    state.version = newest.version;
    state.lastSentAt = world.now();
  }

  /** Sends the newest version, or a heartbeat with its number, as soon as the rate limit allows. */
  function push(to: Address): void {
    const state = stateOf(to);
    if (state.scheduled) return;
    const dueAt = state.lastSentAt + (state.wantsConfiguration ? minPushIntervalUs : minHeartbeatIntervalUs);
    if (dueAt <= world.now()) return pushNow(to, state);
    state.scheduled = true;
    world.after(micros(dueAt - world.now()), () => {
      state.scheduled = false;
      pushNow(to, state);
    });
  }

  function pushNow(to: Address, state: FollowerState): void {
    if (state.version >= newestVersion()) return;
    if (state.wantsConfiguration) return sendConfiguration(to, state);
    options.sendHeartbeat(to, newestVersion());
    state.lastSentAt = world.now();
  }

  function handleNews(message: MessageOf<'News'>): void {
    for (const update of message.news) {
      if (update.key !== configurationKey) handleOtherKey(update);
      else if (history.add({ version: update.version, value: update.value })) pushToAll();
    }
  }

  function pushToAll(): void {
    const followers = new Set(options.followers());
    for (const address of followerStates.keys()) if (!followers.has(address)) followerStates.delete(address);
    for (const address of followers) push(address);
  }

  /**
   * A value requested from the replica goes to the followers that wait for it, one just written by this node to all.
   */
  function handleOtherKey(update: KeyUpdate): void {
    const isNewer = update.version > (otherKeys.get(update.key)?.version ?? 0);
    const receivers = waitingFollowers.get(update.key) ?? options.followers();
    waitingFollowers.delete(update.key);
    if (!isNewer) return;
    otherKeys.set(update.key, update);
    for (const address of receivers) sendUpdates(address, [update]);
  }

  function handleCommitted(version: number): void {
    committedVersion = Math.max(committedVersion, version);
    world.after(micros(0), () => catchUp(maxCatchUpAttempts));
  }

  function catchUp(attemptsLeft: number): void {
    if (catchingUp || attemptsLeft === 0 || newestVersion() >= committedVersion) return;
    refresh();
    catchingUp = true;
    world.after(catchUpInterval, () => {
      catchingUp = false;
      catchUp(attemptsLeft - 1);
    });
  }

  const stop = every(
    world,
    () => refreshInterval,
    () => void refresh(),
  );
  return { handleFollow, handleNews, handleCommitted, stop };
}
