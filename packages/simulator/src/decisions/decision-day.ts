/** One virtual day of a site, scored. */
import { playPassedDay } from '../pass-through/passed-day.js';
import type { PassedTrouble } from '../pass-through/passed-troubles.js';
import { scoreDay, type DecisionScore } from './decision-score.js';
import type { DecisionSite } from './decision-sites.js';

/** The days that decisions are compared on. */
export const decisionDays = ['calm', 'crowd', 'trouble'] as const;
/** One of `decisionDays`. */
export type DecisionDay = (typeof decisionDays)[number];

/** Which day of a site is played, and how. */
export interface DecisionRun {
  readonly site: DecisionSite;
  readonly day: DecisionDay;
  readonly seed: number;
  /** Seconds of traffic. */
  readonly durationSeconds: number;
}

function trouble(at: number, what: PassedTrouble['do'], lasting: number, who: number): PassedTrouble {
  return { at, do: what, for: lasting, who };
}

/** By how much the load of a day is above the calm day's. */
const loads: Readonly<Record<DecisionDay, number>> = { calm: 1, crowd: 1.5, trouble: 1.3 };

function troublesOf(day: DecisionDay, span: number): PassedTrouble[] {
  if (day === 'calm') return [];
  if (day === 'crowd')
    return [trouble(0.4 * span, 'config-change', 1, 0.5), trouble(0.5 * span, 'worker-power', 3, 0.3)];
  return [
    trouble(0.2 * span, 'worker-dark', 4, 0.2),
    trouble(0.22 * span, 'worker-dark', 4, 0.55),
    trouble(0.25 * span, 'worker-power', 4, 0.8),
    trouble(0.4 * span, 'router-power', 3, 0.5),
    trouble(0.45 * span, 'config-change', 1, 0.5),
    trouble(0.55 * span, 'workers-fail', 2, 0.5),
    trouble(0.7 * span, 'lapse', 3, 0.5),
    trouble(0.75 * span, 'worker-crash', 1, 0.35),
  ];
}

/** Plays the day and scores it; the same run gives the same score. */
export async function playDecisionDay({ site, day, seed, durationSeconds: span }: DecisionRun): Promise<DecisionScore> {
  const { history } = await playPassedDay({
    d: site.deployment,
    seed,
    span,
    troubles: troublesOf(day, span),
    closing: 'none',
    replicas: site.replicas,
    shared: site.colocatedRouters,
    rate: loads[day],
  });
  return scoreDay(history, site);
}
