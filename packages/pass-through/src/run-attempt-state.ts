/** State of one run attempt, shared by the modules that make it. */
import type { AttemptAbort } from './attempt-abort.js';
import type { AttemptTiming } from './attempt-timing.js';
import type { InFlightRequest } from './in-flight-request.js';
import type { KvSource } from './ports.js';
import type { FleetWorker, AttemptTracker } from './worker-fleet.js';

/** A run in progress. */
export interface RunAttempt {
  readonly inFlight: InFlightRequest;
  readonly worker: FleetWorker;
  /** The KV cache prefilled elsewhere; undefined where the worker prefills the prompt itself. */
  readonly kvSource: KvSource | undefined;
  readonly timing: AttemptTiming;
  /** How long the prefill takes where the worker prefills the prompt itself. */
  readonly serviceTime: number;
  readonly startedAt: number;
  readonly abort: AttemptAbort;
  readonly tracker: AttemptTracker;
  /** Whether a chunk has come, and when the worker last sent anything. */
  chunkReceived: boolean;
  lastHeardAt: number;
  ended: boolean;
  overdue: boolean;
}
