/**
 * A linearizable stand-in for the values of the control state: a write takes effect at one moment, on top of its base
 * or not at all. Questions and answers take time; an answer may be lost after the write took effect, and a write may
 * take effect long after its writer has given up waiting.
 */
import type { StoredValue, StoredVersion } from '@tansypost/control-feed';
import type { Draw } from './draw.js';
import { times } from './scope.js';
import type { Scheduler } from './scheduler.js';

/** The values, and what was ever written. */
export interface StoredRecords {
  readonly value: (key: string, caller: StoreCaller) => StoredValue;
  readonly newest: (key: string) => StoredVersion;
}

/** The node that asks. */
export interface StoreCaller {
  readonly name: string;
  /** Whether a question or an answer passes between it and a majority now. */
  readonly isConnected: () => boolean;
  /** Runs something in the node's process: not if that has ended, and not before it thaws. */
  readonly inProcess: (run: () => void) => void;
  /** A write took effect, or its answer came. */
  readonly onStep: () => void;
  readonly after: (delay: number, run: () => void) => void;
}

/** Told of each write that takes effect. */
export type WriteObserver = (key: string, written: StoredVersion) => void;
/** Told of each value that a node gets to read. */
export type ReadObserver = (caller: string, key: string, read: StoredVersion) => void;

const nothing: StoredVersion = { version: 0, value: Buffer.alloc(0) };
const oneWay = { least: 500, most: 15_000 } as const;
const lateEffect = { chance: 0.03, least: 1_000_000, most: 6_000_000 } as const;
const answerLost = 0.03;

/** Values that were never written. */
export function createStoredRecords(
  scheduler: Scheduler,
  draw: Draw,
  written: WriteObserver,
  wasRead: ReadObserver,
): StoredRecords {
  const values = new Map<string, StoredVersion>();

  function newest(key: string): StoredVersion {
    return values.get(key) ?? nothing;
  }

  function put(key: string, base: number, value: Buffer): number | undefined {
    if (newest(key).version !== base) return undefined;
    const next = { version: base + 1, value };
    values.set(key, next);
    written(key, next);
    return next.version;
  }

  const ask = createAsking(scheduler, draw);

  function value(key: string, caller: StoreCaller): StoredValue {
    return {
      read: async () => {
        const read = await ask(caller, false, () => newest(key));
        if (read !== undefined) wasRead(caller.name, key, read);
        return read;
      },
      write: (base, bytes) => ask(caller, true, () => put(key, base, bytes)),
    };
  }

  return { value, newest };
}

type Asking = <Result>(caller: StoreCaller, isWrite: boolean, effect: () => Result) => Promise<Result | undefined>;

/** Lets an effect happen at the majority, and its result reach the caller, unless one of the two is lost. */
function createAsking(scheduler: Scheduler, draw: Draw): Asking {
  return function ask<Result>(
    caller: StoreCaller,
    isWrite: boolean,
    effect: () => Result,
  ): Promise<Result | undefined> {
    return new Promise((done) => {
      caller.after(times.storeTimeout, () => done(undefined));
      if (!caller.isConnected()) return;
      const isLate = isWrite && draw.faultChance(lateEffect.chance);
      scheduler.after(
        isLate ? draw.between(lateEffect.least, lateEffect.most) : draw.between(oneWay.least, oneWay.most),
        () => {
          const result = effect();
          if (isWrite) caller.onStep();
          if (draw.faultChance(answerLost)) return;
          scheduler.after(draw.between(oneWay.least, oneWay.most), () => {
            if (!caller.isConnected()) return;
            if (isWrite) caller.onStep();
            caller.inProcess(() => done(result));
          });
        },
      );
    });
  };
}
