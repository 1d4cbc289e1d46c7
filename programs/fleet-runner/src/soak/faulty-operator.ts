/** An operator that submits invalid configurations now and then; none of them may be accepted. */
import type { SoakAdapter, SoakMachine } from './soak-adapter.js';
import { exchange } from './soak-client.js';
import { pick } from './pick.js';
import type { SoakViolation } from './soak-verdict.js';

export interface FaultyOperatorOptions {
  readonly adapter: SoakAdapter;
  /** The machines that are called, at random. */
  readonly machines: readonly SoakMachine[];
  /** The newest revision that was acknowledged to the other operator. */
  readonly acknowledged: () => number;
  readonly isFinished: () => boolean;
  readonly random: () => number;
}

const maxPauseMs = 800;

/** Submits until `isFinished`; resolves to a violation for each configuration that was accepted. */
export async function submitFaultyChanges(options: FaultyOperatorOptions): Promise<SoakViolation[]> {
  const { adapter, machines, acknowledged, random } = options;
  const violations: SoakViolation[] = [];
  while (!options.isFinished()) {
    const base = acknowledged();
    const call = pick(adapter.faultyInput.changes(base + 1, base), random());
    const { answer } = await exchange(pick(machines, random()).ip, call);
    if (answer?.status === 200)
      violations.push({ rule: 'changes', detail: `an invalid change was accepted: ${call.body.slice(0, 200)}` });
    await new Promise((resolve) => setTimeout(resolve, maxPauseMs * random()));
  }
  return violations;
}
