/** Events that an agent writes. */
import { expect, it } from 'vitest';
import { createEventSink } from './event-sink.js';

it('sends in batches, retries a refused one, and counts lost events', async () => {
  const ticks: (() => void)[] = [];
  const bodies: string[] = [];
  let isAccepting = true;
  const sink = createEventSink(
    {
      after: (_delay, task) => {
        ticks.push(task);
        return () => undefined;
      },
      log: () => undefined,
    },
    {
      member: 'a1',
      maxQueued: 250,
      post: async (body) => {
        bodies.push(body);
        return isAccepting;
      },
    },
  );
  async function step(): Promise<void> {
    ticks.pop()!();
    for (let i = 0; i < 5; i += 1) await Promise.resolve();
  }
  for (let i = 1; i <= 300; i += 1) sink.add({ at: 1e15, what: 'applied', key: 'desired/main', version: i });
  expect(sink.statistics()).toEqual({ sent: 0, lost: 50, waiting: 250 });
  await step();
  expect(sink.statistics()).toEqual({ sent: 100, lost: 50, waiting: 150 });
  const first = (JSON.parse(bodies[0]!) as Record<string, unknown>[])[0]!;
  expect(first).toMatchObject({
    specversion: '1.0',
    type: 'tansypost.desired.applied',
    source: '/agents/a1',
    subject: 'desired/main@1',
  });
  isAccepting = false;
  await step();
  await step();
  expect(sink.statistics().waiting).toBe(150);
  await step();
  expect(sink.statistics()).toEqual({ sent: 100, lost: 150, waiting: 50 });
  isAccepting = true;
  await step();
  expect(sink.statistics()).toEqual({ sent: 150, lost: 150, waiting: 0 });
});
