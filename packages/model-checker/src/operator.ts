/**
 * A client of the configuration register. It follows a script of reads and writes, sends each call to one machine
 * after the other, gives a call up after a while and sends the same order again when it had no clear answer.
 */
import { configurationKey, type CoreAnswer } from '@tansypost/control-feed';
import type { ControlMachine, CoreAccess } from './control-machine.js';
import type { Kernel, Process } from './kernel.js';
import {
  never,
  type Operation,
  type Order,
  type ReadOperation,
  type RegisterValue,
  type WriteOperation,
  type WriteOutcome,
} from './operation-history.js';

/** How an order and a read become calls of the shipped code. */
export interface RegisterCalls {
  readonly write: (access: CoreAccess, order: Order) => Promise<WriteOutcome>;
  /** Undefined where there was no clear answer. */
  readonly read: (access: CoreAccess) => Promise<RegisterValue | undefined>;
}

export interface OperatorOptions {
  readonly process: Process;
  readonly machines: () => readonly ControlMachine[];
  readonly calls: RegisterCalls;
  readonly record: (o: Operation) => void;
  /** A position in the global order of events. */
  readonly tick: () => number;
  /** Told when a machine has said that an order is taken, whether or not the operator hears of it. */
  readonly acknowledged: (order: Order) => void;
  readonly thinkUs: number;
  readonly sendsAgain: number;
  /** Of a hundred calls, how many are reads. */
  readonly readsPercent: number;
}

const callLimitUs = 850_000;
const givesUpAfterUs = 1_000_000;

/** Calls that ask the core directly, one question a call. */
export const directCalls: RegisterCalls = {
  write: async (access, order) => {
    const { change, base } = order;
    const limit = access.now() + callLimitUs;
    const value = Buffer.from(change);
    const a = await access.ask({ op: 'write', key: configurationKey, change, base, value, limit });
    if (a.status === 'done') return 'done';
    return a.status === 'lost' || a.status === 'reused' ? 'refused' : 'unknown';
  },
  read: async (access) => {
    const a: CoreAnswer = await access.ask({ op: 'read', key: configurationKey, limit: access.now() + callLimitUs });
    return a.status === 'value' ? { change: a.value.toString(), version: a.version } : undefined;
  },
};

export interface Operator {
  readonly start: () => void;
  readonly stop: () => void;
}

export function createOperator(kernel: Kernel, o: OperatorOptions): Operator {
  const { process } = o;
  const world = kernel.world(process);
  let known = 0;
  let orders = 0;
  let stopped = false;

  function start(): void {
    kernel.start(process);
    world.after(Math.floor(world.random() * o.thinkUs) as never, next);
  }

  function next(): void {
    if (stopped) return;
    if (world.random() * 100 < o.readsPercent) return read();
    orders += 1;
    write({ change: `${process.name}.${orders}`, base: known }, o.sendsAgain);
  }

  function pause(f: () => void): void {
    if (!stopped) world.after(Math.floor((0.5 + world.random()) * o.thinkUs) as never, f);
  }

  function read(): void {
    const op: ReadOperation = {
      kind: 'read',
      client: process.name,
      invoked: o.tick(),
      returned: never,
      seen: undefined,
    };
    o.record(op);
    call(
      (access) => o.calls.read(access),
      (seen) => {
        if (seen !== undefined) {
          op.seen = seen;
          op.returned = o.tick();
          known = Math.max(known, seen.version);
        }
        pause(next);
      },
    );
  }

  function write(order: Order, again: number): void {
    const op: WriteOperation = {
      kind: 'write',
      client: process.name,
      order,
      invoked: o.tick(),
      returned: never,
      outcome: 'unknown',
    };
    o.record(op);
    call(
      async (access) => {
        const outcome = await o.calls.write(access, order);
        if (outcome === 'done') o.acknowledged(order);
        return outcome;
      },
      (outcome) => {
        if (outcome === undefined || outcome === 'unknown')
          return pause(() => (again > 0 ? write(order, again - 1) : next()));
        op.outcome = outcome;
        op.returned = o.tick();
        if (outcome === 'done') known = Math.max(known, order.base + 1);
        // Now and then an order that was answered is sent once more, as after an answer that was lost further on.
        if (world.random() < 0.2 && again > 0) return pause(() => write(order, 0));
        pause(outcome === 'done' ? next : read);
      },
    );
  }

  // Sends a call to one machine and gives its answer once, or undefined when none came in time.
  function call<T>(make: (access: CoreAccess) => Promise<T>, done: (answer: T | undefined) => void): void {
    const machines = o.machines();
    const machine = machines[Math.floor(world.random() * machines.length)]!;
    let open = true;
    const cancel = world.after(givesUpAfterUs as never, () => finish(undefined));
    function finish(answer: T | undefined): void {
      if (!open) return;
      open = false;
      cancel();
      done(answer);
    }
    const label = `${process.name}>${machine.name}`;
    function answer(a: T): void {
      const event = { kind: 'answer', label: `${label} answer`, owner: process.name, delay: 0 } as const;
      kernel.schedule({ ...event, run: () => finish(a) });
    }
    function arrive(): void {
      const access = machine.access();
      if (access !== undefined) void make(access).then(answer);
    }
    kernel.schedule({ kind: 'call', label: `${label} call`, owner: machine.name, delay: 0, run: arrive });
  }

  return {
    start,
    stop: () => {
      stopped = true;
    },
  };
}
