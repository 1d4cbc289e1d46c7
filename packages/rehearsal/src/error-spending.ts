/**
 * When a rehearsal is looked at (interim analyses), and how much of the error each look may spend. The looks are fixed by
 * the slice's count beforehand, as in Lan and DeMets, "Discrete sequential boundaries for clinical trials" (Biometrika 70,
 * 1983). What a look may spend is bounded by the plain sum over the looks (Bonferroni) and not by the joint law of the
 * looks: that costs some requests more, but holds however the answers depend on each other. Nothing is decided between
 * the looks. The last look, when time is up, spends what is left.
 */

/** The chance of a wrong verdict over all looks. */
const level = 0.05;
/** The part of it that each look may spend. */
const spending = [0.15, 0.2, 0.25, 0.2, 0.2];

/** The slice's count at which a look is due, from 0 on; each look has twice the requests of the one before. */
export function requestsAtAnalysis(look: number, options: { readonly minCount: number }): number {
  return look < spending.length ? options.minCount * 2 ** look : Infinity;
}

/** What a look may spend; the last one, at whatever count, all that is left. */
export function errorBudgetOf(look: number, last: boolean): number {
  const left = level * spending.slice(look).reduce((sum, part) => sum + part, 0);
  return last ? left : level * (spending[look] ?? 0);
}
