/** Simulates and scores one virtual day of a site. */
import { playPassedDay } from '../pass-through/passed-day.js';
import type { PassedTrouble } from '../pass-through/passed-troubles.js';
import { scoreDay, type DecisionScore } from './decision-score.js';
import type { DecisionSite } from './decision-sites.js';

/** The days on which routing decisions are compared. */
export const decisionDays = ['calm', 'crowd', 'trouble'] as const;
/** One of `decisionDays`. */
export type DecisionDay = (typeof decisionDays)[number];

/** The parameters of one simulated day. */
export interface DecisionRun {
  readonly site: DecisionSite;
  readonly day: DecisionDay;
  readonly seed: number;
  /** How long traffic lasts. */
  readonly durationSeconds: number;
}

function fault(at: number, kind: PassedTrouble['do'], duration: number, target: number): PassedTrouble {
  return { at, do: kind, for: duration, who: target };
}

/** The load of each day relative to the calm day. */
const relativeLoads: Readonly<Record<DecisionDay, number>> = { calm: 1, crowd: 1.5, trouble: 1.3 };

function faultsOf(day: DecisionDay, durationSeconds: number): PassedTrouble[] {
  if (day === 'calm') return [];
  if (day === 'crowd')
    return [
      fault(0.4 * durationSeconds, 'config-change', 1, 0.5),
      fault(0.5 * durationSeconds, 'worker-power', 3, 0.3),
    ];
  return [
    fault(0.2 * durationSeconds, 'worker-dark', 4, 0.2),
    fault(0.22 * durationSeconds, 'worker-dark', 4, 0.55),
    fault(0.25 * durationSeconds, 'worker-power', 4, 0.8),
    fault(0.4 * durationSeconds, 'router-power', 3, 0.5),
    fault(0.45 * durationSeconds, 'config-change', 1, 0.5),
    fault(0.55 * durationSeconds, 'workers-fail', 2, 0.5),
    fault(0.7 * durationSeconds, 'lapse', 3, 0.5),
    fault(0.75 * durationSeconds, 'worker-crash', 1, 0.35),
  ];
}

/** Simulates a day and scores it. The score is deterministic for the same parameters. */
export async function playDecisionDay({ site, day, seed, durationSeconds }: DecisionRun): Promise<DecisionScore> {
  const { history } = await playPassedDay({
    deployment: site.deployment,
    seed,
    span: durationSeconds,
    troubles: faultsOf(day, durationSeconds),
    closing: 'none',
    replicas: site.replicas,
    shared: site.colocatedRouters,
    rate: relativeLoads[day],
  });
  return scoreDay(history, site);
}
