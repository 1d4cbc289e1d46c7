/**
 * The troubles of a day, drawn from a seed in virtual seconds from the start of traffic. At most one machine that
 * holds a place of the core is lost at once, and the next trouble there waits until the one before has been caught up.
 */

export const passedTroubleKinds = [
  'crowd',
  'worker-crash',
  'worker-dark',
  'worker-gone',
  'worker-withdrawn',
  'decode-withdrawn',
  'worker-power',
  'release',
  'answers-lost',
  'answers-garbled',
  'workers-fail',
  'connections-reset',
  'router-kill',
  'router-power',
  'router-freeze',
  'router-roll',
  'router-roll-all',
  'machine-roll-all',
  'router-cut',
  'herd-kill',
  'slow-moves',
  'lapse',
  'list-down',
  'config-change',
  'config-race',
  'config-storm',
  'config-invalid',
  'seeds-exchanged',
  'seeds-scattered',
  'keeper-kill',
  'keeper-power',
  'keeper-freeze',
  'keeper-roll',
  'keeper-cut',
  'keeper-one-way',
  'core-cut',
  'core-replaced',
  'core-replaced-planned',
  'disk-wiped-after-ack',
  'disk-full',
  'disk-stalled',
  'disk-slow',
] as const;
/**
 * Troubles of all workers of one stage of the main service, one after the other; days draw none of these. Workers that
 * crash or lose power never come back, and are listed for a while. Silent ones are listed all along, take connections and
 * answer nothing for as long as the trouble lasts.
 */
export const stageTroubleKinds = [
  'decode-crash',
  'decode-power',
  'decode-silent',
  'prefill-crash',
  'prefill-power',
  'prefill-silent',
] as const;
export type StageTroubleKind = (typeof stageTroubleKinds)[number];
/** Those that only a deployment with tenants has: changes of keys, and a large tenant that sends many times the usual. */
export const tenantTroubleKinds = ['key-taken', 'key-given', 'key-moved', 'tenant-presses'] as const;
export type PassedTroubleKind =
  (typeof passedTroubleKinds)[number] | StageTroubleKind | (typeof tenantTroubleKinds)[number];
export interface PassedTrouble {
  readonly at: number;
  readonly do: PassedTroubleKind;
  readonly for: number;
  // Which of those it may hit, as a share from 0 to 1.
  readonly who: number;
}
const core: ReadonlySet<PassedTroubleKind> = new Set([
  'machine-roll-all',
  'herd-kill',
  'keeper-kill',
  'keeper-power',
  'keeper-freeze',
  'keeper-roll',
  'keeper-cut',
  'keeper-one-way',
  'core-cut',
  'core-replaced',
  'core-replaced-planned',
  'disk-wiped-after-ack',
  'disk-full',
  'disk-stalled',
  'disk-slow',
]);
const catchUp = 7;

// With `only`, draws a dozen troubles of these kinds, else a few of `all`.
export function drawPassedTroubles(
  random: () => number,
  span: number,
  only?: readonly PassedTroubleKind[],
  all: readonly PassedTroubleKind[] = passedTroubleKinds,
): PassedTrouble[] {
  const some = only ?? all;
  const n = only === undefined ? 2 + Math.floor(random() * 7) : 12;
  const out: PassedTrouble[] = [];
  for (let i = 0; i < n; i += 1) {
    const kind = some[Math.floor(random() * some.length)]!;
    const long = 0.5 + random() * 4;
    out.push({ at: 1 + random() * (span - 2), do: kind, for: long, who: random() });
  }
  out.sort((a, b) => a.at - b.at);
  let free = 0;
  return out.filter((t) => {
    if (!core.has(t.do)) return true;
    if (t.at < free) return false;
    free = t.at + t.for + catchUp;
    return true;
  });
}
