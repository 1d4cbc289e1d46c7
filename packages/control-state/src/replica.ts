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
  type Written,
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
  readonly putRow: (key: string, row: Row, changes: readonly AppliedChange[], done: Written) => void;
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

const votingHeardFor = 2_000_000;
/** Only a founding writes the membership record under it; all later epochs are higher. */
const foundingEpoch = 1;
const wrongCluster =
  'Most machines of the membership record on this disk belong to another cluster. The replica does not vote; bring the disk back to its cluster, or empty the data folder to let the machine join this one.';

/** Starts a replica on what its disk holds. */
export function createReplica(world: World, options: ReplicaOptions): Replica {
  const storage = createReplicaStorage(world, { ...options, failed });
  const diskId = storage.diskId;
  const votingUnder = new Map<string, number>();
  const foreign = new Set<string>();
  let state: ReplicaState = storage.storedState();
  let entering: ReplicaState | undefined;
  let membership: MembershipRecord = noMembership;
  let votingSince = 0;
  let leaving = false;
  let successor: string | undefined;
  let learnedUnder = 0;

  const acceptor = createAcceptor({
    storage,
    slot: slotNow,
    state: () => state,
    membershipEpoch: () => membership.membershipEpoch,
    putRow,
  });
  const catchUp = createCatchUp(world, {
    self: options.self,
    storage,
    slot: slotNow,
    state: () => state,
    membership: () => membership,
    isMember,
    putRow,
    copied: () => {
      if (state !== 'blank') return;
      if (isMember()) enter('voting');
      else noteLearned();
    },
  });
  const founding = createSeedBootstrap(world, {
    self: options.self,
    founders: options.initialSeeds ?? options.bootstrapMembers,
    mayBegin: options.mayBootstrap ?? true,
    diskId,
  });
  const rosterFounding = createDiscoveryBootstrap({
    self: options.self,
    seeds: options.initialSeeds ?? options.bootstrapMembers,
    mayBegin: (options.mayBootstrap ?? true) && options.reopened !== true,
    diskId,
    ...(options.bootstrapSize ?? defaultBootstrapSize),
  });

  refreshMembership();
  if (state === 'voting') {
    votingSince = world.now();
    catchUp.restart();
  }

  function noteLearned(): void {
    if (learnedUnder === membership.membershipEpoch) return;
    learnedUnder = membership.membershipEpoch;
    options.learned?.();
  }

  function slotNow(): number {
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
    const slot = slotNow();
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
  function isForeign(hello: ReplicaHello): boolean {
    const known = membership.cluster;
    if (known === '' || hello.cluster === '' || hello.cluster === known) return false;
    foreign.add(hello.from);
    const there = membership.replicas.filter((entry) => foreign.has(entry.address)).length;
    if (there >= majorityOf(membership.replicas.length)) becomeUnusable(wrongCluster);
    return true;
  }

  function fenceIfReplaced(): void {
    if (state === 'voting' && !isMember()) enter('fenced');
  }

  function enter(next: ReplicaState): void {
    if (state === next || entering === next || state === 'failed' || state === 'unusable') return;
    entering = next;
    storage.putState(next, (ok) => {
      if (entering === next) entering = undefined;
      if (ok) entered(next);
    });
  }

  function entered(next: ReplicaState): void {
    if (state === 'unusable') return;
    state = next;
    votingSince = world.now();
    world.log(2001, { state, disk: diskId(), membershipEpoch: membership.membershipEpoch });
    options.onStateChange?.(next);
    fenceIfReplaced();
  }

  function putRow(key: string, row: Row, changes: readonly AppliedChange[], done: Written): void {
    storage.putRow(key, row, changes, done);
    if (key === membershipKey) refreshMembership();
  }

  function found(members: readonly ReplicaEntry[]): void {
    storage.setFounders(members.map((member) => member.disk));
    const value = encodeMembership(clusterOf(members), members);
    const row: Row = { promised: foundingEpoch, epoch: foundingEpoch, version: 1, value };
    putRow(membershipKey, row, [], (ok) => {
      if (ok) enter('voting');
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

  function heard(hello: ReplicaHello): void {
    if (state === 'unusable') return;
    const slot = slotNow();
    const tellsNewer = hello.membershipEpoch > membership.membershipEpoch && hello.replicas.length > 0;
    if (hello.state === 'voting' && hello.membershipEpoch >= membership.membershipEpoch)
      votingUnder.set(hello.disk, world.now());
    if (slot >= 0 && hello.slot === slot) {
      if (hello.disk !== diskId() && state === 'voting' && tellsNewer) adoptMembership(hello);
      return;
    }
    if (isUnfounded()) {
      const members = founding.heard(hello, slot);
      if (members !== undefined) return found(members);
    }
    if (tellsNewer) adoptMembership(hello);
  }

  function isUnfounded(): boolean {
    return state === 'blank' && membership.membershipEpoch === 0;
  }

  function candidates(message: MessageOf<'FoundingRoster' | 'FoundingView'>): void {
    if (!isUnfounded()) return;
    if (message.kind === 'FoundingRoster') rosterFounding.roster(message);
    else rosterFounding.view(message);
    const members = rosterFounding.members();
    if (members !== undefined) found(members);
  }

  function waitsFor(): BootstrapWait | undefined {
    if (!isUnfounded()) return undefined;
    const isSeed = (options.initialSeeds ?? options.bootstrapMembers).includes(options.self);
    if (!isSeed || options.mayBootstrap === false) return rosterFounding.waitsFor();
    return { why: 'founders not heard', machines: founding.silent() };
  }

  function tick(): void {
    if (isUnfounded()) {
      const members = founding.alone();
      if (members !== undefined) return found(members);
    }
    if (state === 'blank' && isFounder()) return enter('voting');
    catchUp.tick();
  }

  /** A founder's disk that lost power between the record and the state holds all that it has ever voted for: nothing. */
  function isFounder(): boolean {
    const founders = membership.membershipEpoch === foundingEpoch ? membership.replicas.length : 0;
    return isMember() && storage.founders().length + founders > 0;
  }

  function hello(slim = false): ReplicaHello {
    return {
      kind: 'ReplicaHello',
      from: options.self,
      slot: slotNow(),
      disk: diskId(),
      state,
      founders: slim ? [] : [...storage.founders()],
      membershipEpoch: membership.membershipEpoch,
      cluster: membership.cluster,
      replicas: slim ? [] : [...membership.replicas],
      leaving,
      ill: storage.isSlow(),
      caughtUp: state === 'blank' && catchUp.isCaughtUp(),
    };
  }

  function isSuperseded(): boolean {
    if (state !== 'fenced') return false;
    const fresh = membership.replicas.filter((replica) => votesNow(replica.disk));
    return fresh.length >= majorityOf(membership.replicas.length);
  }

  function votesNow(disk: string): boolean {
    return world.now() - (votingUnder.get(disk) ?? -Infinity) < votingHeardFor;
  }

  return {
    get slot() {
      return slotNow();
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
    isSuccessorVoting: () => state === 'fenced' && successor !== undefined && votesNow(successor),
    hello,
    isFromOtherCluster: isForeign,
    receiveHello: heard,
    markStateless: founding.withoutState,
    catchUp,
    tick,
    receiveCandidates: candidates,
    bootstrapView: () => (isUnfounded() ? rosterFounding.greeting() : undefined),
    waitsFor,
  };
}

/** The name of a cluster that these replicas found; each of them finds the same. */
function clusterOf(founders: readonly ReplicaEntry[]): string {
  return founders.map((founder) => founder.disk.slice(0, 8)).join('-');
}
