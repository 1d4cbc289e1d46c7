/** How orders and reads of the configuration become calls of the shipped code. */
import { configurationKey, type ControlRequest } from '@tansypost/control-feed';
import type { CoreAccess } from './control-machine.js';
import type { Order, RegisterValue, WriteOutcome } from './operation-history.js';

/** The operator's path, to be passed in by who has another one. */
export interface RegisterCalls {
  readonly write: (access: CoreAccess, order: Order) => Promise<WriteOutcome>;
  /** Undefined where there was no clear answer. */
  readonly read: (access: CoreAccess) => Promise<RegisterValue | undefined>;
}

const callLimitUs = 850_000;

function question(access: CoreAccess, operation: ControlRequest['op']): ControlRequest {
  // eslint-disable-next-line id-length -- the name of the field in ControlRequest
  return { op: operation, key: configurationKey, deadline: access.now() + callLimitUs };
}

/** Calls that ask the core directly, one question a call. */
export const directCalls: RegisterCalls = {
  write: async (access, order) => {
    const { change, base } = order;
    const answer = await access.ask({ ...question(access, 'write'), change, base, value: Buffer.from(change) });
    if (answer.status === 'done') return 'done';
    return answer.status === 'lost' || answer.status === 'reused' ? 'refused' : 'unknown';
  },
  read: async (access) => {
    const answer = await access.ask(question(access, 'read'));
    return answer.status === 'value' ? { change: answer.value.toString(), version: answer.version } : undefined;
  },
};
