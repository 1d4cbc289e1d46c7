/** One key of the control state, read and written with optimistic concurrency control. */
import type { World } from '@tansypost/inner-protocol';
import type { ControlResponse, ControlRequest } from './control-client.js';

/** The committed value of a key. */
export interface StoredVersion {
  /** 0 before the first write. */
  readonly version: number;
  readonly value: Buffer;
}

/** Reads and writes one key; both return undefined if no majority answered in time. */
export interface StoredValue {
  readonly read: () => Promise<StoredVersion | undefined>;
  /** Returns the version written; also undefined if `base` is no longer the current version. */
  readonly write: (base: number, value: Buffer) => Promise<number | undefined>;
}

const requestTimeoutUs = 1_500_000;
const changeIdRange = 2 ** 48;
const base36 = 36;

/** Accesses the value of `key` by requests through `ask`. */
export function createStoredValue(
  world: Pick<World, 'now' | 'random'>,
  key: string,
  ask: (request: ControlRequest) => Promise<ControlResponse>,
): StoredValue {
  async function read(): Promise<StoredVersion | undefined> {
    const response = await ask({ op: 'read', key, deadline: world.now() + requestTimeoutUs });
    return response.status === 'value' ? { version: response.version, value: response.value } : undefined;
  }

  async function write(base: number, value: Buffer): Promise<number | undefined> {
    const change = `${key}/${Math.floor(world.random() * changeIdRange).toString(base36)}`;
    const response = await ask({ op: 'write', key, change, base, value, deadline: world.now() + requestTimeoutUs });
    return response.status === 'done' ? response.version : undefined;
  }

  return { read, write };
}
