/**
 * The route table for traffic that is passed through as it comes: which requests there are (a host and a
 * prefix), how urgent and how patient each kind is, which service runs it, and what the services are.
 * Times are whole microseconds, sizes are bytes.
 */
import type { Tenant } from './tenants.js';

/** The part of a path's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  /** Relative to the other shares of the path; not negative. */
  readonly weight: number;
}

/** One kind of request, and how it is to be served. */
export interface Path {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** The deadline: the longest that a request is held. */
  readonly budget: number;
  /** The target: the time within which the first bytes are worth most. */
  readonly aim: number;
  /** The longest gap between events of a stream that is still in time; 0 where the answer is not a stream. */
  readonly pause: number;
  /** The priority; 0 goes first. */
  readonly rank: number;
  readonly streaming: boolean;
  /** May run more than once (idempotent). */
  readonly repeatable: boolean;
  /** A stream that broke may be taken up by another worker. */
  readonly resumable: boolean;
  /** The largest number of attempts: workers that one request may go to. */
  readonly sends: number;
  readonly shares: readonly ServiceShare[];
  /** Needs no key, also where the table has tenants. */
  readonly public?: boolean;
}

/** How many workers a service may have in each zone in which it runs; numbers are of workers of both stages. */
export interface ScalingTerms {
  readonly least: number;
  readonly most: number;
  /** How long after an order a new worker serves. */
  readonly bootTime: number;
}

/** A group of workers that run the same kinds of requests. */
export interface Service {
  readonly name: string;
  /** HTTP path of the workers' health report. */
  readonly vitalsPath: string;
  /** The largest number of connections to one worker. */
  readonly connections: number;
  /** Requests that one worker runs at a time. */
  readonly slots: number;
  /** Tokens that fit into one worker's KV memory. */
  readonly kvTokens: number;
  /** Size of one token's KV memory. */
  readonly tokenBytes: number;
  /** Bandwidth between workers, in megabits a second. */
  readonly linkMbps: number;
  /** Time to live of a KV handle. */
  readonly handleTtl: number;
  /** How long a worker takes to change between prefill and decode. */
  readonly switchTime: number;
  /** Undefined where the number of workers is not ours to order. */
  readonly scaling?: ScalingTerms | undefined;
}

/** What a client may send, and how slowly. */
export interface RequesterLimits {
  readonly headBytes: number;
  readonly bodyBytes: number;
  /** The longest time until the head is complete. */
  readonly headTime: number;
  /** The longest time without a byte. */
  readonly idleTime: number;
}

/** The whole route table, taken or refused as one. */
export interface PathTable {
  /** Grows with every change; starts at 1. */
  readonly revision: number;
  readonly paths: readonly Path[];
  readonly services: readonly Service[];
  readonly limits: RequesterLimits;
  /** Who may send requests; undefined where no keys are asked for. */
  readonly tenants?: readonly Tenant[] | undefined;
}
