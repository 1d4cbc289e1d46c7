/**
 * The simulated deployments: zones, machines, request kinds and rates. Times are whole microseconds. Streams have smaller
 * events than those of real users, so that there are more points at which they can break. A second, small service gets
 * part of a route's traffic when the route table says so.
 */

import type { EngineShape, LogNormal, PlainShape } from './engine-shape.js';

/** The workers of one service. */
export interface ServiceShape {
  readonly name: string;
  readonly workers: number;
  /** Share of workers that start as prefill workers. */
  readonly prefillShare: number;
  /** Slowdown factors relative to the engine's times, assigned to the workers in turn. */
  readonly slow: readonly number[];
  readonly engine: EngineShape;
  /** Set for a service without a model. */
  readonly plain?: PlainShape;
}

/** A prompt segment shared by requests: its length, and the number of different ones. */
export interface SharedPart {
  readonly tokens: LogNormal;
  readonly things: number;
}

/** Distributions of a kind's requests, for kinds that vary more than by default. */
export interface KindDraw {
  readonly shared: readonly SharedPart[];
  readonly own: LogNormal;
  readonly pieces: LogNormal;
}

export interface PassedKind {
  readonly name: string;
  readonly rate: number;
  readonly shared: number;
  readonly own: number;
  readonly answer: number;
  readonly aim: number;
  readonly pause: number;
  readonly budget: number;
  readonly rank: number;
  readonly streaming: boolean;
  readonly resumable: boolean;
  readonly repeatable: boolean;
  readonly sends: number;
  readonly furtherTries: number;
  readonly draw?: KindDraw;
  /** The target service, if not the main one. */
  readonly service?: string;
  /** Value of a response in time, and of a late one. */
  readonly worth?: number;
  readonly lateWorth?: number;
  readonly bodyBytes?: number;
  /** Needs no key, even if documents have tenants. */
  readonly public?: boolean;
}

/** The tenants whose clients send requests. */
export interface TenantShape {
  readonly tenants: number;
  /** Number of large tenants, and the share of all clients that belong to them. */
  readonly large: number;
  readonly largeShare: number;
  /** Initial number of keys per tenant. */
  readonly keys: number;
}
export interface PassedDeployment {
  readonly name: string;
  readonly zones: readonly string[];
  readonly routers: number;
  readonly workers: number;
  readonly asideWorkers: number;
  readonly kvTokens: number;
  readonly kinds: readonly PassedKind[];
  readonly sendSlack: number;
  /** The services, if not the default two. */
  readonly services?: readonly ServiceShape[];
  /** Number of clients per zone, and mean number of requests that arrive together, if not the defaults. */
  readonly clientsPerZone?: number;
  readonly clump?: number;
  /** A prefill of a shared segment within this time after its last use counts as recomputed. */
  readonly rereadWindow?: number;
  /** The tenants in its documents, if any. */
  readonly tenants?: TenantShape;
}
export const mainService = 'main';
export const asideService = 'aside';

function kinds(long: string, middle: string, small: string, rate: number): PassedKind[] {
  const stream = { streaming: true, repeatable: false, pause: 300_000, aim: 800_000, budget: 8_000_000 };
  return [
    {
      ...stream,
      name: long,
      rate: 0.18 * rate,
      shared: 5382,
      own: 6610,
      answer: 32,
      rank: 0,
      resumable: true,
      sends: 3,
      furtherTries: 1,
    },
    {
      ...stream,
      name: middle,
      rate: 0.32 * rate,
      shared: 198,
      own: 628,
      answer: 24,
      rank: 1,
      resumable: false,
      sends: 2,
      furtherTries: 1,
    },
    {
      ...stream,
      name: small,
      rate: 0.28 * rate,
      shared: 568,
      own: 1800,
      answer: 2,
      rank: 2,
      resumable: false,
      sends: 1,
      furtherTries: 1,
      aim: 1_500_000,
      budget: 2_500_000,
    },
    // In addition to the specified kinds: responses that are not streams, one idempotent and one not.
    {
      ...stream,
      name: 'look-up',
      rate: 0.11 * rate,
      shared: 198,
      own: 200,
      answer: 8,
      rank: 2,
      streaming: false,
      resumable: false,
      repeatable: true,
      pause: 0,
      sends: 3,
      furtherTries: 2,
    },
    {
      ...stream,
      name: 'booking',
      rate: 0.11 * rate,
      shared: 198,
      own: 200,
      answer: 8,
      rank: 0,
      streaming: false,
      resumable: false,
      pause: 0,
      sends: 2,
      furtherTries: 2,
    },
  ];
}

const ferry: PassedDeployment = {
  name: 'ferry',
  zones: ['puerto-montt', 'chacabuco', 'quellon', 'natales'],
  routers: 9,
  workers: 13,
  asideWorkers: 2,
  kvTokens: 410_894,
  kinds: kinds('manifest-review', 'fare-answer', 'seat-flag', 40),
  sendSlack: 58,
};
const coldStorage: PassedDeployment = {
  name: 'cold-storage',
  zones: ['pkl-west', 'shah-alam', 'pulau-indah'],
  routers: 7,
  workers: 6,
  asideWorkers: 2,
  kvTokens: 403_008,
  kinds: kinds('spoilage-claim', 'bay-query', 'alarm-triage', 25),
  sendSlack: 54,
};

const publicKind = 'look-up';

/** The same deployment with API keys, except for one kind that needs none. */
function withTenants(d: PassedDeployment): PassedDeployment {
  return {
    ...d,
    name: `${d.name}-tenants`,
    kinds: d.kinds.map((kind) => (kind.name === publicKind ? { ...kind, public: true } : kind)),
    tenants: { tenants: 8, large: 2, largeShare: 0.6, keys: 2 },
  };
}
export const passedDeployments: { readonly [k: string]: PassedDeployment } = {
  ferry,
  'cold-storage': coldStorage,
  'ferry-tenants': withTenants(ferry),
  'cold-storage-tenants': withTenants(coldStorage),
};
