/**
 * Changes of the membership record. A machine that asks for a slot first copies as a learner; only then is it written
 * into the record in the place of a replica that is gone, or beside the others while the cluster grows. A replacement is
 * agreed by a majority of the old members without the one replaced, so no majority of the old members is left that does
 * not know of it, and each of them refuses while it hears the one that is to be replaced.
 */
import { micros, type Address, type MessageOf, type ReplicaEntry } from '@tansypost/inner-protocol';
import type { Vote, VoteRequest } from './acceptor.js';
import type { NodeContext } from './node-context.js';
import { encodeMembership, membershipKey, withAdded, withReplaced } from './membership-record.js';
import type { PeerLiveness } from './peer-liveness.js';
import { maxReplicas } from './replica-limits.js';
import { emptyRow, mergeRows, nextEpoch, type Row } from './row.js';

/** `finish` writes the newest record once more, where one replica took it and the others did not. */
export type MembershipChange =
  | { readonly kind: 'finish' }
  | { readonly kind: 'add'; readonly address: string; readonly disk: string }
  | { readonly kind: 'replace'; readonly slot: number; readonly address: string; readonly disk: string };

/** The fields of a Prepare that is about no replacement. */
export const noReplacement = { replacedDisk: '', successor: '' } as const;

/** What changing the membership needs of the node. */
export interface MembershipChangesOptions {
  readonly cluster: NodeContext;
  readonly peers: PeerLiveness;
  /** Whether slots are stated in the settings; a machine then takes only its own. */
  readonly slotsAreStated: boolean;
  /** Whether this node is the one that sees to changes of the membership. */
  readonly isCoordinator: () => boolean;
  /** Told after each try, so that the others hear of the record. */
  readonly tried: () => void;
  /** How many replicas a cluster grows to as far as there are machines; without it, as many as there may be. */
  readonly targetReplicas?: number;
}

/** Proposes and refuses changes of the membership. */
export interface MembershipChanges {
  readonly join: (request: MessageOf<'Join'>) => void;
  readonly change: (change: MembershipChange) => void;
  /** Whether this node must refuse a Prepare, as it hears the replica that is to be replaced. */
  readonly mustRefuse: (request: MessageOf<'Prepare'>) => boolean;
  /** Whether a machine that could take a slot has asked for one lately. */
  readonly hasCandidate: () => boolean;
}

interface Candidate {
  readonly since: number;
  readonly at: number;
  readonly first: boolean;
}

const askingFor = 1_000_000;
const forgottenAfter = 1_500_000;
const takesOverAfter = 1_500_000;
const leastPause = 200_000;
const pauseSpread = 400_000;

/** Makes the part of a node that sees to the membership. */
export function createMembershipChanges(options: MembershipChangesOptions): MembershipChanges {
  const { cluster, peers } = options;
  const { world, replica, rounds } = cluster;
  const wantedReplicas = Math.min(options.targetReplicas ?? maxReplicas, maxReplicas);
  const candidates = new Map<string, Candidate>();
  let changing = false;
  let seenEpoch = 0;

  function join(request: MessageOf<'Join'>): void {
    if (replica.state() !== 'voting' || options.slotsAreStated) return;
    peers.noticeNewDisks();
    world.send(request.from as Address, replica.hello());
    const since = noteCandidate(request);
    const mayAct = options.isCoordinator() || world.now() - since > takesOverAfter;
    const isMember = replica.membership().replicas.some((entry) => entry.disk === request.disk);
    if (changing || isMember || !mayAct || !request.caughtUp) return;
    const vacant = vacantFor(request.from);
    if (vacant !== undefined)
      return change({ kind: 'replace', slot: vacant.slot, address: request.from, disk: request.disk });
    if (request.first && mayGrow()) change({ kind: 'add', address: request.from, disk: request.disk });
  }

  function noteCandidate(request: MessageOf<'Join'>): number {
    const known = candidates.get(request.from);
    const since = known === undefined || world.now() - known.at > forgottenAfter ? world.now() : known.since;
    candidates.set(request.from, { since, at: world.now(), first: request.first });
    return since;
  }

  /** The slot of its own address, whose disk is gone with it; else one whose replica leaves or has been silent. */
  function vacantFor(address: string): ReplicaEntry | undefined {
    const { replicas } = replica.membership();
    const own = replicas.find((entry) => entry.address === address);
    if (own !== undefined) return own;
    return replicas.find(({ slot }) => slot !== replica.slot && (peers.isLeaving(slot) || peers.isMissing(slot)));
  }

  /** A cluster founded by fewer machines than there were grows by two at a time: an even number bears no more losses. */
  function mayGrow(): boolean {
    const { replicas } = replica.membership();
    if (peers.live().length !== replicas.length) return false;
    if (replicas.length % 2 === 0) return replicas.length < wantedReplicas;
    const asking = [...candidates].filter(
      ([address, candidate]) => candidate.first && isAsking(candidate) && !replicas.some((r) => r.address === address),
    );
    return asking.length > 1 && replicas.length < wantedReplicas - 1;
  }

  function isAsking(candidate: Candidate): boolean {
    return world.now() - candidate.at < askingFor;
  }

  function change(wanted: MembershipChange): void {
    if (changing) return;
    changing = true;
    const { membershipEpoch } = replica.membership();
    const epoch = nextEpoch(Math.max(replica.row(membershipKey).promised, seenEpoch), replica.slot);
    const without = wanted.kind === 'replace' ? wanted.slot : undefined;
    const replacement = replacementOf(wanted);
    function make(id: string): VoteRequest {
      return { kind: 'Prepare', id, from: '', key: membershipKey, epoch, membershipEpoch, ...replacement };
    }
    rounds.start({ excludedSlot: without, buildRequest: make }, (prepared) => {
      for (const vote of prepared.votes) seenEpoch = Math.max(seenEpoch, vote.promised);
      const newest = newestOf(prepared.votes);
      const value = prepared.won ? valueAfter(wanted, newest, membershipEpoch) : undefined;
      if (value === undefined) return pause();
      write({ promised: epoch, epoch, version: newest.version + 1, value }, membershipEpoch, wanted);
    });
  }

  function replacementOf(wanted: MembershipChange): typeof noReplacement | { replacedDisk: string; successor: string } {
    if (wanted.kind !== 'replace') return noReplacement;
    const replaced = replica.membership().replicas.find((entry) => entry.slot === wanted.slot);
    return { replacedDisk: replaced?.disk ?? '', successor: wanted.address };
  }

  function newestOf(votes: readonly Vote[]): Row {
    return votes.filter((vote) => vote.ok).reduce<Row>((found, vote) => mergeRows(found, vote), emptyRow);
  }

  /** The record to write; none where another change came in between. */
  function valueAfter(wanted: MembershipChange, newest: Row, membershipEpoch: number): Buffer | undefined {
    if (wanted.kind === 'finish') return newest.epoch < membershipEpoch ? undefined : newest.value;
    if (newest.epoch !== membershipEpoch) return undefined;
    const record = replica.membership();
    const { address, disk } = wanted;
    if (wanted.kind === 'add') return encodeMembership(record.cluster, withAdded(record, address, disk));
    return encodeMembership(record.cluster, withReplaced(record, { slot: wanted.slot, address, disk }));
  }

  function write(row: Row, membershipEpoch: number, wanted: MembershipChange): void {
    const without = wanted.kind === 'replace' ? wanted.slot : undefined;
    const { epoch, version, value } = row;
    function make(id: string): VoteRequest {
      return { kind: 'Accept', id, from: '', key: membershipKey, epoch, membershipEpoch, version, value, changes: [] };
    }
    rounds.start({ excludedSlot: without, buildRequest: make }, () => {
      world.log(2006, { ...wanted, membershipEpoch: replica.membership().membershipEpoch });
      pause();
      options.tried();
      if (wanted.kind !== 'finish') world.send(wanted.address as Address, replica.hello());
    });
  }

  function pause(): void {
    world.after(micros(leastPause + world.random() * pauseSpread), () => {
      changing = false;
    });
  }

  function mustRefuse(request: MessageOf<'Prepare'>): boolean {
    if (request.replacedDisk === '') return false;
    const replaced = replica.membership().replicas.find((entry) => entry.disk === request.replacedDisk);
    // A machine that asks from the address of the one replaced has lost that one's disk.
    return replaced !== undefined && replaced.address !== request.successor && peers.isPresent(replaced.disk);
  }

  return {
    join,
    change,
    mustRefuse,
    hasCandidate: () => [...candidates.values()].some(isAsking),
  };
}
