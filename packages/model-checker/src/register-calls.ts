/** Maps writes and reads of the configuration to calls of the production code. */
import { configurationKey, type ControlRequest } from '@tansypost/control-feed';
import type { ControlAccess } from './control-machine.js';
import type { WriteRequest, RegisterValue, WriteOutcome } from './operation-history.js';

/** How operators write and read; tests pass in other implementations. */
export interface RegisterCalls {
  readonly write: (access: ControlAccess, request: WriteRequest) => Promise<WriteOutcome>;
  /** Undefined if there was no definite answer. */
  readonly read: (access: ControlAccess) => Promise<RegisterValue | undefined>;
}

const callTimeoutUs = 850_000;

function buildRequest(access: ControlAccess, operation: ControlRequest['op']): ControlRequest {
  // eslint-disable-next-line id-length -- the field's name in ControlRequest
  return { op: operation, key: configurationKey, deadline: access.now() + callTimeoutUs };
}

/** Calls that go to the control cluster directly, one request per call. */
export const directCalls: RegisterCalls = {
  write: async (access, request) => {
    const { change, expectedVersion } = request;
    const answer = await access.ask({
      ...buildRequest(access, 'write'),
      change,
      base: expectedVersion,
      value: Buffer.from(change),
    });
    if (answer.status === 'done') return 'done';
    return answer.status === 'lost' || answer.status === 'reused' ? 'refused' : 'unknown';
  },
  read: async (access) => {
    const answer = await access.ask(buildRequest(access, 'read'));
    return answer.status === 'value' ? { change: answer.value.toString(), version: answer.version } : undefined;
  },
};
