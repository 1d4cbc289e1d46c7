/**
 * One replica of the control cluster: the rows on its disk, and its votes in the quorum rounds. A blank replica does
 * not vote. It starts to vote either when all bootstrap members bootstrap the cluster together, or after it has copied
 * from the others: first as a learner that no membership record names, then once more the newer rows after the record
 * names its disk. Its slot is configured or else follows from the membership record.
 */
import * as E from 'fp-ts/lib/Either.js';
import type { Address, MessageOf, ReplicaEntry, World } from '@tansypost/inner-protocol';
import { createAcceptor, type Acceptor } from './acceptor.js';
import { createCatchUp, type CatchUp } from './catch-up.js';
import type { AppliedChange, ChangeHistory } from './change-history.js';
import { createSeedBootstrap } from './seed-bootstrap.js';
import { createDiscoveryBootstrap, type BootstrapWait, type DiscoveryBootstrap } from './discovery-bootstrap.js';
import {
  decodeMembership,
  encodeMembership,
  majorityOf,
  membershipKey,
  noMembership,
  type MembershipRecord,
} from './membership-record.js';
import {
  createReplicaStorage,
  type ReplicaState,
  type ReplicaStorageOptions,
  type SyncCallback,
} from './replica-storage.js';
import { defaultBootstrapSize, type BootstrapSize } from './replica-count.js';
import type { Row } from './row.js';

type ReplicaHello = MessageOf<'ReplicaHello'>;

/** The settings of a replica. */
export interface ReplicaOptions extends Omit<ReplicaStorageOptions, 'onFailed'> {
  /** Undefined if only the membership record determines which slot this disk has, if any. */
  readonly slot: number | undefined;
  /** Its slot in a cluster that it bootstraps, if no slot is configured. */
  readonly bootstrapSlot?: number;
  /** Whether it may bootstrap a cluster. */
  readonly mayBootstrap?: boolean;
  readonly self: Address;
  /** Addresses of the bootstrap members. */
  readonly bootstrapMembers: readonly Address[];
  /**
   * The seeds of the first start. The bootstrap members come from these whatever the settings name later; defaults to
   * `bootstrapMembers`.
   */
  readonly initialSeeds?: readonly Address[];
  /** How many machines bootstrap a cluster when no seed holds control state. */
  readonly bootstrapSize?: BootstrapSize;
  /** Whether this process has opened its disk before, and so may have told others what it no longer knows. */
  readonly reopened?: boolean;
  /** Called whenever the state has changed. */
  readonly onStateChange?: (state: ReplicaState) => void;
  /** Called when a learner, which no membership record names yet, has copied enough to become a member. */
  readonly onCaughtUp?: () => void;
}

/** One replica of the control cluster. */
export interface Replica extends Acceptor {
  /** -1 if it has no slot. */
  readonly slot: number;
  readonly diskId: () => string;
  readonly state: () => ReplicaState;
  readonly membership: () => MembershipRecord;
  /** Whether the membership record names this disk. */
  readonly isMember: () => boolean;
  readonly votingSince: () => number;
  readonly row: (key: string) => Row;
  readonly keys: () => string[];
  readonly history: (key: string) => ChangeHistory;
  readonly putRow: (key: string, row: Row, changes: readonly AppliedChange[], done: SyncCallback) => void;
  /** Whether a write to its disk is pending for too long or has failed. */
  readonly isSlow: () => boolean;
  readonly isLeaving: () => boolean;
  readonly leave: () => void;
  /**
   * Whether it is fenced and a majority of the members in the record that fenced it votes: this copy is no longer
   * needed.
   */
  readonly isSuperseded: () => boolean;
  /** Whether it is fenced and the disk that took its slot has recently been heard to vote. */
  readonly isSuccessorVoting: () => boolean;
  /** The hello of this replica; a brief one is for nodes that have the same membership record. */
  readonly hello: (brief?: boolean) => ReplicaHello;
  /** Whether a hello comes from another cluster and must be ignored. */
  readonly isFromOtherCluster: (hello: ReplicaHello) => boolean;
  readonly receiveHello: (hello: ReplicaHello) => void;
  /** Records that the machine at the address of a bootstrap member holds no control state and never will. */
  readonly markStateless: (address: Address) => void;
  readonly catchUp: CatchUp;
  /** Bootstraps a cluster of one, or continues to copy. */
  readonly tick: () => void;
  /** Handles the candidates that a seed or another candidate knows. */
  readonly receiveCandidates: (message: MessageOf<'FoundingRoster' | 'FoundingView'>) => void;
  /** The message to send to other candidates; undefined once this replica knows a cluster. */
  readonly bootstrapView: DiscoveryBootstrap['viewMessage'];
  /** What this machine waits for before it holds a replica; undefined once it knows a cluster. */
  readonly bootstrapWait: () => BootstrapWait | undefined;
}

/** A replica counts as voting for this long after its last hello. */
const voterFreshnessUs = 2_000_000;
/** Epoch of the membership record that a bootstrap writes; all later epochs are higher. */
const bootstrapEpoch = 1;
const foreignClusterMessage =
  'A majority of the machines in the membership record on this disk belong to another cluster. The replica does not vote; return the disk to its own cluster, or empty the data folder so that the machine joins this one.';

/** Starts a replica from the contents of its disk. */
export function createReplica(world: World, options: ReplicaOptions): Replica {
  const storage = createReplicaStorage(world, { ...options, onFailed });
  const diskId = storage.diskId;
  const lastHeardVoting = new Map<string, number>();
  const foreignAddresses = new Set<string>();
  let state: ReplicaState = storage.storedState();
  let pendingState: ReplicaState | undefined;
  let membership: MembershipRecord = noMembership;
  let votingSince = 0;
  let leaving = false;
  let successor: string | undefined;
  let reportedCaughtUpEpoch = 0;

  const acceptor = createAcceptor({
    storage,
    slot: currentSlot,
    state: () => state,
    membershipEpoch: () => membership.membershipEpoch,
    putRow,
  });
  const catchUp = createCatchUp(world, {
    self: options.self,
    storage,
    slot: currentSlot,
    state: () => state,
    membership: () => membership,
    isMember,
    putRow,
    onCopied: () => {
      if (state !== 'blank') return;
      if (isMember()) changeState('voting');
      else reportCaughtUp();
    },
  });
  const seedBootstrap = createSeedBootstrap(world, {
    self: options.self,
    members: options.initialSeeds ?? options.bootstrapMembers,
    mayBootstrap: options.mayBootstrap ?? true,
    diskId,
  });
  const discoveryBootstrap = createDiscoveryBootstrap({
    self: options.self,
    seeds: options.initialSeeds ?? options.bootstrapMembers,
    mayBootstrap: (options.mayBootstrap ?? true) && options.reopened !== true,
    diskId,
    ...(options.bootstrapSize ?? defaultBootstrapSize),
  });

  refreshMembership();
  if (state === 'voting') {
    votingSince = world.now();
    catchUp.restart();
  }

  function reportCaughtUp(): void {
    if (reportedCaughtUpEpoch === membership.membershipEpoch) return;
    reportedCaughtUpEpoch = membership.membershipEpoch;
    options.onCaughtUp?.();
  }

  function currentSlot(): number {
    if (options.slot !== undefined) return options.slot;
    const entry = membership.replicas.find((replica) => replica.disk === diskId());
    if (entry !== undefined) return entry.slot;
    return membership.membershipEpoch === 0 ? (options.bootstrapSlot ?? -1) : -1;
  }

  function isMember(): boolean {
    return membership.replicas.some((replica) => replica.disk === diskId());
  }

  function onFailed(error: Error): void {
    world.log(2005, { why: error.message });
    state = 'failed';
    options.onStateChange?.(state);
  }

  function refreshMembership(): void {
    const row = storage.row(membershipKey);
    if (row.epoch <= membership.membershipEpoch) return;
    const slot = currentSlot();
    const decoded = decodeMembership(row.epoch, row.value);
    if (E.isLeft(decoded)) return becomeUnusable(decoded.left.message);
    membership = decoded.right;
    successor = membership.replicas.find((replica) => replica.slot === slot && replica.disk !== diskId())?.disk;
    fenceIfReplaced();
  }

  /**
   * This state is not written to disk, so that a release that can decode the record, or the right machine, finds the
   * disk unchanged.
   */
  function becomeUnusable(reason: string): void {
    if (state === 'unusable') return;
    world.log(2013, { why: reason });
    state = 'unusable';
  }

  /**
   * A replica that hears another cluster at a majority of the addresses in its own record is connected to the wrong
   * cluster.
   */
  function isFromOtherCluster(hello: ReplicaHello): boolean {
    const ownCluster = membership.cluster;
    if (ownCluster === '' || hello.cluster === '' || hello.cluster === ownCluster) return false;
    foreignAddresses.add(hello.from);
    const foreignCount = membership.replicas.filter((entry) => foreignAddresses.has(entry.address)).length;
    if (foreignCount >= majorityOf(membership.replicas.length)) becomeUnusable(foreignClusterMessage);
    return true;
  }

  function fenceIfReplaced(): void {
    if (state === 'voting' && !isMember()) changeState('fenced');
  }

  function changeState(next: ReplicaState): void {
    if (state === next || pendingState === next || state === 'failed' || state === 'unusable') return;
    pendingState = next;
    storage.putState(next, (ok) => {
      if (pendingState === next) pendingState = undefined;
      if (ok) onStateStored(next);
    });
  }

  function onStateStored(next: ReplicaState): void {
    if (state === 'unusable') return;
    state = next;
    votingSince = world.now();
    world.log(2001, { state, disk: diskId(), membershipEpoch: membership.membershipEpoch });
    options.onStateChange?.(next);
    fenceIfReplaced();
  }

  function putRow(key: string, row: Row, changes: readonly AppliedChange[], done: SyncCallback): void {
    storage.putRow(key, row, changes, done);
    if (key === membershipKey) refreshMembership();
  }

  function bootstrapWith(members: readonly ReplicaEntry[]): void {
    storage.setBootstrapDisks(members.map((member) => member.disk));
    const value = encodeMembership(clusterNameOf(members), members);
    const row: Row = { promised: bootstrapEpoch, epoch: bootstrapEpoch, version: 1, value };
    putRow(membershipKey, row, [], (ok) => {
      if (ok) changeState('voting');
    });
  }

  function adoptMembership(record: MembershipRecord): void {
    const { membershipEpoch: epoch, cluster, replicas } = record;
    const currentRow = storage.row(membershipKey);
    if (epoch <= currentRow.epoch || epoch < currentRow.promised) return;
    const row: Row = {
      promised: epoch,
      epoch,
      version: currentRow.version + 1,
      value: encodeMembership(cluster, replicas),
    };
    putRow(membershipKey, row, [], () => undefined);
  }

  function receiveHello(hello: ReplicaHello): void {
    if (state === 'unusable') return;
    const slot = currentSlot();
    const hasNewerMembership = hello.membershipEpoch > membership.membershipEpoch && hello.replicas.length > 0;
    if (hello.state === 'voting' && hello.membershipEpoch >= membership.membershipEpoch)
      lastHeardVoting.set(hello.disk, world.now());
    if (slot >= 0 && hello.slot === slot) {
      if (hello.disk !== diskId() && state === 'voting' && hasNewerMembership) adoptMembership(hello);
      return;
    }
    if (knowsNoCluster()) {
      const members = seedBootstrap.receiveHello(hello, slot);
      if (members !== undefined) return bootstrapWith(members);
    }
    if (hasNewerMembership) adoptMembership(hello);
  }

  function knowsNoCluster(): boolean {
    return state === 'blank' && membership.membershipEpoch === 0;
  }

  function receiveCandidates(message: MessageOf<'FoundingRoster' | 'FoundingView'>): void {
    if (!knowsNoCluster()) return;
    if (message.kind === 'FoundingRoster') discoveryBootstrap.receiveRoster(message);
    else discoveryBootstrap.receiveView(message);
    const members = discoveryBootstrap.members();
    if (members !== undefined) bootstrapWith(members);
  }

  function bootstrapWait(): BootstrapWait | undefined {
    if (!knowsNoCluster()) return undefined;
    const isSeed = (options.initialSeeds ?? options.bootstrapMembers).includes(options.self);
    if (!isSeed || options.mayBootstrap === false) return discoveryBootstrap.bootstrapWait();
    return { why: 'bootstrap members not heard', machines: seedBootstrap.unheardMembers() };
  }

  function tick(): void {
    if (knowsNoCluster()) {
      const members = seedBootstrap.soleMember();
      if (members !== undefined) return bootstrapWith(members);
    }
    if (state === 'blank' && isBootstrapMember()) return changeState('voting');
    catchUp.tick();
  }

  /**
   * Whether this disk is that of a bootstrap member which lost power between writing the record and the state. It may
   * vote at once, since it has not voted for anything yet.
   */
  function isBootstrapMember(): boolean {
    const recordedMembers = membership.membershipEpoch === bootstrapEpoch ? membership.replicas.length : 0;
    return isMember() && storage.bootstrapDisks().length + recordedMembers > 0;
  }

  function hello(brief = false): ReplicaHello {
    return {
      kind: 'ReplicaHello',
      from: options.self,
      slot: currentSlot(),
      disk: diskId(),
      state,
      founders: brief ? [] : [...storage.bootstrapDisks()],
      membershipEpoch: membership.membershipEpoch,
      cluster: membership.cluster,
      replicas: brief ? [] : [...membership.replicas],
      leaving,
      ill: storage.isSlow(),
      caughtUp: state === 'blank' && catchUp.isCaughtUp(),
    };
  }

  function isSuperseded(): boolean {
    if (state !== 'fenced') return false;
    const votingReplicas = membership.replicas.filter((replica) => isVotingNow(replica.disk));
    return votingReplicas.length >= majorityOf(membership.replicas.length);
  }

  function isVotingNow(disk: string): boolean {
    return world.now() - (lastHeardVoting.get(disk) ?? -Infinity) < voterFreshnessUs;
  }

  return {
    get slot() {
      return currentSlot();
    },
    ...acceptor,
    diskId,
    state: () => state,
    membership: () => membership,
    isMember,
    votingSince: () => votingSince,
    row: storage.row,
    keys: () => [...storage.rows().keys()],
    history: storage.history,
    putRow,
    isSlow: storage.isSlow,
    isLeaving: () => leaving,
    leave: () => {
      leaving = true;
    },
    isSuperseded,
    isSuccessorVoting: () => state === 'fenced' && successor !== undefined && isVotingNow(successor),
    hello,
    isFromOtherCluster,
    receiveHello,
    markStateless: seedBootstrap.markStateless,
    catchUp,
    tick,
    receiveCandidates,
    bootstrapView: () => (knowsNoCluster() ? discoveryBootstrap.viewMessage() : undefined),
    bootstrapWait,
  };
}

/** The name of a cluster with these bootstrap members; the same on all of them. */
function clusterNameOf(members: readonly ReplicaEntry[]): string {
  return members.map((member) => member.disk.slice(0, 8)).join('-');
}
