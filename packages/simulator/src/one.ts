/** One seed of one deployment: draws its faults, runs it, checks it. */
import { createSeededRandom } from '@tansypost/inner-protocol';
import type { Deployment } from '@tansypost/requester-stand-in';
import { checkAll, type Breach } from './checks.js';
import { drawFaults, type SimFault } from './faults.js';
import type { History } from './history.js';
import { createSim, type SimOptions } from './sim-fleet.js';

export interface OneResult {
  readonly seed: number;
  readonly faults: readonly SimFault[];
  readonly breaches: readonly Breach[];
  readonly requests: number;
  readonly whole: number;
}
export const spanDefault = 20;
export const calmDefault = 20;

export async function runOne(
  d: Deployment,
  seed: number,
  faults?: readonly SimFault[],
  over: Partial<SimOptions> = {},
  only?: readonly string[],
): Promise<OneResult & { history: History }> {
  const fs = faults ?? drawFaults(d, createSeededRandom(seed * 40503 + 1), spanDefault, only);
  const sim = createSim({
    deployment: d,
    seed,
    span: spanDefault,
    calm: calmDefault,
    rate: d.rate / 4,
    faults: fs,
    ...(seed % 4 === 3 ? {} : { closing: seed % 4 }),
    ...over,
  });
  const history = await sim.run();
  const breaches = checkAll(history, { faultless: fs.length === 0, overloaded: false });
  return {
    seed,
    faults: fs,
    breaches,
    requests: history.requests.length,
    whole: history.requests.filter((q) => q.ended === 'whole' || q.ended === 'claimed').length,
    history,
  };
}
