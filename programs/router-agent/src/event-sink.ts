/**
 * Sends CloudEvents to a sink in batches: the changes of the desired state and of rehearsals that this agent has seen. The
 * queue is bounded. An event that does not fit, or whose batch is refused three times, is counted as lost; events never
 * delay anything else.
 */
import { CloudEvent, HTTP } from 'cloudevents';
import { every, micros, type World } from '@tansypost/inner-protocol';

/** A change of a key; `at` is in microseconds since 1970. */
export interface SinkEvent {
  readonly at: number;
  readonly what: string;
  readonly key: string;
  readonly version: number;
}
/** The queue of events. */
export interface EventSink {
  readonly add: (event: SinkEvent) => void;
  readonly statistics: () => { readonly sent: number; readonly lost: number; readonly waiting: number };
  readonly stop: () => void;
}
/** Settings of the sink. */
export interface EventSinkOptions {
  readonly member: string;
  /** Posts one batch; true if the sink accepted it. */
  readonly post: (body: string) => Promise<boolean>;
  readonly maxQueued?: number;
}
const maxBatchEvents = 100;
const maxTries = 3;

/** The CloudEvent of a change. */
export function cloudEvent(member: string, event: SinkEvent): unknown {
  const formatted = new CloudEvent({
    type: `tansypost.${event.key.split('/')[0]}.${event.what}`,
    source: `/agents/${member}`,
    subject: `${event.key}@${event.version}`,
    time: new Date(event.at / 1000).toISOString(),
    data: { key: event.key, version: event.version },
  });
  return JSON.parse(HTTP.structured(formatted).body as string) as unknown;
}

/** Starts a sink that sends once a second. */
export function createEventSink(world: Pick<World, 'after' | 'log'>, options: EventSinkOptions): EventSink {
  let queue: SinkEvent[] = [];
  let [sent, lost, tries] = [0, 0, 0];
  let sending = false;

  function add(event: SinkEvent): void {
    if (queue.length >= (options.maxQueued ?? 1000)) lost += 1;
    else queue.push(event);
  }
  async function send(): Promise<void> {
    if (sending || queue.length === 0) return;
    sending = true;
    const batch = queue.slice(0, maxBatchEvents);
    const accepted = await options
      .post(JSON.stringify(batch.map((event) => cloudEvent(options.member, event))))
      .catch(() => false);
    sending = false;
    tries = accepted ? 0 : tries + 1;
    if (!accepted && tries < maxTries) return;
    if (!accepted) world.log(3201, { lost: batch.length });
    queue = queue.slice(batch.length);
    if (accepted) sent += batch.length;
    else lost += batch.length;
    tries = 0;
  }
  const stop = every(
    world,
    () => micros(1_000_000),
    () => void send(),
  );
  return { add, statistics: () => ({ sent, lost, waiting: queue.length }), stop };
}
