/** State of one run attempt, shared by the modules that carry the attempt out. Times are microseconds. */
import type { StreamFault } from '@tansypost/event-stream';
import type { HeldBytes } from '@tansypost/peer-limits';
import type { AttemptAbort } from './attempt-abort.js';
import type { AttemptTiming } from './attempt-timing.js';
import type { InFlightRequest } from './in-flight-request.js';
import type { KvSource } from './ports.js';
import type { FleetWorker, AttemptTracker } from './worker-fleet.js';

/** One attempt to run a request at a decode worker. */
export interface RunAttempt {
  readonly inFlight: InFlightRequest;
  readonly worker: FleetWorker;
  /** The KV cache prefilled elsewhere; undefined where the worker prefills the prompt itself. */
  readonly kvSource: KvSource | undefined;
  readonly timing: AttemptTiming;
  /** Estimated time of the prompt's prefill, here or at the prefill worker, without the wait in the queue. */
  readonly prefillServiceTime: number;
  readonly startedAt: number;
  readonly abort: AttemptAbort;
  readonly tracker: AttemptTracker;
  /** The part of an event that is held until the event is complete. */
  readonly held: HeldBytes;
  /** Why the stream of this attempt is not trusted any further. */
  streamFault: StreamFault | undefined;
  /** Whether this attempt has received a chunk of the response. */
  chunkReceived: boolean;
  /** When the worker last sent a part of the response; `startedAt` before the first one. */
  lastHeardAt: number;
  /** The worker port has returned the result of the attempt. */
  ended: boolean;
  /** The worker sent no chunk in time, and is abandoned because this is worthwhile (`isWorthAbandoning`). */
  overdue: boolean;
}
