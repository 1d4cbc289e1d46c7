/**
 * Membership by gossip. A member exchanges samples of the members that it knows with random others, and keeps all
 * members of its own zone in view. Each entry carries the member's own heartbeat counter; every member drops an entry
 * whose counter stops rising. The known members are persisted if there is a disk, so that a restart doesn't need the
 * seeds; these serve the first contact and a member that knows few others.
 */
import {
  every,
  micros,
  type Address,
  type SingletonRoleEntry,
  type MemberEntry,
  type MessageOf,
  type ReplicaEntry,
  type World,
} from '@tansypost/inner-protocol';
import { createMemberTable, type MemberTable } from './member-table.js';
import { sample } from './sample.js';

/** Options of a member's gossip. Times are in microseconds. */
export interface GossipOptions {
  readonly member: string;
  readonly self: Address;
  readonly zone: string;
  /** Address at which the member's router accepts requests. */
  readonly routerHttpAddress: string;
  /** Grows with each start of this member, so that its entry after a restart supersedes earlier ones. */
  readonly incarnation: number;
  readonly seeds: readonly Address[];
  /** The members that were saved before the last stop. */
  readonly persisted: readonly MemberEntry[];
  /** Number of sampled entries in a message, and of neighbours. */
  readonly viewSize: number;
  /** Mean time between exchanges. */
  readonly exchangeInterval: number;
  /** A member is considered failed if its heartbeat counter hasn't risen for this long. */
  readonly failureTimeout: number;
  /** Whether this member's router holds a feed lease, sent in its entry. */
  readonly holdsFeedLease: () => boolean;
  /** The membership of the control cluster known here, sent with each exchange. */
  readonly controlMembership: () => { membershipEpoch: number; replicas: readonly ReplicaEntry[] };
  /** The singleton roles that this member leads, sent with each exchange. */
  readonly heldSingletonRoles: () => SingletonRoleEntry[];
  /** Another member has sent the membership of the control cluster. */
  readonly onControlMembership: (membershipEpoch: number, replicas: ReplicaEntry[]) => void;
  /** Another member has sent that it leads a singleton role. */
  readonly onSingletonRole: (role: SingletonRoleEntry) => void;
  /** Persists the known members. */
  readonly save: (entries: readonly MemberEntry[]) => void;
}

/** The members known to one of them. */
export interface GossipMembership {
  readonly receive: (message: MessageOf<'Shuffle'>) => void;
  /** A fresh random sample of live members. */
  readonly neighbours: () => Address[];
  /** All members believed to be alive, without this one. */
  readonly liveMembers: () => MemberEntry[];
  /** This member and the live members of its zone. */
  readonly zoneMembers: () => MemberEntry[];
  /** Whether the heartbeats of at least half of the members known in the last minute are still rising. */
  readonly isInContact: () => boolean;
  /** Number of members, including this one and those that failed in the last minute. */
  readonly recentCount: () => number;
  readonly stop: () => void;
}

/** Number of live members that an exchange goes to. */
const fanout = 2;
/** With fewer live members than this, every exchange also goes to seeds or failed members. */
const minLiveMembers = 3;
/** Probability that an exchange goes to them although there are enough live members. */
const seedProbability = 0.1;
/** Number of seeds or failed members that an exchange goes to if no live member is known. */
const seedsWithoutLiveMembers = 3;
/** The known members are saved once in this many exchanges. */
const exchangesPerSave = 10;
/** Delay of the first exchange after the start. */
const firstExchangeDelayUs = 1000;
/** Each interval is between 0.8 and 1.2 times the mean, so that members don't synchronize. */
const jitter = { min: 0.8, range: 0.4 } as const;

interface GossipState {
  readonly members: MemberTable;
  /** Addresses of persisted and failed members, contacted like seeds. */
  readonly formerAddresses: Set<string>;
  heartbeat: number;
}

/** Creates the gossip membership of a member and starts the exchanges. */
export function createGossipMembership(world: World, options: GossipOptions): GossipMembership {
  const state: GossipState = {
    members: createMemberTable(world, options),
    formerAddresses: new Set(
      options.persisted.map((entry) => entry.address).filter((address) => address !== options.self),
    ),
    heartbeat: 0,
  };
  const { members } = state;
  function tick(): void {
    exchange(state, world, options);
  }
  world.after(micros(firstExchangeDelayUs), tick);
  const stop = every(
    world,
    () => micros(options.exchangeInterval * (jitter.min + jitter.range * world.random())),
    tick,
  );
  return {
    receive: (message) => receive(state, world, options, message),
    neighbours: () => sample(members.live(), options.viewSize, world.random).map((entry) => entry.address as Address),
    liveMembers: members.live,
    zoneMembers: () => [ownEntry(state, options), ...members.live().filter((entry) => entry.zone === options.zone)],
    isInContact: members.isInContact,
    recentCount: () => 1 + members.recentCount(),
    stop,
  };
}

function ownEntry(state: GossipState, options: GossipOptions): MemberEntry {
  const { member, self: address, zone, incarnation: born, routerHttpAddress: http } = options;
  return { member, address, zone, born, beat: state.heartbeat, http, tenured: options.holdsFeedLease() };
}

function exchange(state: GossipState, world: World, options: GossipOptions): void {
  const { members, formerAddresses } = state;
  state.heartbeat += 1;
  for (const failed of members.expire()) formerAddresses.add(failed.address);
  const targets = new Set(sample(members.live(), fanout, world.random).map((entry) => entry.address as Address));
  if (members.liveCount() < minLiveMembers || world.random() < seedProbability) {
    const others = [...options.seeds, ...formerAddresses].filter((address) => address !== options.self);
    const count = members.liveCount() === 0 ? seedsWithoutLiveMembers : 1;
    for (const address of sample(others, count, world.random)) targets.add(address as Address);
  }
  for (const target of targets) world.send(target, exchangeMessage(state, world, options, true));
  if (state.heartbeat % exchangesPerSave === 1) options.save(members.live());
}

function receive(state: GossipState, world: World, options: GossipOptions, message: MessageOf<'Shuffle'>): void {
  state.members.merge(message.entries);
  if (message.membershipEpoch > 0) options.onControlMembership(message.membershipEpoch, message.replicas);
  for (const role of message.duties) options.onSingletonRole(role);
  if (message.answer) world.send(message.from as Address, exchangeMessage(state, world, options, false));
}

/** The message of an exchange; `answer` requests the receiver's entries in return. */
function exchangeMessage(
  state: GossipState,
  world: World,
  options: GossipOptions,
  answer: boolean,
): MessageOf<'Shuffle'> {
  const { membershipEpoch, replicas } = options.controlMembership();
  return {
    kind: 'Shuffle',
    answer,
    from: options.self,
    entries: [ownEntry(state, options), ...sample(state.members.live(), options.viewSize, world.random)],
    membershipEpoch,
    replicas: [...replicas],
    duties: options.heldSingletonRoles(),
  };
}
