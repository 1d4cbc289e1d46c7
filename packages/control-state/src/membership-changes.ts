/**
 * Changes of the membership record. A machine that asks for a slot first copies all rows as a learner. Only then is it
 * written into the record, as the replacement of a lost replica or as an additional member while the cluster grows. A
 * replacement needs a majority of the old members, not counting the replaced one. No majority of the old members is
 * then left that does not know of the replacement. Each member refuses it while it still hears the replica to be
 * replaced.
 */
import { micros, type Address, type MessageOf, type ReplicaEntry } from '@tansypost/inner-protocol';
import type { Vote, VoteRequest } from './acceptor.js';
import type { NodeContext } from './node-context.js';
import { encodeMembership, membershipKey, withAdded, withReplaced } from './membership-record.js';
import type { PeerLiveness } from './peer-liveness.js';
import { maxReplicas } from './replica-limits.js';
import { emptyRow, mergeRows, nextEpoch, type Row } from './row.js';

/** `finish` rewrites the newest record if only some of the replicas have accepted it. */
export type MembershipChange =
  | { readonly kind: 'finish' }
  | { readonly kind: 'add'; readonly address: string; readonly disk: string }
  | { readonly kind: 'replace'; readonly slot: number; readonly address: string; readonly disk: string };

/** The fields of a Prepare that does not concern a replacement. */
export const noReplacement = { replacedDisk: '', successor: '' } as const;

/** Dependencies and settings of membership changes. */
export interface MembershipChangesOptions {
  readonly node: NodeContext;
  readonly peers: PeerLiveness;
  /** Whether the settings assign the slots; a machine then only takes its own slot. */
  readonly hasConfiguredSlots: boolean;
  /** Whether this node coordinates membership changes. */
  readonly isCoordinator: () => boolean;
  /** Called after each attempt so that the other nodes learn of the record. */
  readonly onAttempted: () => void;
  /** Number of replicas that the cluster grows to if there are enough machines; the maximum if not given. */
  readonly targetReplicas?: number;
}

/** Proposes and refuses membership changes. */
export interface MembershipChanges {
  readonly join: (request: MessageOf<'Join'>) => void;
  readonly propose: (change: MembershipChange) => void;
  /** Whether this node must refuse a Prepare because it still hears the replica that is to be replaced. */
  readonly mustRefuse: (request: MessageOf<'Prepare'>) => boolean;
  /** Whether a machine that could take a slot has recently asked for one. */
  readonly hasCandidate: () => boolean;
}

interface JoinCandidate {
  readonly askingSince: number;
  readonly lastAskedAt: number;
  readonly isFirstStart: boolean;
}

/** A machine counts as a candidate for this long after its last join request. */
const candidateTimeoutUs = 1_000_000;
/** A candidate that was silent for this long counts as a new one when it asks again. */
const candidateResetUs = 1_500_000;
/** Any node may act on a candidate that has been asking for this long, in case the coordinator does not. */
const coordinatorTimeoutUs = 1_500_000;
/** Minimum and random jitter of the pause between two proposals of one node. */
const minCooldownUs = 200_000;
const cooldownJitterUs = 400_000;

/** Creates the membership changes of a node. */
export function createMembershipChanges(options: MembershipChangesOptions): MembershipChanges {
  const { node, peers } = options;
  const { world, replica, rounds } = node;
  const targetReplicas = Math.min(options.targetReplicas ?? maxReplicas, maxReplicas);
  const candidates = new Map<string, JoinCandidate>();
  let isChanging = false;
  let highestEpochSeen = 0;

  function join(request: MessageOf<'Join'>): void {
    if (replica.state() !== 'voting' || options.hasConfiguredSlots) return;
    peers.noteNewDisks();
    world.send(request.from as Address, replica.hello());
    const askingSince = recordCandidate(request);
    const mayAct = options.isCoordinator() || world.now() - askingSince > coordinatorTimeoutUs;
    const isMember = replica.membership().replicas.some((entry) => entry.disk === request.disk);
    if (isChanging || isMember || !mayAct || !request.caughtUp) return;
    const replaceable = replaceableEntryFor(request.from);
    if (replaceable !== undefined)
      return propose({ kind: 'replace', slot: replaceable.slot, address: request.from, disk: request.disk });
    if (request.first && mayGrow()) propose({ kind: 'add', address: request.from, disk: request.disk });
  }

  function recordCandidate(request: MessageOf<'Join'>): number {
    const previous = candidates.get(request.from);
    const askingSince =
      previous === undefined || world.now() - previous.lastAskedAt > candidateResetUs
        ? world.now()
        : previous.askingSince;
    candidates.set(request.from, { askingSince, lastAskedAt: world.now(), isFirstStart: request.first });
    return askingSince;
  }

  /**
   * The member that a machine at `address` may replace: the one with the same address, since its disk is then lost;
   * otherwise one that is leaving or missing.
   */
  function replaceableEntryFor(address: string): ReplicaEntry | undefined {
    const { replicas } = replica.membership();
    const entryAtAddress = replicas.find((entry) => entry.address === address);
    if (entryAtAddress !== undefined) return entryAtAddress;
    return replicas.find(({ slot }) => slot !== replica.slot && (peers.isLeaving(slot) || peers.isMissing(slot)));
  }

  /**
   * A cluster that was bootstrapped by fewer machines than there were grows by two replicas at a time, because an even
   * number of replicas tolerates no more failures.
   */
  function mayGrow(): boolean {
    const { replicas } = replica.membership();
    if (peers.live().length !== replicas.length) return false;
    if (replicas.length % 2 === 0) return replicas.length < targetReplicas;
    const asking = [...candidates].filter(
      ([address, candidate]) =>
        candidate.isFirstStart && isRecent(candidate) && !replicas.some((entry) => entry.address === address),
    );
    return asking.length > 1 && replicas.length < targetReplicas - 1;
  }

  function isRecent(candidate: JoinCandidate): boolean {
    return world.now() - candidate.lastAskedAt < candidateTimeoutUs;
  }

  function propose(proposal: MembershipChange): void {
    if (isChanging) return;
    isChanging = true;
    const { membershipEpoch } = replica.membership();
    const epoch = nextEpoch(Math.max(replica.row(membershipKey).promised, highestEpochSeen), replica.slot);
    const excludedSlot = proposal.kind === 'replace' ? proposal.slot : undefined;
    const replacement = replacementOf(proposal);
    function buildRequest(id: string): VoteRequest {
      return { kind: 'Prepare', id, from: '', key: membershipKey, epoch, membershipEpoch, ...replacement };
    }
    rounds.start({ excludedSlot, buildRequest }, (prepared) => {
      for (const vote of prepared.votes) highestEpochSeen = Math.max(highestEpochSeen, vote.promised);
      const newest = newestOf(prepared.votes);
      const value = prepared.won ? valueAfter(proposal, newest, membershipEpoch) : undefined;
      if (value === undefined) return startCooldown();
      write({ promised: epoch, epoch, version: newest.version + 1, value }, membershipEpoch, proposal);
    });
  }

  function replacementOf(
    proposal: MembershipChange,
  ): typeof noReplacement | { replacedDisk: string; successor: string } {
    if (proposal.kind !== 'replace') return noReplacement;
    const replaced = replica.membership().replicas.find((entry) => entry.slot === proposal.slot);
    return { replacedDisk: replaced?.disk ?? '', successor: proposal.address };
  }

  function newestOf(votes: readonly Vote[]): Row {
    return votes.filter((vote) => vote.ok).reduce<Row>((found, vote) => mergeRows(found, vote), emptyRow);
  }

  /** The record to write; undefined if another change was made in the meantime. */
  function valueAfter(proposal: MembershipChange, newest: Row, membershipEpoch: number): Buffer | undefined {
    if (proposal.kind === 'finish') return newest.epoch < membershipEpoch ? undefined : newest.value;
    if (newest.epoch !== membershipEpoch) return undefined;
    const record = replica.membership();
    const { address, disk } = proposal;
    if (proposal.kind === 'add') return encodeMembership(record.cluster, withAdded(record, address, disk));
    return encodeMembership(record.cluster, withReplaced(record, { slot: proposal.slot, address, disk }));
  }

  function write(row: Row, membershipEpoch: number, proposal: MembershipChange): void {
    const excludedSlot = proposal.kind === 'replace' ? proposal.slot : undefined;
    const { epoch, version, value } = row;
    function buildRequest(id: string): VoteRequest {
      return { kind: 'Accept', id, from: '', key: membershipKey, epoch, membershipEpoch, version, value, changes: [] };
    }
    rounds.start({ excludedSlot, buildRequest }, () => {
      world.log(2006, { ...proposal, membershipEpoch: replica.membership().membershipEpoch });
      startCooldown();
      options.onAttempted();
      if (proposal.kind !== 'finish') world.send(proposal.address as Address, replica.hello());
    });
  }

  function startCooldown(): void {
    world.after(micros(minCooldownUs + world.random() * cooldownJitterUs), () => {
      isChanging = false;
    });
  }

  function mustRefuse(request: MessageOf<'Prepare'>): boolean {
    if (request.replacedDisk === '') return false;
    const replaced = replica.membership().replicas.find((entry) => entry.disk === request.replacedDisk);
    // A machine that asks from the address of the replica to be replaced has lost that replica's disk.
    return replaced !== undefined && replaced.address !== request.successor && peers.isPresent(replaced.disk);
  }

  return {
    join,
    propose,
    mustRefuse,
    hasCandidate: () => [...candidates.values()].some(isRecent),
  };
}
