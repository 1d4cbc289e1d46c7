/**
 * A worker as the fleet sees it, in virtual or real time: a prefill queue worked one prompt after the
 * other at a pace of its own, a prefix cache, a decode batch whose steps lengthen as it fills, KV memory
 * that runs out, held memory that lapses, reports that are a little old, and a part that only an order
 * under a high enough epoch changes. Fault switches make it dark, slow, talk nonsense or break off.
 */
import { micros, type World } from '@tansypost/inner-protocol';
import { answerLength, answerText, promptDigest } from './answer.js';

export type WorkerStage = 'prefill' | 'decode' | 'both';
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

export interface WorkerFaults {
  nonsense?: boolean;
  breakAfter?: number;
  slow?: number;
  badReport?: boolean;
}
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
export interface WorkerCore {
  readonly prefill: (j: CompletionJob, done: (a: PrefillOutcome) => void) => () => void;
  readonly admitDecode: (j: CompletionJob, h: KvHandle) => string | undefined;
  readonly decode: (j: CompletionJob, h: KvHandle, sink: DecodeSink) => () => void;
  readonly consumeHandle: (h: KvHandle) => string | undefined;
  readonly report: () => WorkerReport;
  readonly setStage: (epoch: number, part: WorkerStage | '') => boolean;
  readonly expireHandles: () => void;
  readonly faults: WorkerFaults;
  readonly runs: () => ReadonlyMap<string, { prefill: number; decode: number }>;
  readonly part: () => WorkerStage;
  readonly idle: () => { active: number; queued: number };
}

interface Active {
  readonly job: CompletionJob;
  readonly digest: string;
  readonly length: number;
  at: number;
  readonly sink: DecodeSink;
  readonly tokens: number;
  readonly began: number;
}
const blockWords = 16;
const chunkTokens = 4;

export function createWorkerCore(w: Pick<World, 'now' | 'after' | 'log'>, o: WorkerOptions): WorkerCore {
  const held = new Map<string, { h: KvHandle; tokens: number; cancel: () => void }>();
  const cache = new Map<string, number>();
  const runs = new Map<string, { prefill: number; decode: number }>();
  const queue: { job: CompletionJob; done: (a: PrefillOutcome) => void; off: boolean }[] = [];
  const active = new Set<Active>();
  const faults: WorkerFaults = {};
  let part: WorkerStage = 'both';
  let fence = 0;
  let busy = false;
  let ticking = false;
  let handles = 0;
  let told: { at: number; r: WorkerReport }[] = [];

  function words(p: string): string[] {
    return p.match(/\S+\s*/g) ?? [];
  }
  function kvLive(): number {
    let n = 0;
    for (const h of held.values()) n += h.tokens;
    for (const a of active) n += a.tokens + a.at;
    return n;
  }
  function run(request: string, what: 'prefill' | 'decode'): void {
    const r = runs.get(request) ?? { prefill: 0, decode: 0 };
    r[what] += 1;
    runs.set(request, r);
    o.onRun?.(request, what);
  }

  // Walks the prompt's blocks through the prefix cache; what is not there is computed and kept.
  function cached(ws: readonly string[]): number {
    let hit = 0;
    let prefix = 0;
    let on = true;
    for (let i = 0; i + blockWords <= ws.length; i += blockWords) {
      const b = ws.slice(i, i + blockWords).join('');
      for (let k = 0; k < b.length; k += 1) prefix = (Math.imul(prefix, 31) + b.charCodeAt(k)) | 0;
      const k = `${i}.${prefix}`;
      on = on && cache.has(k);
      if (on) hit += blockWords;
      cache.delete(k);
      cache.set(k, blockWords);
    }
    const room = Math.max(0, (o.kvTokens - kvLive()) / blockWords);
    for (const k of cache.keys()) {
      if (cache.size <= room) break;
      cache.delete(k);
    }
    return hit;
  }

  function prefill(job: CompletionJob, done: (a: PrefillOutcome) => void): () => void {
    const item = { job, done, off: false };
    if (part === 'decode') done({ tag: 'refused', why: 'wrong_part' });
    else if (queue.length >= o.queueLimit) done({ tag: 'refused', why: 'queue_full' });
    else {
      queue.push(item);
      next();
    }
    return function off() {
      item.off = true;
      const i = queue.indexOf(item);
      if (i >= 0) queue.splice(i, 1);
    };
  }

  function next(): void {
    if (busy) return;
    let item = queue.shift();
    while (item !== undefined && item.off) item = queue.shift();
    if (item === undefined) return;
    busy = true;
    const { job, done } = item;
    run(job.request, 'prefill');
    const ws = words(job.prompt);
    const hit = cached(ws);
    const us = 3000 + ((ws.length - hit) * 1e6) / o.prefillPace;
    w.after(micros(us * (faults.slow ?? 1) * (1 + active.size / (4 * o.slots))), () => {
      busy = false;
      handles += 1;
      const h: KvHandle = {
        id: `${o.worker}-${o.incarnation}-${handles}`,
        worker: o.worker,
        incarnation: o.incarnation,
        request: job.request,
        digest: promptDigest(job.prompt),
      };
      const cancel = w.after(micros(o.holdUs), () => held.delete(h.id));
      held.set(h.id, { h, tokens: ws.length, cancel });
      done({ tag: 'done', handle: h, cached: hit });
      next();
    });
  }

  // The reading end's check, made by the worker that holds the memory; a handle is good for one reading.
  function take(h: KvHandle): string | undefined {
    const x = held.get(h.id);
    if (x === undefined || h.incarnation !== o.incarnation) return 'memory_lapsed';
    if (x.h.request !== h.request || x.h.digest !== h.digest) return 'memory_foreign';
    x.cancel();
    held.delete(h.id);
    return undefined;
  }

  function admit(j: CompletionJob, h: KvHandle): string | undefined {
    if (part === 'prefill') return 'wrong_part';
    if (h.request !== j.request || h.digest !== promptDigest(j.prompt)) return 'memory_foreign';
    if (active.size >= o.slots) return 'queue_full';
    if (kvLive() > o.kvTokens) return 'kv_full';
    return undefined;
  }

  function decode(job: CompletionJob, h: KvHandle, sink: DecodeSink): () => void {
    run(job.request, 'decode');
    const a: Active = {
      job,
      digest: h.digest,
      length: answerLength(h.digest, job.maxTokens),
      at: 0,
      sink,
      tokens: words(job.prompt).length,
      began: w.now(),
    };
    active.add(a);
    tick();
    return function off() {
      active.delete(a);
    };
  }

  function tick(): void {
    if (ticking || active.size === 0) return;
    ticking = true;
    const us = o.stepUs * chunkTokens * (faults.slow ?? 1) * (1 + active.size / o.slots);
    w.after(micros(us), () => {
      ticking = false;
      for (const a of [...active]) step(a);
      tick();
    });
  }

  function step(a: Active): void {
    const to = Math.min(a.length, a.at + chunkTokens);
    if (faults.breakAfter !== undefined && to >= faults.breakAfter) {
      active.delete(a);
      return a.sink.abort();
    }
    a.sink.chunk(answerText(a.digest, a.at, to), to - a.at);
    a.at = to;
    if (a.at < a.length) return;
    active.delete(a);
    a.sink.end(a.length === a.job.maxTokens ? 'length' : 'stop');
  }

  // Reports are as old as the lag: what is told is what was so that long ago.
  function report(): WorkerReport {
    const now = w.now();
    told.push({ at: now, r: fresh() });
    const due = told.filter((t) => t.at <= now - o.reportLagUs);
    const r = due.at(-1)?.r ?? told[0]!.r;
    told = told.filter((t) => t.at > now - 2 * o.reportLagUs - 1_000_000);
    if (faults.badReport === true) return { ...r, queued: -5, kv_used: 7 };
    return r;
  }
  function fresh(): WorkerReport {
    return {
      queued: queue.length,
      active: active.size + (busy ? 1 : 0),
      kv_used: Math.min(1, kvLive() / o.kvTokens),
      part,
      incarnation: o.incarnation,
      fence,
    };
  }

  function order(epoch: number, p: WorkerStage | ''): boolean {
    if (epoch < fence) {
      w.log(6002, { epoch, fence });
      return false;
    }
    fence = epoch;
    if (p !== '' && p !== part) {
      part = p;
      w.log(6001, { part, epoch });
    }
    return true;
  }

  function lapse(): void {
    for (const x of held.values()) x.cancel();
    held.clear();
  }

  return {
    prefill,
    admitDecode: admit,
    decode,
    consumeHandle: take,
    report,
    setStage: order,
    expireHandles: lapse,
    faults,
    runs: () => runs,
    part: () => part,
    idle: () => ({ active: active.size + (busy ? 1 : 0) + held.size, queued: queue.length }),
  };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('refuses an order of an older epoch and obeys one of the same or a newer', () => {
    const c = createWorkerCore(
      { now: () => micros(0), after: () => () => undefined, log: () => undefined },
      { ...workerDefaults, worker: 'w', incarnation: 1 },
    );
    expect(c.setStage(5, 'decode')).toBe(true);
    expect(c.setStage(4, 'prefill')).toBe(false);
    expect(c.part()).toBe('decode');
    expect(c.setStage(6, '')).toBe(true);
    expect(c.setStage(5, 'prefill')).toBe(false);
    expect(c.setStage(6, 'prefill')).toBe(true);
  });
  it('gives held memory only to the request, prompt and incarnation it was made for, and once', () => {
    const later: (() => void)[] = [];
    const c = createWorkerCore(
      {
        now: () => micros(0),
        after: (_, f) => {
          later.push(f);
          return () => undefined;
        },
        log: () => undefined,
      },
      { ...workerDefaults, worker: 'w', incarnation: 3 },
    );
    let h: KvHandle | undefined;
    c.prefill({ request: 'r1', prompt: 'a b c', maxTokens: 4 }, (a) => {
      if (a.tag === 'done') h = a.handle;
    });
    later[0]!();
    expect(c.consumeHandle({ ...h!, request: 'r2' })).toBe('memory_foreign');
    expect(c.consumeHandle({ ...h!, digest: promptDigest('a b d') })).toBe('memory_foreign');
    expect(c.consumeHandle({ ...h!, incarnation: 2 })).toBe('memory_lapsed');
    expect(c.consumeHandle(h!)).toBeUndefined();
    expect(c.consumeHandle(h!)).toBe('memory_lapsed');
    expect(c.admitDecode({ request: 'r2', prompt: 'a b c', maxTokens: 4 }, h!)).toBe('memory_foreign');
  });
}
