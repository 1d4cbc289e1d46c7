/**
 * One incarnation of a simulated worker: slots, a queue ordered by urgency, chunked prefill interleaved with decoding, a
 * prefix cache, KV handles that can be taken once and expire, and steps that take longer the more runs there are. It may
 * be unresponsive or slow, and refuse, fail, cut, lose or garble responses. It does not check whose KV cache a run uses.
 */
import type { Engine } from '../engine.js';
import type { EngineShape } from './engine-shape.js';

export interface WorkerCall {
  readonly request: string;
  readonly doing: 'read' | 'run';
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly segments: readonly { readonly id: string; readonly tokens: number }[];
  readonly target: string;
  readonly remainingTime: number;
  readonly urgency: number;
  readonly streaming: boolean;
  readonly lastEvent: number;
  readonly from: { readonly address: string; readonly handle: string } | undefined;
  closed: boolean;
  // The prefill was accepted.
  readonly taken: () => void;
  // `id`: the request that the response belongs to.
  readonly head: (id: string, status: number, unrun: boolean) => void;
  readonly data: (b: Buffer) => void;
  readonly end: (surplus: boolean) => void;
  readonly reset: () => void;
}
export interface KvHandle {
  readonly id: string;
  readonly request: string;
  readonly tokens: number;
  readonly until: number;
}
/** An order to switch to a stage. */
export interface StageOrderCall {
  readonly part: VirtualStage;
  readonly holder: string;
  readonly fence: number;
  readonly ordersTaken: number;
  readonly target: string;
}
export type VirtualStage = 'prefill' | 'decode';
export interface LifeOptions {
  readonly id: string;
  readonly address: string;
  readonly machine: string;
  readonly service: string;
  readonly zone: string;
  /** The stage it starts with. */
  readonly part: VirtualStage;
  readonly engine: EngineShape;
  readonly handleTtl: () => number;
  readonly slow: number;
  // Draws the fault that affects the next call.
  readonly fault: () => WorkerFault;
  // Microseconds to transfer the KV cache of that many tokens here; undefined if the source is unreachable.
  readonly transferTime: (from: string, tokens: number) => number | undefined;
  readonly lifeAt: (address: string) => WorkerLife | undefined;
  readonly onRunStarted: (call: WorkerCall, run: string, kvSourceRequest: string | undefined) => void;
  /** `onPrefill`: a prefill starts, with that many tokens already cached. `onKvMoved`: that many KV tokens were moved. */
  readonly onPrefill?: (call: WorkerCall, cachedTokens: number) => void;
  readonly onKvMoved?: (tokens: number) => void;
}
/** `garbled`: bytes that no run made come after some of the events. */
export type WorkerFault = 'none' | 'cut' | 'foreign' | 'surplus' | 'lost' | 'fail' | 'garbled';
export interface WorkerLife {
  readonly o: LifeOptions;
  readonly part: () => VirtualStage;
  /** Whether a stage switch is in progress. */
  readonly isSwitching: () => boolean;
  readonly ordersTaken: () => number;
  /** Handles a stage order and returns the response status. */
  readonly order: (call: StageOrderCall) => number;
  readonly alive: () => boolean;
  readonly accept: (call: WorkerCall) => void;
  readonly closed: (call: WorkerCall) => void;
  readonly free: (handle: string) => void;
  readonly take: (handle: string) => KvHandle | undefined;
  readonly expireHandles: () => void;
  readonly crash: () => void;
  readonly setUnresponsive: (on: boolean) => void;
  readonly isUnresponsive: () => boolean;
  readonly load: () => { queued: number; active: number; kvUsed: number; kvTotal: number };
}
interface Job {
  readonly call: WorkerCall;
  readonly at: number;
  readonly due: number;
  readonly fault: WorkerFault;
  readonly run: string;
  readonly cutAfter: number;
  prefillTokensLeft: number;
  /** When its prefill may start. */
  readyAt: number;
  moving: boolean;
  decodedTokens: number;
  sentEvents: number;
  headSent: boolean;
}
/** How long a worker takes to switch to the other stage. */
export const stageSwitchTimeUs = 1_800_000;
const idlePollUs = 20_000;

/** A batch of steps in progress: tokens for all decoding jobs, and a chunk of one prompt. */
interface StepBatch {
  readonly decodeJobs: readonly Job[];
  readonly prefillJob: Job | undefined;
  readonly stepUs: number;
  readonly tokens: number;
  readonly from: number;
}

export function eventCountOf(answerTokens: number, stride: number): number {
  return Math.max(1, Math.ceil(answerTokens / stride));
}
export function formatEvent(request: string, run: string, n: number, of: number): string {
  return `id: ${n}\ndata: ${request} ${run} ${n}/${of}\n\n`;
}

/** Bytes that are no event of the run which has sent `sentEvents` events. */
function garbledBytes(request: string, sentEvents: number, draw: number): string {
  const kinds = [
    '%%%%\n\n',
    '\u0000\u00ff',
    '\n',
    `data: ${request} x 1/1\n\n`,
    formatEvent(request, 'x', sentEvents + 2, 9),
    formatEvent(request, 'x', sentEvents, 9),
    'HTTP/1.1 200 OK\r\n\r\n',
    `id: ${sentEvents + 1}\ndata: ${'x'.repeat(maxGarbledBytes)}`,
  ];
  return kinds[Math.min(kinds.length - 1, Math.floor(draw * kinds.length))]!;
}
const maxGarbledBytes = 1_000_000;

export function createWorkerLife(simulation: Engine, random: () => number, o: LifeOptions): WorkerLife {
  const handles = new Map<string, KvHandle>();
  const cachedSegments = new Map<string, number>();
  let queue: Job[] = [];
  const running = new Set<Job>();
  const { engine } = o;
  let [alive, isUnresponsive] = [true, false];
  let currentSteps: StepBatch | undefined;
  let wakeAt = Infinity;
  let deferred: (() => void)[] = [];
  let linkFreeAt = 0;
  let n = 0;
  let part = o.part;
  let switchingTo: VirtualStage | undefined;
  let ordersTaken = 0;
  let highestFence = 0;

  function cachedTokensOf(call: WorkerCall): number {
    let k = 0;
    for (const p of call.segments) {
      if (!cachedSegments.has(p.id)) break;
      k += p.tokens;
    }
    return k;
  }
  function usedTokens(): number {
    let k = 0;
    for (const job of running) k += job.call.promptTokens + job.call.answerTokens;
    for (const h of handles.values()) k += h.tokens;
    return k;
  }
  function cacheSegments(call: WorkerCall): void {
    for (const p of call.segments) {
      cachedSegments.delete(p.id);
      cachedSegments.set(p.id, p.tokens);
    }
    let all = usedTokens();
    for (const t of cachedSegments.values()) all += t;
    for (const [id, t] of cachedSegments) {
      if (all <= engine.kvTokens) break;
      cachedSegments.delete(id);
      all -= t;
    }
  }

  function refuse(call: WorkerCall, status: number): void {
    call.head(call.request, status, true);
    call.end(false);
  }

  function accept(call: WorkerCall): void {
    if (!alive) return;
    if (isUnresponsive) return void deferred.push(() => accept(call));
    // Most calls that were closed before the worker read them are dropped.
    if (call.closed && random() < 0.7) return;
    if (call.target !== o.id) return refuse(call, 421);
    if (call.doing === 'read' ? part !== 'prefill' : part !== 'decode') return refuse(call, 421);
    if (switchingTo !== undefined) return refuse(call, 503);
    if (queue.length >= engine.queued || call.promptTokens > engine.kvTokens) return refuse(call, 503);
    n += 1;
    if (call.doing === 'read') call.taken();
    queue.push({
      call,
      at: simulation.now(),
      due: simulation.now() + call.remainingTime,
      fault: o.fault(),
      run: `${o.id}.${n}`,
      cutAfter: Math.floor(random() * 6),
      prefillTokensLeft: 0,
      readyAt: 0,
      moving: false,
      decodedTokens: 0,
      sentEvents: call.lastEvent,
      headSent: false,
    });
    scheduleSteps();
  }

  function admit(): void {
    if (queue.length === 0) return;
    queue.sort((a, b) => a.call.urgency - b.call.urgency || a.at - b.at);
    while (queue.length > 0 && running.size < engine.slots) {
      const job = queue[0]!;
      if (simulation.now() > job.due) {
        queue.shift();
        refuse(job.call, 503);
        continue;
      }
      if (running.size > 0 && usedTokens() + job.call.promptTokens > engine.kvTokens) return;
      queue.shift();
      if (job.call.from === undefined) {
        const known = cachedTokensOf(job.call);
        o.onPrefill?.(job.call, known);
        job.prefillTokensLeft = Math.max(1, job.call.promptTokens - known);
        job.readyAt = simulation.now() + engine.prefillDelay;
        if (job.call.doing === 'run') begin(job, undefined);
        running.add(job);
      } else fetchKv(job, job.call.from);
    }
  }

  function fetchKv(job: Job, from: { address: string; handle: string }): void {
    const source = o.lifeAt(from.address);
    const wait = Math.max(0, linkFreeAt - simulation.now());
    const took =
      source === undefined || source.isUnresponsive() ? undefined : o.transferTime(from.address, job.call.promptTokens);
    if (source === undefined || took === undefined || wait > 2_000_000) return refuse(job.call, 503);
    const h = source.take(from.handle);
    if (h === undefined) return refuse(job.call, 503);
    o.onKvMoved?.(job.call.promptTokens);
    linkFreeAt = simulation.now() + wait + took + engine.transferSetup;
    job.moving = true;
    running.add(job);
    simulation.at(linkFreeAt, () => {
      if (!alive || !running.has(job)) return;
      job.moving = false;
      cacheSegments(job.call);
      begin(job, h.request);
      scheduleSteps();
    });
  }

  function begin(job: Job, kvSourceRequest: string | undefined): void {
    o.onRunStarted(job.call, job.run, kvSourceRequest);
    // Half of the responses send their head at once, the others with the first event.
    if (n % 2 === 0 && job.fault !== 'foreign' && job.fault !== 'lost' && job.fault !== 'fail') head(job);
  }
  function head(job: Job): void {
    if (job.headSent) return;
    job.headSent = true;
    job.call.head(job.call.request, 200, false);
  }

  function finish(job: Job): void {
    running.delete(job);
  }
  function injectFault(job: Job): boolean {
    if (job.fault === 'lost') {
      finish(job);
      job.call.reset();
    } else if (job.fault === 'fail') {
      finish(job);
      job.call.head(job.call.request, 500, false);
      job.call.data(Buffer.from('worker failure'));
      job.call.end(false);
    } else if (job.fault === 'foreign') {
      finish(job);
      job.call.head('another', 200, false);
      job.call.data(Buffer.from(formatEvent('another', 'x', 1, 9)));
      job.call.end(false);
    } else return false;
    return true;
  }

  function finishPrefill(job: Job): void {
    cacheSegments(job.call);
    if (job.call.doing === 'run') return;
    if (injectFault(job)) return;
    finish(job);
    if (job.fault === 'cut') return job.call.reset();
    n += 1;
    const h: KvHandle = {
      id: `h${o.id}.${n}`,
      request: job.call.request,
      tokens: job.call.promptTokens,
      until: simulation.now() + o.handleTtl(),
    };
    handles.set(h.id, h);
    simulation.at(h.until, () => handles.delete(h.id));
    job.call.head(job.call.request, 200, false);
    job.call.data(Buffer.from(h.id));
    job.call.end(job.fault === 'surplus');
  }

  function emitTokens(job: Job, k: number): void {
    job.decodedTokens += k;
    const all = eventCountOf(job.call.answerTokens, engine.stride);
    const startedEvents =
      job.decodedTokens >= engine.firstStride
        ? 1 + Math.floor((job.decodedTokens - engine.firstStride) / engine.stride)
        : 0;
    const to = Math.min(all, Math.max(job.call.lastEvent, 0) + startedEvents);
    const done = job.decodedTokens >= job.call.answerTokens - job.call.lastEvent * engine.stride;
    if (!job.headSent && injectFault(job)) return;
    for (let i = job.sentEvents + 1; i <= (done ? all : to); i += 1) {
      const s = job.call.streaming
        ? formatEvent(job.call.request, job.run, i, all)
        : `${job.call.request} ${job.run} ${i}/${all};`;
      if (job.fault === 'cut' && i > job.cutAfter) {
        head(job);
        job.call.data(Buffer.from(s.slice(0, Math.floor(random() * s.length))));
        finish(job);
        return job.call.reset();
      }
      head(job);
      if (job.fault === 'garbled' && job.call.streaming && i === job.cutAfter + 1 && garble(job)) return;
      const at = Math.floor(random() * s.length);
      if (at % 5 === 0 && at > 0) {
        job.call.data(Buffer.from(s.slice(0, at)));
        job.call.data(Buffer.from(s.slice(at)));
      } else job.call.data(Buffer.from(s));
      job.sentEvents = i;
    }
    if (!done) return;
    head(job);
    finish(job);
    job.call.end(job.fault === 'surplus');
  }

  /** Afterwards the worker goes on, breaks off, ends as if complete, or falls silent. */
  function garble(job: Job): boolean {
    const bytes = Buffer.from(garbledBytes(job.call.request, job.sentEvents, random()), 'latin1');
    const ending = Math.floor(4 * random());
    job.call.data(bytes);
    if (ending === 0) return false;
    finish(job);
    if (ending === 1) job.call.reset();
    else if (ending === 2) job.call.end(false);
    return true;
  }

  function scheduleSteps(): void {
    if (!alive || isUnresponsive) return;
    if (currentSteps === undefined) startNextSteps();
    else shortenSteps(currentSteps);
  }

  /** Ends a batch of steps without prefill after its current step, as a prompt may be waiting now. */
  function shortenSteps(steps: StepBatch): void {
    if (steps.prefillJob !== undefined || steps.tokens <= 1) return;
    const done = Math.floor((simulation.now() - steps.from) / steps.stepUs) + 1;
    if (done >= steps.tokens) return;
    startSteps(steps.decodeJobs, undefined, 0, steps.stepUs, done, steps.from);
  }

  /** Reschedules when the first job that waits for its prefill may start. */
  function scheduleWake(at: number): void {
    if (at >= wakeAt) return;
    wakeAt = at;
    simulation.at(at, () => {
      if (wakeAt === at) wakeAt = Infinity;
      scheduleSteps();
    });
  }

  function startNextSteps(): void {
    currentSteps = undefined;
    if (!alive || isUnresponsive) return;
    admit();
    let reader: Job | undefined;
    const makers: Job[] = [];
    for (const job of running) {
      if (job.moving) continue;
      if (job.prefillTokensLeft <= 0) makers.push(job);
      else if (job.readyAt > simulation.now()) scheduleWake(job.readyAt);
      else if (
        reader === undefined ||
        job.call.urgency < reader.call.urgency ||
        (job.call.urgency === reader.call.urgency && job.at < reader.at)
      )
        reader = job;
    }
    if (reader === undefined && makers.length === 0) return;
    const context = makers.reduce((sum, job) => sum + job.call.promptTokens + job.decodedTokens, 0);
    const each = (engine.step + engine.stepPerRun * makers.length + engine.stepPerContextToken * context) * o.slow;
    const maxChunk = part === 'prefill' ? engine.prefillChunk : engine.decodeChunk;
    const chunk =
      reader === undefined
        ? 0
        : Math.min(reader.prefillTokensLeft, makers.length === 0 ? engine.idleChunkFactor * maxChunk : maxChunk);
    // A prefill worker generates no tokens, so a prefill chunk there includes no decode step.
    const length = reader === undefined ? each : prefillTime(reader, chunk) + (part === 'prefill' ? 0 : each);
    startSteps(makers, reader, chunk, length, reader === undefined ? stepsAtOnce(makers) : 1, simulation.now());
  }

  /** Number of steps that can run at once without skipping the end of an event of any response. */
  function stepsAtOnce(makers: readonly Job[]): number {
    return makers.some((job) => job.decodedTokens < engine.firstStride) ? engine.firstStride : engine.stride;
  }

  function prefillTime(job: Job, chunk: number): number {
    const before = job.call.promptTokens - job.prefillTokensLeft;
    const pairs = chunk * (2 * before + chunk);
    const half = part === 'prefill' ? 1 : 2;
    return (chunk * engine.prefillPerToken + pairs * engine.prefillPerTokenPair) * half * o.slow;
  }

  function startSteps(
    makers: readonly Job[],
    reader: Job | undefined,
    chunk: number,
    each: number,
    tokens: number,
    from: number,
  ): void {
    const steps: StepBatch = { decodeJobs: makers, prefillJob: reader, stepUs: each, tokens, from };
    currentSteps = steps;
    simulation.at(from + tokens * each, () => {
      // Superseded by another batch.
      if (currentSteps !== steps) return;
      currentSteps = undefined;
      if (!alive || isUnresponsive) return;
      for (const job of makers) if (running.has(job)) emitTokens(job, tokens);
      if (reader !== undefined && running.has(reader)) {
        reader.prefillTokensLeft -= chunk;
        if (reader.prefillTokensLeft <= 0) finishPrefill(reader);
      }
      for (const job of running) if (simulation.now() > job.due) rejectOverdue(job);
      startNextSteps();
    });
  }
  function rejectOverdue(job: Job): void {
    if (job.moving) return;
    finish(job);
    if (job.headSent) return job.call.reset();
    job.call.head(job.call.request, 504, false);
    job.call.end(false);
  }

  function closed(call: WorkerCall): void {
    if (!alive) return;
    if (isUnresponsive) return void deferred.push(() => closed(call));
    // Most closed calls are cancelled; 15 % continue to run.
    if (random() < 0.15) return;
    queue = queue.filter((job) => job.call !== call);
    for (const job of running) if (job.call === call) running.delete(job);
  }

  function order(call: StageOrderCall): number {
    if (call.target !== o.id) return 421;
    if (call.fence < highestFence) return 412;
    highestFence = call.fence;
    if (switchingTo !== undefined || call.ordersTaken !== ordersTaken) return 409;
    ordersTaken += 1;
    if (call.part === part) return 200;
    switchingTo = call.part;
    for (const job of queue.splice(0)) refuse(job.call, 503);
    switchWhenIdle();
    return 202;
  }
  // Switches only after all running jobs have ended.
  function switchWhenIdle(): void {
    if (!alive || switchingTo === undefined) return;
    if (running.size > 0) return simulation.at(simulation.now() + idlePollUs, switchWhenIdle);
    simulation.at(simulation.now() + stageSwitchTimeUs, () => {
      if (!alive || switchingTo === undefined) return;
      part = switchingTo;
      switchingTo = undefined;
    });
  }

  return {
    o,
    part: () => part,
    isSwitching: () => switchingTo !== undefined,
    ordersTaken: () => ordersTaken,
    order,
    alive: () => alive,
    accept,
    closed,
    free: (h) => handles.delete(h),
    take: (id) => {
      const h = alive ? handles.get(id) : undefined;
      if (h !== undefined) handles.delete(id);
      return h;
    },
    expireHandles: () => handles.clear(),
    crash: () => {
      alive = false;
      const cs = [...queue, ...running].map((job) => job.call);
      queue = [];
      running.clear();
      deferred = [];
      for (const call of cs) call.reset();
    },
    setUnresponsive: (on) => {
      isUnresponsive = on;
      if (on) return;
      const hs = deferred;
      deferred = [];
      for (const f of hs) f();
      scheduleSteps();
    },
    isUnresponsive: () => isUnresponsive,
    load: () => ({ queued: queue.length, active: running.size, kvUsed: usedTokens(), kvTotal: engine.kvTokens }),
  };
}
