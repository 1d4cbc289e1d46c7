/**
 * The tenants of a virtual day: the keys that the operator's next document gives them, and those that their clients
 * bear. A client keeps its key until it is refused, also when the key has been taken away; a few requests bear a key
 * that was dropped, one that was never given out, or none.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import { digestOfKey, type Tenant } from '@tansypost/paths';
import type { TenantShape } from './passed-deployment.js';

/** What a new document does to keys. */
export type KeyChange = 'taken' | 'given' | 'moved';

/** Who sends a request, and with which key. */
export interface Bearer {
  readonly tenant?: string;
  readonly key?: string;
}

/** The tenants as operators and clients know them. */
export interface VirtualTenants {
  /** As the next document has them; undefined where documents have none. */
  readonly wanted: () => readonly Tenant[] | undefined;
  readonly change: (what: KeyChange) => void;
  /** While a tenant presses, this share of all requests is its own. */
  readonly press: (share: number) => void;
  /** What the next request of a client bears; `open` where its route needs no key. */
  readonly bearer: (client: string, open: boolean) => Bearer;
  /** The key of this client was refused. */
  readonly refused: (client: string, key: string) => void;
}

/** Tenants of a deployment that has none. */
export const noTenants: VirtualTenants = {
  wanted: () => undefined,
  change: () => undefined,
  press: () => undefined,
  bearer: () => ({}),
  refused: () => undefined,
};

interface TenantState {
  readonly name: string;
  readonly rank: number | undefined;
  readonly keys: string[];
}

/** How often a client takes up another key of its tenant by itself. */
const rotates = 0.05;
const bearsDropped = 0.03;
const bearsStray = 0.01;
const bearsNone = 0.01;
const openWithoutKey = 0.5;
/** How often keys are changed at the largest tenant, whose clients are sure to notice. */
const changesLargest = 0.5;

/** Draws from numbers of its own, so that the other draws of a day do not depend on whether there are tenants. */
export function createVirtualTenants(shape: TenantShape, seed: number): VirtualTenants {
  const random = createSeededRandom(seed * 104_729 + 3);
  const states = Array.from({ length: shape.tenants }, (_, n) => createState(n));
  const dropped: string[] = [];
  const tenantOfClient = new Map<string, TenantState>();
  const keyOfClient = new Map<string, string>();
  let given = shape.keys;
  let pressing = 0;

  function createState(n: number): TenantState {
    const keys = Array.from({ length: shape.keys }, (_, k) => `key ${k} of t${n}`);
    // The least of them goes before the routes' own order.
    return { name: `t${n}`, rank: n === shape.tenants - 1 ? 0 : undefined, keys };
  }
  function pick<T>(from: readonly T[]): T {
    return from[Math.floor(random() * from.length)]!;
  }

  function drawTenant(): TenantState {
    const isLarge = random() < shape.largeShare;
    return pick(isLarge ? states.slice(0, shape.large) : states.slice(shape.large));
  }
  function tenantOf(client: string): TenantState {
    const had = tenantOfClient.get(client);
    if (had !== undefined) return had;
    const drawn = drawTenant();
    tenantOfClient.set(client, drawn);
    return drawn;
  }

  function keyOf(client: string, tenant: TenantState): string {
    const had = keyOfClient.get(client);
    if (had !== undefined && random() >= rotates) return had;
    const key = pick(tenant.keys);
    keyOfClient.set(client, key);
    return key;
  }

  function bearer(client: string, open: boolean): Bearer {
    const presses = pressing > 0 && random() < pressing;
    const tenant = presses ? states[0]! : tenantOf(client);
    const key = keyOf(presses ? `${client}/pressing` : client, tenant);
    const kind = random();
    if (open && random() < openWithoutKey) return { tenant: tenant.name };
    if (kind < bearsNone) return { tenant: tenant.name };
    if (kind < bearsNone + bearsStray) return { tenant: tenant.name, key: `stray ${Math.floor(random() * 1e6)}` };
    if (kind < bearsNone + bearsStray + bearsDropped && dropped.length > 0)
      return { tenant: tenant.name, key: pick(dropped) };
    return { tenant: tenant.name, key };
  }

  function refused(client: string, key: string): void {
    for (const name of [client, `${client}/pressing`]) if (keyOfClient.get(name) === key) keyOfClient.delete(name);
  }

  function give(tenant: TenantState, key: string): void {
    tenant.keys.push(key);
  }
  /** A tenant that has a key to spare, the largest as often as all others; undefined where nobody has. */
  function sparing(): TenantState | undefined {
    const rich = states.filter(({ keys }) => keys.length > 1);
    if (rich.length === 0) return undefined;
    return random() < changesLargest ? rich[0] : pick(rich);
  }
  function take(tenant: TenantState): string {
    const [key] = tenant.keys.splice(Math.floor(random() * tenant.keys.length), 1);
    return key!;
  }

  function change(what: KeyChange): void {
    const from = sparing();
    if (what === 'given' || from === undefined) {
      const tenant = random() < changesLargest ? states[0]! : pick(states);
      give(tenant, `key ${given} of ${tenant.name}`);
      given += 1;
      return;
    }
    const key = take(from);
    if (what === 'taken') dropped.push(key);
    else give(pick(states.filter((other) => other !== from)), key);
  }

  return {
    wanted: () => states.map(({ name, rank, keys }) => ({ name, priority: rank, keyDigests: keys.map(digestOfKey) })),
    change,
    press: (share) => {
      pressing = share;
    },
    bearer,
    refused,
  };
}
