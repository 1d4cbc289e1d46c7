/**
 * The router's side of Idempotency-Keys: a claim is asked of the core through the agent before the first send,
 * and what became of the request is told afterwards, without waiting.
 */
import { every, micros, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

export type ClaimResult =
  { readonly tag: 'won' } | { readonly tag: 'taken'; readonly known: string } | { readonly tag: 'failed' };
export interface IdempotencyClaims {
  readonly claim: (key: string, request: string, patience: number) => Promise<ClaimResult>;
  readonly reportResult: (op: 'release' | 'ended', key: string, request: string, ended: string) => void;
  readonly receiveAnswer: (m: MessageOf<'ClaimAnswer'>) => void;
}

export function createIdempotencyClaims(w: World, agent: Address, holder: string): IdempotencyClaims {
  const open = new Map<string, (r: ClaimResult) => void>();
  let n = 0;
  function claim(key: string, request: string, patience: number): Promise<ClaimResult> {
    n += 1;
    const id = `${holder}/${n}`;
    return new Promise((done) => {
      const cancel = w.after(micros(patience), () => end({ tag: 'failed' }));
      // Asked again while unanswered: the agent may be restarting, and a holder's own repeat is forgiven.
      const stop = every(w, () => micros(700_000), ask);
      function ask(): void {
        w.send(agent, { kind: 'Claim', id, op: 'claim', key, holder, request, ended: '' });
      }
      function end(r: ClaimResult): void {
        cancel();
        stop();
        open.delete(id);
        done(r);
      }
      open.set(id, end);
      ask();
    });
  }
  return {
    claim,
    reportResult: (op, key, request, ended) =>
      w.send(agent, { kind: 'Claim', id: '', op, key, holder, request, ended }),
    receiveAnswer: (m) =>
      open.get(m.id)?.(
        m.status === 'won'
          ? { tag: 'won' }
          : m.status === 'taken'
            ? { tag: 'taken', known: m.known }
            : { tag: 'failed' },
      ),
  };
}
