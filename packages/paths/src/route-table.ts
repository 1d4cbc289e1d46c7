/**
 * The route table for pass-through traffic: the routes (a host and a path prefix) with their priorities, timeouts and
 * services, and the services themselves. Times are whole microseconds, sizes are bytes.
 */
import type { Tenant } from './tenants.js';

/** A service of a route and the share of the route's requests that it receives. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other weights of the route; not negative. */
  readonly weight: number;
}

/** One route: which requests it matches and how they are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Maximum time from the arrival of a request to the end of its response. */
  readonly timeout: number;
  /** Target for the time to the first bytes of the response. */
  readonly targetLatency: number;
  /** Target for the longest gap between events of a stream; 0 where the response is not a stream. */
  readonly maxEventGap: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly streaming: boolean;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Whether a broken stream may be resumed at another worker. */
  readonly resumable: boolean;
  /** Maximum number of workers that one request may be sent to. */
  readonly maxAttempts: number;
  readonly weightedServices: readonly WeightedService[];
  /** Whether requests need no API key even where the table has tenants. */
  readonly public?: boolean;
}

/** Bounds on the number of workers of a service in each zone in which it runs, counting workers of both stages. */
export interface ScalingBounds {
  readonly minWorkers: number;
  readonly maxWorkers: number;
  /** Time from an order until the new worker serves. */
  readonly bootTime: number;
}

/** A group of workers that run the same kinds of requests. */
export interface Service {
  readonly name: string;
  /** HTTP path of the workers' health report. */
  readonly healthPath: string;
  /** Maximum number of connections to one worker. */
  readonly maxConnections: number;
  /** Requests that one worker runs concurrently. */
  readonly slots: number;
  /** Capacity of one worker's KV cache in tokens. */
  readonly kvCapacityTokens: number;
  /** Size of the KV cache of one token. */
  readonly kvBytesPerToken: number;
  /** Bandwidth between workers in megabits per second. */
  readonly linkMbps: number;
  /** Time to live of a KV handle. */
  readonly handleTtl: number;
  /** Time that a worker takes to switch between prefill and decode. */
  readonly stageSwitchTime: number;
  /** Undefined where the number of workers is not controlled by this system. */
  readonly scaling?: ScalingBounds | undefined;
}

/** Limits on the size and the speed of what a client sends. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Maximum time until the headers are complete. */
  readonly headerTimeout: number;
  /** Maximum time without a byte. */
  readonly idleTimeout: number;
}

/** The whole route table, which is accepted or rejected as one. */
export interface RouteTable {
  /** Increases with every change; starts at 1. */
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: ClientLimits;
  /** The tenants that may send requests; undefined where no API keys are required. */
  readonly tenants?: readonly Tenant[] | undefined;
}
