/** One life of a virtual worker of a service that is no model service: a slot for some time, a short queue, and it sheds. */
import type { Engine } from '../engine.js';
import { drawLogNormal, type PlainShape } from './engine-shape.js';
import type { LifeOptions, WorkerCall, WorkerLife } from './virtual-worker.js';

interface Job {
  readonly call: WorkerCall;
  readonly due: number;
}

/** Starts a worker that answers each request with its one piece. */
export function createPlainLife(e: Engine, random: () => number, o: LifeOptions, shape: PlainShape): WorkerLife {
  let alive = true;
  let dark = false;
  let held: (() => void)[] = [];
  let queue: Job[] = [];
  const running = new Set<Job>();
  let count = 0;

  function refuse(call: WorkerCall, status: number): void {
    call.head(call.request, status, true);
    call.end(false);
  }

  function accept(call: WorkerCall): void {
    if (!alive || call.closed) return;
    if (dark) return void held.push(() => accept(call));
    if (call.target !== o.id) return refuse(call, 421);
    if (queue.length >= shape.queued) return refuse(call, 503);
    queue.push({ call, due: e.now() + call.remainingTime });
    next();
  }

  function next(): void {
    while (queue.length > 0 && running.size < shape.slots) {
      const job = queue.shift()!;
      if (e.now() > job.due) refuse(job.call, 503);
      else run(job);
    }
  }

  function run(job: Job): void {
    count += 1;
    const name = `${o.id}.${count}`;
    running.add(job);
    o.onRunStarted(job.call, name, undefined);
    const mischief = o.fault();
    e.at(e.now() + drawLogNormal(shape.work, random) * o.slow, () => {
      if (!alive || !running.delete(job)) return;
      finish(
        job.call,
        name,
        mischief === 'fail' || random() < shape.failures,
        mischief === 'lost' || mischief === 'cut',
      );
      next();
    });
  }

  function finish(call: WorkerCall, name: string, failed: boolean, lost: boolean): void {
    if (lost) return call.reset();
    call.head(call.request, failed ? 500 : 200, false);
    call.data(Buffer.from(failed ? 'it failed' : `${call.request} ${name} 1/1;`));
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
    held = [];
    for (const call of calls) call.reset();
  }

  function setDark(on: boolean): void {
    dark = on;
    const waiting = held;
    if (on) return;
    held = [];
    for (const go of waiting) go();
  }

  return {
    o,
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
    setUnresponsive: setDark,
    isUnresponsive: () => dark,
    load: () => ({ queued: queue.length, active: running.size, kvUsed: 0, kvTotal: 0 }),
  };
}
