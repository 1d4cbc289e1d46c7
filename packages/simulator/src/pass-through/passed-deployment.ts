/**
 * The two deployments as their virtual fleets are built: where the machines stand, what is asked for and how often.
 * Times are whole microseconds. The streams have smaller pieces than on the users' machines, so that more of them can
 * break; a second, small service beside the main one takes part of a path whenever the document says so.
 */

import type { EngineShape, LogNormal, PlainShape } from './engine-shape.js';

/** The workers of one service. */
export interface ServiceShape {
  readonly name: string;
  readonly workers: number;
  /** The part of them that begin as prefill workers. */
  readonly prefillShare: number;
  /** By how much each of them is slower than the engine says, in turn. */
  readonly slow: readonly number[];
  readonly engine: EngineShape;
  /** What its workers do, where it is no model service. */
  readonly plain?: PlainShape;
}

/** A part of prompts that requests share: how long it is, and how many different ones there are. */
export interface SharedPart {
  readonly tokens: LogNormal;
  readonly things: number;
}

/** What a kind's requests are like, where they differ more than the usual ones of a day. */
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
  /** The service that it is for, if not the main one. */
  readonly service?: string;
  /** What an answer in time and a late one are worth. */
  readonly worth?: number;
  readonly lateWorth?: number;
  readonly bodyBytes?: number;
  /** Needs no key, also where documents have tenants. */
  readonly public?: boolean;
}

/** The tenants whose clients send requests. */
export interface TenantShape {
  readonly tenants: number;
  /** How many of them are large, and which share of all clients is of these. */
  readonly large: number;
  readonly largeShare: number;
  /** Keys that each of them has at first. */
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
  /** The services, where there are others than the usual two. */
  readonly services?: readonly ServiceShape[];
  /** Clients of each zone, how many requests come at a time, and how far apart they are from the zones, if not as usual. */
  readonly clientsPerZone?: number;
  readonly clump?: number;
  /** For how long after its last use a shared part that is read again costs. */
  readonly rereadWindow?: number;
  /** Whose keys its documents hold, where they hold any. */
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
    // Beside what the sheets ask for: answers that are no streams, one that may be repeated and one that may not.
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

/** The same deployment where requests bear keys, but for one kind that needs none. */
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
