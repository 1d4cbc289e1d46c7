/**
 * The tenants of a simulated run: the API keys in the operator's next document, and those that their clients send. A
 * client keeps its key until it is refused, even if the key has been revoked meanwhile. A few requests carry a revoked
 * key, a key that was never issued, or none.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import { digestOfKey, type Tenant } from '@tansypost/paths';
import type { TenantShape } from './passed-deployment.js';

/** The change of keys in a new document: one is revoked, issued, or moved to another tenant. */
export type KeyChange = 'taken' | 'given' | 'moved';

/** The tenant that sends a request, and the API key it carries. */
export interface ClientCredentials {
  readonly tenant?: string;
  readonly key?: string;
}

/** The tenants, as operators and clients see them. */
export interface VirtualTenants {
  /** The tenants of the next document; undefined if documents have none. */
  readonly nextTenants: () => readonly Tenant[] | undefined;
  readonly change: (what: KeyChange) => void;
  /** Makes the largest tenant send this additional share of all requests, from 0 to 1. */
  readonly setPressingShare: (share: number) => void;
  /** The credentials of a client's next request. `open`: its route needs no key. */
  readonly credentialsFor: (client: string, open: boolean) => ClientCredentials;
  /** To be called when the key of this client was refused. */
  readonly recordRefusal: (client: string, key: string) => void;
}

/** For deployments without tenants. */
export const noTenants: VirtualTenants = {
  nextTenants: () => undefined,
  change: () => undefined,
  setPressingShare: () => undefined,
  credentialsFor: () => ({}),
  recordRefusal: () => undefined,
};

interface TenantState {
  readonly name: string;
  readonly priority: number | undefined;
  readonly keys: string[];
}

/** Probability that a client switches to another key of its tenant without having been refused. */
const keyRotationShare = 0.05;
const revokedKeyShare = 0.03;
const unknownKeyShare = 0.01;
const missingKeyShare = 0.01;
const publicWithoutKeyShare = 0.5;
/** Share of key changes that affect the largest tenant, which has enough clients for the change to be noticed. */
const largestTenantChangeShare = 0.5;

/** Uses its own random generator, so that the other draws of a run do not depend on whether there are tenants. */
export function createVirtualTenants(shape: TenantShape, seed: number): VirtualTenants {
  const random = createSeededRandom(seed * 104_729 + 3);
  const states = Array.from({ length: shape.tenants }, (_, n) => createState(n));
  const revokedKeys: string[] = [];
  const tenantOfClient = new Map<string, TenantState>();
  const keyOfClient = new Map<string, string>();
  let issuedKeys = shape.keys;
  let pressingShare = 0;

  function createState(n: number): TenantState {
    const keys = Array.from({ length: shape.keys }, (_, k) => `key ${k} of t${n}`);
    // The smallest tenant has a priority of its own, ahead of the routes' priorities.
    return { name: `t${n}`, priority: n === shape.tenants - 1 ? 0 : undefined, keys };
  }
  function pick<T>(from: readonly T[]): T {
    return from[Math.floor(random() * from.length)]!;
  }

  function drawTenant(): TenantState {
    const isLarge = random() < shape.largeShare;
    return pick(isLarge ? states.slice(0, shape.large) : states.slice(shape.large));
  }
  function tenantOf(client: string): TenantState {
    const existing = tenantOfClient.get(client);
    if (existing !== undefined) return existing;
    const drawn = drawTenant();
    tenantOfClient.set(client, drawn);
    return drawn;
  }

  function keyOf(client: string, tenant: TenantState): string {
    const existing = keyOfClient.get(client);
    if (existing !== undefined && random() >= keyRotationShare) return existing;
    const key = pick(tenant.keys);
    keyOfClient.set(client, key);
    return key;
  }

  function credentialsFor(client: string, open: boolean): ClientCredentials {
    const isPressing = pressingShare > 0 && random() < pressingShare;
    const tenant = isPressing ? states[0]! : tenantOf(client);
    const key = keyOf(isPressing ? `${client}/pressing` : client, tenant);
    const kind = random();
    if (open && random() < publicWithoutKeyShare) return { tenant: tenant.name };
    if (kind < missingKeyShare) return { tenant: tenant.name };
    if (kind < missingKeyShare + unknownKeyShare)
      return { tenant: tenant.name, key: `stray ${Math.floor(random() * 1e6)}` };
    if (kind < missingKeyShare + unknownKeyShare + revokedKeyShare && revokedKeys.length > 0)
      return { tenant: tenant.name, key: pick(revokedKeys) };
    return { tenant: tenant.name, key };
  }

  function recordRefusal(client: string, key: string): void {
    for (const name of [client, `${client}/pressing`]) if (keyOfClient.get(name) === key) keyOfClient.delete(name);
  }

  function addKey(tenant: TenantState, key: string): void {
    tenant.keys.push(key);
  }
  /** A tenant with more than one key, in half of the cases the largest; undefined if there is none. */
  function pickTenantWithSpareKey(): TenantState | undefined {
    const candidates = states.filter(({ keys }) => keys.length > 1);
    if (candidates.length === 0) return undefined;
    return random() < largestTenantChangeShare ? candidates[0] : pick(candidates);
  }
  function removeKey(tenant: TenantState): string {
    const [key] = tenant.keys.splice(Math.floor(random() * tenant.keys.length), 1);
    return key!;
  }

  function change(what: KeyChange): void {
    const from = pickTenantWithSpareKey();
    if (what === 'given' || from === undefined) {
      const tenant = random() < largestTenantChangeShare ? states[0]! : pick(states);
      addKey(tenant, `key ${issuedKeys} of ${tenant.name}`);
      issuedKeys += 1;
      return;
    }
    const key = removeKey(from);
    if (what === 'taken') revokedKeys.push(key);
    else addKey(pick(states.filter((other) => other !== from)), key);
  }

  return {
    nextTenants: () =>
      states.map(({ name, priority, keys }) => ({ name, priority, keyDigests: keys.map(digestOfKey) })),
    change,
    setPressingShare: (share) => {
      pressingShare = share;
    },
    credentialsFor,
    recordRefusal,
  };
}
