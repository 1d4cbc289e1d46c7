/** The environment shared by all parts of a simulated run. */
import type { Model } from '@tansypost/placement';
import type { VerdictOptions } from '@tansypost/rehearsal';
import type { Engine } from '../engine.js';
import type { Network } from '../network.js';
import type { PassedDeployment } from './passed-deployment.js';
import type { PassedHistory } from './passed-history.js';
import type { Spoil } from './spoil.js';
import type { VirtualTenants } from './virtual-tenants.js';

// Learning settings of a run that differ from those of the real programs. `spoil` damages each trained model.
export interface LearningTerms {
  readonly samplesPerTraining: number;
  readonly treatmentShare: number;
  readonly trust?: number;
  readonly verdict?: VerdictOptions;
  readonly spoil?: (m: Model) => Model;
}
export interface Ground {
  readonly engine: Engine;
  readonly network: Network;
  readonly random: () => number;
  readonly d: PassedDeployment;
  readonly h: PassedHistory;
  readonly tenants: VirtualTenants;
  readonly spoil: Spoil | undefined;
  readonly learning: LearningTerms | undefined;
  // Machines without power. Nothing answers there, not even with a connection reset.
  readonly silent: Set<string>;
}
export function sleep(g: Ground, us: number): Promise<void> {
  return new Promise((ok) => g.engine.at(g.engine.now() + us, ok));
}
export function oneOf<T>(xs: readonly T[], share: number): T | undefined {
  return xs[Math.min(xs.length - 1, Math.floor(share * xs.length))];
}
