/** Logs and counts responses of workers that cannot be the work of one run; of each worker at most one a second. */
import { seconds, type World } from '@tansypost/inner-protocol';

/** A response that was not trusted any further. */
export interface MalformedResponse {
  readonly worker: string;
  readonly service: string;
  readonly request: string;
  /** Whether the worker was asked for a prefill (`read`) or a run. */
  readonly kind: 'read' | 'run';
  readonly why: string;
  /** The id of the last event that was forwarded before; 0 if there was none. */
  readonly lastEventId: number;
}

/** The log of malformed responses. */
export interface MalformedResponseLog {
  /** Logs event 5111, with how many of this worker were not logged since its last line. */
  readonly record: (response: MalformedResponse) => void;
}

const logInterval = seconds(1);

interface LoggedWorker {
  readonly loggedAt: number;
  omitted: number;
}

/** Creates the log. */
export function createMalformedResponseLog(world: World): MalformedResponseLog {
  const logged = new Map<string, LoggedWorker>();

  function record(response: MalformedResponse): void {
    const now = world.now();
    const last = logged.get(response.worker);
    if (last !== undefined && now - last.loggedAt < logInterval) {
      last.omitted += 1;
      return;
    }
    for (const [worker, { loggedAt, omitted }] of logged)
      if (omitted === 0 && now - loggedAt >= logInterval) logged.delete(worker);
    logged.set(response.worker, { loggedAt: now, omitted: 0 });
    world.log(5111, { ...response, omitted: last?.omitted ?? 0 });
  }

  return { record };
}
