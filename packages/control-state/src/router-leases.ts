/**
 * Leases that routers hold on a key of the desired state, and the acknowledgements that wait for them. A change is
 * acknowledged only when a majority has stored it and every router whose lease may be valid has applied it. Before a
 * router is granted its first lease, it is written to a register, which is a key beside the key of the desired state. A
 * new leader therefore knows which routers its predecessor may have granted a lease, and waits until each of them has
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
  /** Grants the leases that an agent requests on behalf of its routers. */
  readonly grant: (key: string, request: Subscribe) => void;
  /** Calls back once every router that may serve has applied a version. */
  readonly whenApplied: (key: string, version: number, done: () => void) => void;
  /**
   * Removes routers that can hold no lease any more from the registers, so that the next leader need not wait for them.
   */
  readonly prune: () => void;
}

interface RouterLease {
  expires: number;
  applied: number;
}

interface Register {
  readonly routers: Set<string>;
  readonly requestedAt: number;
}

interface Acknowledgement {
  readonly version: number;
  readonly done: () => void;
}

const clockSlackUs = 100_000;
const recheckDelayUs = 100_000;

/** Creates the router leases of a node. */
export function createRouterLeases(node: NodeContext, leaseDurationUs: number): RouterLeases {
  const { world } = node;
  const leases = new Map<string, Map<string, RouterLease>>();
  const registers = new Map<string, Register>();
  const pendingAcknowledgements = new Map<string, Acknowledgement[]>();
  let isRecheckScheduled = false;

  function leasesOf(key: string): Map<string, RouterLease> {
    let present = leases.get(key);
    if (present === undefined) leases.set(key, (present = new Map<string, RouterLease>()));
    return present;
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

  /** Sends the acknowledgements of versions that all routers with a valid lease have applied. */
  function acknowledge(key: string): void {
    const list = pendingAcknowledgements.get(key);
    if (list === undefined) return;
    const remaining = list.filter(({ version, done }) => {
      if (!isAppliedByAll(key, version)) return true;
      done();
      return false;
    });
    if (remaining.length > 0) pendingAcknowledgements.set(key, remaining);
    else pendingAcknowledgements.delete(key);
  }

  function isAppliedByAll(key: string, version: number): boolean {
    const leader = node.leaderOf(key);
    const now = world.now();
    const held = leasesOf(key);
    const applied = [...held.values()].every((lease) => lease.expires <= now || lease.applied >= version);
    if (!leader.isLeading() || !applied) return false;
    if (now >= earlierLeasesEnd(leader)) return true;
    const register = registers.get(key);
    const known = register !== undefined && register.requestedAt >= leader.leadingSince();
    return known && [...register.routers].every((router) => (held.get(router)?.applied ?? -1) >= version);
  }

  /** When the last lease that an earlier leader may have granted expires. */
  function earlierLeasesEnd(leader: KeyLeader): number {
    return leader.leadingSince() + leaseDurationUs + clockSlackUs;
  }

  /**
   * Grants a lease only for the current version, and only after a majority has confirmed this leader's epoch in a round
   * that started after the request arrived.
   */
  function grant(key: string, request: Subscribe): void {
    const leader = node.leaderOf(key);
    leader.read((row) => {
      if (row !== undefined) grantFor(key, leader, row, request);
    });
  }

  function grantFor(key: string, leader: KeyLeader, row: Row, request: Subscribe): void {
    const held = leasesOf(key);
    const register = registers.get(key);
    const known = register !== undefined && register.requestedAt >= leader.leadingSince() ? register : undefined;
    const unregistered: string[] = [];
    const grants: { router: string; asked: number; version: number }[] = [];
    for (const asked of request.tenures) {
      const lease = held.get(asked.router) ?? { expires: 0, applied: 0 };
      lease.applied = Math.max(lease.applied, asked.applied);
      held.set(asked.router, lease);
      if (asked.applied !== row.version) continue;
      if (known?.routers.has(asked.router) !== true) {
        unregistered.push(asked.router);
        continue;
      }
      lease.expires = world.now() + leaseDurationUs;
      grants.push({ router: asked.router, asked: asked.asked, version: row.version });
    }
    if (known === undefined || unregistered.length > 0) updateRegister(key, leader, unregistered, request);
    if (grants.length > 0) world.send(request.from as Address, { kind: 'Leases', grants });
    acknowledge(key);
  }

  /**
   * Updates the register, dropping routers that can hold no lease any more, and then grants the request that waited for
   * it.
   */
  function updateRegister(key: string, leader: KeyLeader, unregistered: readonly string[], request?: Subscribe): void {
    const requestedAt = world.now();
    const held = leasesOf(key);
    let registered: string[] = [];
    node.leaderOf(registerKey(key)).mutate({
      apply: (value) => {
        const listed = decodeRegister(value);
        const mustKeepAll = requestedAt < earlierLeasesEnd(leader);
        const kept = mustKeepAll ? listed : listed.filter((router) => (held.get(router)?.expires ?? 0) > requestedAt);
        registered = [...new Set([...kept, ...unregistered])];
        // A router that is dropped must not be granted a lease while the write is in progress.
        for (const router of listed) if (!registered.includes(router)) registers.get(key)?.routers.delete(router);
        return { value: encodeRegister(registered), result: '' };
      },
      done: (status) => {
        if (status !== 'done') return;
        registers.set(key, { routers: new Set(registered), requestedAt });
        if (request !== undefined && leader.isLeading() && requestedAt >= leader.leadingSince()) grant(key, request);
      },
    });
  }

  function prune(): void {
    const now = world.now();
    for (const [key, register] of registers) {
      const leader = node.leaders().get(key);
      if (
        leader?.isLeading() !== true ||
        register.requestedAt < leader.leadingSince() ||
        now < earlierLeasesEnd(leader)
      )
        continue;
      const held = leasesOf(key);
      const someEnded = [...register.routers].some((router) => (held.get(router)?.expires ?? 0) <= now);
      if (someEnded) updateRegister(key, leader, []);
    }
  }

  return { grant, whenApplied, prune };
}

/** The key of the lease register that belongs to a key. */
export function registerKey(key: string): string {
  return `tenures/${key}`;
}
