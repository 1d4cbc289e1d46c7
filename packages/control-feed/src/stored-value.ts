/** One key of the control state as a value that is read, and written on top of what was read. */
import type { World } from '@tansypost/inner-protocol';
import type { ControlResponse, ControlRequest } from './asker.js';

/** What a majority holds. */
export interface StoredVersion {
  /** 0 before the first write. */
  readonly version: number;
  readonly value: Buffer;
}

/** Reads and writes one key; both are undefined where no majority answered in time. */
export interface StoredValue {
  readonly read: () => Promise<StoredVersion | undefined>;
  /** Gives the version written; undefined too where another write came first. */
  readonly write: (base: number, value: Buffer) => Promise<number | undefined>;
}

const patience = 1_500_000;
const changeIdRange = 2 ** 48;
const base36 = 36;

/** The value of `key`, asked for through `ask`. */
export function createStoredValue(
  world: Pick<World, 'now' | 'random'>,
  key: string,
  ask: (question: ControlRequest) => Promise<ControlResponse>,
): StoredValue {
  async function read(): Promise<StoredVersion | undefined> {
    const answer = await ask({ op: 'read', key, deadline: world.now() + patience });
    return answer.status === 'value' ? { version: answer.version, value: answer.value } : undefined;
  }

  async function write(base: number, value: Buffer): Promise<number | undefined> {
    const change = `${key}/${Math.floor(world.random() * changeIdRange).toString(base36)}`;
    const answer = await ask({
      op: 'write',
      key,
      change,
      base,
      value,
      deadline: world.now() + patience,
    });
    return answer.status === 'done' ? answer.version : undefined;
  }

  return { read, write };
}
