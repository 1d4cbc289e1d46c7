/** The order of events in the simulator. */
import { expect, it } from 'vitest';
import { createEngine } from './engine.js';

it('runs events in order of time, then of creation, with promises resolved in between', async () => {
  const engine = createEngine();
  const seen: string[] = [];
  engine.at(20, () => seen.push('c'));
  engine.at(10, () => {
    seen.push('a');
    void Promise.resolve()
      .then(() => Promise.resolve())
      .then(() => seen.push('a2'));
  });
  engine.at(10, () => seen.push('b'));
  for (let i = 0; i < 50; i += 1) engine.at(100 + ((i * 37) % 50), () => seen.push(`${(i * 37) % 50}`));
  await engine.run(1000);
  expect(seen.slice(0, 4)).toEqual(['a', 'a2', 'b', 'c']);
  expect(seen.slice(4)).toEqual([...Array(50).keys()].map(String));
});
