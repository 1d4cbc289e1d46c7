/** The state of one attempt to have a request run, as its modules share it. */
import type { AttemptAbort } from './attempt-abort.js';
import type { AttemptTiming } from './attempt-timing.js';
import type { InFlightRequest } from './in-flight-request.js';
import type { KvSource } from './ports.js';
import type { FleetWorker, AttemptTracker } from './worker-fleet.js';

/** A run under way, with what has been heard of it. */
export interface RunAttempt {
  readonly inFlight: InFlightRequest;
  readonly runner: FleetWorker;
  /** What was read for it elsewhere; undefined where it reads for itself. */
  readonly memory: KvSource | undefined;
  readonly timing: AttemptTiming;
  /** How long the prompt takes to read where the runner reads for itself. */
  readonly serviceTime: number;
  readonly begunAt: number;
  readonly abort: AttemptAbort;
  readonly under: AttemptTracker;
  /** Whether a piece has come, and when the worker was last heard. */
  seen: boolean;
  heardAt: number;
  ended: boolean;
  overdue: boolean;
}
