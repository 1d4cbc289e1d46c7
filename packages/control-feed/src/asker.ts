// How a machine that serves control asks the core: first the place it stands on, which sends on to whoever owns
// the key, then that place again, to take the key over itself, then one live place after the other. A write is repeated under
// its change id, which the owners remember, so that repeating it does no harm.
import type { ControlNode } from '@tansypost/control-state';
import { micros, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

export interface CoreAnswer {
  readonly status: string;
  readonly epoch: number;
  readonly version: number;
  readonly value: Buffer;
}
export interface CoreQuestion {
  readonly op: 'read' | 'write' | 'lookup';
  readonly key: string;
  readonly change?: string;
  readonly base?: number;
  readonly value?: Buffer;
  // The time by which it must be answered; what is still open then is `unknown`.
  readonly limit: number;
}
export interface CoreAsker {
  readonly ask: (q: CoreQuestion, done: (a: CoreAnswer) => void) => void;
  readonly answer: (m: MessageOf<'Answer'>) => void;
}
const none = Buffer.alloc(0);

// `places` gives where to ask, the best first.
export function createCoreAsker(
  w: World,
  self: Address,
  replicas: () => readonly Address[],
  perTry = 350_000,
): CoreAsker {
  const open = new Map<string, (m: MessageOf<'Answer'>) => void>();
  let n = Math.floor(w.random() * 1e9);

  function ask(q: CoreQuestion, done: (a: CoreAnswer) => void): void {
    let turn = 0;
    function once(): void {
      const ps = replicas();
      const left = q.limit - w.now();
      if (left <= 0) return done({ status: 'unknown', epoch: 0, version: 0, value: none });
      if (ps.length === 0) return void w.after(micros(Math.min(left, 50_000)), once);
      n += 1;
      const id = `${self}/${n}`;
      let cancel = w.after(micros(Math.min(left, perTry)), again);
      function again(): void {
        open.delete(id);
        cancel();
        once();
      }
      open.set(id, (m) => {
        cancel();
        open.delete(id);
        if (m.status === 'retry' || m.status === 'unknown') {
          cancel = w.after(micros(Math.min(Math.max(0, q.limit - w.now()), 20_000 + w.random() * 40_000)), once);
          return;
        }
        done({ status: m.status, epoch: m.epoch, version: m.version, value: m.value });
      });
      const to = ps[(ps[0] === self ? Math.max(0, turn - 1) : turn) % ps.length]!;
      turn += 1;
      w.send(to, {
        kind: 'Ask',
        id,
        origin: self,
        key: q.key,
        op: q.op,
        change: q.change ?? '',
        base: q.base ?? 0,
        value: q.value ?? none,
        hops: turn === 1 ? 0 : 2,
      });
    }
    once();
  }
  return { ask, answer: (m) => open.get(m.id)?.(m) };
}

// Where to ask: this place first if it votes, then the live ones, else those that were last known, else the seeds.
export function createReplicaList(
  keeper: () => ControlNode | undefined,
  self: Address,
  seeds: () => readonly Address[],
): () => readonly Address[] {
  let known: readonly Address[] = [];
  return function replicas() {
    const k = keeper();
    const core = k?.replica.membership().replicas.map((p) => p.address as Address) ?? [];
    if (core.length > 0) known = core;
    const mine = k?.replica.state() === 'voting' ? [self] : [];
    const live = k?.liveReplicas() ?? [];
    const others = live.length > mine.length ? live : known.length > 0 ? known : seeds();
    return [...new Set([...mine, ...others.filter((a) => a !== self)])];
  };
}
