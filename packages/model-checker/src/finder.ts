/**
 * One fixed hunt: a search with few deviations, then walks, until something is found or the budget of steps is used
 * up. It counts steps and not time, so its verdict is the same on every machine.
 */
import type { Scope } from './cluster.js';
import type { Violation } from './invariants.js';
import { playScene, scenes } from './scenes.js';
import type { PlacedMove } from './schedule.js';
import { searchScope, walkScope } from './scopes.js';
import { search } from './search.js';
import { walk } from './walk.js';

export interface Finding {
  readonly violation: Violation;
  /** What found it: a scene, the search or a walk. */
  readonly by: string;
  readonly seed: number;
  readonly scope: Scope;
  readonly moves: readonly PlacedMove[];
}

export interface Hunt {
  readonly finding: Finding | undefined;
  readonly steps: number;
}

export interface HuntOptions {
  readonly walks: number;
  readonly walkLengthUs: number;
  readonly searchDepth: number;
  readonly searchDeviations: number;
  /** Seeds of walks to leave out, as the code breaks on them with every mechanism in place. */
  readonly without?: readonly number[];
  /** Rules that the code breaks now and then with every mechanism in place; breaking them shows nothing then. */
  readonly ignored?: readonly string[];
}

export const usualHunt: HuntOptions = {
  walks: 150,
  walkLengthUs: 30_000_000,
  searchDepth: 60,
  searchDeviations: 1,
};

/** A walk that breaks a rule with every mechanism in place. */
export interface KnownBreak {
  readonly seed: number;
  readonly rule: string;
}

/** All walks that break a rule. */
export async function knownBreaks(o: HuntOptions): Promise<KnownBreak[]> {
  const broken: KnownBreak[] = [];
  for (let seed = 1; seed <= o.walks; seed += 1) {
    const scope = walkScope(placesOf(seed), seed);
    const { violation } = await walk({ scope, seed, lengthUs: o.walkLengthUs });
    if (violation !== undefined) broken.push({ seed, rule: violation.rule });
  }
  return broken;
}

/** Every fourth walk has five places. */
function placesOf(seed: number): number {
  return seed % 4 === 3 ? 5 : 3;
}

export async function hunt(o: HuntOptions): Promise<Hunt> {
  let steps = 0;
  for (const scene of scenes) {
    const outcome = await playScene(scene);
    steps += outcome.steps;
    const { violation, moves } = outcome;
    if (violation !== undefined) {
      const finding = { violation, by: `scene: ${scene.name}`, seed: scene.seed, scope: scene.scope, moves };
      return { finding, steps };
    }
  }
  const scope = searchScope(3);
  const searched = await search({
    scope,
    seed: 1,
    depth: o.searchDepth,
    deviations: o.searchDeviations,
    goesOn: () => true,
  });
  steps += searched.steps;
  if (searched.violation !== undefined)
    return { finding: { violation: searched.violation, by: 'search', seed: 1, scope, moves: searched.moves }, steps };
  for (let seed = 1; seed <= o.walks; seed += 1) {
    if (o.without?.includes(seed) === true) continue;
    const walked = walkScope(placesOf(seed), seed);
    const { violation, moves, steps: n } = await walk({ scope: walked, seed, lengthUs: o.walkLengthUs });
    steps += n;
    if (violation !== undefined && o.ignored?.includes(violation.rule) !== true)
      return { finding: { violation, by: `walk of ${walked.places}`, seed, scope: walked, moves }, steps };
  }
  return { finding: undefined, steps };
}
