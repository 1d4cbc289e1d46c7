/** Weighs the planner's orders on the closed model against all workers always, no orders at all, and an oracle. */
import {
  createScalePlanner,
  decodeScaleOrder,
  scaleSubject,
  defaultThresholds,
  type ScalingThresholds,
} from '@tansypost/scaling';
import {
  playDay,
  type DayStatistics,
  type DemandDay,
  type FleetModelOptions,
  type ScalePolicy,
} from './fleet-model.js';

/** One policy on one day, over all seeds. */
export interface PolicyStatistics extends DayStatistics {
  readonly day: string;
  readonly policy: string;
  /** Worth earned of worth owed, less the price of the workers. */
  readonly value: number;
}

/** What is earned, in the worth of a request that is in time, and what a second of a worker costs in it. */
export interface Pricing {
  readonly lateRequestValue: number;
  readonly workerSecondCost: number;
}

/** The model's fleet: prompts keep half of its prefill workers busy on a usual day. */
export const defaultFleet: FleetModelOptions = {
  zones: 4,
  initialWorkers: 24,
  minWorkers: 16,
  maxWorkers: 48,
  bootTime: 8,
  prefillShare: 0.4,
  prefillTime: 0.08,
  prefillSpread: 1.3,
  decodeTime: 0.2,
  slots: 48,
  targetLatency: 0.8,
  deadline: 8,
};

/** A late request earns a third; a worker's second costs as much as a fifth of a request in time earns. */
export const defaultPricing: Pricing = { lateRequestValue: 0.3, workerSecondCost: 0.2 };

const length = 180;
function never(): boolean {
  return false;
}
function day(name: string, load: DemandDay['load'], isLost: DemandDay['isLost'] = never): DemandDay {
  return { name, length, load, isLost };
}
function wave(at: number, zone: number): number {
  return 1 + 0.15 * Math.sin((2 * Math.PI * at) / 11 + zone);
}

/** The days that are weighed; loads are those of the prefill workers of the start. */
export const comparisonDays: readonly DemandDay[] = [
  day('calm wave', (at, zone) => 0.55 * wave(at, zone)),
  day('busy wave', (at, zone) => 0.75 * wave(at, zone)),
  day('lull of 90 s', (at, zone) => (at > 60 && at < 150 ? 0.2 : 0.55) * wave(at, zone)),
  day('slow rise to 2.2 times', (at) => 0.55 * (1 + (1.2 * Math.min(at, 120)) / 120)),
  day('rise to 2.4 times in 20 s', (at) => 0.55 * (1 + (1.4 * Math.min(20, Math.max(0, at - 60))) / 20)),
  day('step to 1.8 times for 60 s', (at) => (at > 60 && at < 120 ? 1 : 0.55)),
  day('ten spikes of 3 s to 1.8 times', (at) => (at % 18 > 15 ? 1 : 0.55)),
  day(
    'busiest zone lost for 30 s',
    (at, zone) => 0.55 * wave(at, zone),
    (at, zone) => zone === 0 && at > 60 && at < 90,
  ),
];

function always(name: string, number: number, shape: FleetModelOptions): ScalePolicy {
  return { name, decide: () => new Array<number>(shape.zones).fill(number) };
}

/** The planner, with the role held by one node all day and orders accepted at once. */
export function plannerPolicy(
  shape: FleetModelOptions,
  thresholds: ScalingThresholds = defaultThresholds,
): ScalePolicy {
  const record = new Map<string, number>();
  const { minWorkers: least, maxWorkers: most, bootTime } = shape;
  const planner = createScalePlanner({
    services: () => [{ name: 's', scaling: { minWorkers: least, maxWorkers: most, bootTime: bootTime * 1_000_000 } }],
    lastOrdered: (subject) => record.get(subject),
    thresholds: thresholds,
  });
  function look(at: number, { workers, loads }: Parameters<ScalePolicy['decide']>[1]): readonly number[] {
    const now = at * 1_000_000;
    planner.observe(now, { workers, loads, listAge: 0 });
    for (const { subject, content } of planner.plan(now)) record.set(subject, decodeScaleOrder(content)!.workers);
    return Array.from(
      { length: shape.zones },
      (_, zone) => record.get(scaleSubject('s', `z${zone}`)) ?? shape.initialWorkers,
    );
  }
  return { name: 'planner', decide: look };
}

/** Knows the load of the day, a boot time ahead and for as long behind, and orders what keeps it at 0.7. */
function oracle(shape: FleetModelOptions, { load, isLost }: DemandDay): ScalePolicy {
  const aimed = 0.7;
  function highest(at: number, zone: number): number {
    const moments = Array.from({ length: 2 * shape.bootTime }, (_, n) => at - shape.bootTime / 2 + n);
    return Math.max(...moments.map((moment) => loadWithLost(Math.max(0, moment), zone)));
  }
  function loadWithLost(at: number, zone: number): number {
    const zones = Array.from({ length: shape.zones }, (_, index) => index);
    const lost = zones.filter((other) => isLost(at, other));
    if (lost.includes(zone)) return load(at, zone);
    return load(at, zone) + lost.reduce((sum, other) => sum + load(at, other), 0) / (shape.zones - lost.length);
  }
  function number(at: number, zone: number): number {
    const wanted = Math.ceil((highest(at, zone) * shape.initialWorkers) / aimed);
    return Math.min(shape.maxWorkers, Math.max(shape.minWorkers, wanted));
  }
  return { name: 'oracle', decide: (at) => Array.from({ length: shape.zones }, (_, zone) => number(at, zone)) };
}

function policiesFor(shape: FleetModelOptions, demand: DemandDay): readonly ScalePolicy[] {
  return [
    always('all always', shape.maxWorkers, shape),
    always('as at the start', shape.initialWorkers, shape),
    always('least always', shape.minWorkers, shape),
    plannerPolicy(shape),
    oracle(shape, demand),
  ];
}

/** Plays each day under each policy with the seeds from 1 on. */
export function compareScalingPolicies(
  seeds: number,
  shape: FleetModelOptions = defaultFleet,
  worths: Pricing = defaultPricing,
  days: readonly DemandDay[] = comparisonDays,
): readonly PolicyStatistics[] {
  return days.flatMap((demand) => {
    const names = policiesFor(shape, demand).map(({ name }) => name);
    return names.map((policy, index) => {
      const plays = Array.from({ length: seeds }, (_, seed) =>
        playDay(shape, demand, policiesFor(shape, demand)[index]!, seed + 1),
      );
      return weighed(demand.name, policy, plays, worths);
    });
  });
}

function weighed(demand: string, policy: string, plays: readonly DayStatistics[], worths: Pricing): PolicyStatistics {
  function sum(of: (figures: DayStatistics) => number): number {
    return plays.reduce((all, figures) => all + of(figures), 0);
  }
  const [requests, late, failed] = [sum((f) => f.requests), sum((f) => f.late), sum((f) => f.failed)];
  const workerSeconds = sum((f) => f.workerSeconds);
  const earned = requests - failed - late * (1 - worths.lateRequestValue);
  const value = (earned - workerSeconds * worths.workerSecondCost) / requests;
  return { day: demand, policy, requests, late, failed, workerSeconds, orders: sum((f) => f.orders), value };
}
