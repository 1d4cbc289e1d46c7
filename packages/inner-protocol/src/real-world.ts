/**
 * The world of a real process: the monotonic clock, timers that don't keep the process alive, and the links. A
 * machine that was suspended counts the time only as far as its clock does.
 */
import { randomInt } from 'node:crypto';
import { micros, type Address, type Micros } from './brands.js';
import { createTransport, type Transport } from './link.js';
import { createSeededRandom } from './hash.js';
import type { Message } from './messages.js';
import type { Cancel, World } from './world.js';

const nanosPerMicro = 1000n;
const microsPerMillisecond = 1000;
const randomSteps = 2 ** 32;

/** The clock of this machine since some moment before its processes began. */
export function monotonicNow(): Micros {
  return micros(Number(process.hrtime.bigint() / nanosPerMicro));
}

/** A timer that doesn't keep the process alive. */
export function startTimer(delay: Micros, run: () => void): Cancel {
  const timer = setTimeout(run, Math.max(0, delay / microsPerMillisecond));
  timer.unref();
  return () => clearTimeout(timer);
}

/** At least 0 and below 1; its seed is from the system's generator. For spreading only: secrets are drawn elsewhere. */
export const systemRandom = createSeededRandom(randomInt(0, randomSteps));

/** Takes a message and the address of its sender. */
export type MessageHandler = (message: Message, from: Address) => void;

/** A world with the links behind it. */
export interface RealWorld {
  readonly world: World;
  readonly transport: Transport;
  /** Sets who takes messages; until then they are dropped. */
  readonly onMessage: (handler: MessageHandler) => void;
}

/**
 * Listens for links and makes the world of this process. Rejects when the address can't be listened on.
 * @param listen address of the listening socket
 * @param log writes events
 * @param advertise address under which others reach it, where that differs
 */
export async function createRealWorld(
  listen: Address,
  log: World['log'],
  advertise: Address = listen,
): Promise<RealWorld> {
  let handle: MessageHandler | undefined;
  const carrier = await createTransport({
    listen,
    advertise,
    log,
    receive: (message, from) => handle?.(message, from),
  });
  const world: World = { now: monotonicNow, random: systemRandom, after: startTimer, send: carrier.send, log };
  return {
    world,
    transport: carrier,
    onMessage: (handler) => {
      handle = handler;
    },
  };
}
