// What all parts of a virtual day stand on.
import type { Engine } from '../engine.js';
import type { Network } from '../network.js';
import type { PassedDeployment } from './passed-deployment.js';
import type { PassedHistory } from './passed-history.js';
import type { Spoil } from './spoil.js';

export interface Ground {
  readonly e: Engine;
  readonly net: Network;
  readonly random: () => number;
  readonly d: PassedDeployment;
  readonly h: PassedHistory;
  readonly spoil: Spoil | undefined;
  // Machines without power say nothing, not even that nobody listens.
  readonly silent: Set<string>;
}
export function sleep(g: Ground, us: number): Promise<void> {
  return new Promise((ok) => g.e.at(g.e.now() + us, ok));
}
export function oneOf<T>(xs: readonly T[], share: number): T | undefined {
  return xs[Math.min(xs.length - 1, Math.floor(share * xs.length))];
}
