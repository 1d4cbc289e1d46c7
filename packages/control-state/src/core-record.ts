// Which disk holds which of the three core places. It is itself a key, written under the same
// epochs; its epoch is the generation that every core message carries, so that a place which was
// replaced is fenced by the two that remain.
import type { Place } from '@tansypost/inner-protocol';

export const coreKey = 'core';

export interface CoreRecord {
  readonly gen: number;
  readonly places: readonly Place[];
}

export const noCore: CoreRecord = { gen: 0, places: [] };

export function encodeCore(ps: readonly Place[]): Buffer {
  return Buffer.from(JSON.stringify(ps.map((p) => ({ slot: p.slot, address: p.address, disk: p.disk }))));
}

export function decodeCore(gen: number, b: Buffer): CoreRecord {
  return gen === 0 || b.length === 0 ? noCore : { gen, places: JSON.parse(b.toString()) as Place[] };
}

export function replaceIn(c: CoreRecord, p: Place): Place[] {
  return c.places.map((x) => (x.slot === p.slot ? p : x));
}
