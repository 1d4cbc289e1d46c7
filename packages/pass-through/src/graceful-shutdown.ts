/**
 * Graceful shutdown of a router, in four steps. On the signal it reports that it is not ready, so that the platform
 * sends it no new connections, and goes on serving until the platform has seen that. Then it closes idle connections
 * and rejects new requests at once, since the process may end before they are served. The process exits when no request
 * is in flight. Shortly before the grace period is over, requests whose responses have not started are rejected, so
 * that their clients can retry elsewhere.
 */
import { micros, type World } from '@tansypost/inner-protocol';
import type { Rejection } from './ports.js';

/** Settings and callbacks of the shutdown. Times are microseconds. */
export interface GracefulShutdownOptions {
  /** The time between the stop signal and the forced kill. */
  readonly gracePeriod: number;
  /** The number of requests in flight. */
  readonly activeRequests: () => number;
  /** Closes the connections without a request in flight. */
  readonly closeIdleConnections: () => void;
  /** Rejects the requests whose responses have not started. */
  readonly rejectUnstarted: () => void;
  /** Ends the process. */
  readonly exit: (report: ShutdownReport) => void;
}

/** What happened between the signal and the exit; the fields of event 1003. */
export interface ShutdownReport {
  /** Time from the signal to the exit. */
  readonly took: number;
  /** Requests in flight when the signal came. */
  readonly activeAtSignal: number;
  /** Requests that arrived after the signal and were accepted, and those that were rejected. */
  readonly taken: number;
  readonly refused: number;
  /** Requests among both that arrived on a connection that had served another request. */
  readonly onKeptConnections: number;
  /** Time from the signal to the last accepted request. */
  readonly lastTakenAfter: number;
  /** Requests aborted by the exit. */
  readonly cut: number;
}

/** The graceful shutdown of one process. */
export interface GracefulShutdown {
  /** Starts the shutdown; later calls have no effect. */
  readonly begin: () => void;
  readonly hasBegun: () => boolean;
  /** Called for each arriving request; returns a rejection where it may not be accepted any more. */
  readonly checkArrival: (onKeptConnection: boolean) => Rejection | undefined;
}

/** Until then the platform may not have seen that the router is not ready, and may still send new connections. */
const maxReadinessLagMicros = 2_600_000;
/** Upper bound for this time as a share of the grace period. */
const maxReadinessLagShare = 0.5;
/** How long before the forced kill unstarted requests are rejected, and how long before it the process exits. */
const rejectMarginMicros = 900_000;
const exitMarginMicros = 400_000;
const drainCheckIntervalMicros = micros(100_000);
/** Short, since other routers can serve the request now. */
const retryAfterSeconds = 0.1;

const shuttingDown: Rejection = {
  kind: 'leaving',
  ran: 'no',
  reason: 'This router is shutting down; retry on a new connection.',
  retryAfterSeconds,
};

/** Creates a shutdown that has not begun. */
export function createGracefulShutdown(world: World, options: GracefulShutdownOptions): GracefulShutdown {
  const { gracePeriod } = options;
  const readinessLag = Math.min(maxReadinessLagMicros, gracePeriod * maxReadinessLagShare);
  const counts = { activeAtSignal: 0, taken: 0, refused: 0, onKeptConnections: 0, lastTakenAfter: 0 };
  let signalledAt: number | undefined;
  let refusing = false;

  function begin(): void {
    if (signalledAt !== undefined) return;
    signalledAt = world.now();
    counts.activeAtSignal = options.activeRequests();
    world.log(1002, { active: counts.activeAtSignal, graceMs: gracePeriod / 1000 });
    world.after(micros(readinessLag), startRefusing);
    world.after(micros(gracePeriod - rejectMarginMicros), options.rejectUnstarted);
  }

  function startRefusing(): void {
    refusing = true;
    options.closeIdleConnections();
    checkDrained();
  }

  function checkDrained(): void {
    const active = options.activeRequests();
    if (active === 0 || sinceSignal() >= gracePeriod - exitMarginMicros) return exit(active);
    world.after(drainCheckIntervalMicros, checkDrained);
  }

  function exit(cut: number): void {
    const report = { took: sinceSignal(), ...counts, cut };
    world.log(1003, { ...report });
    options.exit(report);
  }

  function checkArrival(onKeptConnection: boolean): Rejection | undefined {
    if (signalledAt === undefined) return undefined;
    if (onKeptConnection) counts.onKeptConnections += 1;
    if (refusing) {
      counts.refused += 1;
      return shuttingDown;
    }
    counts.taken += 1;
    counts.lastTakenAfter = sinceSignal();
    return undefined;
  }

  function sinceSignal(): number {
    return signalledAt === undefined ? 0 : world.now() - signalledAt;
  }

  return { begin, hasBegun: () => signalledAt !== undefined, checkArrival };
}
