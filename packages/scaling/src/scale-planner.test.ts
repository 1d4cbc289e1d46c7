/** Scale orders planned from scripted worker lists and loads, in virtual time. */
import { expect, it } from 'vitest';
import type { ListedWorker, WorkerLoad } from '@tansypost/control-feed';
import { micros } from '@tansypost/inner-protocol';
import type { ScalingBounds } from '@tansypost/paths';
import { createScalePlanner, decodeScaleOrder, scaleSubject, type ScaledService } from './index.js';

/** The workers of a zone and the load that they report; without a load none of them reports. */
interface ZoneSetup {
  readonly workers: number;
  readonly load?: number;
  readonly leaving?: number;
}
type FleetSetup = Readonly<Record<string, ZoneSetup>>;

const second = 1_000_000;
const slots = 10;
const bounds: ScalingBounds = { minWorkers: 4, maxWorkers: 40, bootTime: 4 * second };
const steadyLoad: FleetSetup = inAllZones(20, 0.75);

function inAllZones(workers: number, load?: number): FleetSetup {
  const zone: ZoneSetup = load === undefined ? { workers } : { workers, load };
  return { west: zone, east: zone, north: zone };
}

function worker(id: string, zone: string, index: number, leaving: boolean): ListedWorker {
  const part = index % 2 === 0 ? 'prefill' : 'decode';
  return { id, service: 's', address: `${id}:1`, zone, slots, leaving, coldMs: 0, part };
}

/** The report of a worker in a zone whose prefill workers have the given load, and its decode workers half of it. */
function reportOf({ part, id }: ListedWorker, index: number, zone: ZoneSetup, at: number): WorkerLoad {
  const load = zone.load!;
  const isBusy = Math.floor(((index >> 1) + 1) * load) > Math.floor((index >> 1) * load);
  // One queued prompt does not count as load.
  const waiting = load > 1 ? 1 + Math.round((load - 1) * 4) : 0;
  const queues =
    part === 'prefill'
      ? { active: isBusy || load >= 1 ? 1 : 0, queued: waiting }
      : { active: Math.min(slots, Math.round(load * slots * 0.5)), queued: 0 };
  return { id, ...queues, kvUsed: 0, kvTotal: 100, part, silent: false, at: micros(at) };
}

function viewOf(fleet: FleetSetup, now: number) {
  const workers: ListedWorker[] = [];
  const loads = new Map<string, WorkerLoad>();
  for (const [name, zone] of Object.entries(fleet)) {
    for (let index = 0; index < zone.workers; index += 1) {
      const listed = worker(`${name}${index}`, name, index, index < (zone.leaving ?? 0));
      workers.push(listed);
      if (zone.load !== undefined) loads.set(listed.id, reportOf(listed, index, zone, now));
    }
  }
  return { workers, loads };
}

/** A planner with its duty's record, in which orders are accepted at once. */
function createScenario(service: ScaledService = { name: 's', scaling: bounds }, record = new Map<string, number>()) {
  const settings = { service };
  const planner = createScalePlanner({
    services: () => [settings.service],
    lastOrdered: (subject) => record.get(subject),
  });
  const orders: string[] = [];
  let now = 0;

  /** Runs for `seconds` with the given fleet, which may depend on the seconds elapsed; returns the orders planned. */
  function run(
    seconds: number,
    fleet: FleetSetup | ((elapsed: number) => FleetSetup),
    overrides: { listAge?: number } = {},
  ): string[] {
    const previous = orders.length;
    const startedAt = now;
    for (; now < startedAt + seconds * second; now += second / 2) {
      const current = typeof fleet === 'function' ? fleet((now - startedAt) / second) : fleet;
      planner.observe(now, { listAge: 0, ...overrides, ...viewOf(current, now) });
      for (const { subject, content } of planner.plan(now)) {
        const order = decodeScaleOrder(content)!;
        expect(subject).toBe(scaleSubject(order.service, order.zone));
        record.set(subject, order.workers);
        orders.push(`${order.zone} ${order.workers}`);
      }
    }
    return orders.slice(previous);
  }
  function ordered(zone: string): number | undefined {
    return record.get(scaleSubject('s', zone));
  }
  return { run, ordered, record, settings, planner };
}

it('first orders the number of workers present, of both stages and without leaving ones, once per service and zone', () => {
  const scenario = createScenario();
  expect(scenario.run(2.5, steadyLoad)).toEqual([]);
  expect(scenario.run(10, { ...steadyLoad, west: { workers: 20, load: 0.75, leaving: 2 } }).sort()).toEqual([
    'east 20',
    'north 20',
    'west 18',
  ]);
  expect(scenario.run(20, { ...steadyLoad, west: { workers: 20, load: 0.75, leaving: 2 } })).toEqual([]);
});

it('delays the first order while the worker list still changes, up to a limit', () => {
  const growing = createScenario();
  expect(growing.run(8, (elapsed) => inAllZones(2 * Math.floor(elapsed), 0.5))).toEqual([]);
  expect(growing.run(5, inAllZones(16, 0.5))).toEqual(['west 16', 'east 16', 'north 16']);
  const unstable = createScenario();
  unstable.run(12, (elapsed) => inAllZones(elapsed % 2 < 1 ? 20 : 21, 0.5));
  expect(unstable.ordered('west')).toBe(21);
});

it('orders the number of workers seen before if a zone is lost before its first order', () => {
  const scenario = createScenario();
  scenario.run(1, steadyLoad);
  scenario.run(12, { ...steadyLoad, west: { workers: 0 } });
  expect([scenario.ordered('west'), scenario.ordered('east')]).toEqual([20, 20]);
});

it.each([
  ['fewer than the minimum', 2, 4],
  ['more than the maximum', 50, 40],
])('keeps the first order within the bounds: %s', (_case, workers, expected) => {
  const scenario = createScenario();
  scenario.run(5, inAllZones(workers));
  expect(scenario.ordered('west')).toBe(expected);
});

it('never orders beyond the bounds at any load, and applies changed bounds', () => {
  const busy = createScenario();
  busy.run(60, inAllZones(20, 2));
  expect(busy.ordered('west')).toBe(40);
  const idle = createScenario();
  idle.run(400, () => inAllZones(Math.min(20, idle.ordered('west') ?? 20), 0.01));
  expect(idle.ordered('west')).toBe(4);
  idle.settings.service = { name: 's', scaling: { ...bounds, minWorkers: 9 } };
  idle.run(2, inAllZones(4, 0.01));
  expect(idle.ordered('west')).toBe(9);
});

it('orders nothing for a service without scaling', () => {
  const scenario = createScenario({ name: 's' });
  expect(scenario.run(30, steadyLoad)).toEqual([]);
});

it('scales up within seconds of a sustained load, and orders nothing more while the new workers boot', () => {
  const scenario = createScenario();
  scenario.run(10, steadyLoad);
  const orders = scenario.run(4, inAllZones(20, 1));
  expect(orders.sort()).toEqual(['east 24', 'north 24', 'west 24']);
  expect(scenario.run(3, inAllZones(20, 1))).toEqual([]);
});

it('orders nothing for spikes that last a second', () => {
  const scenario = createScenario();
  scenario.run(10, steadyLoad);
  expect(scenario.run(40, (elapsed) => inAllZones(20, elapsed % 5 < 1 ? 2 : 0.5))).toEqual([]);
});

it('extrapolates a growing load by the boot time', () => {
  const growing = createScenario({ name: 's', scaling: { ...bounds, bootTime: 10 * second } });
  const level = createScenario({ name: 's', scaling: { ...bounds, bootTime: 10 * second } });
  growing.run(30, (elapsed) => inAllZones(20, 0.3 + 0.02 * elapsed));
  level.run(30, inAllZones(20, 0.9));
  expect(growing.ordered('west')).toBeGreaterThan(20);
  expect(level.ordered('west')).toBe(20);
});

it('does not extrapolate a single step of the load', () => {
  const scenario = createScenario();
  scenario.run(10, inAllZones(20, 0.75));
  expect(scenario.run(20, inAllZones(20, 0.9))).toEqual([]);
});

it('does not scale down a zone whose load grows, even while it is still low', () => {
  const scenario = createScenario({ name: 's', scaling: { ...bounds, maxWorkers: 200 } });
  scenario.run(5, inAllZones(100, 0.02));
  const numbers = scenario
    .run(11.5, (elapsed) => inAllZones(100, 0.02 + 0.07 * elapsed))
    .map((order) => Number(order.split(' ')[1]));
  expect(numbers.filter((number) => number < 100)).toEqual([]);
});

it('scales down only after several boot times of low load, one step at a time', () => {
  const scenario = createScenario();
  scenario.run(5, inAllZones(20, 0.7));
  expect(scenario.run(13, inAllZones(20, 0.2))).toEqual([]);
  scenario.run(3, inAllZones(20, 0.2));
  expect(scenario.ordered('west')).toBe(18);
  scenario.run(4, () => inAllZones(scenario.ordered('west')!, 0.2));
  expect(scenario.ordered('west')).toBe(17);
});

it('does not scale down if high load recurs within several boot times', () => {
  const scenario = createScenario();
  scenario.run(5, inAllZones(20, 0.7));
  expect(scenario.run(100, (elapsed) => inAllZones(20, elapsed % 10 < 4 ? 0.7 : 0.2))).toEqual([]);
});

it('does not oscillate on a constant load of any height', () => {
  for (let load = 0.05; load < 1.5; load += 0.05) {
    const scenario = createScenario();
    const demand = 20 * load;
    scenario.run(150, () => {
      const workers = scenario.ordered('west') ?? 20;
      return inAllZones(workers, demand / workers);
    });
    const reached = scenario.ordered('west');
    const later = scenario.run(60, () => inAllZones(scenario.ordered('west')!, demand / scenario.ordered('west')!));
    expect([load.toFixed(2), later.length, reached]).toEqual([load.toFixed(2), 0, scenario.ordered('west')]);
  }
});

it('keeps the workers that would be needed if the zone with the most workers were lost', () => {
  const [two, three] = [
    { workers: 20, load: 0.4 },
    { workers: 20, load: 0.4 },
  ];
  const pair = createScenario();
  pair.run(60, { west: two, east: two });
  expect([pair.ordered('west'), pair.ordered('east')]).toEqual([16, 16]);
  const alone = createScenario();
  alone.run(60, { west: three });
  expect(alone.ordered('west')).toBeLessThan(16);
});

it('does not scale down any zone while a zone is lost, nor soon afterwards', () => {
  const scenario = createScenario();
  scenario.run(10, inAllZones(20, 0.45));
  const lost: FleetSetup = { ...inAllZones(20, 0.3), west: { workers: 0 } };
  expect(scenario.run(60, lost)).toEqual([]);
  expect(scenario.run(11, inAllZones(20, 0.2))).toEqual([]);
  expect(scenario.ordered('west')).toBe(20);
});

it('scales up the zones that take over the load of a lost zone', () => {
  const scenario = createScenario();
  scenario.run(10, inAllZones(20, 0.6));
  scenario.run(5, { ...inAllZones(20, 1), west: { workers: 0 } });
  expect([scenario.ordered('west'), scenario.ordered('east')! > 20, scenario.ordered('north')! > 20]).toEqual([
    20,
    true,
    true,
  ]);
});

it.each<[string, FleetSetup, number]>([
  ['empty', {}, 0],
  ['old', inAllZones(20, 2), 7 * second],
  ['old and short', inAllZones(5, 0.01), 60 * second],
])('orders nothing on a worker list that is %s, and observes low load anew after it', (_case, fleet, listAge) => {
  const fresh = createScenario();
  expect(fresh.run(30, fleet, { listAge })).toEqual([]);
  const scenario = createScenario();
  scenario.run(10, steadyLoad);
  expect(scenario.run(30, fleet, { listAge })).toEqual([]);
  expect(scenario.run(12, inAllZones(20, 0.1))).toEqual([]);
});

it('makes no first order on a worker list that has become empty', () => {
  const scenario = createScenario();
  scenario.run(1, steadyLoad);
  expect(scenario.run(30, {})).toEqual([]);
});

it('restarts the time of low load after a gap in the observations', () => {
  const scenario = createScenario();
  scenario.run(12, inAllZones(20, 0.1));
  scenario.run(5, inAllZones(20, 0.1), { listAge: 7 * second });
  expect(scenario.run(12, inAllZones(20, 0.1))).toEqual([]);
});

it('keeps the workers that the most loaded second needed, with a single zone', () => {
  const scenario = createScenario();
  scenario.run(10, { west: { workers: 20, load: 0.75 } });
  expect(scenario.run(60, (elapsed) => ({ west: { workers: 20, load: elapsed % 5 < 1 ? 1 : 0.3 } }))).toEqual([]);
});

it('keeps the workers that the most loaded second of one zone needed', () => {
  const scenario = createScenario();
  scenario.run(10, inAllZones(20, 0.75));
  scenario.run(60, (elapsed) => ({ ...inAllZones(20, 0.3), west: { workers: 20, load: elapsed % 5 < 1 ? 1 : 0.3 } }));
  expect([scenario.ordered('west'), scenario.ordered('east')! < 20]).toEqual([20, true]);
});

it('attributes overload of a few workers to chance while the other zones are not overloaded', () => {
  const few: ZoneSetup = { workers: 4, load: 1 };
  const scenario = createScenario();
  scenario.run(30, { west: few, east: { workers: 20, load: 0.75 } });
  expect(scenario.ordered('west')).toBe(4);
  scenario.run(5, { west: few, east: { workers: 20, load: 1 } });
  expect(scenario.ordered('west')).toBeGreaterThan(4);
});

it('does not scale by the reports of a few workers', () => {
  for (const load of [0.05, 2]) {
    const { planner, record } = createScenario();
    for (let now = 0; now < 60 * second; now += second / 2) {
      const { workers, loads } = viewOf(inAllZones(20, load), now);
      const few = new Map([...loads].filter(([id]) => Number(id.replace(/\D+/, '')) < 8));
      planner.observe(now, { workers, listAge: 0, loads: few });
      for (const { subject, content } of planner.plan(now)) record.set(subject, decodeScaleOrder(content)!.workers);
    }
    expect([...record.values()]).toEqual([20, 20, 20]);
  }
});

it('treats the load of unresponsive workers as unknown, not as idle', () => {
  const { planner, record } = createScenario();
  for (let now = 0; now < 60 * second; now += second / 2) {
    const { workers, loads } = viewOf(inAllZones(20, 0.8), now);
    for (const [id, load] of loads)
      if (Number(id.replace(/\D+/, '')) >= 8) loads.set(id, { ...load, active: 0, queued: 0, silent: true });
    planner.observe(now, { workers, listAge: 0, loads });
    for (const { subject, content } of planner.plan(now)) record.set(subject, decodeScaleOrder(content)!.workers);
  }
  expect([...record.values()]).toEqual([20, 20, 20]);
});

it('orders nothing without recent observations', () => {
  const scenario = createScenario();
  scenario.run(2.5, steadyLoad);
  expect(scenario.planner.plan(60 * second)).toEqual([]);
});

it.each([
  ['none', undefined],
  ['only old ones', -10 * second],
])('keeps the number of workers if the loads are unknown: %s', (_case, offset) => {
  const record = new Map<string, number>();
  const planner = createScalePlanner({
    services: () => [{ name: 's', scaling: bounds }],
    lastOrdered: (s) => record.get(s),
  });
  for (let now = 0; now < 120 * second; now += second / 2) {
    const { workers, loads } = viewOf(inAllZones(20, 2), now + (offset ?? 0));
    planner.observe(now, { workers, listAge: 0, loads: offset === undefined ? new Map() : loads });
    for (const { subject, content } of planner.plan(now)) record.set(subject, decodeScaleOrder(content)!.workers);
  }
  expect([...record.values()]).toEqual([20, 20, 20]);
});

it('continues from the record of the previous leader, and scales down only after observing enough itself', () => {
  const previousLeader = createScenario();
  previousLeader.run(10, steadyLoad);
  previousLeader.run(5, inAllZones(20, 1.5));
  const raised = previousLeader.ordered('west')!;
  expect(raised).toBeGreaterThan(30);
  const next = createScenario({ name: 's', scaling: bounds }, previousLeader.record);
  expect(next.run(12, inAllZones(raised, 0.1))).toEqual([]);
  next.run(3, inAllZones(raised, 0.1));
  expect(next.ordered('west')).toBeLessThan(raised);
});

it('counts full decode workers as loaded, by slots and by KV cache', () => {
  for (const full of [{ active: slots }, { kvUsed: 98 }]) {
    const scenario = createScenario();
    const { planner, record } = scenario;
    for (let now = 0; now < 15 * second; now += second / 2) {
      const { workers, loads } = viewOf(inAllZones(20, 0), now);
      for (const [id, load] of loads) if (load.part === 'decode') loads.set(id, { ...load, ...full });
      planner.observe(now, { workers, listAge: 0, loads });
      for (const { subject, content } of planner.plan(now)) record.set(subject, decodeScaleOrder(content)!.workers);
    }
    expect(scenario.ordered('west')).toBeGreaterThan(20);
  }
});

it('decodes a scale order, and no order from other content', () => {
  expect(decodeScaleOrder('{"service":"s","zone":"z","workers":7}')).toEqual({ service: 's', zone: 'z', workers: 7 });
  for (const text of ['', '7', 'null', '{}', '{"service":"s","zone":"z","workers":1.5}', '{"service":"s"}'])
    expect(decodeScaleOrder(text)).toBe(undefined);
});
