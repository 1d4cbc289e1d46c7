/** Asks the core through what the control feed asks with, in the words of those who learn. */
import type { ControlClient } from '@tansypost/control-feed';
import type { World } from '@tansypost/inner-protocol';
import type { ControlStateClient, ControlStateStatus } from './control-state-client.js';

export function createControlStateClient(
  w: Pick<World, 'now'>,
  asker: ControlClient,
): Pick<ControlStateClient, 'request'> {
  return {
    request: ({ op, timeoutUs, ...q }) =>
      new Promise((done) => {
        const [status, none] = ['unknown' as const, Buffer.alloc(0)];
        if (op === 'claim') return done({ status, epoch: 0, version: 0, value: none });
        asker.request({ ...q, op, deadline: w.now() + timeoutUs }, (a) =>
          done({ ...a, status: a.status as ControlStateStatus }),
        );
      }),
  };
}
