/**
 * The `World` of a real process: the monotonic clock, timers that don't keep the process alive, and TCP links. Whether
 * time passes while the machine is suspended depends on its monotonic clock.
 */
import { randomInt } from 'node:crypto';
import type { ConnectionGuard } from '@tansypost/peer-limits';
import { micros, type Address, type Micros } from './brands.js';
import { runContained } from './containment.js';
import { createTransport, type Transport } from './link.js';
import { createSeededRandom } from './hash.js';
import type { Message } from './messages.js';
import type { Cancel, World } from './world.js';

const nanosPerMicro = 1000n;
const microsPerMillisecond = 1000;
const seedRange = 2 ** 32;
/** Node.js runs a timer with a longer delay at once. */
const maxTimerDelayMs = 2 ** 31 - 1;

/** Time of the machine's monotonic clock; its origin is before the start of any process. */
export function monotonicNow(): Micros {
  return micros(Number(process.hrtime.bigint() / nanosPerMicro));
}

/** Starts a timer that doesn't keep the process alive. A delay of more than 24 days is cut to that. */
export function startTimer(delay: Micros, run: () => void): Cancel {
  const timer = setTimeout(run, Math.min(maxTimerDelayMs, Math.max(0, delay / microsPerMillisecond)));
  timer.unref();
  return () => clearTimeout(timer);
}

/** Random numbers from 0 (inclusive) to 1 (exclusive), seeded by the system's generator. Not fit for secrets. */
export const systemRandom = createSeededRandom(randomInt(0, seedRange));

/** Options of a real world. */
export interface RealWorldOptions {
  /** Address at which other processes reach this one, if it differs from the one it listens on. */
  readonly advertise?: Address;
  /** Bounds what incoming links make this process hold; without one they are not bounded. */
  readonly guard?: ConnectionGuard;
}

/** Handles a message from the given sender. */
export type MessageHandler = (message: Message, from: Address) => void;

/** A `World` and the transport that it sends through. */
export interface RealWorld {
  readonly world: World;
  readonly transport: Transport;
  /** Sets the handler of incoming messages; until it is set they are dropped. */
  readonly onMessage: (handler: MessageHandler) => void;
}

/**
 * Listens for links and creates the world of this process. Errors in its timers and in the handler of messages are logged.
 * Rejects if it can't listen on the address.
 * @param listen address of the listening socket
 * @param log writes events
 * @param options the address that others use, and the guard of incoming links
 */
export async function createRealWorld(
  listen: Address,
  log: World['log'],
  options: RealWorldOptions = {},
): Promise<RealWorld> {
  let handler: MessageHandler | undefined;
  const transport = await createTransport({
    listen,
    advertise: options.advertise ?? listen,
    guard: options.guard,
    log,
    receive: (message, from) => runContained(log, `message ${message.kind}`, () => handler?.(message, from)),
  });
  function after(delay: Micros, run: () => void): Cancel {
    return startTimer(delay, () => runContained(log, 'timer', run));
  }
  const world: World = { now: monotonicNow, random: systemRandom, after, send: transport.send, log };
  return {
    world,
    transport,
    onMessage: (newHandler) => {
      handler = newHandler;
    },
  };
}
