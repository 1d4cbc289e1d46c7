/**
 * One replica of the control cluster: the rows on its disk and its vote in the cluster's rounds. A blank replica does not
 * vote: either all founders found the cluster together, or it copies from the others, first as a learner that no record
 * names, then once more what is newer after the membership record names its disk. Which slot it holds is stated in its
 * settings, or else the membership record tells.
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
export interface ReplicaOptions extends Omit<ReplicaStorageOptions, 'failed'> {
  /** Undefined where the membership record alone says which slot this disk has, if any. */
  readonly slot: number | undefined;
  /** The slot it has when it founds a cluster, where no slot is stated. */
  readonly bootstrapSlot?: number;
  /** Whether it may begin a cluster. */
  readonly mayBootstrap?: boolean;
  readonly self: Address;
  /** The founders' addresses. */
  readonly bootstrapMembers: readonly Address[];
  /** The seeds of the first start, from which founders come whatever the settings name later; `core` where not given. */
  readonly initialSeeds?: readonly Address[];
  /** With how many machines a cluster is founded where no seed holds state. */
  readonly bootstrapSize?: BootstrapSize;
  /** Whether this process has opened its disk before, and so may have told others what it does not know any more. */
  readonly reopened?: boolean;
  /** Told whenever the state has changed. */
  readonly onStateChange?: (state: ReplicaState) => void;
  /** Told when a learner, which no membership record names yet, has copied enough to become a member. */
  readonly learned?: () => void;
}

/** A replica, as its node uses it. */
export interface Replica extends Acceptor {
  /** -1 as long as it has none. */
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
  /** Whether its disk keeps what waits for it waiting. */
  readonly isSlow: () => boolean;
  readonly isLeaving: () => boolean;
  readonly leave: () => void;
  /** Fenced, and a majority of those in the record that fenced it votes under it: nobody needs this copy. */
  readonly isSuperseded: () => boolean;
  /** Fenced, and the disk that took its slot was heard to vote lately. */
  readonly isSuccessorVoting: () => boolean;
  /** What it says of itself; a slim one is for those who have the same membership record. */
  readonly hello: (slim?: boolean) => ReplicaHello;
  /** Whether a hello comes from another cluster; it is then not to be heard. */
  readonly isFromOtherCluster: (hello: ReplicaHello) => boolean;
  readonly receiveHello: (hello: ReplicaHello) => void;
  /** A machine among the founders' addresses has said that it holds no state and never will. */
  readonly markStateless: (address: Address) => void;
  readonly catchUp: CatchUp;
  /** Founds a cluster of one, or goes on copying. */
  readonly tick: () => void;
  /** Takes in who else has asked a seed that holds no state, or whom another candidate knows. */
  readonly receiveCandidates: (message: MessageOf<'FoundingRoster' | 'FoundingView'>) => void;
  /** What other candidates are to be told as long as there is no cluster. */
  readonly bootstrapView: DiscoveryBootstrap['greeting'];
  /** Why this machine holds no replica yet; undefined once it knows a cluster. */
  readonly waitsFor: () => BootstrapWait | undefined;
}

const voterFreshnessUs = 2_000_000;
/** Only a founding writes the membership record under it; all later epochs are higher. */
const bootstrapEpoch = 1;
const foreignClusterMessage =
  'Most machines of the membership record on this disk belong to another cluster. The replica does not vote; bring the disk back to its cluster, or empty the data folder to let the machine join this one.';

/** Starts a replica on what its disk holds. */
export function createReplica(world: World, options: ReplicaOptions): Replica {
  const storage = createReplicaStorage(world, { ...options, failed });
  const diskId = storage.diskId;
  const lastHeardVoting = new Map<string, number>();
  const foreignAddresses = new Set<string>();
  let state: ReplicaState = storage.storedState();
  let pendingState: ReplicaState | undefined;
  let membership: MembershipRecord = noMembership;
  let votingSince = 0;
  let leaving = false;
  let successor: string | undefined;
  let reportedLearnedEpoch = 0;

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
      else reportLearned();
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

  function reportLearned(): void {
    if (reportedLearnedEpoch === membership.membershipEpoch) return;
    reportedLearnedEpoch = membership.membershipEpoch;
    options.learned?.();
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

  function failed(error: Error): void {
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

  /** Not written to the disk: a release that can read it, or the right machine, finds it as it was. */
  function becomeUnusable(why: string): void {
    if (state === 'unusable') return;
    world.log(2013, { why });
    state = 'unusable';
  }

  /** A replica that hears another cluster at most of the addresses of its own record has come to the wrong place. */
  function isFromOtherCluster(hello: ReplicaHello): boolean {
    const known = membership.cluster;
    if (known === '' || hello.cluster === '' || hello.cluster === known) return false;
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
    const present = storage.row(membershipKey);
    if (epoch <= present.epoch || epoch < present.promised) return;
    const row: Row = {
      promised: epoch,
      epoch,
      version: present.version + 1,
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
    if (!isSeed || options.mayBootstrap === false) return discoveryBootstrap.waitsFor();
    return { why: 'founders not heard', machines: seedBootstrap.unheardMembers() };
  }

  function tick(): void {
    if (knowsNoCluster()) {
      const members = seedBootstrap.soleMember();
      if (members !== undefined) return bootstrapWith(members);
    }
    if (state === 'blank' && isBootstrapMember()) return changeState('voting');
    catchUp.tick();
  }

  /** A founder's disk that lost power between the record and the state holds all that it has ever voted for: nothing. */
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
    bootstrapView: () => (knowsNoCluster() ? discoveryBootstrap.greeting() : undefined),
    waitsFor: bootstrapWait,
  };
}

/** The name of a cluster that these replicas found; each of them finds the same. */
function clusterNameOf(founders: readonly ReplicaEntry[]): string {
  return founders.map((founder) => founder.disk.slice(0, 8)).join('-');
}
