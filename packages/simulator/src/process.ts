/**
 * A simulated process: it can be killed, frozen and woken. What reaches it while frozen waits and is handled
 * when it wakes, timers included, as on a real machine; what reaches it when dead is lost.
 */
import { micros, type Address, type Cancel, type Message, type World } from '@tansypost/inner-protocol';
import type { Engine } from './engine.js';

export interface SimProcess {
  readonly name: string;
  readonly machine: string;
  alive: boolean;
  frozen: boolean;
  incarnation: number;
  backlog: (() => void)[];
  receive: (m: Message, from: Address) => void;
  exitHandlers: Set<() => void>;
}

export function createSimProcess(name: string, machine: string): SimProcess {
  return {
    name,
    machine,
    alive: false,
    frozen: false,
    incarnation: 0,
    backlog: [],
    receive: () => undefined,
    exitHandlers: new Set(),
  };
}

export function deliver(p: SimProcess, incarnation: number, f: () => void): void {
  if (!p.alive || p.incarnation !== incarnation) return;
  if (p.frozen) p.backlog.push(f);
  else f();
}

export function killProcess(p: SimProcess): void {
  if (!p.alive) return;
  p.alive = false;
  p.frozen = false;
  p.incarnation += 1;
  p.backlog = [];
  const ds = [...p.exitHandlers];
  p.exitHandlers.clear();
  for (const d of ds) d();
}

export function resumeProcess(e: Engine, p: SimProcess): void {
  if (!p.frozen) return;
  p.frozen = false;
  const incarnation = p.incarnation;
  const b = p.backlog;
  p.backlog = [];
  for (const f of b) e.at(e.now(), () => deliver(p, incarnation, f));
}

export function createProcessWorld(
  e: Engine,
  p: SimProcess,
  random: () => number,
  send: World['send'],
  log: World['log'],
): World {
  const incarnation = p.incarnation;
  function after(d: number, f: () => void): Cancel {
    let off = false;
    e.at(e.now() + Math.max(0, d), () =>
      deliver(p, incarnation, () => {
        if (!off) f();
      }),
    );
    return () => {
      off = true;
    };
  }
  return {
    now: () => micros(e.now()),
    random,
    after,
    send: (to, m) => {
      if (p.alive && p.incarnation === incarnation) send(to, m);
    },
    log,
  };
}
