/**
 * Leases that routers hold on a key of the desired state, and the acknowledgements that wait for them. A change is
 * acknowledged only when, beyond the majority, every router whose lease may be live has applied it. Whoever is granted
 * a lease stands in a register, a key beside the desired state's, before the first grant; so a new leader knows whom its
 * predecessor may have granted one, and waits for each of these to apply the change, or for one whole lease after its
 * takeover.
 */
import { micros, type Address, type MessageOf } from '@tansypost/inner-protocol';
import type { NodeContext } from './node-context.js';
import type { KeyLeader } from './key-leader.js';
import { decodeRegister, encodeRegister } from './lease-register.js';
import type { Row } from './row.js';

type Subscribe = MessageOf<'Subscribe'>;

/** Grants leases to routers and holds acknowledgements until they govern. */
export interface RouterLeases {
  /** Grants what a follower asks for on behalf of its routers. */
  readonly grant: (key: string, request: Subscribe) => void;
  /** Calls back once a version governs at every router that may serve. */
  readonly whenApplied: (key: string, version: number, done: () => void) => void;
  /** Takes those out of the registers that can hold no lease any more, so that the next leader need not wait for them. */
  readonly prune: () => void;
}

interface RouterLease {
  expires: number;
  applied: number;
}

interface Register {
  readonly routers: Set<string>;
  readonly askedAt: number;
}

interface Acknowledgement {
  readonly version: number;
  readonly done: () => void;
}

const clockSlack = 100_000;
const lookAgainAfter = 100_000;

/** Makes the leases of a node; `leaseLength` is in microseconds. */
export function createRouterLeases(cluster: NodeContext, leaseLength: number): RouterLeases {
  const { world } = cluster;
  const leases = new Map<string, Map<string, RouterLease>>();
  const registers = new Map<string, Register>();
  const waiting = new Map<string, Acknowledgement[]>();
  let lookingAgain = false;

  function leasesOf(key: string): Map<string, RouterLease> {
    let present = leases.get(key);
    if (present === undefined) leases.set(key, (present = new Map<string, RouterLease>()));
    return present;
  }

  function whenGoverns(key: string, version: number, done: () => void): void {
    waiting.set(key, [...(waiting.get(key) ?? []), { version, done }]);
    acknowledge(key);
    lookAgain();
  }

  function lookAgain(): void {
    if (lookingAgain || waiting.size === 0) return;
    lookingAgain = true;
    world.after(micros(lookAgainAfter), () => {
      lookingAgain = false;
      for (const key of [...waiting.keys()]) acknowledge(key);
      lookAgain();
    });
  }

  /** Lets go of each acknowledgement whose version every live lease has applied. */
  function acknowledge(key: string): void {
    const list = waiting.get(key);
    if (list === undefined) return;
    const left = list.filter(({ version, done }) => {
      if (!governs(key, version)) return true;
      done();
      return false;
    });
    if (left.length > 0) waiting.set(key, left);
    else waiting.delete(key);
  }

  function governs(key: string, version: number): boolean {
    const leader = cluster.leaderOf(key);
    const now = world.now();
    const held = leasesOf(key);
    const applied = [...held.values()].every((lease) => lease.expires <= now || lease.applied >= version);
    if (!leader.isLeading() || !applied) return false;
    if (now >= earlierLeasesEnd(leader)) return true;
    const register = registers.get(key);
    const known = register !== undefined && register.askedAt >= leader.leadingSince();
    return known && [...register.routers].every((router) => (held.get(router)?.applied ?? -1) >= version);
  }

  /** When the last lease that an earlier leader may have granted has ended. */
  function earlierLeasesEnd(leader: KeyLeader): number {
    return leader.leadingSince() + leaseLength + clockSlack;
  }

  /**
   * A lease is granted only for the version in force, and only after a majority has said, in a round begun after the
   * asking, that this leader's epoch still holds.
   */
  function grant(key: string, request: Subscribe): void {
    const leader = cluster.leaderOf(key);
    leader.read((row) => {
      if (row !== undefined) grantFor(key, leader, row, request);
    });
  }

  function grantFor(key: string, leader: KeyLeader, row: Row, request: Subscribe): void {
    const held = leasesOf(key);
    const register = registers.get(key);
    const known = register !== undefined && register.askedAt >= leader.leadingSince() ? register : undefined;
    const strangers: string[] = [];
    const grants: { router: string; asked: number; version: number }[] = [];
    for (const asked of request.tenures) {
      const lease = held.get(asked.router) ?? { expires: 0, applied: 0 };
      lease.applied = Math.max(lease.applied, asked.applied);
      held.set(asked.router, lease);
      if (asked.applied !== row.version) continue;
      if (known?.routers.has(asked.router) !== true) {
        strangers.push(asked.router);
        continue;
      }
      lease.expires = world.now() + leaseLength;
      grants.push({ router: asked.router, asked: asked.asked, version: row.version });
    }
    if (known === undefined || strangers.length > 0) enrol(key, leader, strangers, request);
    if (grants.length > 0) world.send(request.from as Address, { kind: 'Leases', grants });
    acknowledge(key);
  }

  /** Brings the register up to date, then grants what waited for it. Who can hold no lease any more is dropped. */
  function enrol(key: string, leader: KeyLeader, strangers: readonly string[], request?: Subscribe): void {
    const askedAt = world.now();
    const held = leasesOf(key);
    let enrolled: string[] = [];
    cluster.leaderOf(registerKey(key)).mutate({
      apply: (value) => {
        const listed = decodeRegister(value);
        const all = askedAt < earlierLeasesEnd(leader);
        const kept = all ? listed : listed.filter((router) => (held.get(router)?.expires ?? 0) > askedAt);
        enrolled = [...new Set([...kept, ...strangers])];
        // Whoever is dropped must not be granted anything while the write is under way.
        for (const router of listed) if (!enrolled.includes(router)) registers.get(key)?.routers.delete(router);
        return { value: encodeRegister(enrolled), result: '' };
      },
      done: (status) => {
        if (status !== 'done') return;
        registers.set(key, { routers: new Set(enrolled), askedAt });
        if (request !== undefined && leader.isLeading() && askedAt >= leader.leadingSince()) grant(key, request);
      },
    });
  }

  function prune(): void {
    const now = world.now();
    for (const [key, register] of registers) {
      const leader = cluster.leaders().get(key);
      if (leader?.isLeading() !== true || register.askedAt < leader.leadingSince() || now < earlierLeasesEnd(leader))
        continue;
      const held = leasesOf(key);
      const someEnded = [...register.routers].some((router) => (held.get(router)?.expires ?? 0) <= now);
      if (someEnded) enrol(key, leader, []);
    }
  }

  return { grant, whenApplied: whenGoverns, prune };
}

/** The key of the register that belongs to a key. */
export function registerKey(key: string): string {
  return `tenures/${key}`;
}
