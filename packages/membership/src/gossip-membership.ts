/**
 * Membership by gossip. A member keeps a partial view of the others, exchanged with neighbours, and a view of its own
 * zone that takes in every member of it heard of. Each entry carries its member's own heartbeat counter; an entry
 * whose counter stops rising is forgotten by all. Views are kept on disk where there is one, so a restart needs no
 * seed; the three seeds serve only the first meeting and a lonely member.
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

/** What a member is told when its views are made. Times are microseconds. */
export interface GossipOptions {
  readonly member: string;
  readonly self: Address;
  readonly zone: string;
  /** Address at which its router takes requests. */
  readonly routerHttpAddress: string;
  /** Grows with each start of this member, so that a restarted one outranks what is told of it. */
  readonly incarnation: number;
  readonly seeds: readonly Address[];
  /** The view that was saved before the last stop. */
  readonly persisted: readonly MemberEntry[];
  /** How many entries a message carries, and how many neighbours there are. */
  readonly viewSize: number;
  /** Mean time between two exchanges. */
  readonly exchangeInterval: number;
  /** How long a heartbeat counter may stand still. */
  readonly failureTimeout: number;
  /** Whether this member's router holds a feed lease. */
  readonly holdsFeedLease: () => boolean;
  readonly controlMembership: () => { membershipEpoch: number; replicas: readonly ReplicaEntry[] };
  readonly heldSingletonRoles: () => SingletonRoleEntry[];
  readonly onControlMembership: (membershipEpoch: number, replicas: ReplicaEntry[]) => void;
  readonly onSingletonRole: (duty: SingletonRoleEntry) => void;
  readonly save: (entries: readonly MemberEntry[]) => void;
}

/** What a member knows of the others. */
export interface GossipMembership {
  readonly receive: (message: MessageOf<'Shuffle'>) => void;
  /** A fresh random sample of live members. */
  readonly neighbours: () => Address[];
  /** All members that are alive as far as is known, without itself. */
  readonly liveMembers: () => MemberEntry[];
  /** Itself and the live members of its zone. */
  readonly zoneMembers: () => MemberEntry[];
  /** Whether at least half of the members heard of in the last minute are still heard of. */
  readonly isInContact: () => boolean;
  /** How many members there are, itself among them, with those no longer heard of for a minute. */
  readonly recentCount: () => number;
  readonly stop: () => void;
}

/** How many live members an exchange goes to. */
const fanout = 2;
/** With fewer live members than this, seeds and earlier members are asked at every exchange. */
const fewMembers = 3;
/** The chance that they are asked although there are enough. */
const seedChance = 0.1;
/** How many of them are asked when nobody is known. */
const seedsWhenAlone = 3;
/** The view is saved once in so many exchanges. */
const exchangesPerSave = 10;
/** The first exchange, in microseconds after the start. */
const firstExchangeAfter = 1000;
/** The period is spread evenly over this range of itself, so that members don't fall into step. */
const jitter = { least: 0.8, spread: 0.4 } as const;

interface GossipState {
  readonly members: MemberTable;
  /** Addresses at which a member was once; asked when few are known. */
  readonly earlierAddresses: Set<string>;
  heartbeat: number;
}

/** Makes the views of a member and begins to exchange them. */
export function createGossipMembership(world: World, options: GossipOptions): GossipMembership {
  const state: GossipState = {
    members: createMemberTable(world, options),
    earlierAddresses: new Set(
      options.persisted.map((entry) => entry.address).filter((address) => address !== options.self),
    ),
    heartbeat: 0,
  };
  const { members } = state;
  function tick(): void {
    exchange(state, world, options);
  }
  world.after(micros(firstExchangeAfter), tick);
  const stop = every(
    world,
    () => micros(options.exchangeInterval * (jitter.least + jitter.spread * world.random())),
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
  const { members, earlierAddresses } = state;
  state.heartbeat += 1;
  for (const forgotten of members.expire()) earlierAddresses.add(forgotten.address);
  const targets = new Set(sample(members.live(), fanout, world.random).map((entry) => entry.address as Address));
  if (members.liveCount() < fewMembers || world.random() < seedChance) {
    const others = [...options.seeds, ...earlierAddresses].filter((address) => address !== options.self);
    const wanted = members.liveCount() === 0 ? seedsWhenAlone : 1;
    for (const address of sample(others, wanted, world.random)) targets.add(address as Address);
  }
  for (const target of targets) world.send(target, shuffleMessage(state, world, options, true));
  if (state.heartbeat % exchangesPerSave === 1) options.save(members.live());
}

function receive(state: GossipState, world: World, options: GossipOptions, message: MessageOf<'Shuffle'>): void {
  state.members.merge(message.entries);
  if (message.membershipEpoch > 0) options.onControlMembership(message.membershipEpoch, message.replicas);
  for (const duty of message.duties) options.onSingletonRole(duty);
  if (message.answer) world.send(message.from as Address, shuffleMessage(state, world, options, false));
}

/** What one member tells another; `answer` asks the receiver for its own entries. */
function shuffleMessage(
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
