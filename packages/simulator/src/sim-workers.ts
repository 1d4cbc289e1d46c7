/**
 * Simulated workers: the stand-in's own core in a simulated process, and the routers' way to it. A send into a
 * cut or to a frozen worker may still arrive much later and run; what the router was told meanwhile is for
 * the checks to judge.
 */
import type { WorkerStateEntry } from '@tansypost/inner-protocol';
import type {
  DecodeResult,
  KvTransferParams,
  PrefillResult,
  WorkerRequest,
  WorkerClient,
} from '@tansypost/request-router';
import type { FetchedReport } from '@tansypost/router-agent';
import {
  createWorkerCore,
  workerDefaults,
  type KvHandle,
  type WorkerStage,
  type WorkerCore,
} from '@tansypost/worker-stand-in';
import type { Engine } from './engine.js';
import type { History } from './history.js';
import type { Network } from './network.js';
import { createSimProcess, killProcess, deliver, createProcessWorld, type SimProcess } from './process.js';

export interface SimWorker {
  readonly name: string;
  readonly proc: SimProcess;
  readonly pace: number;
  core: WorkerCore;
  incarnation: number;
  dark: boolean;
}
export interface SimWorkers {
  readonly all: SimWorker[];
  readonly portFor: (p: SimProcess, incarnation: number) => WorkerClient;
  readonly fetchFor: (
    p: SimProcess,
    incarnation: number,
  ) => (m: WorkerStateEntry) => Promise<FetchedReport | undefined>;
  readonly orderFor: (
    p: SimProcess,
    incarnation: number,
  ) => (m: WorkerStateEntry, epoch: number, part: WorkerStage | '') => Promise<boolean | undefined>;
  readonly start: (w: SimWorker) => void;
  readonly kill: (w: SimWorker) => void;
}

export function createSimWorkers(
  e: Engine,
  net: Network,
  h: History,
  random: () => number,
  count: number,
  paces: readonly number[],
): SimWorkers {
  const memoryOf = new Map<string, string>();
  const all: SimWorker[] = Array.from({ length: count }, (_, i) => ({
    name: `worker${i}`,
    proc: createSimProcess(`worker${i}`, `w${i}`),
    pace: paces[i % paces.length]!,
    core: undefined as unknown as WorkerCore,
    incarnation: 0,
    dark: false,
  }));

  function start(w: SimWorker): void {
    w.proc.alive = true;
    w.incarnation += 1;
    w.dark = false;
    const world = createProcessWorld(
      e,
      w.proc,
      random,
      () => undefined,
      () => undefined,
    );
    const incarnation = w.incarnation;
    w.core = createWorkerCore(world, {
      ...workerDefaults,
      worker: w.name,
      incarnation,
      prefillPace: w.pace,
      stepUs: 8000,
      onRun: (request, what) =>
        h.runs.push({
          at: e.now(),
          request,
          worker: w.name,
          incarnation,
          what,
          memoryOf: what === 'prefill' ? undefined : memoryOf.get(`${w.name}/${request}`),
        }),
    });
  }
  function kill(w: SimWorker): void {
    killProcess(w.proc);
  }

  // Brings f to the worker as a connection would: refused when nobody listens, held or lost in a cut, waiting
  // in a frozen one. `lost` says that no connection came about.
  function reach(p: SimProcess, m: WorkerStateEntry, f: (w: SimWorker) => void, lost: (why: string) => void): void {
    const w = all.find((x) => x.name === m.worker);
    if (w === undefined) return lost('ECONNREFUSED');
    function arrive(): void {
      const incarnation = w!.proc.incarnation;
      if (!w!.proc.alive) return lost('ECONNREFUSED');
      deliver(w!.proc, incarnation, () => {
        if (!w!.dark) f(w!);
      });
    }
    if (net.isBlocked(p.machine, w.proc.machine)) {
      const pooled = random() < 0.6;
      if (!pooled) e.at(e.now() + 1_500_000, () => lost('UND_ERR_CONNECT_TIMEOUT'));
      else if (random() < 0.5) net.onHeal(() => e.at(e.now() + net.latency(p.machine, w.proc.machine), arrive));
      return;
    }
    e.at(e.now() + net.latency(p.machine, w.proc.machine), arrive);
  }

  function back(p: SimProcess, incarnation: number, w: SimWorker, f: () => void): void {
    e.at(e.now() + net.latency(w.proc.machine, p.machine), () => {
      if (net.isBlocked(w.proc.machine, p.machine)) net.onHeal(() => deliver(p, incarnation, f));
      else deliver(p, incarnation, f);
    });
  }

  function portFor(p: SimProcess, incarnation: number): WorkerClient {
    function prefill(m: WorkerStateEntry, j: WorkerRequest, signal: AbortSignal): Promise<PrefillResult> {
      return new Promise((ok) => {
        let off: (() => void) | undefined;
        let dead: (() => void) | undefined;
        function done(r: PrefillResult): void {
          dead?.();
          ok(r);
        }
        signal.addEventListener('abort', () => {
          done({ tag: 'unknown', reason: 'aborted' });
          e.at(e.now() + 1000, () => off?.());
        });
        if (signal.aborted) return done({ tag: 'unknown', reason: 'aborted' });
        reach(
          p,
          m,
          (w) => {
            if (m.incarnation !== w.incarnation)
              return back(p, incarnation, w, () => done({ tag: 'notStarted', reason: 'other_incarnation' }));
            if (signal.aborted && random() < 0.5) return;
            function broke(): void {
              back(p, incarnation, w, () => done({ tag: 'unknown', reason: 'ECONNRESET' }));
            }
            w.proc.exitHandlers.add(broke);
            dead = () => {
              w.proc.exitHandlers.delete(broke);
            };
            off = w.core.prefill({ request: j.request, prompt: j.prompt, maxTokens: j.maxTokens }, (a) => {
              if (a.tag === 'refused') return back(p, incarnation, w, () => done({ tag: 'notStarted', reason: a.why }));
              const x = a.handle;
              back(p, incarnation, w, () =>
                done({
                  tag: 'done',
                  handle: {
                    remote_engine_id: x.worker,
                    remote_block_ids: [x.id],
                    remote_host: w.name,
                    remote_port: 1,
                    request_id: x.request,
                    prompt_digest: x.digest,
                    incarnation: x.incarnation,
                  },
                }),
              );
            });
          },
          (why) => deliver(p, incarnation, () => done({ tag: 'notStarted', reason: why })),
        );
      });
    }

    function decode(
      m: WorkerStateEntry,
      j: WorkerRequest,
      hp: KvTransferParams,
      chunk: (t: string) => void,
      signal: AbortSignal,
    ): Promise<DecodeResult> {
      return new Promise((ok) => {
        let off: (() => void) | undefined;
        let dead: (() => void) | undefined;
        let over = false;
        let order = 0;
        function done(r: DecodeResult): void {
          if (over) return;
          over = true;
          dead?.();
          ok(r);
        }
        signal.addEventListener('abort', () => {
          done({ tag: 'unknown', reason: 'aborted' });
          e.at(e.now() + 1000, () => off?.());
        });
        if (signal.aborted) return done({ tag: 'unknown', reason: 'aborted' });
        const hd: KvHandle = {
          id: hp.remote_block_ids[0] ?? '',
          worker: hp.remote_engine_id,
          incarnation: hp.incarnation,
          request: hp.request_id,
          digest: hp.prompt_digest,
        };
        const job = { request: j.request, prompt: j.prompt, maxTokens: j.maxTokens };
        reach(
          p,
          m,
          (w) => {
            if (m.incarnation !== w.incarnation)
              return back(p, incarnation, w, () => done({ tag: 'notStarted', reason: 'other_incarnation' }));
            const no = w.core.admitDecode(job, hd);
            if (no !== undefined)
              return back(p, incarnation, w, () =>
                done(no.startsWith('memory') ? { tag: 'lapsed', reason: no } : { tag: 'notStarted', reason: no }),
              );
            const wgen = w.proc.incarnation;
            function broke(): void {
              back(p, incarnation, w, () => done({ tag: 'unknown', reason: 'ECONNRESET' }));
            }
            w.proc.exitHandlers.add(broke);
            dead = () => {
              w.proc.exitHandlers.delete(broke);
            };
            takeFrom(w, hd, (why, of) =>
              deliver(w.proc, wgen, () => {
                if (why !== undefined) return back(p, incarnation, w, () => done({ tag: 'lapsed', reason: why }));
                if (signal.aborted && random() < 0.8) return;
                memoryOf.set(`${w.name}/${j.request}`, of!);
                // A stream keeps its order: each piece arrives after the one before.
                function piece(f: () => void): void {
                  order = Math.max(e.now() + net.latency(w.proc.machine, p.machine), order + 1);
                  e.at(order, () => {
                    if (net.isBlocked(w.proc.machine, p.machine))
                      return net.onHeal(() =>
                        deliver(p, incarnation, () => {
                          if (!over) done({ tag: 'unknown', reason: 'cut' });
                        }),
                      );
                    deliver(p, incarnation, () => {
                      if (!over) f();
                    });
                  });
                }
                off = w.core.decode(job, hd, {
                  chunk: (t) => piece(() => void chunk(t)),
                  end: (finish) => piece(() => done({ tag: 'done', finish })),
                  abort: () => piece(() => done({ tag: 'unknown', reason: 'broke off' })),
                });
              }),
            );
          },
          (why) => deliver(p, incarnation, () => done({ tag: 'notStarted', reason: why })),
        );
      });
    }
    return { prefill, decode };
  }

  function takeFrom(w: SimWorker, hd: KvHandle, done: (why: string | undefined, of?: string) => void): void {
    const from = all.find((x) => x.name === hd.worker)!;
    const l = from === w ? 0 : net.latency(w.proc.machine, from.proc.machine);
    if (net.isBlocked(w.proc.machine, from.proc.machine) || !from.proc.alive || from.dark || from.proc.frozen)
      return e.at(e.now() + 2_000_000, () => done('memory_lapsed'));
    e.at(e.now() + l, () => {
      if (!from.proc.alive) return done('memory_lapsed');
      const why = from.core.consumeHandle(hd);
      e.at(e.now() + l, () => done(why, hd.request));
    });
  }

  function fetchFor(p: SimProcess, incarnation: number): (m: WorkerStateEntry) => Promise<FetchedReport | undefined> {
    return function fetch(m) {
      h.probes.push(e.now());
      return new Promise((ok) => {
        e.at(e.now() + 1_500_000, () => deliver(p, incarnation, () => ok(undefined)));
        reach(
          p,
          m,
          (w) => {
            const r = w.core.report();
            back(p, incarnation, w, () => ok(r));
          },
          () => deliver(p, incarnation, () => ok(undefined)),
        );
      });
    };
  }

  function orderFor(
    p: SimProcess,
    incarnation: number,
  ): (m: WorkerStateEntry, epoch: number, part: WorkerStage | '') => Promise<boolean | undefined> {
    return function order(m, epoch, part) {
      return new Promise((ok) => {
        e.at(e.now() + 1_500_000, () => deliver(p, incarnation, () => ok(undefined)));
        reach(
          p,
          m,
          (w) => {
            const obeyed = w.core.setStage(epoch, part);
            h.orders.push({ at: e.now(), worker: `${w.name}/${w.incarnation}`, epoch, part, obeyed, by: p.name });
            back(p, incarnation, w, () => ok(obeyed));
          },
          () => deliver(p, incarnation, () => ok(undefined)),
        );
      });
    };
  }
  return { all, portFor, fetchFor, orderFor, start, kill };
}
