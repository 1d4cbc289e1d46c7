/**
 * The agent's client of the control cluster. It sends a request to one replica after the other until one answers. A write
 * is repeated with the same change id, which the key's leader remembers, so that repeating it is harmless. The outcome of a
 * request that is unanswered at its deadline is unknown; it can be looked up by its change id.
 */
import { micros, type Address, type MessageOf, type ReplicaEntry, type World } from '@tansypost/inner-protocol';
import type {
  ControlStateClient,
  ControlStateRequest,
  ControlStateResponse,
  ControlStateStatus,
} from '@tansypost/learning';

const emptyValue = Buffer.alloc(0);

/** Creates a client; replicas send their answers to `self`. */
export function createAgentControlClient(
  world: World,
  self: Address,
  replicas: () => readonly ReplicaEntry[],
): ControlStateClient {
  const pending = new Map<string, (message: MessageOf<'Answer'>) => void>();
  let requestCount = Math.floor(world.random() * 1e9);

  function ask(request: ControlStateRequest): Promise<ControlStateResponse> {
    const deadline = world.now() + request.timeoutUs;
    let replicaIndex = Math.floor(world.random() * 3);
    // Only a write of the desired state may take long, as it waits until the routers have applied it.
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
        pending.set(requestId, (message) => {
          cancelTimer();
          if (message.status === 'retry' || message.status === 'unknown') {
            pending.delete(requestId);
            cancelTimer = world.after(micros(100_000 + world.random() * 100_000), sendOnce);
            return;
          }
          pending.delete(requestId);
          resolve({
            status: message.status as ControlStateStatus,
            epoch: message.epoch,
            version: message.version,
            value: message.value,
          });
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
  return { request: ask, handleAnswer: (message) => pending.get(message.id)?.(message) };
}
