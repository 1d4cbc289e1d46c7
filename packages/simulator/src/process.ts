/**
 * A simulated process that can be killed, frozen and resumed. Timers and messages that reach a frozen process are queued
 * and handled when it resumes, as on a real machine; those that reach a dead process are lost.
 */
import { micros, type Address, type Cancel, type Message, type World } from '@tansypost/inner-protocol';
import type { Engine } from './engine.js';

export interface SimProcess {
  readonly name: string;
  readonly machine: string;
  alive: boolean;
  frozen: boolean;
  /** Increases on each kill, so that callbacks of an earlier incarnation are dropped. */
  incarnation: number;
  backlog: (() => void)[];
  receive: (message: Message, from: Address) => void;
  /** Called once, when the process is killed. */
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

/** Runs a callback in an incarnation of a process: at once, on resume if it is frozen, or never if it is dead. */
export function deliver(target: SimProcess, incarnation: number, callback: () => void): void {
  if (!target.alive || target.incarnation !== incarnation) return;
  if (target.frozen) target.backlog.push(callback);
  else callback();
}

export function killProcess(target: SimProcess): void {
  if (!target.alive) return;
  target.alive = false;
  target.frozen = false;
  target.incarnation += 1;
  target.backlog = [];
  const handlers = [...target.exitHandlers];
  target.exitHandlers.clear();
  for (const handler of handlers) handler();
}

/** Resumes a frozen process and schedules its queued callbacks in order. */
export function resumeProcess(engine: Engine, target: SimProcess): void {
  if (!target.frozen) return;
  target.frozen = false;
  const incarnation = target.incarnation;
  const queued = target.backlog;
  target.backlog = [];
  for (const callback of queued) engine.at(engine.now(), () => deliver(target, incarnation, callback));
}

/** Creates the clock, timers, links and log of the current incarnation of a process. */
export function createProcessWorld(
  engine: Engine,
  owner: SimProcess,
  random: () => number,
  send: World['send'],
  log: World['log'],
): World {
  const incarnation = owner.incarnation;
  function after(delay: number, callback: () => void): Cancel {
    let isCancelled = false;
    engine.at(engine.now() + Math.max(0, delay), () =>
      deliver(owner, incarnation, () => {
        if (!isCancelled) callback();
      }),
    );
    return () => {
      isCancelled = true;
    };
  }
  return {
    now: () => micros(engine.now()),
    random,
    after,
    send: (to, message) => {
      if (owner.alive && owner.incarnation === incarnation) send(to, message);
    },
    log,
  };
}
