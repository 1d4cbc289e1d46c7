/**
 * Which sets of disks could decide now, and what must hold of them. A set can decide under a membership when its disks
 * are named there, vote by what is synced on them, and know no newer membership, as such a one refuses.
 */
import { configurationKey } from '@tansypost/control-feed';
import { majorityOf } from '@tansypost/control-state';
import { disksOf, membershipOf, type DurableState, type Membership } from './durable-state.js';

/** A rule that was broken, and how. */
export interface Violation {
  readonly rule: string;
  readonly detail: string;
}

/** All subsets of a given size. */
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

/** The different membership records on the disks. */
export function membershipsOn(states: readonly DurableState[]): Membership[] {
  const found = new Map<string, Membership>();
  for (const state of states) {
    const membership = membershipOf(state);
    if (membership !== undefined) found.set(`${membership.epoch}/${disksOf(membership)}`, membership);
  }
  return [...found.values()];
}

function namesOf(states: readonly DurableState[]): string {
  return states.map((state) => state.disk).join(' and ');
}

/**
 * Every quorum that could vote now, under any membership, holds the newest acknowledged value. As a lost disk only
 * takes quorums away, and a replacement votes after it copied from as many as every majority meets, the value then
 * survives each loss that leaves a majority.
 */
export function findLostValue(states: readonly DurableState[], newest: number): Violation | undefined {
  for (const membership of newest === 0 ? [] : membershipsOn(states)) {
    const quorumWithout = quorums(membership, states).find(
      (quorum) => !quorum.some((state) => (state.rows.get(configurationKey)?.version ?? 0) >= newest),
    );
    if (quorumWithout === undefined) continue;
    const detail = `version ${newest} was acknowledged and ${namesOf(quorumWithout)} may vote without it`;
    return { rule: 'acknowledged value kept', detail: detail };
  }
  return undefined;
}

/** Two memberships that could both decide at once would be two clusters: their quorums must meet. */
export function findSplitBrain(states: readonly DurableState[]): Violation | undefined {
  const all = membershipsOn(states).map((membership) => ({ membership, able: quorums(membership, states) }));
  for (const [first, second] of subsets(all, 2)) {
    for (const quorum of first!.able) {
      const apart = second!.able.find((other) => !other.some((state) => quorum.includes(state)));
      if (apart === undefined) continue;
      const detail = `${namesOf(quorum)} may vote under ${first!.membership.epoch}, ${namesOf(apart)} under ${second!.membership.epoch}`;
      return { rule: 'majorities meet', detail: detail };
    }
  }
  return undefined;
}

/**
 * Whether a majority that votes is left when one disk is lost, under each membership that may be in force: one that a
 * majority could vote under now, or the newest on any disk. Members that are down count, as they come back.
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
