/**
 * A linearizable model of the control state's values: a write takes effect at one moment, on top of its expected version
 * or not at all. Requests and answers take time; an answer may be lost after the write took effect, and a write may take
 * effect long after its writer has timed out.
 */
import type { StoredValue, StoredVersion } from '@tansypost/control-feed';
import type { Draw } from './draw.js';
import { scheduleTimes } from './scope.js';
import type { Scheduler } from './scheduler.js';

/** The stored values by key. */
export interface StoredRecords {
  readonly value: (key: string, caller: StoreCaller) => StoredValue;
  readonly newest: (key: string) => StoredVersion;
}

/** The node that reads or writes. */
export interface StoreCaller {
  readonly name: string;
  /** Whether messages pass between the node and a majority now. */
  readonly isConnected: () => boolean;
  /** Runs a callback in the node's process: never if that process has ended, and only after it thaws if frozen. */
  readonly inProcess: (run: () => void) => void;
  /** Called when a write took effect and when its answer arrived. */
  readonly onStep: () => void;
  readonly after: (delay: number, run: () => void) => void;
}

/** Called with each write that takes effect. */
export type WriteObserver = (key: string, written: StoredVersion) => void;
/** Called with each value that a node reads. */
export type ReadObserver = (caller: string, key: string, read: StoredVersion) => void;

const emptyValue: StoredVersion = { version: 0, value: Buffer.alloc(0) };
const messageDelayUs = { min: 500, max: 15_000 } as const;
const lateWrite = { chance: 0.03, min: 1_000_000, max: 6_000_000 } as const;
const answerLossProbability = 0.03;

/** A store without any values. */
export function createStoredRecords(
  scheduler: Scheduler,
  draw: Draw,
  onWrite: WriteObserver,
  onRead: ReadObserver,
): StoredRecords {
  const values = new Map<string, StoredVersion>();

  function newest(key: string): StoredVersion {
    return values.get(key) ?? emptyValue;
  }

  function put(key: string, expectedVersion: number, value: Buffer): number | undefined {
    if (newest(key).version !== expectedVersion) return undefined;
    const next = { version: expectedVersion + 1, value };
    values.set(key, next);
    onWrite(key, next);
    return next.version;
  }

  const request = createStoreRequester(scheduler, draw);

  function value(key: string, caller: StoreCaller): StoredValue {
    return {
      read: async () => {
        const read = await request(caller, false, () => newest(key));
        if (read !== undefined) onRead(caller.name, key, read);
        return read;
      },
      write: (expectedVersion, bytes) => request(caller, true, () => put(key, expectedVersion, bytes)),
    };
  }

  return { value, newest };
}

type StoreRequester = <Result>(
  caller: StoreCaller,
  isWrite: boolean,
  effect: () => Result,
) => Promise<Result | undefined>;

/** Returns a function that applies an effect at the majority and returns its result, either of which may be lost. */
function createStoreRequester(scheduler: Scheduler, draw: Draw): StoreRequester {
  return function request<Result>(
    caller: StoreCaller,
    isWrite: boolean,
    effect: () => Result,
  ): Promise<Result | undefined> {
    return new Promise((done) => {
      caller.after(scheduleTimes.storeTimeout, () => done(undefined));
      if (!caller.isConnected()) return;
      const isLate = isWrite && draw.faultChance(lateWrite.chance);
      scheduler.after(
        isLate ? draw.between(lateWrite.min, lateWrite.max) : draw.between(messageDelayUs.min, messageDelayUs.max),
        () => {
          const result = effect();
          if (isWrite) caller.onStep();
          if (draw.faultChance(answerLossProbability)) return;
          scheduler.after(draw.between(messageDelayUs.min, messageDelayUs.max), () => {
            if (!caller.isConnected()) return;
            if (isWrite) caller.onStep();
            caller.inProcess(() => done(result));
          });
        },
      );
    });
  };
}
