/**
 * The `World` of a real process: the monotonic clock, timers that don't keep the process alive, and TCP links. Whether
 * time passes while the machine is suspended depends on its monotonic clock.
 */
import { randomInt } from 'node:crypto';
import { micros, type Address, type Micros } from './brands.js';
import { createTransport, type Transport } from './link.js';
import { createSeededRandom } from './hash.js';
import type { Message } from './messages.js';
import type { Cancel, World } from './world.js';

const nanosPerMicro = 1000n;
const microsPerMillisecond = 1000;
const seedRange = 2 ** 32;

/** Time of the machine's monotonic clock; its origin is before the start of any process. */
export function monotonicNow(): Micros {
  return micros(Number(process.hrtime.bigint() / nanosPerMicro));
}

/** Starts a timer that doesn't keep the process alive. */
export function startTimer(delay: Micros, run: () => void): Cancel {
  const timer = setTimeout(run, Math.max(0, delay / microsPerMillisecond));
  timer.unref();
  return () => clearTimeout(timer);
}

/** Random numbers from 0 (inclusive) to 1 (exclusive), seeded by the system's generator. Not fit for secrets. */
export const systemRandom = createSeededRandom(randomInt(0, seedRange));

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
 * Listens for links and creates the world of this process. Rejects if it can't listen on the address.
 * @param listen address of the listening socket
 * @param log writes events
 * @param advertise address at which other processes reach this one, if it differs
 */
export async function createRealWorld(
  listen: Address,
  log: World['log'],
  advertise: Address = listen,
): Promise<RealWorld> {
  let handler: MessageHandler | undefined;
  const carrier = await createTransport({
    listen,
    advertise,
    log,
    receive: (message, from) => handler?.(message, from),
  });
  const world: World = { now: monotonicNow, random: systemRandom, after: startTimer, send: carrier.send, log };
  return {
    world,
    transport: carrier,
    onMessage: (newHandler) => {
      handler = newHandler;
    },
  };
}
