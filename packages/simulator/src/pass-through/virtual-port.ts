/**
 * The way from one life of a router to the virtual workers: connections that are kept and go stale, bytes that a cut
 * holds up and that are lost once their sender has closed, answers that are not those asked for. As a real way to
 * workers does, it claims that nothing ran only where no byte was sent or the worker says so.
 */
import type {
  FleetWorker,
  IncomingRequest,
  PrefillResult,
  RunResult,
  ResponseSink,
  RunParameters,
  WorkerPort,
} from '@tansypost/pass-through';
import type { Engine } from '../engine.js';
import type { Network } from '../network.js';
import { deliver, type SimProcess } from '../process.js';
import { createPipe } from './pipe.js';
import type { ArrivalRecord } from './passed-history.js';
import type { WorkerCall, WorkerLife } from './virtual-worker.js';

export interface VirtualPortOptions {
  readonly proc: SimProcess;
  readonly net: Network;
  readonly random: () => number;
  readonly lifeAt: (address: string) => WorkerLife | undefined;
  // Who had the address last: a machine that is silent keeps a connection hanging.
  readonly machineAt: (address: string) => string;
  readonly silentMachine: (machine: string) => boolean;
  readonly arrived: (a: ArrivalRecord) => void;
  readonly streaming: (q: IncomingRequest) => boolean;
  // How often a new connection is reset.
  readonly resets: () => number;
}
interface Connection {
  readonly life: WorkerLife;
  surplus: boolean;
}
interface Ended {
  readonly tag: 'complete' | 'unsent' | 'broken';
  readonly why: string;
}
const connectPatience = 300_000;

export function createVirtualPort(e: Engine, o: VirtualPortOptions): WorkerPort {
  const { proc, net, random } = o;
  const incarnation = proc.incarnation;
  const me = proc.machine;
  const idle = new Map<string, Connection[]>();

  function call(
    w: FleetWorker,
    q: IncomingRequest,
    c: Omit<WorkerCall, 'closed' | 'taken' | 'head' | 'data' | 'end' | 'reset' | 'target' | 'request'>,
    head: (id: string, status: number, unrun: boolean) => boolean,
    data: (b: Buffer) => void | Promise<void>,
    gone: AbortSignal,
  ): Promise<Ended> {
    return new Promise((done) => {
      let [sent, over] = [false, false];
      let conn: Connection | undefined;
      let callOpen: WorkerCall | undefined;
      const inbox: (() => void | Promise<void>)[] = [];
      let handling = false;
      const sentAt = e.now();

      function end(x: Ended): void {
        if (over) return;
        over = true;
        gone.removeEventListener('abort', stop);
        proc.exitHandlers.delete(died);
        done(x);
      }
      function close(): void {
        const k = callOpen;
        if (k === undefined || conn === undefined) return;
        k.closed = true;
        const { life } = conn;
        createPipe(e, net, me, life.o.machine)(() => life.closed(k));
      }
      function stop(): void {
        if (over) return;
        close();
        end({ tag: sent ? 'broken' : 'unsent', why: 'left' });
      }
      function died(): void {
        over = true;
        close();
      }
      function handle(f: () => void | Promise<void>): void {
        inbox.push(f);
        if (!handling) drain();
      }
      function drain(): void {
        const f = inbox.shift();
        if (f === undefined || over) return;
        const x = f();
        if (x === undefined) return drain();
        handling = true;
        void x.then(() => {
          handling = false;
          drain();
        });
      }

      function connect(): void {
        const life = o.lifeAt(w.address);
        const machine = o.machineAt(w.address);
        const rtt = net.latency(me, machine) + net.latency(machine, me);
        const silent = net.isBlocked(me, machine) || net.isBlocked(machine, me) || o.silentMachine(machine);
        const reset = life === undefined || !life.alive() || random() < o.resets();
        const after = silent ? connectPatience : rtt + 1000;
        e.at(e.now() + after, () =>
          deliver(proc, incarnation, () => {
            if (over) return;
            if (silent || reset) return end({ tag: 'unsent', why: silent ? 'no connection in time' : 'reset' });
            conn = { life: life!, surplus: false };
            send(conn);
          }),
        );
      }
      function send(k: Connection): void {
        sent = true;
        const { life } = k;
        const there = createPipe(e, net, me, life.o.machine);
        const back = createPipe(e, net, life.o.machine, me);
        function toRouter(f: () => void | Promise<void>): void {
          back(() => deliver(proc, incarnation, () => handle(f)));
        }
        const wc: WorkerCall = {
          ...c,
          request: q.id,
          target: w.id,
          closed: false,
          taken: () => {
            a.wasAccepted = true;
          },
          head: (id, status, unrun) => {
            if (status === 421) a.wasMisdirected = true;
            toRouter(() => {
              if (!head(k.surplus ? 'another' : id, status, unrun)) {
                close();
                end({ tag: 'broken', why: 'not its answer' });
              }
            });
          },
          data: (b) => toRouter(() => data(b)),
          end: (surplus) =>
            toRouter(() => {
              k.surplus = surplus;
              if (life.alive()) idle.set(w.address, [...(idle.get(w.address) ?? []), k]);
              end({ tag: 'complete', why: '' });
            }),
          reset: () => {
            // A worker that died with its machine says nothing.
            if (!o.silentMachine(life.o.machine)) toRouter(() => end({ tag: 'broken', why: 'reset' }));
          },
        };
        callOpen = wc;
        const a: ArrivalRecord = {
          at: 0,
          sentAt,
          request: q.id,
          doing: c.doing,
          worker: life.o.id,
          service: life.o.service,
          router: me,
          tenant: q.tenant,
          gotCredentials: q.credentialHeaders !== undefined,
          wasMisdirected: false,
          wasAccepted: false,
        };
        there(() => {
          // What a cut held up is lost once its sender has closed.
          if (wc.closed && random() < 0.8) return;
          if (!life.alive()) return wc.reset();
          const seen = Object.assign(a, { at: e.now() });
          o.arrived(seen);
          life.accept(wc);
        });
      }

      if (gone.aborted) return end({ tag: 'unsent', why: 'left' });
      gone.addEventListener('abort', stop, { once: true });
      proc.exitHandlers.add(died);
      const free = idle.get(w.address)?.filter((k) => k.life.alive() || random() < 0.1) ?? [];
      conn = free.pop();
      idle.set(w.address, free);
      if (conn === undefined) connect();
      else send(conn);
    });
  }

  async function read(
    w: FleetWorker,
    q: IncomingRequest,
    left: number,
    urgency: number | undefined,
    gone: AbortSignal,
  ): Promise<PrefillResult> {
    let [status, unrun, handle] = [0, false, ''];
    const x = await call(
      w,
      q,
      {
        doing: 'read',
        promptTokens: q.promptTokens,
        answerTokens: q.maxOutputTokens,
        parts: q.promptSegments,
        left,
        urgency: urgency ?? 5,
        streaming: true,
        lastEvent: 0,
        from: undefined,
      },
      (id, s, u) => {
        [status, unrun] = [s, u];
        return id === q.id;
      },
      (b) => {
        handle += b.toString();
      },
      gone,
    );
    if (x.tag === 'unsent') return { tag: 'unsent', reason: x.why };
    if (x.tag === 'broken') return { tag: 'unknown', reason: x.why };
    if (unrun) return { tag: 'refused', reason: `${status}`, misdirected: status === 421 };
    if (status !== 200) return { tag: 'unknown', reason: `${status}` };
    return { tag: 'read', kvHandle: handle, tokens: q.promptTokens };
  }

  async function run(
    w: FleetWorker,
    q: IncomingRequest,
    t: RunParameters,
    sink: ResponseSink,
    gone: AbortSignal,
  ): Promise<RunResult> {
    let [status, unrun, known] = [0, false, false];
    const parts: Buffer[] = [];
    const x = await call(
      w,
      q,
      {
        doing: 'run',
        promptTokens: q.promptTokens,
        answerTokens: q.maxOutputTokens,
        parts: q.promptSegments,
        left: t.remainingTime,
        urgency: t.urgency ?? 5,
        streaming: o.streaming(q),
        lastEvent: t.lastEventId ?? 0,
        from:
          t.kvSource === undefined ? undefined : { address: t.kvSource.worker.address, handle: t.kvSource.kvHandle },
      },
      (id, s, u) => {
        if (id !== q.id) return false;
        [status, unrun, known] = [s, u, true];
        if (s < 300) sink.head({ status: s, headers: ['X-Worker', w.id] });
        return true;
      },
      (b) => {
        if (status < 300) return sink.chunk(b);
        parts.push(b);
        return undefined;
      },
      gone,
    );
    if (x.tag === 'unsent') return { tag: 'unsent', reason: x.why };
    if (!known || x.tag === 'broken') return { tag: 'unknown', reason: x.why };
    if (status < 300) return { tag: 'whole' };
    const answer = { status, headers: [], body: Buffer.concat(parts) };
    if (unrun) return { tag: 'refused', reason: `${status}`, misdirected: status === 421, response: answer };
    return { tag: 'failed', response: answer };
  }

  function free(w: FleetWorker, handle: string): void {
    const life = o.lifeAt(w.address);
    if (life !== undefined) createPipe(e, net, me, life.o.machine)(() => life.free(handle));
  }
  return { prefill: read, run, freeKv: free };
}
