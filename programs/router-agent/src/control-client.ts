/**
 * How an agent asks the core: it sends to one place after the other until one answers. A write is repeated under
 * the same change id, which the owner remembers, so repeating it is harmless; what is still open
 * when patience ends is reported as unknown, with the id to ask after.
 */
import { micros, type Address, type MessageOf, type ReplicaEntry, type World } from '@tansypost/inner-protocol';
import type { Asker, AskRequest, AskResult, AskStatus } from '@tansypost/learning';

const emptyValue = Buffer.alloc(0);

export function createAgentControlClient(world: World, self: Address, replicas: () => readonly ReplicaEntry[]): Asker {
  const pending = new Map<string, (m: MessageOf<'Answer'>) => void>();
  let requestCount = Math.floor(world.random() * 1e9);

  function ask(request: AskRequest): Promise<AskResult> {
    const deadline = world.now() + request.patience;
    let replicaIndex = Math.floor(world.random() * 3);
    // Only a change of the desired state may rightly be long in answering: it waits for the routers.
    const attemptTimeoutUs = request.op === 'write' && request.key.startsWith('desired/') ? 2_500_000 : 600_000;
    return new Promise((resolve) => {
      function sendOnce(): void {
        const targets = replicas();
        const remainingUs = deadline - world.now();
        if (remainingUs <= 0) return resolve({ status: 'unknown', epoch: 0, version: 0, value: emptyValue });
        if (targets.length === 0) return void world.after(micros(Math.min(remainingUs, 200_000)), sendOnce);
        requestCount += 1;
        replicaIndex += 1;
        const requestId = `${self}/${requestCount}`;
        let cancelTimer = world.after(micros(Math.min(remainingUs, attemptTimeoutUs)), retry);
        function retry(): void {
          pending.delete(requestId);
          cancelTimer();
          sendOnce();
        }
        pending.set(requestId, (m) => {
          cancelTimer();
          if (m.status === 'retry' || m.status === 'unknown') {
            pending.delete(requestId);
            cancelTimer = world.after(micros(100_000 + world.random() * 100_000), sendOnce);
            return;
          }
          pending.delete(requestId);
          resolve({ status: m.status as AskStatus, epoch: m.epoch, version: m.version, value: m.value });
        });
        world.send(targets[replicaIndex % targets.length]!.address as Address, {
          kind: 'Ask',
          id: requestId,
          origin: self,
          key: request.key,
          op: request.op,
          change: request.change ?? '',
          base: request.base ?? 0,
          value: request.value ?? emptyValue,
          hops: 0,
        });
      }
      sendOnce();
    });
  }
  return { ask, answer: (m) => pending.get(m.id)?.(m) };
}
