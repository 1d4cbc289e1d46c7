/**
 * How a machine reads and writes keys of the control state: it asks one control node after the other, beginning with the
 * nearest, and each sends the question on to the leader of the key. A write is repeated under its change id, which
 * leaders remember, so that repeating it does no harm.
 */
import type { ControlNode } from '@tansypost/control-state';
import { micros, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

export interface ControlResponse {
  readonly status: string;
  readonly epoch: number;
  readonly version: number;
  readonly value: Buffer;
}

export interface ControlRequest {
  readonly op: 'read' | 'write' | 'lookup';
  readonly key: string;
  readonly change?: string;
  readonly base?: number;
  readonly value?: Buffer;
  /** The time by which it must be answered; what is still open then is `unknown`. */
  readonly deadline: number;
}

export interface ControlClient {
  readonly request: (question: ControlRequest, done: (answer: ControlResponse) => void) => void;
  readonly handleAnswer: (message: MessageOf<'Answer'>) => void;
}

const noBytes = Buffer.alloc(0);
const unanswered: ControlResponse = { status: 'unknown', epoch: 0, version: 0, value: noBytes };
const defaultPerTry = 350_000;
/** How long to wait where no control node is known. */
const noNodePause = 50_000;
/** A node that could not answer is followed by the next after so long, and up to so much longer. */
const retryPause = 20_000;
const retrySpread = 40_000;
const idRange = 1e9;
/** From the second try on the node that is asked takes the key over if need be, and sends the question on to nobody. */
const hopsUsedUp = 2;

/** `replicas` gives where to ask, the best first. */
export function createControlClient(
  world: World,
  self: Address,
  replicas: () => readonly Address[],
  perTry = defaultPerTry,
): ControlClient {
  const open = new Map<string, (message: MessageOf<'Answer'>) => void>();
  let lastId = Math.floor(world.random() * idRange);

  function ask(question: ControlRequest, done: (answer: ControlResponse) => void): void {
    let tries = 0;

    function timeLeft(): number {
      return Math.max(0, question.deadline - world.now());
    }

    function tryOnce(): void {
      const addresses = replicas();
      if (timeLeft() === 0) return done(unanswered);
      if (addresses.length === 0) return void world.after(micros(Math.min(timeLeft(), noNodePause)), tryOnce);
      const address = addressFor(addresses);
      tries += 1;
      lastId += 1;
      const id = `${self}/${lastId}`;
      expectAnswer(id);
      send(address, id);
    }

    /** This machine's own replica is asked twice: first to send the question on, then to answer it. */
    function addressFor(addresses: readonly Address[]): Address {
      const index = addresses[0] === self ? Math.max(0, tries - 1) : tries;
      return addresses[index % addresses.length]!;
    }

    function expectAnswer(id: string): void {
      const cancel = world.after(micros(Math.min(timeLeft(), perTry)), () => {
        open.delete(id);
        tryOnce();
      });
      open.set(id, (message) => {
        cancel();
        open.delete(id);
        if (message.status === 'retry' || message.status === 'unknown') return tryLater();
        const { status, epoch, version, value } = message;
        done({ status, epoch, version, value });
      });
    }

    function tryLater(): void {
      const pause = retryPause + world.random() * retrySpread;
      world.after(micros(Math.min(timeLeft(), pause)), tryOnce);
    }

    function send(address: Address, id: string): void {
      world.send(address, {
        kind: 'Ask',
        id,
        origin: self,
        key: question.key,
        op: question.op,
        change: question.change ?? '',
        base: question.base ?? 0,
        value: question.value ?? noBytes,
        hops: tries === 1 ? 0 : hopsUsedUp,
      });
    }

    tryOnce();
  }

  return { request: ask, handleAnswer: (message) => open.get(message.id)?.(message) };
}

/** Where to ask: this machine's replica first if it votes, then the live ones, else those last known, else the seeds. */
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
