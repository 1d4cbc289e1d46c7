/**
 * When a rehearsal is analysed, and how much of the error rate each interim analysis may spend. The analyses are fixed in
 * advance by the treatment cohort's count, as in Lan and DeMets, "Discrete sequential boundaries for clinical trials"
 * (Biometrika 70, 1983). The sum over the analyses is bounded by the error rate (Bonferroni) instead of using their
 * joint distribution: that needs somewhat more requests, but holds whatever the dependence between results. Nothing is
 * decided between analyses. The last analysis, when time is up, spends all that is left.
 */

/** The chance of a wrong verdict over all analyses. */
const errorRate = 0.05;
/** The share of it that each analysis may spend. */
const spendingShares = [0.15, 0.2, 0.25, 0.2, 0.2];

/** The cohort's count at which an analysis (numbered from 0) is due; each has twice the requests of the previous. */
export function requestsAtAnalysis(analysis: number, options: { readonly minCount: number }): number {
  return analysis < spendingShares.length ? options.minCount * 2 ** analysis : Infinity;
}

/** The chance of a wrong verdict that an analysis may take; the last one, at any count, takes all that is left. */
export function errorBudgetOf(analysis: number, last: boolean): number {
  const left = errorRate * spendingShares.slice(analysis).reduce((sum, share) => sum + share, 0);
  return last ? left : errorRate * (spendingShares[analysis] ?? 0);
}
