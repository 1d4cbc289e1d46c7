/**
 * Simulated links between machines. Messages between two processes stay in order, take a short time, and pass through
 * the real codec. A partition, in one direction or both, drops some of the messages sent into it and delays the others
 * until it heals, as TCP does. Slow machines add latency to their links.
 */
import { decoderForOwnSchemas, encodeMessage, type Address, type Message } from '@tansypost/inner-protocol';
import type { Engine } from './engine.js';
import { deliver, type SimProcess } from './process.js';

/** A message that an interceptor sends in place of the original one. */
export interface InterceptedMessage {
  readonly message: Message;
  /** A fixed latency; the message may then arrive out of order. */
  readonly delayUs?: number;
}
export interface Network {
  readonly add: (address: string, process: SimProcess) => void;
  readonly remove: (address: string) => void;
  readonly process: (address: string) => SimProcess | undefined;
  readonly send: (from: SimProcess, fromAddress: string, to: Address, message: Message) => void;
  readonly isBlocked: (from: string, to: string) => boolean;
  /** Blocks the links between machines for which the predicate is true, until the partition of that name heals. */
  readonly partition: (name: string, blocks: (from: string, to: string) => boolean) => void;
  readonly heal: (name: string) => void;
  /** Adds latency to all links of a machine; 0 removes it. */
  readonly setExtraLatency: (machine: string, us: number) => void;
  /** Draws the latency of a link in microseconds; `draw` replaces the random numbers of the network. */
  readonly latency: (from: string, to: string, draw?: () => number) => number;
  /** Calls back once, the next time a partition heals. */
  readonly onHeal: (callback: () => void) => void;
  /** Sets a function that may replace each message by any number of others; undefined keeps the message. */
  readonly intercept: (
    interceptor: ((message: Message, from: string, to: string) => InterceptedMessage[] | undefined) | undefined,
  ) => void;
}

export function createNetwork(engine: Engine, random: () => number): Network {
  const processes = new Map<string, SimProcess>();
  const partitions = new Map<string, (from: string, to: string) => boolean>();
  const extraLatencies = new Map<string, number>();
  const lastDeliveries = new Map<string, number>();
  let held: { from: string; to: string; deliverLater: () => void }[] = [];
  let healCallbacks: (() => void)[] = [];
  let interceptor: ((message: Message, from: string, to: string) => InterceptedMessage[] | undefined) | undefined;
  const decode = decoderForOwnSchemas();

  function isBlocked(from: string, to: string): boolean {
    for (const blocks of partitions.values()) if (from !== to && blocks(from, to)) return true;
    return false;
  }
  function latency(from: string, to: string, draw = random): number {
    if (from === to) return 30 + draw() * 50;
    return 200 + draw() * 1200 + (extraLatencies.get(from) ?? 0) + (extraLatencies.get(to) ?? 0);
  }

  function send(from: SimProcess, fromAddress: string, to: Address, message: Message): void {
    const found = processes.get(to);
    if (found === undefined) return;
    const target: SimProcess = found;
    const outgoing =
      interceptor === undefined ? [{ message }] : (interceptor(message, from.machine, target.machine) ?? [{ message }]);
    for (const each of outgoing) {
      const encoded = encodeMessage(each.message);
      const delayUs = (each as InterceptedMessage).delayUs ?? 0;
      const link = `${fromAddress}>${to}`;
      function deliverLater(): void {
        const time =
          delayUs > 0
            ? engine.now() + delayUs
            : Math.max(engine.now() + latency(from.machine, target.machine), (lastDeliveries.get(link) ?? 0) + 1);
        if (delayUs === 0) lastDeliveries.set(link, time);
        engine.at(time, () => {
          if (isBlocked(from.machine, target.machine)) return;
          const incarnation = target.incarnation;
          deliver(target, incarnation, () => {
            const decoded = decode(encoded);
            if (decoded._tag === 'Right' && decoded.right.known)
              target.receive(decoded.right.message, fromAddress as Address);
          });
        });
      }
      if (!isBlocked(from.machine, target.machine)) deliverLater();
      else if (random() < 0.5) held.push({ from: from.machine, to: target.machine, deliverLater });
    }
  }

  function heal(name: string): void {
    partitions.delete(name);
    const wasHeld = held;
    held = [];
    for (const each of wasHeld) {
      if (isBlocked(each.from, each.to)) held.push(each);
      else each.deliverLater();
    }
    const callbacks = healCallbacks;
    healCallbacks = [];
    for (const callback of callbacks) callback();
  }

  return {
    add: (address, process) => processes.set(address, process),
    remove: (address) => processes.delete(address),
    process: (address) => processes.get(address),
    send,
    isBlocked,
    latency,
    heal,
    partition: (name, blocks) => partitions.set(name, blocks),
    setExtraLatency: (machine, us) => {
      if (us > 0) extraLatencies.set(machine, us);
      else extraLatencies.delete(machine);
    },
    onHeal: (callback) => healCallbacks.push(callback),
    intercept: (newInterceptor) => {
      interceptor = newInterceptor;
    },
  };
}
