// Which disk holds which of the core's places, three to nine of them. It is itself a key, written under the same
// epochs; its epoch is the generation that every core message carries, so that a place which was
// replaced is fenced by those that remain.
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

export function majorityOf(places: number): number {
  return Math.floor(places / 2) + 1;
}

// From how many of the others a new place copies: whatever a majority holds, or has promised, one of them has.
export function copiesNeeded(places: number): number {
  return places - majorityOf(places) + 1;
}

export function addTo(c: CoreRecord, address: string, disk: string): Place[] {
  const taken = new Set(c.places.map((p) => p.slot));
  let slot = 0;
  while (taken.has(slot)) slot += 1;
  return [...c.places, { slot, address, disk }];
}

export function replaceIn(c: CoreRecord, p: Place): Place[] {
  return c.places.map((x) => (x.slot === p.slot ? p : x));
}
