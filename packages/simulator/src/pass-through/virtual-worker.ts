/**
 * One life of a virtual worker: slots, a queue by urgency, prompts read piece by piece between the tokens of others,
 * parts that are kept, memory that can be taken once and lapses, and steps that take longer the more it runs. It may
 * be dark, be slow, refuse, fail, cut, lose or garble its answers. It does not check whose memory a run goes on from.
 */
import type { Engine } from '../engine.js';
import type { EngineShape } from './engine-shape.js';

export interface WorkerCall {
  readonly request: string;
  readonly doing: 'read' | 'run';
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly parts: readonly { readonly id: string; readonly tokens: number }[];
  readonly target: string;
  readonly left: number;
  readonly urgency: number;
  readonly streaming: boolean;
  readonly lastEvent: number;
  readonly from: { readonly address: string; readonly handle: string } | undefined;
  closed: boolean;
  // A read was taken up.
  readonly taken: () => void;
  // `id` is whose answer it is.
  readonly head: (id: string, status: number, unrun: boolean) => void;
  readonly data: (b: Buffer) => void;
  readonly end: (surplus: boolean) => void;
  readonly reset: () => void;
}
export interface Handle {
  readonly id: string;
  readonly request: string;
  readonly tokens: number;
  readonly until: number;
}
/** An order to take up a part. */
export interface OrderCall {
  readonly part: VirtualPart;
  readonly holder: string;
  readonly fence: number;
  readonly ordersTaken: number;
  readonly target: string;
}
export type VirtualPart = 'prefill' | 'decode';
export interface LifeOptions {
  readonly id: string;
  readonly address: string;
  readonly machine: string;
  readonly service: string;
  readonly zone: string;
  /** The part that it begins with. */
  readonly part: VirtualPart;
  readonly engine: EngineShape;
  readonly handleTtl: () => number;
  readonly slow: number;
  // What becomes of an answer.
  readonly mischief: () => Mischief;
  // The microseconds to move that many tokens here, or undefined where the other cannot be reached.
  readonly moveTime: (from: string, tokens: number) => number | undefined;
  readonly lifeAt: (address: string) => WorkerLife | undefined;
  readonly began: (c: WorkerCall, run: string, memoryOf: string | undefined) => void;
  /** A prompt is about to be read, but for so many tokens that are kept; and memory of so many tokens was moved. */
  readonly reads?: (c: WorkerCall, keptTokens: number) => void;
  readonly moved?: (tokens: number) => void;
}
export type Mischief = 'none' | 'cut' | 'foreign' | 'surplus' | 'lost' | 'fail';
export interface WorkerLife {
  readonly o: LifeOptions;
  readonly part: () => VirtualPart;
  /** An order is being carried out. */
  readonly changing: () => boolean;
  readonly ordersTaken: () => number;
  /** Takes an order and gives the status of the answer. */
  readonly order: (call: OrderCall) => number;
  readonly alive: () => boolean;
  readonly accept: (c: WorkerCall) => void;
  readonly closed: (c: WorkerCall) => void;
  readonly free: (handle: string) => void;
  readonly take: (handle: string) => Handle | undefined;
  readonly lapse: () => void;
  readonly crash: () => void;
  readonly dark: (on: boolean) => void;
  readonly isDark: () => boolean;
  readonly load: () => { queued: number; active: number; kvUsed: number; kvTotal: number };
}
interface Job {
  readonly call: WorkerCall;
  readonly at: number;
  readonly due: number;
  readonly mischief: Mischief;
  readonly run: string;
  readonly cutAfter: number;
  need: number;
  /** When its reading may begin. */
  readyAt: number;
  moving: boolean;
  made: number;
  sent: number;
  headSent: boolean;
}
/** How long a worker takes to come back with another part. */
export const switchTime = 1_800_000;
const idleLook = 20_000;

/** Steps under way: tokens for all that run, and a piece of one prompt. */
interface Stepping {
  readonly makers: readonly Job[];
  readonly reader: Job | undefined;
  readonly each: number;
  readonly tokens: number;
  readonly from: number;
}

export function piecesOf(answerTokens: number, stride: number): number {
  return Math.max(1, Math.ceil(answerTokens / stride));
}
export function pieceOf(request: string, run: string, n: number, of: number): string {
  return `id: ${n}\ndata: ${request} ${run} ${n}/${of}\n\n`;
}

export function createWorkerLife(e: Engine, random: () => number, o: LifeOptions): WorkerLife {
  const handles = new Map<string, Handle>();
  const kept = new Map<string, number>();
  let queue: Job[] = [];
  const running = new Set<Job>();
  const { engine } = o;
  let [alive, dark] = [true, false];
  let stepping: Stepping | undefined;
  let wakeAt = Infinity;
  let held: (() => void)[] = [];
  let moveFree = 0;
  let n = 0;
  let part = o.part;
  let changingTo: VirtualPart | undefined;
  let ordersTaken = 0;
  let highestFence = 0;

  function keptOf(c: WorkerCall): number {
    let k = 0;
    for (const p of c.parts) {
      if (!kept.has(p.id)) break;
      k += p.tokens;
    }
    return k;
  }
  function used(): number {
    let k = 0;
    for (const j of running) k += j.call.promptTokens + j.call.answerTokens;
    for (const h of handles.values()) k += h.tokens;
    return k;
  }
  function keep(c: WorkerCall): void {
    for (const p of c.parts) {
      kept.delete(p.id);
      kept.set(p.id, p.tokens);
    }
    let all = used();
    for (const t of kept.values()) all += t;
    for (const [id, t] of kept) {
      if (all <= engine.kvTokens) break;
      kept.delete(id);
      all -= t;
    }
  }

  function refuse(c: WorkerCall, status: number): void {
    c.head(c.request, status, true);
    c.end(false);
  }

  function accept(c: WorkerCall): void {
    if (!alive) return;
    if (dark) return void held.push(() => accept(c));
    // One that was closed while nobody looked is mostly dropped unread.
    if (c.closed && random() < 0.7) return;
    if (c.target !== o.id) return refuse(c, 421);
    if (c.doing === 'read' ? part !== 'prefill' : part !== 'decode') return refuse(c, 421);
    if (changingTo !== undefined) return refuse(c, 503);
    if (queue.length >= engine.queued || c.promptTokens > engine.kvTokens) return refuse(c, 503);
    n += 1;
    if (c.doing === 'read') c.taken();
    queue.push({
      call: c,
      at: e.now(),
      due: e.now() + c.left,
      mischief: o.mischief(),
      run: `${o.id}.${n}`,
      cutAfter: Math.floor(random() * 6),
      need: 0,
      readyAt: 0,
      moving: false,
      made: 0,
      sent: c.lastEvent,
      headSent: false,
    });
    kick();
  }

  function admit(): void {
    if (queue.length === 0) return;
    queue.sort((a, b) => a.call.urgency - b.call.urgency || a.at - b.at);
    while (queue.length > 0 && running.size < engine.slots) {
      const j = queue[0]!;
      if (e.now() > j.due) {
        queue.shift();
        refuse(j.call, 503);
        continue;
      }
      if (running.size > 0 && used() + j.call.promptTokens > engine.kvTokens) return;
      queue.shift();
      if (j.call.from === undefined) {
        const known = keptOf(j.call);
        o.reads?.(j.call, known);
        j.need = Math.max(1, j.call.promptTokens - known);
        j.readyAt = e.now() + engine.firstTime;
        if (j.call.doing === 'run') begin(j, undefined);
        running.add(j);
      } else fetch(j, j.call.from);
    }
  }

  function fetch(j: Job, from: { address: string; handle: string }): void {
    const source = o.lifeAt(from.address);
    const wait = Math.max(0, moveFree - e.now());
    const took = source === undefined || source.isDark() ? undefined : o.moveTime(from.address, j.call.promptTokens);
    if (source === undefined || took === undefined || wait > 2_000_000) return refuse(j.call, 503);
    const h = source.take(from.handle);
    if (h === undefined) return refuse(j.call, 503);
    o.moved?.(j.call.promptTokens);
    moveFree = e.now() + wait + took + engine.moveSetup;
    j.moving = true;
    running.add(j);
    e.at(moveFree, () => {
      if (!alive || !running.has(j)) return;
      j.moving = false;
      keep(j.call);
      begin(j, h.request);
      kick();
    });
  }

  function begin(j: Job, memoryOf: string | undefined): void {
    o.began(j.call, j.run, memoryOf);
    // Some send the head at once, others with the first piece.
    if (n % 2 === 0 && j.mischief !== 'foreign' && j.mischief !== 'lost' && j.mischief !== 'fail') head(j);
  }
  function head(j: Job): void {
    if (j.headSent) return;
    j.headSent = true;
    j.call.head(j.call.request, 200, false);
  }

  function finish(j: Job): void {
    running.delete(j);
  }
  function bad(j: Job): boolean {
    if (j.mischief === 'lost') {
      finish(j);
      j.call.reset();
    } else if (j.mischief === 'fail') {
      finish(j);
      j.call.head(j.call.request, 500, false);
      j.call.data(Buffer.from('it failed'));
      j.call.end(false);
    } else if (j.mischief === 'foreign') {
      finish(j);
      j.call.head('another', 200, false);
      j.call.data(Buffer.from(pieceOf('another', 'x', 1, 9)));
      j.call.end(false);
    } else return false;
    return true;
  }

  function read(j: Job): void {
    keep(j.call);
    if (j.call.doing === 'run') return;
    if (bad(j)) return;
    finish(j);
    if (j.mischief === 'cut') return j.call.reset();
    n += 1;
    const h: Handle = {
      id: `h${o.id}.${n}`,
      request: j.call.request,
      tokens: j.call.promptTokens,
      until: e.now() + o.handleTtl(),
    };
    handles.set(h.id, h);
    e.at(h.until, () => handles.delete(h.id));
    j.call.head(j.call.request, 200, false);
    j.call.data(Buffer.from(h.id));
    j.call.end(j.mischief === 'surplus');
  }

  function make(j: Job, k: number): void {
    j.made += k;
    const all = piecesOf(j.call.answerTokens, engine.stride);
    const begun = j.made >= engine.firstStride ? 1 + Math.floor((j.made - engine.firstStride) / engine.stride) : 0;
    const to = Math.min(all, Math.max(j.call.lastEvent, 0) + begun);
    const done = j.made >= j.call.answerTokens - j.call.lastEvent * engine.stride;
    if (!j.headSent && bad(j)) return;
    for (let i = j.sent + 1; i <= (done ? all : to); i += 1) {
      const s = j.call.streaming ? pieceOf(j.call.request, j.run, i, all) : `${j.call.request} ${j.run} ${i}/${all};`;
      if (j.mischief === 'cut' && i > j.cutAfter) {
        head(j);
        j.call.data(Buffer.from(s.slice(0, Math.floor(random() * s.length))));
        finish(j);
        return j.call.reset();
      }
      head(j);
      const at = Math.floor(random() * s.length);
      if (at % 5 === 0 && at > 0) {
        j.call.data(Buffer.from(s.slice(0, at)));
        j.call.data(Buffer.from(s.slice(at)));
      } else j.call.data(Buffer.from(s));
      j.sent = i;
    }
    if (!done) return;
    head(j);
    finish(j);
    j.call.end(j.mischief === 'surplus');
  }

  function kick(): void {
    if (!alive || dark) return;
    if (stepping === undefined) next();
    else shorten(stepping);
  }

  /** Steps for which nothing was to be read are broken off after the present one, as something may be now. */
  function shorten(steps: Stepping): void {
    if (steps.reader !== undefined || steps.tokens <= 1) return;
    const done = Math.floor((e.now() - steps.from) / steps.each) + 1;
    if (done >= steps.tokens) return;
    startSteps(steps.makers, undefined, 0, steps.each, done, steps.from);
  }

  /** Looks again when the first of those that wait for their reading may begin. */
  function wakeFor(at: number): void {
    if (at >= wakeAt) return;
    wakeAt = at;
    e.at(at, () => {
      if (wakeAt === at) wakeAt = Infinity;
      kick();
    });
  }

  function next(): void {
    stepping = undefined;
    if (!alive || dark) return;
    admit();
    let reader: Job | undefined;
    const makers: Job[] = [];
    for (const j of running) {
      if (j.moving) continue;
      if (j.need <= 0) makers.push(j);
      else if (j.readyAt > e.now()) wakeFor(j.readyAt);
      else if (
        reader === undefined ||
        j.call.urgency < reader.call.urgency ||
        (j.call.urgency === reader.call.urgency && j.at < reader.at)
      )
        reader = j;
    }
    if (reader === undefined && makers.length === 0) return;
    const context = makers.reduce((sum, j) => sum + j.call.promptTokens + j.made, 0);
    const each = (engine.step + engine.stepPerRun * makers.length + engine.stepPerContextToken * context) * o.slow;
    const most = part === 'prefill' ? engine.prefillPiece : engine.decodePiece;
    const piece =
      reader === undefined ? 0 : Math.min(reader.need, makers.length === 0 ? engine.idlePieces * most : most);
    // A prefill worker makes no tokens, so its reading waits for no step of theirs.
    const length = reader === undefined ? each : readingTime(reader, piece) + (part === 'prefill' ? 0 : each);
    startSteps(makers, reader, piece, length, reader === undefined ? stepsAtOnce(makers) : 1, e.now());
  }

  /** As many as no piece of any answer ends in before. */
  function stepsAtOnce(makers: readonly Job[]): number {
    return makers.some((j) => j.made < engine.firstStride) ? engine.firstStride : engine.stride;
  }

  function readingTime(j: Job, piece: number): number {
    const before = j.call.promptTokens - j.need;
    const pairs = piece * (2 * before + piece);
    const half = part === 'prefill' ? 1 : 2;
    return (piece * engine.perToken + pairs * engine.perPair) * half * o.slow;
  }

  function startSteps(
    makers: readonly Job[],
    reader: Job | undefined,
    piece: number,
    each: number,
    tokens: number,
    from: number,
  ): void {
    const steps: Stepping = { makers, reader, each, tokens, from };
    stepping = steps;
    e.at(from + tokens * each, () => {
      // Others have taken its place.
      if (stepping !== steps) return;
      stepping = undefined;
      if (!alive || dark) return;
      for (const j of makers) if (running.has(j)) make(j, tokens);
      if (reader !== undefined && running.has(reader)) {
        reader.need -= piece;
        if (reader.need <= 0) read(reader);
      }
      for (const j of running) if (e.now() > j.due) late(j);
      next();
    });
  }
  function late(j: Job): void {
    if (j.moving) return;
    finish(j);
    if (j.headSent) return j.call.reset();
    j.call.head(j.call.request, 504, false);
    j.call.end(false);
  }

  function closed(c: WorkerCall): void {
    if (!alive) return;
    if (dark) return void held.push(() => closed(c));
    // Most drop it.
    if (random() < 0.15) return;
    queue = queue.filter((j) => j.call !== c);
    for (const j of running) if (j.call === c) running.delete(j);
  }

  function order(call: OrderCall): number {
    if (call.target !== o.id) return 421;
    if (call.fence < highestFence) return 412;
    highestFence = call.fence;
    if (changingTo !== undefined || call.ordersTaken !== ordersTaken) return 409;
    ordersTaken += 1;
    if (call.part === part) return 200;
    changingTo = call.part;
    for (const job of queue.splice(0)) refuse(job.call, 503);
    changeWhenIdle();
    return 202;
  }
  // What runs is let reach its end first.
  function changeWhenIdle(): void {
    if (!alive || changingTo === undefined) return;
    if (running.size > 0) return e.at(e.now() + idleLook, changeWhenIdle);
    e.at(e.now() + switchTime, () => {
      if (!alive || changingTo === undefined) return;
      part = changingTo;
      changingTo = undefined;
    });
  }

  return {
    o,
    part: () => part,
    changing: () => changingTo !== undefined,
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
    lapse: () => handles.clear(),
    crash: () => {
      alive = false;
      const cs = [...queue, ...running].map((j) => j.call);
      queue = [];
      running.clear();
      held = [];
      for (const c of cs) c.reset();
    },
    dark: (on) => {
      dark = on;
      if (on) return;
      const hs = held;
      held = [];
      for (const f of hs) f();
      kick();
    },
    isDark: () => dark,
    load: () => ({ queued: queue.length, active: running.size, kvUsed: used(), kvTotal: engine.kvTokens }),
  };
}
