/** Draws from a seed. */
import { createSeededRandom } from '@tansypost/inner-protocol';

/** A source of drawn numbers. */
export interface Draw {
  /** At least 0 and below 1. */
  readonly number: () => number;
  readonly chance: (probability: number) => boolean;
  /** The same while there are troubles; false in the calm after them. */
  readonly faultChance: (probability: number) => boolean;
  readonly between: (least: number, most: number) => number;
  readonly oneOf: <Item>(items: readonly Item[]) => Item;
}

/** Draws that a seed repeats; `isCalm` tells whether the troubles are over. */
export function createDraw(seed: number, isCalm: () => boolean): Draw {
  const number = createSeededRandom(seed);
  return {
    number,
    chance: (probability) => number() < probability,
    faultChance: (probability) => number() < probability && !isCalm(),
    between: (least, most) => least + (most - least) * number(),
    oneOf: (items) => items[Math.floor(number() * items.length)]!,
  };
}
