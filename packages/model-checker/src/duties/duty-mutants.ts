/** Mutation testing of the duty checks: runs them on sources from which one guard is removed. */
import { bundleMutant, runInThread, type CheckError } from '../mutants.js';
import type { Mutation } from '../mutations.js';
import type { DutyCheckResult, DutyCheckOptions } from './check-duties.js';

/** Runs the duty checks on the sources of a checkout with one mutation, or with none. */
export async function runDutyMutant(
  root: string,
  name: string,
  mutation: Mutation | undefined,
  options: DutyCheckOptions,
  limitMs: number,
): Promise<DutyCheckResult | CheckError> {
  try {
    const file = await bundleMutant(root, 'duties/duty-mutant-worker.ts', name, mutation);
    return await runInThread<DutyCheckResult>(file, options, limitMs);
  } catch (error) {
    return { error: error instanceof Error ? error.message : String(error) };
  }
}
