/**
 * How a router stops in order, in four steps. It says that it is not ready, so that the platform sends it no new
 * connections, and goes on serving until that has been seen. Then it closes the connections that rest and refuses at
 * once what still comes, since it may end before that is served. It ends when nothing is under way any more. Shortly
 * before its time is over it gives up on what has not begun to be answered, which the requester can ask elsewhere.
 */
import { micros, type World } from '@tansypost/inner-protocol';
import type { Rejection } from './ports.js';

/** What a router is told to do when it stops, and whom it asks. Times are microseconds. */
export interface GracefulShutdownOptions {
  /** The time between the signal to stop and the end by force. */
  readonly gracePeriod: number;
  /** Requests that are under way. */
  readonly activeRequests: () => number;
  /** Closes the connections on which nothing is under way. */
  readonly closeIdleConnections: () => void;
  /** Gives up on the requests whose answers have not begun. */
  readonly rejectUnstarted: () => void;
  /** Ends the process. */
  readonly exit: (report: ShutdownReport) => void;
}

/** What came and went after the signal. */
export interface ShutdownReport {
  /** From the signal to the end. */
  readonly took: number;
  /** Requests that were under way when the signal came. */
  readonly activeAtSignal: number;
  /** Requests that came since and were served, and those that were refused. */
  readonly taken: number;
  readonly refused: number;
  /** Those of all of them that came on a connection that had served another request. */
  readonly onKeptConnections: number;
  /** From the signal to the last request that was taken. */
  readonly lastTakenAfter: number;
  /** Requests that are cut by the end. */
  readonly cut: number;
}

/** The stop of one process. */
export interface GracefulShutdown {
  /** The signal; only the first one counts. */
  readonly begin: () => void;
  readonly hasBegun: () => boolean;
  /** A request has come. Gives the answer to it where it may not be taken any more. */
  readonly checkArrival: (onKeptConnection: boolean) => Rejection | undefined;
}

/** Until then the platform may not have seen that the router is not ready, and goes on sending it new connections. */
const longestUnseen = 2_600_000;
/** The part of the grace period that this takes at the most. */
const unseenShare = 0.5;
/** So long before the end by force what has not begun is given up on, and the process ends by itself. */
const giveUpMargin = 900_000;
const endMargin = 400_000;
const lookEvery = micros(100_000);
/** Seconds; other routers serve now. */
const retryAfter = 0.1;

const leaving: Rejection = {
  kind: 'leaving',
  ran: 'no',
  reason: 'This router is about to end; ask again on a new connection.',
  retryAfter,
};

/** A stop that has not begun. */
export function createGracefulShutdown(world: World, options: GracefulShutdownOptions): GracefulShutdown {
  const { gracePeriod } = options;
  const unseen = Math.min(longestUnseen, gracePeriod * unseenShare);
  const counts = { activeAtSignal: 0, taken: 0, refused: 0, onKeptConnections: 0, lastTakenAfter: 0 };
  let begunAt: number | undefined;
  let refuses = false;

  function begin(): void {
    if (begunAt !== undefined) return;
    begunAt = world.now();
    counts.activeAtSignal = options.activeRequests();
    world.log(1002, { active: counts.activeAtSignal, graceMs: gracePeriod / 1000 });
    world.after(micros(unseen), stopTaking);
    world.after(micros(gracePeriod - giveUpMargin), options.rejectUnstarted);
  }

  function stopTaking(): void {
    refuses = true;
    options.closeIdleConnections();
    look();
  }

  function look(): void {
    const active = options.activeRequests();
    if (active === 0 || sinceSignal() >= gracePeriod - endMargin) return end(active);
    world.after(lookEvery, look);
  }

  function end(cut: number): void {
    const report = { took: sinceSignal(), ...counts, cut };
    world.log(1003, { ...report });
    options.exit(report);
  }

  function arrived(onKeptConnection: boolean): Rejection | undefined {
    if (begunAt === undefined) return undefined;
    if (onKeptConnection) counts.onKeptConnections += 1;
    if (refuses) {
      counts.refused += 1;
      return leaving;
    }
    counts.taken += 1;
    counts.lastTakenAfter = sinceSignal();
    return undefined;
  }

  function sinceSignal(): number {
    return begunAt === undefined ? 0 : world.now() - begunAt;
  }

  return { begin, hasBegun: () => begunAt !== undefined, checkArrival: arrived };
}
