/**
 * The workers of a simulated run and the platform's worker list, which lags behind. Every start is a new incarnation with
 * a new id. Addresses are reused, also by workers of a service that no route names.
 */
import type { ListedWorker } from '@tansypost/control-feed';
import { defaultEngine } from './engine-shape.js';
import { asideService, mainService, type ServiceShape } from './passed-deployment.js';
import { createPlainWorker } from './plain-worker.js';
import { sleep, type Ground } from './ground.js';
import {
  createWorkerLife,
  type LifeOptions,
  type WorkerFault,
  type WorkerCall,
  type WorkerLife,
} from './virtual-worker.js';

export interface VirtualWorkers {
  readonly lifeAt: (address: string) => WorkerLife | undefined;
  readonly machineAt: (address: string) => string;
  // The worker list as currently shown by the platform.
  readonly list: () => readonly ListedWorker[];
  readonly lives: (service?: string) => readonly WorkerLife[];
  readonly crash: (worker: WorkerLife, restarts: boolean, power: boolean) => void;
  readonly rollOut: (service: string) => Promise<void>;
  /** Retires the worker gracefully without a replacement. */
  readonly withdraw: (worker: WorkerLife) => void;
  readonly faultInjection: {
    kind: WorkerFault;
    share: number;
    readonly more: { slowMoves: number; handleTtl: number };
  };
}
interface WorkerEntry {
  readonly life: WorkerLife;
  readonly from: number;
  leaving: number;
  until: number;
}
const listedAfterCrashUs = 3_000_000;
const drainUs = 3_000_000;
const addressReuseDelayUs = 2_000_000;

export function createVirtualWorkers(ground: Ground): VirtualWorkers {
  const { engine: e, d: deployment, random } = ground;
  const lifeByAddress = new Map<string, WorkerLife>();
  const machineByAddress = new Map<string, string>();
  const entries: WorkerEntry[] = [];
  const listLagUs = 200_000 + random() * 600_000;
  const lastUse = new Map<string, number>();
  const mischief = {
    kind: 'none' as WorkerFault,
    share: 0,
    more: { slowMoves: 1, handleTtl: 5_000_000 },
  };
  let ids = 0;
  let addresses = 0;

  function recordRun(c: WorkerCall, life: () => WorkerLife, run: string, kvSourceRequest: string | undefined): void {
    const o = life().o;
    ground.h.runs.push({
      at: e.now(),
      request: c.request,
      run,
      worker: o.id,
      service: o.service,
      kvSourceRequest,
    });
  }

  function start(
    address: string,
    service: string,
    zone: string,
    part: 'prefill' | 'decode',
    slow?: number,
  ): WorkerLife {
    ids += 1;
    const shape = deployment.services?.find((each) => each.name === service);
    const engine = shape?.engine ?? defaultEngine(deployment.kvTokens);
    const id = `i${ids}`;
    const machine = `w${address.split(':')[0]}`;
    machineByAddress.set(address, machine);
    ground.silent.delete(machine);
    const options: LifeOptions = {
      id,
      address,
      machine,
      service,
      zone,
      part,
      engine,
      handleTtl: () => mischief.more.handleTtl,
      slow: slow ?? 0.9 + 0.5 * random(),
      fault: () => (random() < mischief.share ? mischief.kind : 'none'),
      transferTime: (from, tokens) => {
        const m = machineByAddress.get(from) ?? '';
        if (ground.network.isBlocked(machine, m) || ground.network.isBlocked(m, machine)) return undefined;
        return (
          ((tokens * engine.tokenBytes * 8) / engine.linkMbps) *
          (lifeByAddress.get(from)?.o.zone === zone ? 1 : 2) *
          mischief.more.slowMoves
        );
      },
      lifeAt: (a) => lifeByAddress.get(a),
      onRunStarted: (c, run, kvSourceRequest) => recordRun(c, () => life, run, kvSourceRequest),
      onPrefill: (c, known) => recordPrefill(c, known),
      onKvMoved: (tokens) => {
        ground.h.costs.moved += tokens;
      },
    };
    const life: WorkerLife =
      shape?.plain === undefined
        ? createWorkerLife(e, random, options)
        : createPlainWorker(e, random, options, shape.plain);
    lifeByAddress.set(address, life);
    entries.push({ life, from: e.now(), leaving: Infinity, until: Infinity });
    return life;
  }
  function newAddress(): string {
    addresses += 1;
    return `a${addresses}:80`;
  }
  function entry(worker: WorkerLife): WorkerEntry {
    return entries.find((x) => x.life === worker)!;
  }

  const defaults = { prefillShare: 0.5, slow: [] };
  const services = deployment.services ?? [
    { ...defaults, name: mainService, workers: deployment.workers },
    { ...defaults, name: asideService, workers: deployment.asideWorkers },
  ];
  for (const shape of services)
    for (let i = 0; i < shape.workers; i += 1) {
      const reads = Math.ceil((i + 1) * shape.prefillShare) > Math.ceil(i * shape.prefillShare);
      start(
        newAddress(),
        shape.name,
        deployment.zones[i % deployment.zones.length]!,
        reads ? 'prefill' : 'decode',
        slowOf(shape, i),
      );
    }

  /** Cycles through the slowdown factors such that workers of every zone and stage get all of them. */
  function slowOf(shape: Pick<ServiceShape, 'slow' | 'prefillShare'>, i: number): number | undefined {
    if (shape.slow.length === 0) return undefined;
    const turn = Math.floor(i / deployment.zones.length) + Math.floor(i * shape.prefillShare) + i;
    return shape.slow[turn % shape.slow.length];
  }

  /** Records prefilled tokens, and as recomputed those of shared segments that some worker prefilled a short time ago. */
  function recordPrefill(c: WorkerCall, known: number): void {
    const { costs } = ground.h;
    costs.read += c.promptTokens - known;
    let before = 0;
    for (const part of c.segments.slice(0, -1)) {
      const isRead = before >= known;
      before += part.tokens;
      const last = lastUse.get(part.id) ?? -Infinity;
      if (isRead && e.now() - last < (deployment.rereadWindow ?? Infinity)) costs.reread += part.tokens;
      lastUse.set(part.id, e.now());
    }
  }

  function end(worker: WorkerLife, listedUntil: number): void {
    const x = entry(worker);
    x.until = listedUntil;
    const shown = Math.min(x.leaving, x.until) + listLagUs;
    if (!ground.h.leavingVisibleAt.has(worker.o.id)) ground.h.leavingVisibleAt.set(worker.o.id, shown);
    worker.crash();
  }

  function crash(worker: WorkerLife, back: boolean, power: boolean): void {
    if (!worker.alive()) return;
    if (power) ground.silent.add(worker.o.machine);
    end(worker, e.now() + listedAfterCrashUs);
    const { address, service, zone, part } = worker.o;
    const { slow } = worker.o;
    const same = deployment.services === undefined ? undefined : slow;
    if (back) e.at(e.now() + 500_000 + random() * 2_000_000, () => start(address, service, zone, part, same));
  }

  // The worker is listed as leaving, serves until the drain time is over, and ends.
  function retire(worker: WorkerLife, ended: () => void): void {
    entry(worker).leaving = e.now();
    ground.h.leavingVisibleAt.set(worker.o.id, e.now() + listLagUs);
    e.at(e.now() + drainUs + listLagUs + 800_000, () => {
      if (!worker.alive()) return;
      end(worker, e.now());
      ended();
    });
  }
  function withdraw(worker: WorkerLife): void {
    if (worker.alive() && entry(worker).leaving === Infinity) retire(worker, () => undefined);
  }

  // Rolling replacement: a new worker starts, then the old one drains and ends; another service may get its address.
  async function rollOut(service: string): Promise<void> {
    for (const worker of lives(service)) {
      if (!worker.alive()) continue;
      start(
        newAddress(),
        service,
        worker.o.zone,
        worker.o.part,
        deployment.services === undefined ? undefined : worker.o.slow,
      );
      await sleep(ground, 300_000 + random() * 700_000);
      if (worker.alive()) retire(worker, () => maybeReuseAddress(worker));
    }
  }
  function maybeReuseAddress(worker: WorkerLife): void {
    if (random() >= 0.5) return;
    e.at(e.now() + addressReuseDelayUs, () => {
      if (lifeByAddress.get(worker.o.address) === worker)
        start(worker.o.address, 'stranger', worker.o.zone, worker.o.part);
    });
  }

  function lives(service?: string): WorkerLife[] {
    return entries
      .filter(
        (x) => x.life.alive() && x.leaving === Infinity && (service === undefined || x.life.o.service === service),
      )
      .map((x) => x.life);
  }

  function list(): ListedWorker[] {
    const t = e.now() - listLagUs;
    return entries
      .filter((x) => x.from <= Math.max(0, t) && t < x.until)
      .map((x) => ({
        id: x.life.o.id,
        service: x.life.o.service,
        address: x.life.o.address,
        zone: x.life.o.zone,
        slots: x.life.o.engine.slots,
        leaving: x.leaving <= t,
        coldMs: 0,
        part: x.life.part(),
      }));
  }
  return {
    lifeAt: (a) => lifeByAddress.get(a),
    machineAt: (a) => machineByAddress.get(a) ?? '',
    list,
    lives,
    crash,
    rollOut,
    withdraw,
    faultInjection: mischief,
  };
}
