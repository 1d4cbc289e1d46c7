/**
 * The faults of a run, drawn from a seed, in virtual seconds from the start of traffic. At most one machine with a
 * replica of the control state is lost at a time; the next control cluster fault waits until the machine has caught up.
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
 * Faults of all workers of one stage of the main service, one after the other. These are never drawn at random. Workers
 * that crash or lose power never return, and stay listed for a while. Silent ones stay listed, accept connections and
 * answer nothing while the fault lasts.
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
/** Faults of deployments with tenants: key changes, and a large tenant that sends many times its usual rate. */
export const tenantTroubleKinds = ['key-taken', 'key-given', 'key-moved', 'tenant-presses'] as const;
export type PassedTroubleKind =
  (typeof passedTroubleKinds)[number] | StageTroubleKind | (typeof tenantTroubleKinds)[number];
export interface PassedTrouble {
  readonly at: number;
  readonly do: PassedTroubleKind;
  readonly for: number;
  // Selects the target among all candidates, as a fraction from 0 to 1.
  readonly who: number;
}
const controlClusterFaults: ReadonlySet<PassedTroubleKind> = new Set([
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
const catchUpSeconds = 7;

// Draws twelve faults of the kinds `only` if given, else two to eight of `all`.
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
  let nextAllowedAt = 0;
  return out.filter((t) => {
    if (!controlClusterFaults.has(t.do)) return true;
    if (t.at < nextAllowedAt) return false;
    nextAllowedAt = t.at + t.for + catchUpSeconds;
    return true;
  });
}
