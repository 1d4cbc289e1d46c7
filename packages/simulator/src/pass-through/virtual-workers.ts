/**
 * The workers of a virtual day and the platform's list of them, which runs behind. Every start is a new life with a
 * new id; addresses are used again, also by workers of a service that no path names.
 */
import type { ListedWorker } from '@tansypost/control-feed';
import { usualEngine } from './engine-shape.js';
import { asideService, mainService, type ServiceShape } from './passed-deployment.js';
import { createPlainLife } from './plain-worker.js';
import { sleep, type Ground } from './ground.js';
import {
  createWorkerLife,
  type LifeOptions,
  type Mischief,
  type WorkerCall,
  type WorkerLife,
} from './virtual-worker.js';

export interface VirtualWorkers {
  readonly lifeAt: (address: string) => WorkerLife | undefined;
  readonly machineAt: (address: string) => string;
  // The list as it shows now.
  readonly list: () => readonly ListedWorker[];
  readonly lives: (service?: string) => readonly WorkerLife[];
  readonly crash: (w: WorkerLife, back: boolean, power: boolean) => void;
  readonly release: (service: string) => Promise<void>;
  /** Leaves in order, and nobody comes for it. */
  readonly withdraw: (w: WorkerLife) => void;
  readonly mischief: { kind: Mischief; share: number; readonly more: { slowMoves: number; handleTtl: number } };
}
interface Entry {
  readonly life: WorkerLife;
  readonly from: number;
  leaving: number;
  until: number;
}
const listedAfterCrash = 3_000_000;
const drain = 3_000_000;
const usedAgain = 2_000_000;

export function createVirtualWorkers(g: Ground): VirtualWorkers {
  const { engine: e, d, random } = g;
  const at = new Map<string, WorkerLife>();
  const machines = new Map<string, string>();
  const entries: Entry[] = [];
  const lag = 200_000 + random() * 600_000;
  const lastUse = new Map<string, number>();
  const mischief = {
    kind: 'none' as Mischief,
    share: 0,
    more: { slowMoves: 1, handleTtl: 5_000_000 },
  };
  let ids = 0;
  let addresses = 0;

  function began(c: WorkerCall, life: () => WorkerLife, run: string, memoryOf: string | undefined): void {
    const o = life().o;
    g.h.runs.push({
      at: e.now(),
      request: c.request,
      run,
      worker: o.id,
      service: o.service,
      kvSourceRequest: memoryOf,
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
    const shape = d.services?.find((each) => each.name === service);
    const engine = shape?.engine ?? usualEngine(d.kvTokens);
    const id = `i${ids}`;
    const machine = `w${address.split(':')[0]}`;
    machines.set(address, machine);
    g.silent.delete(machine);
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
      mischief: () => (random() < mischief.share ? mischief.kind : 'none'),
      moveTime: (from, tokens) => {
        const m = machines.get(from) ?? '';
        if (g.network.isBlocked(machine, m) || g.network.isBlocked(m, machine)) return undefined;
        return (
          ((tokens * engine.tokenBytes * 8) / engine.linkMbps) *
          (at.get(from)?.o.zone === zone ? 1 : 2) *
          mischief.more.slowMoves
        );
      },
      lifeAt: (a) => at.get(a),
      began: (c, run, memoryOf) => began(c, () => life, run, memoryOf),
      reads: (c, known) => noteReading(c, known),
      moved: (tokens) => {
        g.h.costs.moved += tokens;
      },
    };
    const life: WorkerLife =
      shape?.plain === undefined
        ? createWorkerLife(e, random, options)
        : createPlainLife(e, random, options, shape.plain);
    at.set(address, life);
    entries.push({ life, from: e.now(), leaving: Infinity, until: Infinity });
    return life;
  }
  function fresh(): string {
    addresses += 1;
    return `a${addresses}:80`;
  }
  function entry(w: WorkerLife): Entry {
    return entries.find((x) => x.life === w)!;
  }

  const usual = { prefillShare: 0.5, slow: [] };
  const services = d.services ?? [
    { ...usual, name: mainService, workers: d.workers },
    { ...usual, name: asideService, workers: d.asideWorkers },
  ];
  for (const shape of services)
    for (let i = 0; i < shape.workers; i += 1) {
      const reads = Math.ceil((i + 1) * shape.prefillShare) > Math.ceil(i * shape.prefillShare);
      start(fresh(), shape.name, d.zones[i % d.zones.length]!, reads ? 'prefill' : 'decode', slowOf(shape, i));
    }

  /** Turns through the list, so that zones and parts get all of them. */
  function slowOf(shape: Pick<ServiceShape, 'slow' | 'prefillShare'>, i: number): number | undefined {
    if (shape.slow.length === 0) return undefined;
    const turn = Math.floor(i / d.zones.length) + Math.floor(i * shape.prefillShare) + i;
    return shape.slow[turn % shape.slow.length];
  }

  /** Shared parts that are read though some worker read them a short time ago cost. */
  function noteReading(c: WorkerCall, known: number): void {
    const { costs } = g.h;
    costs.read += c.promptTokens - known;
    let before = 0;
    for (const part of c.parts.slice(0, -1)) {
      const isRead = before >= known;
      before += part.tokens;
      const last = lastUse.get(part.id) ?? -Infinity;
      if (isRead && e.now() - last < (d.rereadWindow ?? Infinity)) costs.reread += part.tokens;
      lastUse.set(part.id, e.now());
    }
  }

  function end(w: WorkerLife, listedUntil: number): void {
    const x = entry(w);
    x.until = listedUntil;
    const shown = Math.min(x.leaving, x.until) + lag;
    if (!g.h.leavingVisibleAt.has(w.o.id)) g.h.leavingVisibleAt.set(w.o.id, shown);
    w.crash();
  }

  function crash(w: WorkerLife, back: boolean, power: boolean): void {
    if (!w.alive()) return;
    if (power) g.silent.add(w.o.machine);
    end(w, e.now() + listedAfterCrash);
    const { address, service, zone, part } = w.o;
    const { slow } = w.o;
    const same = d.services === undefined ? undefined : slow;
    if (back) e.at(e.now() + 500_000 + random() * 2_000_000, () => start(address, service, zone, part, same));
  }

  // It is shown as leaving, serves on for a while, and ends.
  function leave(w: WorkerLife, ended: () => void): void {
    entry(w).leaving = e.now();
    g.h.leavingVisibleAt.set(w.o.id, e.now() + lag);
    e.at(e.now() + drain + lag + 800_000, () => {
      if (!w.alive()) return;
      end(w, e.now());
      ended();
    });
  }
  function withdraw(w: WorkerLife): void {
    if (w.alive() && entry(w).leaving === Infinity) leave(w, () => undefined);
  }

  // One after the other: another starts, the old one leaves, ends, and its address may go to a stranger.
  async function release(service: string): Promise<void> {
    for (const w of lives(service)) {
      if (!w.alive()) continue;
      start(fresh(), service, w.o.zone, w.o.part, d.services === undefined ? undefined : w.o.slow);
      await sleep(g, 300_000 + random() * 700_000);
      if (w.alive()) leave(w, () => addressMayGo(w));
    }
  }
  function addressMayGo(w: WorkerLife): void {
    if (random() >= 0.5) return;
    e.at(e.now() + usedAgain, () => {
      if (at.get(w.o.address) === w) start(w.o.address, 'stranger', w.o.zone, w.o.part);
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
    const t = e.now() - lag;
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
    lifeAt: (a) => at.get(a),
    machineAt: (a) => machines.get(a) ?? '',
    list,
    lives,
    crash,
    release,
    withdraw,
    mischief,
  };
}
