/**
 * Checks of the sets of disks that could form a quorum now. A majority of disks can decide under a membership if the
 * membership names them, their synced state is voting, and none knows a newer membership, as such a disk refuses to vote.
 */
import { configurationKey } from '@tansypost/control-feed';
import { majorityOf } from '@tansypost/control-state';
import { disksOf, membershipOf, type DurableState, type Membership } from './durable-state.js';

/** A broken rule, and how it was broken. */
export interface Violation {
  readonly rule: string;
  readonly detail: string;
}

function subsets<T>(items: readonly T[], size: number): T[][] {
  if (size === 0) return [[]];
  return items.flatMap((item, index) => subsets(items.slice(index + 1), size - 1).map((rest) => [item, ...rest]));
}

function isNamed(state: DurableState, membership: Membership): boolean {
  return membership.replicas.some((replica) => replica.disk === state.disk);
}

function voters(membership: Membership, states: readonly DurableState[]): DurableState[] {
  return states.filter((state) => {
    const known = membershipOf(state)?.epoch ?? 0;
    return state.state === 'voting' && isNamed(state, membership) && known <= membership.epoch;
  });
}

function quorums(membership: Membership, states: readonly DurableState[]): DurableState[][] {
  return subsets(voters(membership, states), majorityOf(membership.replicas.length));
}

/** The distinct membership records on the disks. */
export function membershipsOn(states: readonly DurableState[]): Membership[] {
  const byIdentity = new Map<string, Membership>();
  for (const state of states) {
    const membership = membershipOf(state);
    if (membership !== undefined) byIdentity.set(`${membership.epoch}/${disksOf(membership)}`, membership);
  }
  return [...byIdentity.values()];
}

function namesOf(states: readonly DurableState[]): string {
  return states.map((state) => state.disk).join(' and ');
}

/**
 * Every quorum that could vote now, under any membership, must hold the newest acknowledged value. A lost disk only
 * removes quorums, and a replacement votes only after it has copied from enough replicas to intersect every majority, so
 * the value then survives each loss that leaves a majority.
 */
export function findLostValue(states: readonly DurableState[], newest: number): Violation | undefined {
  for (const membership of newest === 0 ? [] : membershipsOn(states)) {
    const quorumWithout = quorums(membership, states).find(
      (quorum) => !quorum.some((state) => (state.rows.get(configurationKey)?.version ?? 0) >= newest),
    );
    if (quorumWithout === undefined) continue;
    const detail = `version ${newest} was acknowledged and ${namesOf(quorumWithout)} could vote without it`;
    return { rule: 'acknowledged value kept', detail };
  }
  return undefined;
}

/** Two memberships that could both decide at the same time would be a split brain: their quorums must intersect. */
export function findSplitBrain(states: readonly DurableState[]): Violation | undefined {
  const all = membershipsOn(states).map((membership) => ({ membership, quorums: quorums(membership, states) }));
  for (const [first, second] of subsets(all, 2)) {
    for (const quorum of first!.quorums) {
      const disjoint = second!.quorums.find((other) => !other.some((state) => quorum.includes(state)));
      if (disjoint === undefined) continue;
      const detail = `${namesOf(quorum)} could vote under membership ${first!.membership.epoch}, ${namesOf(disjoint)} under membership ${second!.membership.epoch}`;
      return { rule: 'quorums intersect', detail };
    }
  }
  return undefined;
}

/**
 * Whether a voting majority remains when one disk is lost, under each membership that may be in force: each one under
 * which a majority could vote now, and the newest on any disk. Members that are down count, as they restart.
 */
export function toleratesLoss(states: readonly DurableState[], lost: DurableState, replicaCount: number): boolean {
  const known = membershipsOn(states);
  const newestEpoch = Math.max(0, ...known.map((membership) => membership.epoch));
  const inForce = known.filter((membership) => quorums(membership, states).length > 0);
  if (inForce.length === 0 || inForce.some((membership) => membership.replicas.length < replicaCount)) return false;
  const remaining = states.filter((state) => state !== lost && state.state === 'voting');
  return [...inForce, ...known.filter((membership) => membership.epoch === newestEpoch)].every(
    (membership) =>
      remaining.filter((state) => isNamed(state, membership)).length >= majorityOf(membership.replicas.length),
  );
}
