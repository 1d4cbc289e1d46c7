// The world of a real process: the monotonic clock, timers that do not keep the process alive, and
// the links. A machine that was suspended counts the time only as far as its clock does.
import { randomInt } from 'node:crypto';
import { micros, type Address, type Micros } from './brands.js';
import { createCarrier, type Carrier } from './link.js';
import type { Message } from './messages.js';
import type { Cancel, World } from './world.js';

export function monotonic(): Micros {
  return micros(Number(process.hrtime.bigint() / 1000n));
}

export function afterReal(d: Micros, f: () => void): Cancel {
  const t = setTimeout(f, Math.max(0, d / 1000));
  t.unref();
  return () => clearTimeout(t);
}

export function randomReal(): number {
  return randomInt(0, 2 ** 32) / 2 ** 32;
}

export interface RealWorld {
  readonly world: World;
  readonly carrier: Carrier;
  readonly onMessage: (f: (m: Message, from: Address) => void) => void;
}

export async function createRealWorld(
  listen: Address,
  log: World['log'],
  advertise: Address = listen,
): Promise<RealWorld> {
  const to: { f: (m: Message, from: Address) => void } = { f: () => undefined };
  const carrier = await createCarrier({ listen, advertise, log, receive: (m, from) => to.f(m, from) });
  const world: World = { now: monotonic, random: randomReal, after: afterReal, send: carrier.send, log };
  return {
    world,
    carrier,
    onMessage: (f) => {
      to.f = f;
    },
  };
}
