/**
 * One node of the control cluster: its replica, the keys it leads, the leases it grants and holds, and those who follow
 * it. The parts are wired here; each does its work in a module of its own.
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
export interface ControlNodeOptions extends Omit<ReplicaOptions, 'learned'> {
  /** The length of the leases that routers are granted, in microseconds. */
  readonly routerLeaseUs: number;
  /** Addresses that are told the membership now and then without asking. */
  readonly seeds: readonly Address[];
  readonly antiEntropyIntervalUs?: number;
  /** After what silence a replica may be replaced. */
  readonly missingAfterUs?: number;
  /** How many replicas the cluster grows to; see `replicasFor`. */
  readonly targetReplicas?: number;
  readonly observe?: (what: 'committed' | 'acknowledged', key: string, version: number) => void;
}

/** A key that this node leads. */
export interface LedKey {
  readonly key: Key;
  readonly epoch: number;
  readonly version: number;
}

/** A control node, as its host uses it. */
export interface ControlNode {
  readonly receive: (message: Message, from: Address) => void;
  readonly replica: Replica;
  /** Takes in that somebody follows a key, and sends what is newer than what it has. */
  readonly follow: (key: string, version: number, membershipEpoch: number, from: Address) => FollowStatus;
  /** Where this replica stands among the live ones: 0 is the first. */
  readonly rankAmongLive: () => number;
  readonly liveReplicas: () => readonly Address[];
  readonly ledKeys: () => LedKey[];
  /** Leaves within `limit` microseconds: its keys and, if a machine stands ready, its slot go to others. */
  readonly leave: (limit: number, done: (result: LeaveResult) => void) => void;
  readonly stop: () => void;
}

const greetEvery = micros(300_000);
const announceEvery = micros(1_000_000);
const pruneEvery = micros(1_000_000);
const defaultSweepEvery = 500_000;
const behindAtMost = 600_000;

/** Starts a control node on what its disk holds. */
export function createControlNode(world: World, options: ControlNodeOptions): ControlNode {
  const replica = createReplica(world, { ...options, onStateChange: entered, learned });
  const rounds = createQuorumRounds({ ...world, send: sendFromSelf }, replica);
  const leaders = new Map<string, KeyLeader>();
  const cluster: NodeContext = { world, self: options.self, replica, rounds, leaderOf: leader, leaders: () => leaders };
  const slotsAreStated = options.slot !== undefined;
  const peers = createPeerLiveness(world, replica, {
    ...(options.missingAfterUs === undefined ? {} : { missingAfterUs: options.missingAfterUs }),
    reunited: replica.catchUp.restart,
  });
  const committed = createCommittedRows(cluster);
  const servingLeases = createServingLeases(cluster, committed);
  const routerLeases = createRouterLeases(cluster, options.routerLeaseUs);
  const followers = createFollowers({
    cluster,
    committed,
    servingLeases,
    routerLeases,
    shouldLead,
    isSettled: peers.isSettled,
    seeds: options.seeds,
  });
  const membershipChanges = createMembershipChanges({
    cluster,
    peers,
    slotsAreStated,
    isCoordinator: () => shouldLead(membershipKey),
    tried: greet,
    ...(options.targetReplicas === undefined ? {} : { targetReplicas: options.targetReplicas }),
  });
  const request = createKeyRequests({
    cluster,
    preferredLeader,
    routerLeases,
    acknowledged: (key, version) => options.observe?.('acknowledged', key, version),
  });
  const sweep = createAntiEntropy({ cluster, shouldLead, confirmed: announceCommit });
  const handOver = createGracefulLeave({ cluster, hasCandidate: membershipChanges.hasCandidate, announce: greet });

  function sendFromSelf(to: Address, message: Message): void {
    world.send(
      to,
      'from' in message && message.from === '' ? ({ ...message, from: options.self } as Message) : message,
    );
  }

  function leader(key: string): KeyLeader {
    let present = leaders.get(key);
    if (present === undefined) {
      present = createKeyLeader(world, { key, replica, rounds, onCommitted: (row) => onCommitted(key, row) });
      leaders.set(key, present);
    }
    return present;
  }

  function onCommitted(key: string, row: Row): void {
    committed.written(key, row);
    options.observe?.('committed', key, row.version);
    followers.push(key, row);
    announceCommit(key, row);
  }

  /** The register of a key's leases is led where the key is. */
  function preferredLeader(key: string): number {
    const [first] = rendezvous(key.replace(/^tenures\//, ''), peers.fit(), (entry) => `${entry.slot}`);
    return first?.slot ?? replica.slot;
  }

  function shouldLead(key: string): boolean {
    return preferredLeader(key) === replica.slot;
  }

  /** Tells the other replicas up to which row a key is on a majority. */
  function announceCommit(key: string, row: Row): void {
    if (row.version === 0 || isInternalKey(key) || isLeasedToRouters(key)) return;
    const { epoch, version } = row;
    for (const entry of replica.membership().replicas)
      if (entry.slot !== replica.slot) world.send(entry.address as Address, { kind: 'Committed', key, epoch, version });
  }

  function rank(): number {
    const live = peers.live();
    const index = live.findIndex((entry) => entry.slot === replica.slot);
    return index < 0 ? live.length : index;
  }

  function onHello(hello: MessageOf<'ReplicaHello'>): void {
    if (replica.isFromOtherCluster(hello)) return;
    if (!slotsAreStated) peers.noticeNewDisks();
    const from = hello.from as Address;
    const entry = replica.membership().replicas.find((member) => member.slot === hello.slot);
    const isOtherDisk = entry !== undefined && entry.disk !== hello.disk;
    if (hello.slot !== replica.slot && hello.slot >= 0 && (!isOtherDisk || slotsAreStated)) notePeer(hello, from);
    const { membershipEpoch } = replica.membership();
    // Told slimly of a membership record that it has not, as who tells it knew the disk before it was lost.
    if (hello.membershipEpoch > membershipEpoch && hello.replicas.length === 0) world.send(from, replica.hello());
    replica.receiveHello(hello);
    if (replica.state() === 'blank' && replica.membership().membershipEpoch > membershipEpoch) replica.tick();
    if (replica.state() !== 'voting' || hello.slot === replica.slot) return;
    if (!isOtherDisk) finishMembershipIfBehind(hello);
    if (!slotsAreStated && (isOtherDisk || entry === undefined)) return answerStranger(hello, from);
    if (hello.state === 'blank' && entry !== undefined) onBlankMember(hello, isOtherDisk);
  }

  function notePeer(hello: MessageOf<'ReplicaHello'>, from: Address): void {
    const didVote = peers.live().some((entry) => entry.slot === hello.slot);
    peers.heard(hello);
    if (!didVote && hello.state === 'voting') world.send(from, replica.hello());
  }

  /** A record that one replica took and the others did not is written again, else they would fence each other for good. */
  function finishMembershipIfBehind(hello: MessageOf<'ReplicaHello'>): void {
    const behind = hello.membershipEpoch > 0 && hello.membershipEpoch < replica.membership().membershipEpoch;
    if (hello.state !== 'voting' || !behind) return;
    if (slotsAreStated || world.now() - peers.behindSince(hello.slot) > behindAtMost)
      membershipChanges.change({ kind: 'finish' });
  }

  function answerStranger(hello: MessageOf<'ReplicaHello'>, from: Address): void {
    const outdated = hello.membershipEpoch < replica.membership().membershipEpoch;
    if (outdated || hello.state === 'fenced') world.send(from, replica.hello());
  }

  /** A blank disk on a slot of the record: it is told the record, or replaces the disk that was there once it has copied. */
  function onBlankMember(hello: MessageOf<'ReplicaHello'>, isOtherDisk: boolean): void {
    const { slot, disk } = hello;
    const mayReplace = slotsAreStated && isOtherDisk && !replica.hello().founders.includes(disk);
    if (!isOtherDisk || (mayReplace && !hello.caughtUp)) world.send(hello.from as Address, replica.hello());
    if (mayReplace && hello.caughtUp) membershipChanges.change({ kind: 'replace', slot, address: hello.from, disk });
  }

  /** Replicas known to have the same membership record are told no more than that this one is there. */
  function greet(): void {
    peers.noticeOwnSilence();
    if (replica.slot >= 0 || replica.state() === 'fenced') greetReplicas();
    if (!slotsAreStated && replica.state() === 'blank' && !replica.isMember()) askToJoin();
    tellFoundingView();
    replica.tick();
  }

  function greetReplicas(): void {
    const { replicas, membershipEpoch } = replica.membership();
    const same = new Set(replicas.filter((entry) => peers.hasSameMembership(entry.slot)).map((entry) => entry.address));
    const founders = slotsAreStated || membershipEpoch === 0 ? options.bootstrapMembers : [];
    const whole = replica.hello();
    const slim = replica.hello(true);
    for (const address of others([...founders, ...replicas.map((entry) => entry.address)]))
      world.send(address, membershipEpoch > 0 && same.has(address) ? slim : whole);
  }

  function askToJoin(): void {
    const { replicas } = replica.membership();
    const caughtUp = replica.catchUp.isCaughtUp();
    const first = options.mayBootstrap === true;
    for (const address of others([...options.bootstrapMembers, ...replicas.map((entry) => entry.address)]))
      world.send(address, { kind: 'Join', from: options.self, disk: replica.diskId(), first, caughtUp });
  }

  /** Only machines that hold no state yet tell it, and only where no seed holds any. */
  function tellFoundingView(): void {
    const view = replica.bootstrapView();
    for (const address of view?.to ?? []) world.send(address, view!.message);
  }

  /** A candidate that does not know of the cluster yet is shown it. */
  function onFoundingView(view: MessageOf<'FoundingView'>): void {
    if (replica.membership().membershipEpoch > 0) world.send(view.from as Address, replica.hello());
    else replica.receiveCandidates(view);
  }

  function others(addresses: readonly string[]): Address[] {
    const found = new Set(addresses);
    found.delete(options.self);
    return [...found] as Address[];
  }

  function entered(state: ReplicaState): void {
    options.onStateChange?.(state);
    if (state !== 'fenced') world.after(micros(0), greet);
  }

  function learned(): void {
    world.after(micros(0), greet);
  }

  function prepare(asked: MessageOf<'Prepare'>): void {
    const respond = membershipChanges.mustRefuse(asked) ? replica.refuse : replica.vote;
    respond(asked, (vote) => world.send(asked.from as Address, vote));
  }

  function receive(message: Message): void {
    switch (message.kind) {
      case 'Ask':
        return request(message);
      case 'Prepare':
        return prepare(message);
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
        peers.noticeOwnSilence();
        return membershipChanges.join(message);
      case 'CopyAsk':
        return world.send(message.from as Address, replica.catchUp.answer(message));
      case 'CopyPage':
        return replica.catchUp.page(message);
      case 'Subscribe':
        return followers.subscribe(message);
      case 'Committed':
        return committed.announced(message.key, message);
      default:
        return undefined;
    }
  }

  greet();
  const stops = [
    every(world, () => greetEvery, greet),
    every(world, () => announceEvery, followers.announceMembership),
    every(world, () => pruneEvery, routerLeases.prune),
    every(world, () => micros(options.antiEntropyIntervalUs ?? defaultSweepEvery), sweep),
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
    rankAmongLive: rank,
    liveReplicas: () => peers.live().map((entry) => entry.address as Address),
    ledKeys: () => [...leaders].filter(([, each]) => each.isLeading()).map(([key, each]) => ledKey(key, each)),
    leave: handOver.begin,
    stop: () => stops.forEach((stop) => stop()),
  };
}

function ledKey(key: string, leader: KeyLeader): LedKey {
  const { epoch, version } = leader.row();
  return { key: toKey(key), epoch, version };
}
