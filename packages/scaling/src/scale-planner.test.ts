/** Orders of workers as a holder makes them, on lists and loads that the tests give, in virtual time. */
import { expect, it } from 'vitest';
import type { ListedWorker, WorkerLoad } from '@tansypost/control-feed';
import { micros } from '@tansypost/inner-protocol';
import type { ScalingBounds } from '@tansypost/paths';
import { createScalePlanner, decodeScaleOrder, scaleSubject, type ScaledService } from './index.js';

/** A zone as it is seen: its workers, and the load that their reports show; without a load none of them reports. */
interface SeenZone {
  readonly workers: number;
  readonly load?: number;
  readonly leaving?: number;
}
type Seen = Readonly<Record<string, SeenZone>>;

const second = 1_000_000;
const slots = 10;
const terms: ScalingBounds = { minWorkers: 4, maxWorkers: 40, bootTime: 4 * second };
const calm: Seen = everywhere(20, 0.75);

function everywhere(workers: number, load?: number): Seen {
  const zone: SeenZone = load === undefined ? { workers } : { workers, load };
  return { west: zone, east: zone, north: zone };
}

function worker(id: string, zone: string, n: number, leaving: boolean): ListedWorker {
  const part = n % 2 === 0 ? 'prefill' : 'decode';
  return { id, service: 's', address: `${id}:1`, zone, slots, leaving, coldMs: 0, part };
}

/** Reports of a zone whose prefill workers have that load; those that decode have half of it. */
function reportOf({ part, id }: ListedWorker, n: number, zone: SeenZone, at: number): WorkerLoad {
  const load = zone.load!;
  const isBusy = Math.floor(((n >> 1) + 1) * load) > Math.floor((n >> 1) * load);
  // One that waits is no load yet.
  const waiting = load > 1 ? 1 + Math.round((load - 1) * 4) : 0;
  const figures =
    part === 'prefill'
      ? { active: isBusy || load >= 1 ? 1 : 0, queued: waiting }
      : { active: Math.min(slots, Math.round(load * slots * 0.5)), queued: 0 };
  return { id, ...figures, kvUsed: 0, kvTotal: 100, part, silent: false, at: micros(at) };
}

function viewOf(seen: Seen, now: number) {
  const workers: ListedWorker[] = [];
  const loads = new Map<string, WorkerLoad>();
  for (const [name, zone] of Object.entries(seen)) {
    for (let n = 0; n < zone.workers; n += 1) {
      const listed = worker(`${name}${n}`, name, n, n < (zone.leaving ?? 0));
      workers.push(listed);
      if (zone.load !== undefined) loads.set(listed.id, reportOf(listed, n, zone, now));
    }
  }
  return { workers, loads };
}

/** A planner with the record of its duty; orders are accepted at once. */
function holder(service: ScaledService = { name: 's', scaling: terms }, record = new Map<string, number>()) {
  const settings = { service };
  const planner = createScalePlanner({
    services: () => [settings.service],
    lastOrdered: (subject) => record.get(subject),
  });
  const orders: string[] = [];
  let now = 0;

  /** Goes on for `seconds` with what `seen` gives for each moment; gives the orders that were made. */
  function go(seconds: number, seen: Seen | ((t: number) => Seen), more: { listAge?: number } = {}): string[] {
    const before = orders.length;
    const from = now;
    for (; now < from + seconds * second; now += second / 2) {
      const shown = typeof seen === 'function' ? seen((now - from) / second) : seen;
      planner.observe(now, { listAge: 0, ...more, ...viewOf(shown, now) });
      for (const { subject, content } of planner.plan(now)) {
        const order = decodeScaleOrder(content)!;
        expect(subject).toBe(scaleSubject(order.service, order.zone));
        record.set(subject, order.workers);
        orders.push(`${order.zone} ${order.workers}`);
      }
    }
    return orders.slice(before);
  }
  function ordered(zone: string): number | undefined {
    return record.get(scaleSubject('s', zone));
  }
  return { go, ordered, record, settings, planner };
}

it('orders the number that is there, of both stages and without those that leave, once for each service and zone', () => {
  const h = holder();
  expect(h.go(2.5, calm)).toEqual([]);
  expect(h.go(10, { ...calm, west: { workers: 20, load: 0.75, leaving: 2 } }).sort()).toEqual([
    'east 20',
    'north 20',
    'west 18',
  ]);
  expect(h.go(20, { ...calm, west: { workers: 20, load: 0.75, leaving: 2 } })).toEqual([]);
});

it('waits with the first order while the list still grows, but not for ever', () => {
  const growing = holder();
  expect(growing.go(8, (t) => everywhere(2 * Math.floor(t), 0.5))).toEqual([]);
  expect(growing.go(5, everywhere(16, 0.5))).toEqual(['west 16', 'east 16', 'north 16']);
  const restless = holder();
  restless.go(12, (t) => everywhere(t % 2 < 1 ? 20 : 21, 0.5));
  expect(restless.ordered('west')).toBe(21);
});

it('orders what was there where a zone is lost before its first order', () => {
  const h = holder();
  h.go(1, calm);
  h.go(12, { ...calm, west: { workers: 0 } });
  expect([h.ordered('west'), h.ordered('east')]).toEqual([20, 20]);
});

it.each([
  ['fewer than the least', 2, 4],
  ['more than the most', 50, 40],
])('keeps the first order within the bounds: %s', (_what, workers, wanted) => {
  const h = holder();
  h.go(5, everywhere(workers));
  expect(h.ordered('west')).toBe(wanted);
});

it('never orders beyond the bounds, whatever the load, and follows bounds that change', () => {
  const busy = holder();
  busy.go(60, everywhere(20, 2));
  expect(busy.ordered('west')).toBe(40);
  const idle = holder();
  idle.go(400, () => everywhere(Math.min(20, idle.ordered('west') ?? 20), 0.01));
  expect(idle.ordered('west')).toBe(4);
  idle.settings.service = { name: 's', scaling: { ...terms, minWorkers: 9 } };
  idle.go(2, everywhere(4, 0.01));
  expect(idle.ordered('west')).toBe(9);
});

it('orders nothing for a service that is not scaled', () => {
  const h = holder({ name: 's' });
  expect(h.go(30, calm)).toEqual([]);
});

it('orders more within seconds of a load that lasts, and no more of them while they boot', () => {
  const h = holder();
  h.go(10, calm);
  const made = h.go(4, everywhere(20, 1));
  expect(made.sort()).toEqual(['east 24', 'north 24', 'west 24']);
  expect(h.go(3, everywhere(20, 1))).toEqual([]);
});

it('orders nothing for a spike that is over within a second', () => {
  const h = holder();
  h.go(10, calm);
  expect(h.go(40, (t) => everywhere(20, t % 5 < 1 ? 2 : 0.5))).toEqual([]);
});

it('looks ahead by the boot time where the load grows', () => {
  const growing = holder({ name: 's', scaling: { ...terms, bootTime: 10 * second } });
  const level = holder({ name: 's', scaling: { ...terms, bootTime: 10 * second } });
  growing.go(30, (t) => everywhere(20, 0.3 + 0.02 * t));
  level.go(30, everywhere(20, 0.9));
  expect(growing.ordered('west')).toBeGreaterThan(20);
  expect(level.ordered('west')).toBe(20);
});

it('orders nothing ahead for a step that has been made', () => {
  const h = holder();
  h.go(10, everywhere(20, 0.75));
  expect(h.go(20, everywhere(20, 0.9))).toEqual([]);
});

it('gives no worker up of a zone whose load grows, low as it still is', () => {
  const h = holder({ name: 's', scaling: { ...terms, maxWorkers: 200 } });
  h.go(5, everywhere(100, 0.02));
  const numbers = h.go(11.5, (t) => everywhere(100, 0.02 + 0.07 * t)).map((order) => Number(order.split(' ')[1]));
  expect(numbers.filter((number) => number < 100)).toEqual([]);
});

it('gives a worker up only after several boot times of low load, one step at a time', () => {
  const h = holder();
  h.go(5, everywhere(20, 0.7));
  expect(h.go(13, everywhere(20, 0.2))).toEqual([]);
  h.go(3, everywhere(20, 0.2));
  expect(h.ordered('west')).toBe(18);
  h.go(4, () => everywhere(h.ordered('west')!, 0.2));
  expect(h.ordered('west')).toBe(17);
});

it('keeps its number where a busy moment comes back within several boot times', () => {
  const h = holder();
  h.go(5, everywhere(20, 0.7));
  expect(h.go(100, (t) => everywhere(20, t % 10 < 4 ? 0.7 : 0.2))).toEqual([]);
});

it('does not go up and down on a level load, whichever it is', () => {
  for (let load = 0.05; load < 1.5; load += 0.05) {
    const h = holder();
    const demand = 20 * load;
    h.go(150, () => {
      const workers = h.ordered('west') ?? 20;
      return everywhere(workers, demand / workers);
    });
    const reached = h.ordered('west');
    const later = h.go(60, () => everywhere(h.ordered('west')!, demand / h.ordered('west')!));
    expect([load.toFixed(2), later.length, reached]).toEqual([load.toFixed(2), 0, h.ordered('west')]);
  }
});

it('gives no worker up that would be missed if the zone with most workers were lost', () => {
  const [two, three] = [
    { workers: 20, load: 0.4 },
    { workers: 20, load: 0.4 },
  ];
  const pair = holder();
  pair.go(60, { west: two, east: two });
  expect([pair.ordered('west'), pair.ordered('east')]).toEqual([16, 16]);
  const alone = holder();
  alone.go(60, { west: three });
  expect(alone.ordered('west')).toBeLessThan(16);
});

it('gives no worker up anywhere while a zone is lost, nor soon after it', () => {
  const h = holder();
  h.go(10, everywhere(20, 0.45));
  const lost: Seen = { ...everywhere(20, 0.3), west: { workers: 0 } };
  expect(h.go(60, lost)).toEqual([]);
  expect(h.go(11, everywhere(20, 0.2))).toEqual([]);
  expect(h.ordered('west')).toBe(20);
});

it('orders more where the load of a lost zone goes to', () => {
  const h = holder();
  h.go(10, everywhere(20, 0.6));
  h.go(5, { ...everywhere(20, 1), west: { workers: 0 } });
  expect([h.ordered('west'), h.ordered('east')! > 20, h.ordered('north')! > 20]).toEqual([20, true, true]);
});

it.each<[string, Seen, number]>([
  ['empty', {}, 0],
  ['old', everywhere(20, 2), 7 * second],
  ['old and short', everywhere(5, 0.01), 60 * second],
])('makes no order on a list that is %s, and begins to look anew after it', (_what, seen, listAge) => {
  const fresh = holder();
  expect(fresh.go(30, seen, { listAge })).toEqual([]);
  const h = holder();
  h.go(10, calm);
  expect(h.go(30, seen, { listAge })).toEqual([]);
  expect(h.go(12, everywhere(20, 0.1))).toEqual([]);
});

it('makes no first order on a list that has become empty', () => {
  const h = holder();
  h.go(1, calm);
  expect(h.go(30, {})).toEqual([]);
});

it('counts the time of low load anew after a gap', () => {
  const h = holder();
  h.go(12, everywhere(20, 0.1));
  h.go(5, everywhere(20, 0.1), { listAge: 7 * second });
  expect(h.go(12, everywhere(20, 0.1))).toEqual([]);
});

it('gives nothing up that the most loaded second needed, in one zone alone', () => {
  const h = holder();
  h.go(10, { west: { workers: 20, load: 0.75 } });
  expect(h.go(60, (t) => ({ west: { workers: 20, load: t % 5 < 1 ? 1 : 0.3 } }))).toEqual([]);
});

it('gives nothing up that the most loaded second of one zone needed', () => {
  const h = holder();
  h.go(10, everywhere(20, 0.75));
  h.go(60, (t) => ({ ...everywhere(20, 0.3), west: { workers: 20, load: t % 5 < 1 ? 1 : 0.3 } }));
  expect([h.ordered('west'), h.ordered('east')! < 20]).toEqual([20, true]);
});

it('takes the crowding of a few workers for chance while the other zones are not crowded', () => {
  const few: SeenZone = { workers: 4, load: 1 };
  const h = holder();
  h.go(30, { west: few, east: { workers: 20, load: 0.75 } });
  expect(h.ordered('west')).toBe(4);
  h.go(5, { west: few, east: { workers: 20, load: 1 } });
  expect(h.ordered('west')).toBeGreaterThan(4);
});

it('draws no conclusion from the reports of a few', () => {
  for (const load of [0.05, 2]) {
    const { planner, record } = holder();
    for (let now = 0; now < 60 * second; now += second / 2) {
      const { workers, loads } = viewOf(everywhere(20, load), now);
      const few = new Map([...loads].filter(([id]) => Number(id.replace(/\D+/, '')) < 8));
      planner.observe(now, { workers, listAge: 0, loads: few });
      for (const { subject, content } of planner.plan(now)) record.set(subject, decodeScaleOrder(content)!.workers);
    }
    expect([...record.values()]).toEqual([20, 20, 20]);
  }
});

it('takes workers that do not answer for unknown, not for idle', () => {
  const { planner, record } = holder();
  for (let now = 0; now < 60 * second; now += second / 2) {
    const { workers, loads } = viewOf(everywhere(20, 0.8), now);
    for (const [id, load] of loads)
      if (Number(id.replace(/\D+/, '')) >= 8) loads.set(id, { ...load, active: 0, queued: 0, silent: true });
    planner.observe(now, { workers, listAge: 0, loads });
    for (const { subject, content } of planner.plan(now)) record.set(subject, decodeScaleOrder(content)!.workers);
  }
  expect([...record.values()]).toEqual([20, 20, 20]);
});

it('makes no order while it is not told of the fleet', () => {
  const h = holder();
  h.go(2.5, calm);
  expect(h.planner.plan(60 * second)).toEqual([]);
});

it.each([
  ['none', undefined],
  ['only old ones', -10 * second],
])('leaves the number as it is where the loads are unknown: %s', (_what, offset) => {
  const record = new Map<string, number>();
  const planner = createScalePlanner({
    services: () => [{ name: 's', scaling: terms }],
    lastOrdered: (s) => record.get(s),
  });
  for (let now = 0; now < 120 * second; now += second / 2) {
    const { workers, loads } = viewOf(everywhere(20, 2), now + (offset ?? 0));
    planner.observe(now, { workers, listAge: 0, loads: offset === undefined ? new Map() : loads });
    for (const { subject, content } of planner.plan(now)) record.set(subject, decodeScaleOrder(content)!.workers);
  }
  expect([...record.values()]).toEqual([20, 20, 20]);
});

it('goes on from the record of the former holder, and gives nothing up before it has seen enough itself', () => {
  const former = holder();
  former.go(10, calm);
  former.go(5, everywhere(20, 1.5));
  const raised = former.ordered('west')!;
  expect(raised).toBeGreaterThan(30);
  const next = holder({ name: 's', scaling: terms }, former.record);
  expect(next.go(12, everywhere(raised, 0.1))).toEqual([]);
  next.go(3, everywhere(raised, 0.1));
  expect(next.ordered('west')).toBeLessThan(raised);
});

it('sees fullness of decode workers as a load too, by places and by memory', () => {
  for (const full of [{ active: slots }, { kvUsed: 98 }]) {
    const h = holder();
    const { planner, record } = h;
    for (let now = 0; now < 15 * second; now += second / 2) {
      const { workers, loads } = viewOf(everywhere(20, 0), now);
      for (const [id, load] of loads) if (load.part === 'decode') loads.set(id, { ...load, ...full });
      planner.observe(now, { workers, listAge: 0, loads });
      for (const { subject, content } of planner.plan(now)) record.set(subject, decodeScaleOrder(content)!.workers);
    }
    expect(h.ordered('west')).toBeGreaterThan(20);
  }
});

it('writes equal orders as equal texts, and reads no order in another content', () => {
  expect(decodeScaleOrder('{"service":"s","zone":"z","workers":7}')).toEqual({ service: 's', zone: 'z', workers: 7 });
  for (const text of ['', '7', 'null', '{}', '{"service":"s","zone":"z","workers":1.5}', '{"service":"s"}'])
    expect(decodeScaleOrder(text)).toBe(undefined);
});
