/** One incarnation of a simulated worker of a service without a model, with slots and a short queue that sheds load. */
import type { Engine } from '../engine.js';
import { drawLogNormal, type PlainShape } from './engine-shape.js';
import type { LifeOptions, WorkerCall, WorkerLife } from './virtual-worker.js';

interface Job {
  readonly call: WorkerCall;
  readonly due: number;
}

/** Starts a worker whose responses have a single part. */
export function createPlainWorker(
  engine: Engine,
  random: () => number,
  options: LifeOptions,
  shape: PlainShape,
): WorkerLife {
  let alive = true;
  let isUnresponsive = false;
  let deferred: (() => void)[] = [];
  let queue: Job[] = [];
  const running = new Set<Job>();
  let count = 0;

  function refuse(call: WorkerCall, status: number): void {
    call.head(call.request, status, true);
    call.end(false);
  }

  function accept(call: WorkerCall): void {
    if (!alive || call.closed) return;
    if (isUnresponsive) return void deferred.push(() => accept(call));
    if (call.target !== options.id) return refuse(call, 421);
    if (queue.length >= shape.queued) return refuse(call, 503);
    queue.push({ call, due: engine.now() + call.remainingTime });
    next();
  }

  function next(): void {
    while (queue.length > 0 && running.size < shape.slots) {
      const job = queue.shift()!;
      if (engine.now() > job.due) refuse(job.call, 503);
      else run(job);
    }
  }

  function run(job: Job): void {
    count += 1;
    const name = `${options.id}.${count}`;
    running.add(job);
    options.onRunStarted(job.call, name, undefined);
    const fault = options.fault();
    engine.at(engine.now() + drawLogNormal(shape.work, random) * options.slow, () => {
      if (!alive || !running.delete(job)) return;
      finish(job.call, name, fault === 'fail' || random() < shape.failures, fault === 'lost' || fault === 'cut');
      next();
    });
  }

  function finish(call: WorkerCall, name: string, failed: boolean, lost: boolean): void {
    if (lost) return call.reset();
    call.head(call.request, failed ? 500 : 200, false);
    call.data(Buffer.from(failed ? 'worker failure' : `${call.request} ${name} 1/1;`));
    call.end(false);
  }

  function closed(call: WorkerCall): void {
    queue = queue.filter((job) => job.call !== call);
    for (const job of running) if (job.call === call) running.delete(job);
  }

  function crash(): void {
    alive = false;
    const calls = [...queue, ...running].map((job) => job.call);
    queue = [];
    running.clear();
    deferred = [];
    for (const call of calls) call.reset();
  }

  function setUnresponsive(on: boolean): void {
    isUnresponsive = on;
    const waiting = deferred;
    if (on) return;
    deferred = [];
    for (const go of waiting) go();
  }

  return {
    o: options,
    part: () => 'decode',
    isSwitching: () => false,
    ordersTaken: () => 0,
    order: () => 400,
    alive: () => alive,
    accept,
    closed,
    free: () => undefined,
    take: () => undefined,
    expireHandles: () => undefined,
    crash,
    setUnresponsive,
    isUnresponsive: () => isUnresponsive,
    load: () => ({ queued: queue.length, active: running.size, kvUsed: 0, kvTotal: 0 }),
  };
}
