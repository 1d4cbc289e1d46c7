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
  type DutyMark,
  type Entry,
  type MessageOf,
  type ReplicaEntry,
  type World,
} from '@tansypost/inner-protocol';
import { createMemberTable, type MemberTable } from './member-table.js';
import { sample } from './sample.js';

/** What a member is told when its views are made. Times are microseconds. */
export interface ViewsOptions {
  readonly member: string;
  readonly self: Address;
  readonly zone: string;
  /** Address at which its router takes requests. */
  readonly http: string;
  /** Grows with each start of this member, so that a restarted one outranks what is told of it. */
  readonly born: number;
  readonly seeds: readonly Address[];
  /** The view that was saved before the last stop. */
  readonly persisted: readonly Entry[];
  /** How many entries a message carries, and how many neighbours there are. */
  readonly size: number;
  /** Mean time between two exchanges. */
  readonly period: number;
  /** How long a heartbeat counter may stand still. */
  readonly forgetAfter: number;
  /** Whether this member's router holds a feed lease. */
  readonly tenured: () => boolean;
  readonly core: () => { membershipEpoch: number; replicas: readonly ReplicaEntry[] };
  readonly duties: () => DutyMark[];
  readonly heardCore: (membershipEpoch: number, replicas: ReplicaEntry[]) => void;
  readonly heardDuty: (duty: DutyMark) => void;
  readonly save: (entries: readonly Entry[]) => void;
}

/** What a member knows of the others. */
export interface Views {
  readonly receive: (message: MessageOf<'Shuffle'>) => void;
  /** A fresh random sample of live members. */
  readonly neighbours: () => Address[];
  /** All members that are alive as far as is known, without itself. */
  readonly live: () => Entry[];
  /** Itself and the live members of its zone. */
  readonly zone: () => Entry[];
  /** Whether at least half of the members heard of in the last minute are still heard of. */
  readonly contact: () => boolean;
  /** How many members there are, itself among them, with those no longer heard of for a minute. */
  readonly total: () => number;
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

interface ViewsState {
  readonly members: MemberTable;
  /** Addresses at which a member was once; asked when few are known. */
  readonly earlierAddresses: Set<string>;
  heartbeat: number;
}

/** Makes the views of a member and begins to exchange them. */
export function createViews(world: World, options: ViewsOptions): Views {
  const state: ViewsState = {
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
  const stop = every(world, () => micros(options.period * (jitter.least + jitter.spread * world.random())), tick);
  return {
    receive: (message) => receive(state, world, options, message),
    neighbours: () => sample(members.live(), options.size, world.random).map((entry) => entry.address as Address),
    live: members.live,
    zone: () => [ownEntry(state, options), ...members.live().filter((entry) => entry.zone === options.zone)],
    contact: members.contact,
    total: () => 1 + members.total(),
    stop,
  };
}

function ownEntry(state: ViewsState, options: ViewsOptions): Entry {
  const { member, self: address, zone, born, http } = options;
  return { member, address, zone, born, beat: state.heartbeat, http, tenured: options.tenured() };
}

function exchange(state: ViewsState, world: World, options: ViewsOptions): void {
  const { members, earlierAddresses } = state;
  state.heartbeat += 1;
  for (const forgotten of members.forget()) earlierAddresses.add(forgotten.address);
  const targets = new Set(sample(members.live(), fanout, world.random).map((entry) => entry.address as Address));
  if (members.liveCount() < fewMembers || world.random() < seedChance) {
    const others = [...options.seeds, ...earlierAddresses].filter((address) => address !== options.self);
    const wanted = members.liveCount() === 0 ? seedsWhenAlone : 1;
    for (const address of sample(others, wanted, world.random)) targets.add(address as Address);
  }
  for (const target of targets) world.send(target, shuffleMessage(state, world, options, true));
  if (state.heartbeat % exchangesPerSave === 1) options.save(members.live());
}

function receive(state: ViewsState, world: World, options: ViewsOptions, message: MessageOf<'Shuffle'>): void {
  state.members.take(message.entries);
  if (message.membershipEpoch > 0) options.heardCore(message.membershipEpoch, message.replicas);
  for (const duty of message.duties) options.heardDuty(duty);
  if (message.answer) world.send(message.from as Address, shuffleMessage(state, world, options, false));
}

/** What one member tells another; `answer` asks the receiver for its own entries. */
function shuffleMessage(state: ViewsState, world: World, options: ViewsOptions, answer: boolean): MessageOf<'Shuffle'> {
  const { membershipEpoch, replicas } = options.core();
  return {
    kind: 'Shuffle',
    answer,
    from: options.self,
    entries: [ownEntry(state, options), ...sample(state.members.live(), options.size, world.random)],
    membershipEpoch,
    replicas: [...replicas],
    duties: options.duties(),
  };
}
