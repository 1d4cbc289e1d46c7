/** When a starting router adopts its first configuration, and a running one a newer one. */
import { expect, it } from 'vitest';
import { createEngine } from '@tansypost/simulator';
import { micros, type Micros } from '@tansypost/inner-protocol';
import { createConfigurationGate } from './configuration-gate.js';
import type { Configuration } from './configuration.js';

const unconfirmedTimeoutUs = 3_000_000;

function configurationOf(version: number): Configuration {
  return { version, value: Buffer.from(`v${version}`) };
}

function createGate() {
  const engine = createEngine();
  const adopted: number[] = [];
  const reasons: string[] = [];
  function after(delay: Micros, run: () => void): () => void {
    let cancelled = false;
    engine.at(engine.now() + delay, () => {
      if (!cancelled) run();
    });
    return () => {
      cancelled = true;
    };
  }
  const gate = createConfigurationGate(
    { after },
    {
      unconfirmedTimeout: unconfirmedTimeoutUs,
      onAdopted: (reason) => {
        adopted.push(gate.current()!.version);
        reasons.push(reason);
      },
    },
  );
  return { gate, adopted, reasons, run: (us: number) => engine.run(micros(engine.now() + us)) };
}

it('adopts the first version that is as new as the confirmed one, whichever of the two arrives first', () => {
  const first = createGate();
  first.gate.offer(configurationOf(4));
  expect(first.gate.current()).toBeUndefined();
  first.gate.confirmCurrent(4);
  expect([first.adopted, first.reasons]).toEqual([[4], ['confirmed']]);
  const second = createGate();
  second.gate.confirmCurrent(4);
  second.gate.offer(configurationOf(3));
  expect([second.gate.current(), second.gate.newest()?.version]).toEqual([undefined, 3]);
  second.gate.offer(configurationOf(4));
  expect(second.adopted).toEqual([4]);
});

it('adopts the newest candidate once no confirmation has arrived within the timeout, and not before', async () => {
  const { gate, adopted, reasons, run } = createGate();
  await run(5_000_000);
  gate.offer(configurationOf(2));
  await run(unconfirmedTimeoutUs - 2);
  gate.offer(configurationOf(6));
  gate.offer(configurationOf(5));
  expect(adopted).toEqual([]);
  await run(2);
  expect([adopted, reasons]).toEqual([[6], ['unconfirmed']]);
});

it('keeps its configuration when running, and adopts only newer versions, confirmed or not', async () => {
  const { gate, adopted, reasons, run } = createGate();
  gate.confirmCurrent(0);
  gate.offer(configurationOf(3));
  gate.confirmCurrent(9);
  gate.offer(configurationOf(2));
  gate.offer(configurationOf(3));
  gate.offer(configurationOf(5));
  await run(2 * unconfirmedTimeoutUs);
  expect([adopted, reasons]).toEqual([
    [3, 5],
    ['confirmed', 'newer'],
  ]);
});

it('adopts nothing after it has been stopped', async () => {
  const { gate, adopted, run } = createGate();
  gate.offer(configurationOf(2));
  gate.stop();
  await run(2 * unconfirmedTimeoutUs);
  expect(adopted).toEqual([]);
});
