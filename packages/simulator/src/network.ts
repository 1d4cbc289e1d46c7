/**
 * The simulated links between machines. Messages between two processes keep their order, take a little time, and
 * cross the real codec. A cut, in one direction or both, loses some of what is sent into it and holds the rest
 * until it heals, as TCP does. Slow links add a delay.
 */
import { decoderForOwnSchemas, encodeMessage, type Address, type Message } from '@tansypost/inner-protocol';
import type { Engine } from './engine.js';
import { deliver, type SimProcess } from './process.js';

export interface InterceptedMessage {
  readonly message: Message;
  readonly delayUs?: number;
}
export interface Network {
  readonly add: (a: string, p: SimProcess) => void;
  readonly remove: (a: string) => void;
  readonly process: (a: string) => SimProcess | undefined;
  readonly send: (from: SimProcess, fromAddress: string, to: Address, m: Message) => void;
  readonly isBlocked: (from: string, to: string) => boolean;
  readonly partition: (name: string, f: (from: string, to: string) => boolean) => void;
  readonly heal: (name: string) => void;
  readonly setExtraLatency: (machine: string, us: number) => void;
  /** How long something takes; `draw` gives random numbers of the caller's own. */
  readonly latency: (from: string, to: string, draw?: () => number) => number;
  readonly onHeal: (f: () => void) => void;
  readonly intercept: (
    f: ((m: Message, from: string, to: string) => InterceptedMessage[] | undefined) | undefined,
  ) => void;
}

export function createNetwork(e: Engine, random: () => number): Network {
  const procs = new Map<string, SimProcess>();
  const cuts = new Map<string, (from: string, to: string) => boolean>();
  const slowed = new Map<string, number>();
  const last = new Map<string, number>();
  let held: { from: string; to: string; go: () => void }[] = [];
  let waiting: (() => void)[] = [];
  let change: ((m: Message, from: string, to: string) => InterceptedMessage[] | undefined) | undefined;
  const decode = decoderForOwnSchemas();

  function blocked(from: string, to: string): boolean {
    for (const f of cuts.values()) if (from !== to && f(from, to)) return true;
    return false;
  }
  function latency(from: string, to: string, draw = random): number {
    if (from === to) return 30 + draw() * 50;
    return 200 + draw() * 1200 + (slowed.get(from) ?? 0) + (slowed.get(to) ?? 0);
  }

  function send(from: SimProcess, fromAddress: string, to: Address, m: Message): void {
    const found = procs.get(to);
    if (found === undefined) return;
    const p: SimProcess = found;
    const ms = change === undefined ? [{ message: m }] : (change(m, from.machine, p.machine) ?? [{ message: m }]);
    for (const x of ms) {
      const b = encodeMessage(x.message);
      const wait = (x as InterceptedMessage).delayUs ?? 0;
      const link = `${fromAddress}>${to}`;
      function go(): void {
        const t =
          wait > 0 ? e.now() + wait : Math.max(e.now() + latency(from.machine, p.machine), (last.get(link) ?? 0) + 1);
        if (wait === 0) last.set(link, t);
        e.at(t, () => {
          if (blocked(from.machine, p.machine)) return;
          const incarnation = p.incarnation;
          deliver(p, incarnation, () => {
            const d = decode(b);
            if (d._tag === 'Right' && d.right.known) p.receive(d.right.message, fromAddress as Address);
          });
        });
      }
      if (!blocked(from.machine, p.machine)) go();
      else if (random() < 0.5) held.push({ from: from.machine, to: p.machine, go });
    }
  }

  function heal(name: string): void {
    cuts.delete(name);
    const hs = held;
    held = [];
    for (const h of hs) {
      if (blocked(h.from, h.to)) held.push(h);
      else h.go();
    }
    const ws = waiting;
    waiting = [];
    for (const f of ws) f();
  }

  return {
    add: (a, p) => procs.set(a, p),
    remove: (a) => procs.delete(a),
    process: (a) => procs.get(a),
    send,
    isBlocked: blocked,
    latency,
    heal,
    partition: (name, f) => cuts.set(name, f),
    setExtraLatency: (m, us) => {
      if (us > 0) slowed.set(m, us);
      else slowed.delete(m);
    },
    onHeal: (f) => waiting.push(f),
    intercept: (f) => {
      change = f;
    },
  };
}
