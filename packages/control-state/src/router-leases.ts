/**
 * Leases that routers hold on a key of the desired state, and the acknowledgements that wait for them. A lease is
 * granted to a router that has applied the current version of the key's value. A change is acknowledged only when a
 * majority has stored it and every router whose lease may be valid has applied it. Before a router gets its first
 * lease, its name is written to the register of the key, which is stored under a key of its own (`registerKey`). A new
 * leader therefore knows to which routers its predecessor may have granted a lease, and waits until each of them has
 * applied the change or a whole lease duration has passed since it became leader.
 */
import { micros, type Address, type MessageOf } from '@tansypost/inner-protocol';
import type { NodeContext } from './node-context.js';
import type { KeyLeader } from './key-leader.js';
import { decodeRegister, encodeRegister } from './lease-register.js';
import type { Row } from './row.js';

type Subscribe = MessageOf<'Subscribe'>;

/** Grants leases to routers and delays acknowledgements until the routers have applied the change. */
export interface RouterLeases {
  /** Grants the leases that the agent of a machine requests for its routers in a `Subscribe` message. */
  readonly grant: (key: string, request: Subscribe) => void;
  /** Calls back once every router whose lease may be valid has applied a version. */
  readonly whenApplied: (key: string, version: number, done: () => void) => void;
  /**
   * Removes from the registers the routers whose lease has expired, so that the next leader need not wait for them.
   */
  readonly prune: () => void;
}

interface RouterLease {
  expires: number;
  /** The newest version that the router has reported as applied. */
  appliedVersion: number;
}

/** This leader's copy of the stored register. */
interface RegisterCopy {
  readonly routers: Set<string>;
  /** When the update that wrote this content began. */
  readonly updateStartedAt: number;
}

interface PendingAcknowledgement {
  readonly version: number;
  readonly done: () => void;
}

/** Added to the lease duration in case the clock of an earlier leader or of a router runs slower than this node's. */
const clockSlackUs = 100_000;
const recheckDelayUs = 100_000;

/** Creates the router leases of a node. */
export function createRouterLeases(node: NodeContext, leaseDurationUs: number): RouterLeases {
  const { world } = node;
  const leases = new Map<string, Map<string, RouterLease>>();
  const registers = new Map<string, RegisterCopy>();
  const pendingAcknowledgements = new Map<string, PendingAcknowledgement[]>();
  let isRecheckScheduled = false;

  function leasesOf(key: string): Map<string, RouterLease> {
    let leasesOfKey = leases.get(key);
    if (leasesOfKey === undefined) leases.set(key, (leasesOfKey = new Map<string, RouterLease>()));
    return leasesOfKey;
  }

  function whenApplied(key: string, version: number, done: () => void): void {
    pendingAcknowledgements.set(key, [...(pendingAcknowledgements.get(key) ?? []), { version, done }]);
    acknowledge(key);
    scheduleRecheck();
  }

  function scheduleRecheck(): void {
    if (isRecheckScheduled || pendingAcknowledgements.size === 0) return;
    isRecheckScheduled = true;
    world.after(micros(recheckDelayUs), () => {
      isRecheckScheduled = false;
      for (const key of [...pendingAcknowledgements.keys()]) acknowledge(key);
      scheduleRecheck();
    });
  }

  /** Completes the pending acknowledgements that need not wait any longer. */
  function acknowledge(key: string): void {
    const list = pendingAcknowledgements.get(key);
    if (list === undefined) return;
    const remaining = list.filter(({ version, done }) => {
      if (!mayAcknowledge(key, version)) return true;
      done();
      return false;
    });
    if (remaining.length > 0) pendingAcknowledgements.set(key, remaining);
    else pendingAcknowledgements.delete(key);
  }

  /**
   * Whether this node leads the key, every router with a valid lease from it has applied the version, and no lease from
   * an earlier leader can be valid at a router that has not: either all of those have expired, or this leader has
   * updated the register and every router in it has applied the version.
   */
  function mayAcknowledge(key: string, version: number): boolean {
    const leader = node.leaderOf(key);
    const now = world.now();
    const leasesByRouter = leasesOf(key);
    const isApplied = [...leasesByRouter.values()].every(
      (lease) => lease.expires <= now || lease.appliedVersion >= version,
    );
    if (!leader.isLeading() || !isApplied) return false;
    if (now >= earlierLeasesEnd(leader)) return true;
    const register = registers.get(key);
    const isRegisterCurrent = register !== undefined && register.updateStartedAt >= leader.leadingSince();
    return (
      isRegisterCurrent &&
      [...register.routers].every((router) => (leasesByRouter.get(router)?.appliedVersion ?? -1) >= version)
    );
  }

  /** The latest time, by this node's clock, at which a lease from an earlier leader can still be valid. */
  function earlierLeasesEnd(leader: KeyLeader): number {
    return leader.leadingSince() + leaseDurationUs + clockSlackUs;
  }

  /**
   * Grants a lease only for the current version, and only after a majority has confirmed this leader's epoch in a round
   * that started after the request arrived; `leader.read` starts that round.
   */
  function grant(key: string, request: Subscribe): void {
    const leader = node.leaderOf(key);
    leader.read((row) => {
      if (row !== undefined) grantFor(key, leader, row, request);
    });
  }

  function grantFor(key: string, leader: KeyLeader, row: Row, request: Subscribe): void {
    const leasesByRouter = leasesOf(key);
    const register = registers.get(key);
    const currentRegister =
      register !== undefined && register.updateStartedAt >= leader.leadingSince() ? register : undefined;
    const unregistered: string[] = [];
    const grants: { router: string; asked: number; version: number }[] = [];
    for (const leaseRequest of request.tenures) {
      const lease = leasesByRouter.get(leaseRequest.router) ?? { expires: 0, appliedVersion: 0 };
      lease.appliedVersion = Math.max(lease.appliedVersion, leaseRequest.applied);
      leasesByRouter.set(leaseRequest.router, lease);
      if (leaseRequest.applied !== row.version) continue;
      if (currentRegister?.routers.has(leaseRequest.router) !== true) {
        unregistered.push(leaseRequest.router);
        continue;
      }
      lease.expires = world.now() + leaseDurationUs;
      grants.push({ router: leaseRequest.router, asked: leaseRequest.asked, version: row.version });
    }
    if (currentRegister === undefined || unregistered.length > 0) updateRegister(key, leader, unregistered, request);
    if (grants.length > 0) world.send(request.from as Address, { kind: 'Leases', grants });
    acknowledge(key);
  }

  /**
   * Adds routers to the register and drops those that can hold no lease any more; then processes the request that waits
   * for this again.
   */
  function updateRegister(key: string, leader: KeyLeader, unregistered: readonly string[], request?: Subscribe): void {
    const updateStartedAt = world.now();
    const leasesByRouter = leasesOf(key);
    let registered: string[] = [];
    node.leaderOf(registerKey(key)).mutate({
      apply: (value) => {
        const listed = decodeRegister(value);
        const mustKeepAll = updateStartedAt < earlierLeasesEnd(leader);
        const kept = mustKeepAll
          ? listed
          : listed.filter((router) => (leasesByRouter.get(router)?.expires ?? 0) > updateStartedAt);
        registered = [...new Set([...kept, ...unregistered])];
        // A router that is dropped must not be granted a lease while the write is in progress.
        for (const router of listed) if (!registered.includes(router)) registers.get(key)?.routers.delete(router);
        return { value: encodeRegister(registered), result: '' };
      },
      done: (status) => {
        if (status !== 'done') return;
        registers.set(key, { routers: new Set(registered), updateStartedAt });
        if (request !== undefined && leader.isLeading() && updateStartedAt >= leader.leadingSince())
          grant(key, request);
      },
    });
  }

  function prune(): void {
    const now = world.now();
    for (const [key, register] of registers) {
      const leader = node.leaders().get(key);
      if (
        leader?.isLeading() !== true ||
        register.updateStartedAt < leader.leadingSince() ||
        now < earlierLeasesEnd(leader)
      )
        continue;
      const leasesByRouter = leasesOf(key);
      const hasExpiredLease = [...register.routers].some((router) => (leasesByRouter.get(router)?.expires ?? 0) <= now);
      if (hasExpiredLease) updateRegister(key, leader, []);
    }
  }

  return { grant, whenApplied, prune };
}

/** The key of the lease register that belongs to a key. */
export function registerKey(key: string): string {
  return `tenures/${key}`;
}
