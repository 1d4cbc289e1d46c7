/** Random numbers from a seed. */
import { createSeededRandom } from '@tansypost/inner-protocol';

/** A source of random choices. */
export interface Draw {
  /** A number of at least 0 and below 1. */
  readonly number: () => number;
  readonly chance: (probability: number) => boolean;
  /** Like `chance` during the fault phase; always false after it. */
  readonly faultChance: (probability: number) => boolean;
  readonly between: (min: number, max: number) => number;
  readonly oneOf: <Item>(items: readonly Item[]) => Item;
}

/** A reproducible source of random choices; `isCalm` says whether the fault phase is over. */
export function createDraw(seed: number, isFaultPhaseOver: () => boolean): Draw {
  const number = createSeededRandom(seed);
  return {
    number,
    chance: (probability) => number() < probability,
    faultChance: (probability) => number() < probability && !isFaultPhaseOver(),
    between: (least, most) => least + (most - least) * number(),
    oneOf: (items) => items[Math.floor(number() * items.length)]!,
  };
}
