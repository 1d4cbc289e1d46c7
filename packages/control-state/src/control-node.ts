/**
 * One node of the control cluster: its replica, the keys it leads, the leases it grants and holds, and its followers.
 * This module wires the parts together; each is implemented in its own module.
 */
import {
  every,
  key as toKey,
  micros,
  rendezvous,
  type Address,
  type Key,
  type Message,
  type MessageOf,
  type World,
} from '@tansypost/inner-protocol';
import { createAntiEntropy } from './anti-entropy.js';
import { isLeasedToRouters, isInternalKey, type NodeContext } from './node-context.js';
import { createCommittedRows } from './committed-rows.js';
import { createFollowers, type FollowStatus } from './followers.js';
import { reportBootstrapWait } from './bootstrap-wait-report.js';
import { createGracefulLeave, type LeaveResult } from './graceful-leave.js';
import { createKeyLeader, type KeyLeader } from './key-leader.js';
import { createKeyRequests } from './key-requests.js';
import { membershipKey } from './membership-record.js';
import { createMembershipChanges } from './membership-changes.js';
import { createPeerLiveness } from './peer-liveness.js';
import { createQuorumRounds } from './quorum-round.js';
import { createReplica, type Replica, type ReplicaOptions } from './replica.js';
import type { ReplicaState } from './replica-storage.js';
import { reportReplicaShortage } from './replica-shortage.js';
import { createRouterLeases } from './router-leases.js';
import type { Row } from './row.js';
import { createServingLeases, renewalInterval } from './serving-lease.js';

/** The settings of a control node. */
export interface ControlNodeOptions extends Omit<ReplicaOptions, 'onCaughtUp'> {
  /** Duration of the leases that routers are granted. */
  readonly routerLeaseUs: number;
  /** Addresses that are sent the membership record periodically without a subscription. */
  readonly seeds: readonly Address[];
  readonly antiEntropyIntervalUs?: number;
  /** Time without a hello after which a replica may be replaced. */
  readonly missingAfterUs?: number;
  /** Number of replicas that the cluster grows to; see `targetReplicaCount`. */
  readonly targetReplicas?: number;
  /** Called when a row is committed, and when a change of it is acknowledged. */
  readonly observe?: (what: 'committed' | 'acknowledged', key: string, version: number) => void;
}

/** A key that this node leads. */
export interface LedKey {
  readonly key: Key;
  readonly epoch: number;
  readonly version: number;
}

/** A control node. */
export interface ControlNode {
  readonly receive: (message: Message, from: Address) => void;
  readonly replica: Replica;
  /** Registers a follower of a key and sends it the row and the membership record if they are newer than its own. */
  readonly follow: (key: string, version: number, membershipEpoch: number, from: Address) => FollowStatus;
  /** Position of this replica among the live ones, starting at 0. */
  readonly rankAmongLive: () => number;
  readonly liveReplicas: () => readonly Address[];
  readonly ledKeys: () => LedKey[];
  /**
   * Starts a graceful leave, which ends within `timeoutUs`: its keys and, if a machine is ready, its slot go to others.
   */
  readonly leave: (timeoutUs: number, done: (result: LeaveResult) => void) => void;
  readonly stop: () => void;
}

const helloInterval = micros(300_000);
const announceInterval = micros(1_000_000);
const pruneInterval = micros(1_000_000);
const defaultAntiEntropyIntervalUs = 500_000;
/** How long a replica's membership record may be outdated before this node rewrites the newest one. */
const maxBehindUs = 600_000;

/** Starts a control node from the contents of its disk. */
export function createControlNode(world: World, options: ControlNodeOptions): ControlNode {
  const replica = createReplica(world, { ...options, onStateChange, onCaughtUp });
  const rounds = createQuorumRounds({ ...world, send: sendFromSelf }, replica);
  const leaders = new Map<string, KeyLeader>();
  const node: NodeContext = { world, self: options.self, replica, rounds, leaderOf, leaders: () => leaders };
  const hasConfiguredSlots = options.slot !== undefined;
  const peers = createPeerLiveness(world, replica, {
    ...(options.missingAfterUs === undefined ? {} : { missingAfterUs: options.missingAfterUs }),
    onReconnected: replica.catchUp.restart,
  });
  const committed = createCommittedRows(node);
  const servingLeases = createServingLeases(node, committed);
  const routerLeases = createRouterLeases(node, options.routerLeaseUs);
  const followers = createFollowers({
    node,
    committed,
    servingLeases,
    routerLeases,
    shouldLead,
    isSettled: peers.isSettled,
    seeds: options.seeds,
  });
  const membershipChanges = createMembershipChanges({
    node,
    peers,
    hasConfiguredSlots,
    isCoordinator: () => shouldLead(membershipKey),
    onAttempted: sendHellos,
    ...(options.targetReplicas === undefined ? {} : { targetReplicas: options.targetReplicas }),
  });
  const handleKeyRequest = createKeyRequests({
    node,
    preferredLeader,
    routerLeases,
    onAcknowledged: (key, version) => options.observe?.('acknowledged', key, version),
  });
  const runAntiEntropy = createAntiEntropy({ node, shouldLead, onConfirmed: announceCommit });
  const gracefulLeave = createGracefulLeave({
    node,
    hasJoinCandidate: membershipChanges.hasCandidate,
    announce: sendHellos,
  });

  function sendFromSelf(to: Address, message: Message): void {
    world.send(
      to,
      'from' in message && message.from === '' ? ({ ...message, from: options.self } as Message) : message,
    );
  }

  function leaderOf(key: string): KeyLeader {
    let leader = leaders.get(key);
    if (leader === undefined) {
      leader = createKeyLeader(world, { key, replica, rounds, onCommitted: (row) => onCommitted(key, row) });
      leaders.set(key, leader);
    }
    return leader;
  }

  function onCommitted(key: string, row: Row): void {
    committed.onWritten(key, row);
    options.observe?.('committed', key, row.version);
    followers.push(key, row);
    announceCommit(key, row);
  }

  /** The lease register of a key is led by the same node as the key. */
  function preferredLeader(key: string): number {
    const [first] = rendezvous(key.replace(/^tenures\//, ''), peers.healthy(), (entry) => `${entry.slot}`);
    return first?.slot ?? replica.slot;
  }

  function shouldLead(key: string): boolean {
    return preferredLeader(key) === replica.slot;
  }

  /** Announces to the other replicas the newest committed row of a key. */
  function announceCommit(key: string, row: Row): void {
    if (row.version === 0 || isInternalKey(key) || isLeasedToRouters(key)) return;
    const { epoch, version } = row;
    for (const entry of replica.membership().replicas)
      if (entry.slot !== replica.slot) world.send(entry.address as Address, { kind: 'Committed', key, epoch, version });
  }

  function rankAmongLive(): number {
    const live = peers.live();
    const index = live.findIndex((entry) => entry.slot === replica.slot);
    return index < 0 ? live.length : index;
  }

  function onHello(hello: MessageOf<'ReplicaHello'>): void {
    if (replica.isFromOtherCluster(hello)) return;
    if (!hasConfiguredSlots) peers.noteNewDisks();
    const from = hello.from as Address;
    const entry = replica.membership().replicas.find((member) => member.slot === hello.slot);
    const isOtherDisk = entry !== undefined && entry.disk !== hello.disk;
    if (hello.slot !== replica.slot && hello.slot >= 0 && (!isOtherDisk || hasConfiguredSlots)) recordPeer(hello, from);
    const { membershipEpoch } = replica.membership();
    // A brief hello names a newer membership record without its members, because the sender knew this disk before it
    // was lost.
    if (hello.membershipEpoch > membershipEpoch && hello.replicas.length === 0) world.send(from, replica.hello());
    replica.receiveHello(hello);
    if (replica.state() === 'blank' && replica.membership().membershipEpoch > membershipEpoch) replica.tick();
    if (replica.state() !== 'voting' || hello.slot === replica.slot) return;
    if (!isOtherDisk) finishMembershipIfBehind(hello);
    if (!hasConfiguredSlots && (isOtherDisk || entry === undefined)) return answerNonMember(hello, from);
    if (hello.state === 'blank' && entry !== undefined) onBlankMember(hello, isOtherDisk);
  }

  function recordPeer(hello: MessageOf<'ReplicaHello'>, from: Address): void {
    const didVote = peers.live().some((entry) => entry.slot === hello.slot);
    peers.receiveHello(hello);
    if (!didVote && hello.state === 'voting') world.send(from, replica.hello());
  }

  /**
   * Rewrites a membership record that only some replicas have accepted; otherwise they would fence each other
   * permanently.
   */
  function finishMembershipIfBehind(hello: MessageOf<'ReplicaHello'>): void {
    const behind = hello.membershipEpoch > 0 && hello.membershipEpoch < replica.membership().membershipEpoch;
    if (hello.state !== 'voting' || !behind) return;
    if (hasConfiguredSlots || world.now() - peers.behindSince(hello.slot) > maxBehindUs)
      membershipChanges.propose({ kind: 'finish' });
  }

  function answerNonMember(hello: MessageOf<'ReplicaHello'>, from: Address): void {
    const outdated = hello.membershipEpoch < replica.membership().membershipEpoch;
    if (outdated || hello.state === 'fenced') world.send(from, replica.hello());
  }

  /**
   * Handles a blank disk on a slot of the membership record: it is sent the record, or it replaces the slot's previous
   * disk once it has copied.
   */
  function onBlankMember(hello: MessageOf<'ReplicaHello'>, isOtherDisk: boolean): void {
    const { slot, disk } = hello;
    const mayReplace = hasConfiguredSlots && isOtherDisk && !replica.hello().founders.includes(disk);
    if (!isOtherDisk || (mayReplace && !hello.caughtUp)) world.send(hello.from as Address, replica.hello());
    if (mayReplace && hello.caughtUp) membershipChanges.propose({ kind: 'replace', slot, address: hello.from, disk });
  }

  /**
   * Sends hellos and join requests. Replicas known to have the same membership record get a brief hello without the
   * members.
   */
  function sendHellos(): void {
    peers.noteOwnPause();
    if (replica.slot >= 0 || replica.state() === 'fenced') sendHellosToReplicas();
    if (!hasConfiguredSlots && replica.state() === 'blank' && !replica.isMember()) sendJoinRequests();
    sendBootstrapView();
    replica.tick();
  }

  function sendHellosToReplicas(): void {
    const { replicas, membershipEpoch } = replica.membership();
    const addressesUpToDate = new Set(
      replicas.filter((entry) => peers.hasSameMembership(entry.slot)).map((entry) => entry.address),
    );
    const configured = hasConfiguredSlots || membershipEpoch === 0 ? options.bootstrapMembers : [];
    const fullHello = replica.hello();
    const briefHello = replica.hello(true);
    for (const address of others([...configured, ...replicas.map((entry) => entry.address)]))
      world.send(address, membershipEpoch > 0 && addressesUpToDate.has(address) ? briefHello : fullHello);
  }

  function sendJoinRequests(): void {
    const { replicas } = replica.membership();
    const caughtUp = replica.catchUp.isCaughtUp();
    const first = options.mayBootstrap === true;
    for (const address of others([...options.bootstrapMembers, ...replicas.map((entry) => entry.address)]))
      world.send(address, { kind: 'Join', from: options.self, disk: replica.diskId(), first, caughtUp });
  }

  /** Sent only by machines without control state, and only if no seed holds control state. */
  function sendBootstrapView(): void {
    const view = replica.bootstrapView();
    for (const address of view?.to ?? []) world.send(address, view!.message);
  }

  /** Sends the membership to a candidate that does not know the cluster yet. */
  function onFoundingView(view: MessageOf<'FoundingView'>): void {
    if (replica.membership().membershipEpoch > 0) world.send(view.from as Address, replica.hello());
    else replica.receiveCandidates(view);
  }

  function others(addresses: readonly string[]): Address[] {
    const found = new Set(addresses);
    found.delete(options.self);
    return [...found] as Address[];
  }

  function onStateChange(state: ReplicaState): void {
    options.onStateChange?.(state);
    if (state !== 'fenced') world.after(micros(0), sendHellos);
  }

  function onCaughtUp(): void {
    world.after(micros(0), sendHellos);
  }

  function answerPrepare(request: MessageOf<'Prepare'>): void {
    const respond = membershipChanges.mustRefuse(request) ? replica.refuse : replica.vote;
    respond(request, (vote) => world.send(request.from as Address, vote));
  }

  function receive(message: Message): void {
    switch (message.kind) {
      case 'Ask':
        return handleKeyRequest(message);
      case 'Prepare':
        return answerPrepare(message);
      case 'Accept':
      case 'Check':
        return replica.vote(message, (vote) => world.send(message.from as Address, vote));
      case 'Vote':
        return rounds.receiveVote(message);
      case 'ReplicaHello':
        return onHello(message);
      case 'HoldsNoState':
        return replica.markStateless(message.from as Address);
      case 'FoundingRoster':
        return replica.receiveCandidates(message);
      case 'FoundingView':
        return onFoundingView(message);
      case 'Join':
        peers.noteOwnPause();
        return membershipChanges.join(message);
      case 'CopyAsk':
        return world.send(message.from as Address, replica.catchUp.answer(message));
      case 'CopyPage':
        return replica.catchUp.receivePage(message);
      case 'Subscribe':
        return followers.subscribe(message);
      case 'Committed':
        return committed.onAnnounced(message.key, message);
      default:
        return undefined;
    }
  }

  sendHellos();
  const stops = [
    every(world, () => helloInterval, sendHellos),
    every(world, () => announceInterval, followers.announceMembership),
    every(world, () => pruneInterval, routerLeases.prune),
    every(world, () => micros(options.antiEntropyIntervalUs ?? defaultAntiEntropyIntervalUs), runAntiEntropy),
    every(world, () => renewalInterval, servingLeases.renew),
  ];
  stops.push(reportBootstrapWait(world, replica));
  if (options.targetReplicas !== undefined)
    stops.push(
      reportReplicaShortage(world, {
        replica,
        isCoordinator: () => shouldLead(membershipKey),
        targetReplicas: options.targetReplicas,
      }),
    );
  return {
    receive,
    replica,
    follow: followers.follow,
    rankAmongLive,
    liveReplicas: () => peers.live().map((entry) => entry.address as Address),
    ledKeys: () => [...leaders].filter(([, each]) => each.isLeading()).map(([key, each]) => ledKey(key, each)),
    leave: gracefulLeave.start,
    stop: () => stops.forEach((stop) => stop()),
  };
}

function ledKey(key: string, leader: KeyLeader): LedKey {
  const { epoch, version } = leader.row();
  return { key: toKey(key), epoch, version };
}
