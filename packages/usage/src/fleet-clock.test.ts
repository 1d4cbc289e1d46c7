/** True time from the median of what control nodes tell, with clocks that step, drift and fall silent. */
import { expect, it } from 'vitest';
import { micros, createSeededRandom } from '@tansypost/inner-protocol';
import { createFleetClock } from './fleet-clock.js';

const start = 1_790_000_001_234;
const second = 1_000_000;
const nodes = ['c0', 'c1', 'c2', 'c3'];

/** A machine, its control nodes and how far their clocks are off, in milliseconds. */
function createScene(seed = 1) {
  const random = createSeededRandom(seed);
  const off = new Map<string, number>();
  const heard = new Set(nodes);
  let steady = 0;
  function trueTime(): number {
    return start + steady / 1000;
  }
  function wallOf(machine: string): number {
    return trueTime() + (off.get(machine) ?? 0);
  }
  const clock = createFleetClock({ now: () => micros(steady) }, { wallClock: () => wallOf('self') });
  /** Lets time pass in steps of a tenth of a second, and gives what the clock told and the largest error seen. */
  function run(seconds: number): { readonly given: number[]; readonly error: number } {
    const given: number[] = [];
    let error = 0;
    for (let i = 0; i < seconds * 10; i += 1) {
      steady += second / 10;
      if (i % 5 === 0) for (const node of heard) sample(node);
      given.push(clock.now());
      error = Math.max(error, Math.abs(given.at(-1)! - trueTime()));
    }
    return { given, error };
  }
  function sample(node: string): void {
    const out = 200 + random() * 3000;
    const back = 200 + random() * 3000;
    const wall = Math.floor(wallOf(node) - back / 1000);
    clock.addSample(node, wall, steady - out - back, steady);
  }
  return { clock, off, heard, run, trueTime, pass: (by: number) => void (steady += by) };
}

it('is right to a few milliseconds while a minority of clocks is stepped and comes back', () => {
  const scene = createScene();
  scene.run(2);
  for (const [machine, by] of [
    ['self', 2000],
    ['self', -2000],
    ['c0', -2000],
    ['c1', 2000],
    ['c1', -3_600_000],
  ] as const) {
    scene.off.set(machine, by);
    expect(scene.run(8).error).toBeLessThan(5);
    scene.off.set(machine, 0);
    expect(scene.run(8).error).toBeLessThan(5);
  }
  scene.off.set('self', 2000);
  scene.off.set('c2', 2000);
  expect(scene.run(8).error).toBeLessThan(5);
});

it('never goes back by less than a second, and takes larger corrections at once', () => {
  const scene = createScene();
  scene.run(2);
  const all: number[] = [];
  for (const by of [800, 0, 300, -600, -100, -1050]) {
    nodes.forEach((node) => scene.off.set(node, by));
    all.push(...scene.run(4).given);
  }
  for (const [i, time] of all.entries()) if (i > 0) expect(time).toBeGreaterThanOrEqual(all[i - 1]!);
  nodes.forEach((node) => scene.off.set(node, 0));
  expect(scene.run(4).given.length).toBe(40);
  expect(Math.abs(scene.clock.now() - scene.trueTime())).toBeLessThan(5);
  nodes.forEach((node) => scene.off.set(node, -60_000));
  scene.run(1);
  expect(Math.abs(scene.clock.now() - scene.trueTime() + 60_000)).toBeLessThan(5);
});

it('begins with its own time of day, is corrected by the first majority, and then goes on alone without it', () => {
  const scene = createScene();
  scene.off.set('self', 7000);
  expect(Math.round(scene.clock.now() - scene.trueTime())).toBe(7000);
  expect(scene.run(1).given.length).toBe(10);
  expect(Math.abs(scene.clock.now() - scene.trueTime())).toBeLessThan(5);
  scene.heard.clear();
  scene.run(6);
  scene.off.set('self', -2000);
  expect(scene.run(30).error).toBeLessThan(5);
});

it('drops sources that are silent, and passes over samples that took long', () => {
  const scene = createScene();
  scene.run(2);
  scene.off.set('c0', 2000);
  scene.off.set('c1', 2000);
  scene.run(1);
  scene.heard.delete('c0');
  scene.heard.delete('c1');
  scene.run(6);
  scene.off.set('c2', 2000);
  expect(scene.run(5).error).toBeLessThan(5);
  for (const node of nodes) scene.clock.addSample(node, scene.trueTime() + 9000, -600_000, 0);
  expect(Math.abs(scene.clock.now() - scene.trueTime())).toBeLessThan(5);
});
