/**
 * How a router stops in order. It says that it is not ready, so that no new connections come to it, serves what is
 * under way, and ends when nothing is left to do or the time that it has is nearly over.
 */
import { micros, type World } from '@tansypost/inner-protocol';

/** What a router tells of its stop, and whom it asks. Times are microseconds. */
export interface GracefulShutdownOptions {
  /** The time between the signal to stop and the end by force. */
  readonly gracePeriod: number;
  /** Requests that are under way. */
  readonly active: () => number;
  /** Ends the process. */
  readonly end: (report: ShutdownReport) => void;
}

/** What came and went after the signal. */
export interface ShutdownReport {
  /** From the signal to the end. */
  readonly took: number;
  /** Requests that were under way when the signal came. */
  readonly activeAtSignal: number;
  /** Requests taken since. */
  readonly taken: number;
  /** Those of them that came on a connection that was there before. */
  readonly takenOnKeptConnections: number;
  /** From the signal to the last of them. */
  readonly lastTakenAfter: number;
  /** Requests that are cut by the end. */
  readonly cut: number;
}

/** The stop of one process. */
export interface GracefulShutdown {
  /** The signal; only the first one counts. */
  readonly begin: () => void;
  readonly hasBegun: () => boolean;
  /** A request has come. */
  readonly arrived: (onKeptConnection: boolean) => void;
}

/** Until then the platform may not have seen that the router is not ready, and goes on sending it new connections. */
const longestUnseen = 2_600_000;
/** The part of the grace period that this takes at the most. */
const unseenShare = 0.5;
/** So long before the end by force the process ends by itself. */
const endMargin = 400_000;
const lookEvery = micros(100_000);

/** A stop that has not begun. */
export function createGracefulShutdown(world: World, options: GracefulShutdownOptions): GracefulShutdown {
  const { gracePeriod } = options;
  const unseen = Math.min(longestUnseen, gracePeriod * unseenShare);
  let begunAt: number | undefined;
  let activeAtSignal = 0;
  let taken = 0;
  let takenOnKeptConnections = 0;
  let lastTakenAfter = 0;

  function begin(): void {
    if (begunAt !== undefined) return;
    begunAt = world.now();
    activeAtSignal = options.active();
    world.log(1002, { active: activeAtSignal, graceMs: gracePeriod / 1000 });
    world.after(lookEvery, look);
  }

  function look(): void {
    const active = options.active();
    const took = sinceSignal();
    if (took > gracePeriod - endMargin || (took > unseen && active === 0)) return end(took, active);
    world.after(lookEvery, look);
  }

  function end(took: number, cut: number): void {
    const report = { took, activeAtSignal, taken, takenOnKeptConnections, lastTakenAfter, cut };
    world.log(1003, { ...report });
    options.end(report);
  }

  function arrived(onKeptConnection: boolean): void {
    if (begunAt === undefined) return;
    taken += 1;
    if (onKeptConnection) takenOnKeptConnections += 1;
    lastTakenAfter = sinceSignal();
  }

  function sinceSignal(): number {
    return begunAt === undefined ? 0 : world.now() - begunAt;
  }

  return { begin, hasBegun: () => begunAt !== undefined, arrived };
}
