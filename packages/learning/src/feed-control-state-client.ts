/** Adapts the client of the control feed to the interface that learning uses. */
import type { ControlClient } from '@tansypost/control-feed';
import type { World } from '@tansypost/inner-protocol';
import type { ControlStateClient, ControlStateStatus } from './control-state-client.js';

/** Creates a client that sends requests through `client`; a `claim`, which that client lacks, ends as `unknown`. */
export function createControlStateClient(
  world: Pick<World, 'now'>,
  client: ControlClient,
): Pick<ControlStateClient, 'request'> {
  return {
    request: ({ op, timeoutUs, ...fields }) =>
      new Promise((resolve) => {
        const [status, none] = ['unknown' as const, Buffer.alloc(0)];
        if (op === 'claim') return resolve({ status, epoch: 0, version: 0, value: none });
        client.request({ ...fields, op, deadline: world.now() + timeoutUs }, (response) =>
          resolve({ ...response, status: response.status as ControlStateStatus }),
        );
      }),
  };
}
