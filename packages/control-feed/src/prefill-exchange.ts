/**
 * Announcements between routers of the prompts that they send to workers for prefill, so that all routers know at once
 * which workers are busy. While there are few routers they send to each other directly; otherwise they send to one
 * control node, which relays to all.
 */
import { hash32, micros, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

/** Options of the exchange. */
export interface PrefillExchangeOptions {
  readonly self: Address;
  /** The control node that relays announcements. */
  readonly relay: () => Address | undefined;
  /**
   * Another router has sent a worker a prompt whose prefill takes `duration` microseconds, or an attempt of it at the
   * worker has `failed`.
   */
  readonly onPeerPrefill?: (worker: string, duration: number, failed: boolean) => void;
}

/** Announces this router's prefills and receives those of others. */
export interface PrefillExchange {
  /** Announces a prefill to the other routers; announcements within a few milliseconds are sent together. */
  readonly announce: (worker: string, duration: number, failed: boolean) => void;
  readonly handlePrefills: (message: MessageOf<'Reading'>) => void;
  readonly handlePeers: (message: MessageOf<'Peers'>) => void;
  /** The digest of the other routers as last received from a control node. */
  readonly peersDigest: () => number;
}

/** Shorter prefills aren't announced to routers directly. */
const minDirectUs = 20_000;
/** Shorter prefills aren't announced through a control node. */
const minRelayedUs = 40_000;
const batchDelay = micros(5_000);

/** Creates the exchange of one router. */
export function createPrefillExchange(world: World, options: PrefillExchangeOptions): PrefillExchange {
  const self = hash32(options.self);
  let peers: readonly Address[] = [];
  let peersDigest = 0;
  let knowsAllPeers = true;
  let pending: MessageOf<'Reading'>['reads'] = [];

  function announce(worker: string, duration: number, failed: boolean): void {
    const minDuration = knowsAllPeers ? minDirectUs : minRelayedUs;
    if (peers.length === 0 || (!failed && duration < minDuration)) return;
    pending.push({ worker, service: Math.round(duration), bad: failed, by: self });
    if (pending.length === 1) world.after(batchDelay, flush);
  }

  function flush(): void {
    const message: MessageOf<'Reading'> = { kind: 'Reading', reads: pending };
    pending = [];
    const relay = options.relay();
    const relays = relay === undefined ? [] : [relay];
    for (const address of knowsAllPeers ? peers : relays) world.send(address, message);
  }

  function handlePrefills(message: MessageOf<'Reading'>): void {
    for (const prefill of message.reads)
      if (prefill.by !== self) options.onPeerPrefill?.(prefill.worker, prefill.service, prefill.bad);
  }

  function handlePeers(message: MessageOf<'Peers'>): void {
    peersDigest = message.digest;
    peers = message.addresses as Address[];
    knowsAllPeers = message.all;
  }

  return { announce, handlePrefills, handlePeers, peersDigest: () => peersDigest };
}
