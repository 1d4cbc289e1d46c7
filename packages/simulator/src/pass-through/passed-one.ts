/** One random run of a deployment: draws its faults, simulates and checks it, and counts the outcomes of requests. */
import { createSeededRandom } from '@tansypost/inner-protocol';
import { checkPassed, type PassedBreach } from './passed-checks.js';
import { playPassedDay, type Closing, type PassedDayOptions } from './passed-day.js';
import type { PassedDeployment } from './passed-deployment.js';
import type { PassedHistory } from './passed-history.js';
import {
  drawPassedTroubles,
  passedTroubleKinds,
  tenantTroubleKinds,
  type PassedTrouble,
  type PassedTroubleKind,
} from './passed-troubles.js';

export interface PassedOne {
  readonly seed: number;
  readonly troubles: readonly PassedTrouble[];
  readonly breaches: readonly PassedBreach[];
  readonly history: PassedHistory;
  readonly events: number;
  readonly tasks: number;
  readonly served: number;
  readonly inTime: number;
  readonly ends: Record<string, number>;
  readonly figures: readonly Record<string, unknown>[];
  readonly margins: PassedMargins;
}
// Maxima of the run, in seconds: until a document was acknowledged, from then until a router applied it, from a worker
// being listed as leaving until a request reached it, and from a full outage until the first complete response.
export interface PassedMargins {
  readonly acknowledged: number;
  readonly governed: number;
  readonly leaving: number;
  readonly backAfter: number;
}
const closings: readonly Closing[] = ['none', 'none', 'all-killed', 'all-lose-power', 'one-disk-lost'];
export const passedSpan = 20;

function marginsOf(history: PassedHistory): PassedMargins {
  let [acknowledged, governed, leaving, backAfter] = [0, 0, 0, 0];
  for (const c of history.changes.filter((x) => x.answer === 'taken')) {
    acknowledged = Math.max(acknowledged, c.answeredAt! - c.at);
    for (const l of history.lives) {
      const a = history.applied.find((x) => x.router === l.router && x.life === l.life && x.revision >= c.revision);
      if (a !== undefined) governed = Math.max(governed, a.at - Math.max(l.from, c.answeredAt!));
    }
  }
  for (const a of history.arrivals)
    if (!a.wasMisdirected) leaving = Math.max(leaving, a.at - (history.leavingVisibleAt.get(a.worker) ?? Infinity));
  for (const at of history.outageEnds) {
    const first = history.tries.find((t) => t.ended === 'whole' && t.readAt! > at);
    backAfter = Math.max(backAfter, (first?.end ?? history.to) - at);
  }
  function seconds(us: number): number {
    return Math.round(us / 1e4) / 100;
  }
  return {
    acknowledged: seconds(acknowledged),
    governed: seconds(governed),
    leaving: seconds(leaving),
    backAfter: seconds(backAfter),
  };
}

export async function playPassedOne(
  deployment: PassedDeployment,
  seed: number,
  over: Partial<PassedDayOptions> = {},
  only?: readonly PassedTroubleKind[],
): Promise<PassedOne> {
  const random = createSeededRandom(seed * 40503 + 7);
  const closing = closings[seed % closings.length]!;
  const span = over.span ?? passedSpan;
  const kinds = deployment.tenants === undefined ? passedTroubleKinds : [...passedTroubleKinds, ...tenantTroubleKinds];
  const troubles = over.troubles ?? drawPassedTroubles(random, span - (closing === 'none' ? 0 : 8), only, kinds);
  const day = await playPassedDay({
    deployment,
    seed,
    span,
    troubles,
    closing,
    replicas: random() < 0.3 ? 5 : 3,
    ...over,
  });
  const history = day.history;
  const ends: Record<string, number> = {};
  for (const t of history.tries) {
    const k = t.ended === 'refused' || t.ended === 'gave_up' ? `${t.ended} ${t.why}` : t.ended;
    ends[k] = (ends[k] ?? 0) + 1;
  }
  const firstAt = new Map<number, number>();
  const served = new Map<number, boolean>();
  const targetLatencies = new Map(deployment.kinds.map((k) => [k.name, k.aim]));
  for (const t of history.tries) {
    if (!firstAt.has(t.task)) firstAt.set(t.task, t.at);
    if (t.ended !== 'whole') continue;
    const at = t.streaming ? (t.firstByteAt ?? t.end!) : t.end!;
    served.set(t.task, at - firstAt.get(t.task)! <= targetLatencies.get(t.kind)!);
  }
  return {
    seed,
    troubles,
    breaches: checkPassed(history, deployment),
    history,
    events: day.events,
    tasks: firstAt.size,
    served: served.size,
    inTime: [...served.values()].filter((x) => x).length,
    ends,
    figures: day.figures,
    margins: marginsOf(history),
  };
}
