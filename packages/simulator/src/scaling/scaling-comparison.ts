/** Compares the scale planner on the closed fleet model with constant worker counts and with an oracle. */
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

/** The result of one policy on one day, summed over all seeds. */
export interface PolicyStatistics extends DayStatistics {
  readonly day: string;
  readonly policy: string;
  /** The value earned per request, minus the cost of the workers per request. */
  readonly value: number;
}

/** Values and costs, in units of the value of a request served in time. */
export interface Pricing {
  readonly lateRequestValue: number;
  readonly workerSecondCost: number;
}

/** The default fleet, whose prefill workers are about half busy on a normal day. */
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

/** A late request is worth 0.3 and a worker second costs 0.2 of a request served in time. */
export const defaultPricing: Pricing = { lateRequestValue: 0.3, workerSecondCost: 0.2 };

const dayLength = 180;
function never(): boolean {
  return false;
}
function day(name: string, load: DemandDay['load'], isLost: DemandDay['isLost'] = never): DemandDay {
  return { name, length: dayLength, load, isLost };
}
function wave(at: number, zone: number): number {
  return 1 + 0.15 * Math.sin((2 * Math.PI * at) / 11 + zone);
}

/** The days of the comparison; loads are utilizations of the initial prefill workers. */
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

function constantPolicy(name: string, count: number, fleet: FleetModelOptions): ScalePolicy {
  return { name, decide: () => new Array<number>(fleet.zones).fill(count) };
}

/** The planner as run by a single leader all day, with orders that are accepted immediately. */
export function plannerPolicy(
  fleet: FleetModelOptions,
  thresholds: ScalingThresholds = defaultThresholds,
): ScalePolicy {
  const orderedCounts = new Map<string, number>();
  const { minWorkers, maxWorkers, bootTime } = fleet;
  const planner = createScalePlanner({
    services: () => [{ name: 's', scaling: { minWorkers, maxWorkers, bootTime: bootTime * 1_000_000 } }],
    lastOrdered: (subject) => orderedCounts.get(subject),
    thresholds: thresholds,
  });
  function decide(at: number, { workers, loads }: Parameters<ScalePolicy['decide']>[1]): readonly number[] {
    const now = at * 1_000_000;
    planner.observe(now, { workers, loads, listAge: 0 });
    for (const { subject, content } of planner.plan(now))
      orderedCounts.set(subject, decodeScaleOrder(content)!.workers);
    return Array.from(
      { length: fleet.zones },
      (_, zone) => orderedCounts.get(scaleSubject('s', `z${zone}`)) ?? fleet.initialWorkers,
    );
  }
  return { name: 'planner', decide };
}

/**
 * Knows the true load of the day. Orders enough workers to keep the utilization at 0.7 at the peakLoad load from half a
 * boot time before to one and a half boot times after the current time.
 */
function oracle(fleet: FleetModelOptions, { load, isLost }: DemandDay): ScalePolicy {
  const targetUtilization = 0.7;
  function peakLoad(at: number, zone: number): number {
    const moments = Array.from({ length: 2 * fleet.bootTime }, (_, offset) => at - fleet.bootTime / 2 + offset);
    return Math.max(...moments.map((moment) => loadIncludingLost(Math.max(0, moment), zone)));
  }
  function loadIncludingLost(at: number, zone: number): number {
    const zones = Array.from({ length: fleet.zones }, (_, index) => index);
    const lost = zones.filter((other) => isLost(at, other));
    if (lost.includes(zone)) return load(at, zone);
    return load(at, zone) + lost.reduce((sum, other) => sum + load(at, other), 0) / (fleet.zones - lost.length);
  }
  function workerCount(at: number, zone: number): number {
    const wanted = Math.ceil((peakLoad(at, zone) * fleet.initialWorkers) / targetUtilization);
    return Math.min(fleet.maxWorkers, Math.max(fleet.minWorkers, wanted));
  }
  return { name: 'oracle', decide: (at) => Array.from({ length: fleet.zones }, (_, zone) => workerCount(at, zone)) };
}

function policiesFor(fleet: FleetModelOptions, demand: DemandDay): readonly ScalePolicy[] {
  return [
    constantPolicy('constant maximum', fleet.maxWorkers, fleet),
    constantPolicy('constant initial count', fleet.initialWorkers, fleet),
    constantPolicy('constant minimum', fleet.minWorkers, fleet),
    plannerPolicy(fleet),
    oracle(fleet, demand),
  ];
}

/** Simulates each day under each policy with the seeds 1 to `seeds`. */
export function compareScalingPolicies(
  seeds: number,
  fleet: FleetModelOptions = defaultFleet,
  pricing: Pricing = defaultPricing,
  days: readonly DemandDay[] = comparisonDays,
): readonly PolicyStatistics[] {
  return days.flatMap((demand) => {
    const names = policiesFor(fleet, demand).map(({ name }) => name);
    return names.map((policy, index) => {
      const results = Array.from({ length: seeds }, (_, seed) =>
        playDay(fleet, demand, policiesFor(fleet, demand)[index]!, seed + 1),
      );
      return summarize(demand.name, policy, results, pricing);
    });
  });
}

function summarize(demand: string, policy: string, days: readonly DayStatistics[], pricing: Pricing): PolicyStatistics {
  function sum(valueOf: (statistics: DayStatistics) => number): number {
    return days.reduce((total, statistics) => total + valueOf(statistics), 0);
  }
  const [requests, late, failed] = [
    sum((statistics) => statistics.requests),
    sum((statistics) => statistics.late),
    sum((statistics) => statistics.failed),
  ];
  const workerSeconds = sum((statistics) => statistics.workerSeconds);
  const valueEarned = requests - failed - late * (1 - pricing.lateRequestValue);
  const value = (valueEarned - workerSeconds * pricing.workerSecondCost) / requests;
  return {
    day: demand,
    policy,
    requests,
    late,
    failed,
    workerSeconds,
    orders: sum((statistics) => statistics.orders),
    value,
  };
}
