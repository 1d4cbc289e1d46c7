/** True time as the median of the control nodes' clocks, with clocks that step and sources that become unresponsive. */
import { expect, it } from 'vitest';
import { micros, createSeededRandom } from '@tansypost/inner-protocol';
import { createFleetClock } from './fleet-clock.js';

const start = 1_790_000_001_234;
const second = 1_000_000;
const nodes = ['c0', 'c1', 'c2', 'c3'];

/** A machine and its control nodes, with the errors of their clocks in milliseconds. */
function createScene(seed = 1) {
  const random = createSeededRandom(seed);
  const clockErrors = new Map<string, number>();
  const reachable = new Set(nodes);
  let monotonic = 0;
  function trueTime(): number {
    return start + monotonic / 1000;
  }
  function wallOf(machine: string): number {
    return trueTime() + (clockErrors.get(machine) ?? 0);
  }
  const clock = createFleetClock({ now: () => micros(monotonic) }, { wallClock: () => wallOf('self') });
  /** Advances time in steps of a tenth of a second; returns the times that the clock returned and its largest error. */
  function run(seconds: number): { readonly returned: number[]; readonly error: number } {
    const returned: number[] = [];
    let error = 0;
    for (let i = 0; i < seconds * 10; i += 1) {
      monotonic += second / 10;
      if (i % 5 === 0) for (const node of reachable) sample(node);
      returned.push(clock.now());
      error = Math.max(error, Math.abs(returned.at(-1)! - trueTime()));
    }
    return { returned, error };
  }
  function sample(node: string): void {
    const outbound = 200 + random() * 3000;
    const inbound = 200 + random() * 3000;
    const wall = Math.floor(wallOf(node) - inbound / 1000);
    clock.addSample(node, wall, monotonic - outbound - inbound, monotonic);
  }
  return { clock, clockErrors, reachable, run, trueTime, pass: (by: number) => void (monotonic += by) };
}

it('is accurate to a few milliseconds while a minority of clocks steps and is corrected again', () => {
  const scene = createScene();
  scene.run(2);
  for (const [machine, by] of [
    ['self', 2000],
    ['self', -2000],
    ['c0', -2000],
    ['c1', 2000],
    ['c1', -3_600_000],
  ] as const) {
    scene.clockErrors.set(machine, by);
    expect(scene.run(8).error).toBeLessThan(5);
    scene.clockErrors.set(machine, 0);
    expect(scene.run(8).error).toBeLessThan(5);
  }
  scene.clockErrors.set('self', 2000);
  scene.clockErrors.set('c2', 2000);
  expect(scene.run(8).error).toBeLessThan(5);
});

it('never goes back by less than a second, and applies larger corrections at once', () => {
  const scene = createScene();
  scene.run(2);
  const all: number[] = [];
  for (const by of [800, 0, 300, -600, -100, -1050]) {
    nodes.forEach((node) => scene.clockErrors.set(node, by));
    all.push(...scene.run(4).returned);
  }
  for (const [i, time] of all.entries()) if (i > 0) expect(time).toBeGreaterThanOrEqual(all[i - 1]!);
  nodes.forEach((node) => scene.clockErrors.set(node, 0));
  expect(scene.run(4).returned.length).toBe(40);
  expect(Math.abs(scene.clock.now() - scene.trueTime())).toBeLessThan(5);
  nodes.forEach((node) => scene.clockErrors.set(node, -60_000));
  scene.run(1);
  expect(Math.abs(scene.clock.now() - scene.trueTime() + 60_000)).toBeLessThan(5);
});

it('starts with its own time of day, is corrected by the first majority, and continues by its monotonic clock without samples', () => {
  const scene = createScene();
  scene.clockErrors.set('self', 7000);
  expect(Math.round(scene.clock.now() - scene.trueTime())).toBe(7000);
  expect(scene.run(1).returned.length).toBe(10);
  expect(Math.abs(scene.clock.now() - scene.trueTime())).toBeLessThan(5);
  scene.reachable.clear();
  scene.run(6);
  scene.clockErrors.set('self', -2000);
  expect(scene.run(30).error).toBeLessThan(5);
});

it('drops unresponsive sources, and ignores samples with a long round trip', () => {
  const scene = createScene();
  scene.run(2);
  scene.clockErrors.set('c0', 2000);
  scene.clockErrors.set('c1', 2000);
  scene.run(1);
  scene.reachable.delete('c0');
  scene.reachable.delete('c1');
  scene.run(6);
  scene.clockErrors.set('c2', 2000);
  expect(scene.run(5).error).toBeLessThan(5);
  for (const node of nodes) scene.clock.addSample(node, scene.trueTime() + 9000, -600_000, 0);
  expect(Math.abs(scene.clock.now() - scene.trueTime())).toBeLessThan(5);
});
