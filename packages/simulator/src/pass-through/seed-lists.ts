/** Seeds in the settings of machines: the same for all, or drawn for each machine. */

/** Returns the seeds of a machine. */
export type SeedsOf = (machine: string) => readonly string[];

/** Maximum number of seeds in a deployment's settings. */
export const seedCount = 3;

/** Draws separate seeds for each machine from `candidates`, when the machine's seeds are first requested. */
export function scatteredSeeds(random: () => number, candidates: readonly string[]): SeedsOf {
  const seedsByMachine = new Map<string, readonly string[]>();
  return function seedsOf(machine) {
    const seeds = seedsByMachine.get(machine) ?? drawSome(random, candidates);
    seedsByMachine.set(machine, seeds);
    return seeds;
  };
}

function drawSome(random: () => number, candidates: readonly string[]): readonly string[] {
  const left = [...candidates];
  const drawn: string[] = [];
  while (drawn.length < seedCount && left.length > 0) drawn.push(...left.splice(Math.floor(random() * left.length), 1));
  return drawn;
}
