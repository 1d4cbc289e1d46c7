/**
 * The router's side of Idempotency-Keys. Before the first attempt the key is claimed at the control cluster, by way of the
 * agent; afterwards the outcome of the request is reported without waiting for an answer.
 */
import { every, micros, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

/** The answer to a claim; `known` says what is known of the request that holds the key. */
export type ClaimResult =
  { readonly tag: 'won' } | { readonly tag: 'taken'; readonly known: string } | { readonly tag: 'failed' };
/** Claims idempotency keys for requests of this router. */
export interface IdempotencyClaims {
  readonly claim: (key: string, request: string, timeoutUs: number) => Promise<ClaimResult>;
  readonly reportResult: (op: 'release' | 'ended', key: string, request: string, ended: string) => void;
  readonly receiveAnswer: (message: MessageOf<'ClaimAnswer'>) => void;
}

/** Creates the claims of the router `holder`, which go through `agent`. */
export function createIdempotencyClaims(world: World, agent: Address, holder: string): IdempotencyClaims {
  const pending = new Map<string, (result: ClaimResult) => void>();
  let claimCount = 0;
  function claim(key: string, request: string, timeoutUs: number): Promise<ClaimResult> {
    claimCount += 1;
    const requestId = `${holder}/${claimCount}`;
    return new Promise((resolve) => {
      const cancelTimeout = world.after(micros(timeoutUs), () => settle({ tag: 'failed' }));
      // Repeated until answered, as the agent may be restarting. A repeat by the same holder does not conflict with itself.
      const stopRepeating = every(world, () => micros(700_000), sendClaim);
      function sendClaim(): void {
        world.send(agent, { kind: 'Claim', id: requestId, op: 'claim', key, holder, request, ended: '' });
      }
      function settle(result: ClaimResult): void {
        cancelTimeout();
        stopRepeating();
        pending.delete(requestId);
        resolve(result);
      }
      pending.set(requestId, settle);
      sendClaim();
    });
  }
  return {
    claim,
    reportResult: (op, key, request, ended) =>
      world.send(agent, { kind: 'Claim', id: '', op, key, holder, request, ended }),
    receiveAnswer: (message) =>
      pending.get(message.id)?.(
        message.status === 'won'
          ? { tag: 'won' }
          : message.status === 'taken'
            ? { tag: 'taken', known: message.known }
            : { tag: 'failed' },
      ),
  };
}
