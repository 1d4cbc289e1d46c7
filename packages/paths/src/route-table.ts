/**
 * The route table for traffic that is passed through as it comes: which requests there are (a host and a
 * prefix), how urgent and how patient each kind is, which service runs it, and what the services are.
 * Times are whole microseconds, sizes are bytes.
 */
import type { Tenant } from './tenants.js';

/** The part of a path's requests that goes to one service. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other shares of the path; not negative. */
  readonly weight: number;
}

/** One kind of request, and how it is to be served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** The deadline: the longest that a request is held. */
  readonly timeout: number;
  /** The target: the time within which the first bytes are worth most. */
  readonly targetLatency: number;
  /** The longest gap between events of a stream that is still in time; 0 where the answer is not a stream. */
  readonly maxEventGap: number;
  /** The priority; 0 goes first. */
  readonly priority: number;
  readonly streaming: boolean;
  /** May run more than once (idempotent). */
  readonly idempotent: boolean;
  /** A stream that broke may be taken up by another worker. */
  readonly resumable: boolean;
  /** The largest number of attempts: workers that one request may go to. */
  readonly maxAttempts: number;
  readonly weightedServices: readonly WeightedService[];
  /** Needs no key, also where the table has tenants. */
  readonly public?: boolean;
}

/** How many workers a service may have in each zone in which it runs; numbers are of workers of both stages. */
export interface ScalingBounds {
  readonly minWorkers: number;
  readonly maxWorkers: number;
  /** How long after an order a new worker serves. */
  readonly bootTime: number;
}

/** A group of workers that run the same kinds of requests. */
export interface Service {
  readonly name: string;
  /** HTTP path of the workers' health report. */
  readonly healthPath: string;
  /** The largest number of connections to one worker. */
  readonly maxConnections: number;
  /** Requests that one worker runs at a time. */
  readonly slots: number;
  /** Tokens that fit into one worker's KV memory. */
  readonly kvCapacityTokens: number;
  /** Size of one token's KV memory. */
  readonly kvBytesPerToken: number;
  /** Bandwidth between workers, in megabits a second. */
  readonly linkMbps: number;
  /** Time to live of a KV handle. */
  readonly handleTtl: number;
  /** How long a worker takes to change between prefill and decode. */
  readonly stageSwitchTime: number;
  /** Undefined where the number of workers is not ours to order. */
  readonly scaling?: ScalingBounds | undefined;
}

/** What a client may send, and how slowly. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** The longest time until the head is complete. */
  readonly headerTimeout: number;
  /** The longest time without a byte. */
  readonly idleTimeout: number;
}

/** The whole route table, taken or refused as one. */
export interface RouteTable {
  /** Grows with every change; starts at 1. */
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: ClientLimits;
  /** Who may send requests; undefined where no keys are asked for. */
  readonly tenants?: readonly Tenant[] | undefined;
}
