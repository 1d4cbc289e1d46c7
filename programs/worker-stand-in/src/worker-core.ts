/**
 * A simulated inference worker, in virtual or real time: a FIFO prefill queue with a configured throughput, a prefix cache,
 * a decode batch whose steps take longer as it fills, limited KV cache, KV handles that expire, load reports with a lag,
 * and a stage that is changed only by orders whose epoch is not older than the last one. Fault switches make it slow, send
 * malformed events, break off responses or send invalid load reports.
 */
import { micros, type World } from '@tansypost/inner-protocol';
import { answerLength, answerText, promptDigest } from './answer.js';

/** The stage that a worker serves; `both` accepts prefill and decode. */
export type WorkerStage = 'prefill' | 'decode' | 'both';
/** `prefillPace` is in tokens per second, `stepUs` the time per decoded token of an empty batch, `holdUs` a handle's expiry. */
export interface WorkerOptions {
  readonly worker: string;
  readonly incarnation: number;
  readonly prefillPace: number;
  readonly stepUs: number;
  readonly slots: number;
  readonly kvTokens: number;
  readonly queueLimit: number;
  readonly holdUs: number;
  readonly reportLagUs: number;
  readonly onRun?: (request: string, what: 'prefill' | 'decode') => void;
}
export const workerDefaults: Omit<WorkerOptions, 'worker' | 'incarnation'> = {
  prefillPace: 30_000,
  stepUs: 12_000,
  slots: 48,
  kvTokens: 200_000,
  queueLimit: 64,
  holdUs: 5_000_000,
  reportLagUs: 300_000,
};

/** Injected faults: malformed events, the token count after which responses break off, a slowdown factor, invalid reports. */
export interface WorkerFaults {
  nonsense?: boolean;
  breakAfter?: number;
  slow?: number;
  badReport?: boolean;
}
/** Refers to the KV cache of one prefilled prompt; it is valid for one request, prompt and incarnation of the worker. */
export interface KvHandle {
  readonly id: string;
  readonly worker: string;
  readonly incarnation: number;
  readonly request: string;
  readonly digest: string;
}
export interface CompletionJob {
  readonly request: string;
  readonly prompt: string;
  readonly maxTokens: number;
}
export type PrefillOutcome =
  | { readonly tag: 'done'; readonly handle: KvHandle; readonly cached: number }
  | { readonly tag: 'refused'; readonly why: string };
export interface DecodeSink {
  readonly chunk: (text: string, tokens: number) => void;
  readonly end: (finish: string) => void;
  readonly abort: () => void;
}
export interface WorkerReport {
  readonly queued: number;
  readonly active: number;
  readonly kv_used: number;
  readonly part: WorkerStage;
  readonly incarnation: number;
  readonly fence: number;
}
/**
 * `admitDecode` and `consumeHandle` return why they reject, or undefined. `prefill` and `decode` return a function that
 * cancels the work. `runs` counts the executions of each request.
 */
export interface WorkerCore {
  readonly prefill: (job: CompletionJob, done: (outcome: PrefillOutcome) => void) => () => void;
  readonly admitDecode: (job: CompletionJob, handle: KvHandle) => string | undefined;
  readonly decode: (job: CompletionJob, handle: KvHandle, sink: DecodeSink) => () => void;
  readonly consumeHandle: (handle: KvHandle) => string | undefined;
  readonly report: () => WorkerReport;
  readonly setStage: (epoch: number, newStage: WorkerStage | '') => boolean;
  readonly expireHandles: () => void;
  readonly faults: WorkerFaults;
  readonly runs: () => ReadonlyMap<string, { prefill: number; decode: number }>;
  readonly part: () => WorkerStage;
  readonly idle: () => { active: number; queued: number };
}

interface ActiveDecode {
  readonly job: CompletionJob;
  readonly digest: string;
  readonly answerTokens: number;
  emittedTokens: number;
  readonly sink: DecodeSink;
  readonly promptTokens: number;
  readonly startedAt: number;
}
const blockTokens = 16;
const chunkTokens = 4;

export function createWorkerCore(world: Pick<World, 'now' | 'after' | 'log'>, options: WorkerOptions): WorkerCore {
  const heldHandles = new Map<string, { handle: KvHandle; tokens: number; cancel: () => void }>();
  const prefixCache = new Map<string, number>();
  const executions = new Map<string, { prefill: number; decode: number }>();
  const queue: { job: CompletionJob; done: (outcome: PrefillOutcome) => void; cancelled: boolean }[] = [];
  const active = new Set<ActiveDecode>();
  const faults: WorkerFaults = {};
  let stage: WorkerStage = 'both';
  let fence = 0;
  let busy = false;
  let stepScheduled = false;
  let handleCount = 0;
  let reports: { at: number; report: WorkerReport }[] = [];

  function words(prompt: string): string[] {
    return prompt.match(/\S+\s*/g) ?? [];
  }
  function kvTokensInUse(): number {
    let tokens = 0;
    for (const entry of heldHandles.values()) tokens += entry.tokens;
    for (const decoding of active) tokens += decoding.promptTokens + decoding.emittedTokens;
    return tokens;
  }
  function countExecution(request: string, step: 'prefill' | 'decode'): void {
    const counts = executions.get(request) ?? { prefill: 0, decode: 0 };
    counts[step] += 1;
    executions.set(request, counts);
    options.onRun?.(request, step);
  }

  // Looks up the prompt's blocks in the prefix cache and inserts the missing ones. Returns the number of cached tokens.
  function lookUpPrefix(tokens: readonly string[]): number {
    let hitTokens = 0;
    let prefixHash = 0;
    let isHit = true;
    for (let offset = 0; offset + blockTokens <= tokens.length; offset += blockTokens) {
      const block = tokens.slice(offset, offset + blockTokens).join('');
      for (let index = 0; index < block.length; index += 1)
        prefixHash = (Math.imul(prefixHash, 31) + block.charCodeAt(index)) | 0;
      const key = `${offset}.${prefixHash}`;
      isHit = isHit && prefixCache.has(key);
      if (isHit) hitTokens += blockTokens;
      prefixCache.delete(key);
      prefixCache.set(key, blockTokens);
    }
    const maxBlocks = Math.max(0, (options.kvTokens - kvTokensInUse()) / blockTokens);
    for (const key of prefixCache.keys()) {
      if (prefixCache.size <= maxBlocks) break;
      prefixCache.delete(key);
    }
    return hitTokens;
  }

  function prefill(job: CompletionJob, done: (outcome: PrefillOutcome) => void): () => void {
    const item = { job, done, cancelled: false };
    if (stage === 'decode') done({ tag: 'refused', why: 'wrong_part' });
    else if (queue.length >= options.queueLimit) done({ tag: 'refused', why: 'queue_full' });
    else {
      queue.push(item);
      startNextPrefill();
    }
    return function cancel() {
      item.cancelled = true;
      const index = queue.indexOf(item);
      if (index >= 0) queue.splice(index, 1);
    };
  }

  function startNextPrefill(): void {
    if (busy) return;
    let nextItem = queue.shift();
    while (nextItem !== undefined && nextItem.cancelled) nextItem = queue.shift();
    if (nextItem === undefined) return;
    busy = true;
    const { job, done } = nextItem;
    countExecution(job.request, 'prefill');
    const tokens = words(job.prompt);
    const hitTokens = lookUpPrefix(tokens);
    const durationUs = 3000 + ((tokens.length - hitTokens) * 1e6) / options.prefillPace;
    world.after(micros(durationUs * (faults.slow ?? 1) * (1 + active.size / (4 * options.slots))), () => {
      busy = false;
      handleCount += 1;
      const handle: KvHandle = {
        id: `${options.worker}-${options.incarnation}-${handleCount}`,
        worker: options.worker,
        incarnation: options.incarnation,
        request: job.request,
        digest: promptDigest(job.prompt),
      };
      const cancel = world.after(micros(options.holdUs), () => heldHandles.delete(handle.id));
      heldHandles.set(handle.id, { handle, tokens: tokens.length, cancel });
      done({ tag: 'done', handle, cached: hitTokens });
      startNextPrefill();
    });
  }

  // Called for the decode worker on the worker that holds the KV cache. A handle can be consumed once.
  function consumeHandle(handle: KvHandle): string | undefined {
    const entry = heldHandles.get(handle.id);
    if (entry === undefined || handle.incarnation !== options.incarnation) return 'memory_lapsed';
    if (entry.handle.request !== handle.request || entry.handle.digest !== handle.digest) return 'memory_foreign';
    entry.cancel();
    heldHandles.delete(handle.id);
    return undefined;
  }

  function admitDecode(job: CompletionJob, handle: KvHandle): string | undefined {
    if (stage === 'prefill') return 'wrong_part';
    if (handle.request !== job.request || handle.digest !== promptDigest(job.prompt)) return 'memory_foreign';
    if (active.size >= options.slots) return 'queue_full';
    if (kvTokensInUse() > options.kvTokens) return 'kv_full';
    return undefined;
  }

  function decode(job: CompletionJob, handle: KvHandle, sink: DecodeSink): () => void {
    countExecution(job.request, 'decode');
    const decoding: ActiveDecode = {
      job,
      digest: handle.digest,
      answerTokens: answerLength(handle.digest, job.maxTokens),
      emittedTokens: 0,
      sink,
      promptTokens: words(job.prompt).length,
      startedAt: world.now(),
    };
    active.add(decoding);
    scheduleStep();
    return function cancel() {
      active.delete(decoding);
    };
  }

  function scheduleStep(): void {
    if (stepScheduled || active.size === 0) return;
    stepScheduled = true;
    const stepUs = options.stepUs * chunkTokens * (faults.slow ?? 1) * (1 + active.size / options.slots);
    world.after(micros(stepUs), () => {
      stepScheduled = false;
      for (const decoding of [...active]) step(decoding);
      scheduleStep();
    });
  }

  function step(decoding: ActiveDecode): void {
    const end = Math.min(decoding.answerTokens, decoding.emittedTokens + chunkTokens);
    if (faults.breakAfter !== undefined && end >= faults.breakAfter) {
      active.delete(decoding);
      return decoding.sink.abort();
    }
    decoding.sink.chunk(answerText(decoding.digest, decoding.emittedTokens, end), end - decoding.emittedTokens);
    decoding.emittedTokens = end;
    if (decoding.emittedTokens < decoding.answerTokens) return;
    active.delete(decoding);
    decoding.sink.end(decoding.answerTokens === decoding.job.maxTokens ? 'length' : 'stop');
  }

  // Returns the newest report that is at least `reportLagUs` old, or the oldest one known.
  function createReport(): WorkerReport {
    const now = world.now();
    reports.push({ at: now, report: currentReport() });
    const visible = reports.filter((entry) => entry.at <= now - options.reportLagUs);
    const reported = visible.at(-1)?.report ?? reports[0]!.report;
    reports = reports.filter((entry) => entry.at > now - 2 * options.reportLagUs - 1_000_000);
    if (faults.badReport === true) return { ...reported, queued: -5, kv_used: 7 };
    return reported;
  }
  function currentReport(): WorkerReport {
    return {
      queued: queue.length,
      active: active.size + (busy ? 1 : 0),
      kv_used: Math.min(1, kvTokensInUse() / options.kvTokens),
      part: stage,
      incarnation: options.incarnation,
      fence,
    };
  }

  function setStage(epoch: number, newStage: WorkerStage | ''): boolean {
    if (epoch < fence) {
      world.log(6002, { epoch, fence });
      return false;
    }
    fence = epoch;
    if (newStage !== '' && newStage !== stage) {
      stage = newStage;
      world.log(6001, { part: stage, epoch });
    }
    return true;
  }

  function expireHandles(): void {
    for (const entry of heldHandles.values()) entry.cancel();
    heldHandles.clear();
  }

  return {
    prefill,
    admitDecode,
    decode,
    consumeHandle,
    report: createReport,
    setStage,
    expireHandles,
    faults,
    runs: () => executions,
    part: () => stage,
    idle: () => ({ active: active.size + (busy ? 1 : 0) + heldHandles.size, queued: queue.length }),
  };
}
