/**
 * What routers tell each other of the prompts that they send to workers, so that all of them know of a busy worker
 * at once. Few routers tell each other directly; many send it to one control node, which relays it to all.
 */
import { hash32, micros, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

export interface PrefillExchangeOptions {
  readonly self: Address;
  /** The control node that relays. */
  readonly relay: () => Address | undefined;
  /** Another router has sent a worker a prompt that takes so long to read, in microseconds. */
  readonly onPeerPrefill?: (worker: string, service: number, bad: boolean) => void;
}

export interface PrefillExchange {
  /** Tells the others of a read; those within a moment go out together. */
  readonly announce: (worker: string, service: number, bad: boolean) => void;
  readonly handlePrefills: (told: MessageOf<'Reading'>) => void;
  readonly handlePeers: (told: MessageOf<'Peers'>) => void;
  /** The digest of the other routers as they were last told. */
  readonly peersDigest: () => number;
}

const leastTold = 20_000;
const leastRelayed = 40_000;
const tellWithin = micros(5_000);

export function createPrefillExchange(world: World, options: PrefillExchangeOptions): PrefillExchange {
  const self = hash32(options.self);
  let peers: readonly Address[] = [];
  let peersDigest = 0;
  let knowsAllPeers = true;
  let pending: MessageOf<'Reading'>['reads'] = [];

  function tell(worker: string, service: number, bad: boolean): void {
    const least = knowsAllPeers ? leastTold : leastRelayed;
    if (peers.length === 0 || (!bad && service < least)) return;
    pending.push({ worker, service: Math.round(service), bad, by: self });
    if (pending.length === 1) world.after(tellWithin, flush);
  }

  function flush(): void {
    const told: MessageOf<'Reading'> = { kind: 'Reading', reads: pending };
    pending = [];
    const relay = options.relay();
    const relays = relay === undefined ? [] : [relay];
    for (const address of knowsAllPeers ? peers : relays) world.send(address, told);
  }

  function take(told: MessageOf<'Reading'>): void {
    for (const read of told.reads) if (read.by !== self) options.onPeerPrefill?.(read.worker, read.service, read.bad);
  }

  function takePeers(told: MessageOf<'Peers'>): void {
    peersDigest = told.digest;
    peers = told.addresses as Address[];
    knowsAllPeers = told.all;
  }

  return { announce: tell, handlePrefills: take, handlePeers: takePeers, peersDigest: () => peersDigest };
}
