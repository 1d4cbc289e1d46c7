/**
 * Client for reads and writes of keys in the control state. It tries one control node after the other, the nearest
 * first; each forwards the request to the leader of the key. Leaders remember the change ids of writes, so retrying a
 * write is idempotent.
 */
import type { ControlNode } from '@tansypost/control-state';
import { micros, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

/** The outcome of a request; the statuses are those of the `Answer` message. */
export interface ControlResponse {
  readonly status: string;
  /** Term of the leader that wrote the value. */
  readonly epoch: number;
  readonly version: number;
  readonly value: Buffer;
}

/** A read or a write of a key. The fields are those of the `Ask` message. */
export interface ControlRequest {
  readonly op: 'read' | 'write' | 'lookup';
  readonly key: string;
  /** Id of the change, of a write or of the write that is looked up. */
  readonly change?: string;
  /** The version that a write expects to replace. */
  readonly base?: number;
  readonly value?: Buffer;
  /** Time by which a response is needed; without one by then, the status is `unknown`. */
  readonly deadline: number;
}

/** Sends requests to control nodes. */
export interface ControlClient {
  readonly request: (request: ControlRequest, done: (response: ControlResponse) => void) => void;
  readonly handleAnswer: (message: MessageOf<'Answer'>) => void;
}

const noBytes = Buffer.alloc(0);
const timedOut: ControlResponse = { status: 'unknown', epoch: 0, version: 0, value: noBytes };
const defaultAttemptTimeoutUs = 350_000;
/** How long to wait if no control node is known. */
const noNodeDelayUs = 50_000;
/** After a node that couldn't answer, the next one is tried after this delay plus up to `retryJitterUs`. */
const retryDelayUs = 20_000;
const retryJitterUs = 40_000;
const idRange = 1e9;
/** From the second attempt on, the node becomes the leader of the key if need be, and doesn't forward the request. */
const hopsExhausted = 2;

/**
 * Creates a client.
 * @param world its environment
 * @param self address of this process
 * @param replicas gives the control nodes to try, the best first
 * @param attemptTimeout how long to wait for each control node, in microseconds
 */
export function createControlClient(
  world: World,
  self: Address,
  replicas: () => readonly Address[],
  attemptTimeout = defaultAttemptTimeoutUs,
): ControlClient {
  const pending = new Map<string, (message: MessageOf<'Answer'>) => void>();
  let lastId = Math.floor(world.random() * idRange);

  function request(controlRequest: ControlRequest, done: (response: ControlResponse) => void): void {
    let attempts = 0;

    function timeLeft(): number {
      return Math.max(0, controlRequest.deadline - world.now());
    }

    function attempt(): void {
      const addresses = replicas();
      if (timeLeft() === 0) return done(timedOut);
      if (addresses.length === 0) return void world.after(micros(Math.min(timeLeft(), noNodeDelayUs)), attempt);
      const address = addressFor(addresses);
      attempts += 1;
      lastId += 1;
      const id = `${self}/${lastId}`;
      awaitAnswer(id);
      send(address, id);
    }

    /**
     * This machine's own replica is tried twice: first so that it forwards the request, then so that it answers
     * itself.
     */
    function addressFor(addresses: readonly Address[]): Address {
      const index = addresses[0] === self ? Math.max(0, attempts - 1) : attempts;
      return addresses[index % addresses.length]!;
    }

    function awaitAnswer(id: string): void {
      const cancel = world.after(micros(Math.min(timeLeft(), attemptTimeout)), () => {
        pending.delete(id);
        attempt();
      });
      pending.set(id, (message) => {
        cancel();
        pending.delete(id);
        if (message.status === 'retry' || message.status === 'unknown') return retryLater();
        const { status, epoch, version, value } = message;
        done({ status, epoch, version, value });
      });
    }

    function retryLater(): void {
      const delay = retryDelayUs + world.random() * retryJitterUs;
      world.after(micros(Math.min(timeLeft(), delay)), attempt);
    }

    function send(address: Address, id: string): void {
      world.send(address, {
        kind: 'Ask',
        id,
        origin: self,
        key: controlRequest.key,
        op: controlRequest.op,
        change: controlRequest.change ?? '',
        base: controlRequest.base ?? 0,
        value: controlRequest.value ?? noBytes,
        hops: attempts === 1 ? 0 : hopsExhausted,
      });
    }

    attempt();
  }

  return { request, handleAnswer: (message) => pending.get(message.id)?.(message) };
}

/**
 * Creates the list of control nodes to try on a machine that may hold a replica: its own replica first if it votes,
 * then the live replicas; if no other is live, the replicas last known, and without any the seeds.
 */
export function createReplicaAddressList(
  controlNode: () => ControlNode | undefined,
  self: Address,
  seeds: () => readonly Address[],
): () => readonly Address[] {
  let lastKnown: readonly Address[] = [];

  return function replicas() {
    const node = controlNode();
    const members = node?.replica.membership().replicas.map((entry) => entry.address as Address) ?? [];
    if (members.length > 0) lastKnown = members;
    const own = node?.replica.state() === 'voting' ? [self] : [];
    const live = node?.liveReplicas() ?? [];
    const fallback = lastKnown.length > 0 ? lastKnown : seeds();
    const others = live.length > own.length ? live : fallback;
    return [...new Set([...own, ...others.filter((address) => address !== self)])];
  };
}
