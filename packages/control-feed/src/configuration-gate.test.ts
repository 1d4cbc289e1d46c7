import { expect, it } from 'vitest';
import { createEngine } from '@tansypost/simulator';
import { micros, type Micros } from '@tansypost/inner-protocol';
import { createConfigurationGate } from './configuration-gate.js';
import type { Configuration } from './configuration.js';

const contactTime = 3_000_000;

function configurationOf(version: number): Configuration {
  return { version, value: Buffer.from(`v${version}`) };
}

function started() {
  const engine = createEngine();
  const adopted: number[] = [];
  const reasons: string[] = [];
  function after(delay: Micros, f: () => void): () => void {
    let cancelled = false;
    engine.at(engine.now() + delay, () => {
      if (!cancelled) f();
    });
    return () => {
      cancelled = true;
    };
  }
  const gate = createConfigurationGate(
    { after },
    {
      unconfirmedTimeout: contactTime,
      onAdopted: (reason) => {
        adopted.push(gate.current()!.version);
        reasons.push(reason);
      },
    },
  );
  return { gate, adopted, reasons, run: (us: number) => engine.run(micros(engine.now() + us)) };
}

it('takes the first version that is as new as a leased answer says, whichever comes first', () => {
  const first = started();
  first.gate.offer(configurationOf(4));
  expect(first.gate.current()).toBeUndefined();
  first.gate.confirmCurrent(4);
  expect([first.adopted, first.reasons]).toEqual([[4], ['confirmed']]);
  const second = started();
  second.gate.confirmCurrent(4);
  second.gate.offer(configurationOf(3));
  expect([second.gate.current(), second.gate.newest()?.version]).toEqual([undefined, 3]);
  second.gate.offer(configurationOf(4));
  expect(second.adopted).toEqual([4]);
});

it('takes the newest held aside once no leased answer has come for the time of contact, and not before', async () => {
  const { gate, adopted, reasons, run } = started();
  await run(5_000_000);
  gate.offer(configurationOf(2));
  await run(contactTime - 2);
  gate.offer(configurationOf(6));
  gate.offer(configurationOf(5));
  expect(adopted).toEqual([]);
  await run(2);
  expect([adopted, reasons]).toEqual([[6], ['unconfirmed']]);
});

it('keeps what it has when it runs, and takes newer versions only, with or without a lease', async () => {
  const { gate, adopted, reasons, run } = started();
  gate.confirmCurrent(0);
  gate.offer(configurationOf(3));
  gate.confirmCurrent(9);
  gate.offer(configurationOf(2));
  gate.offer(configurationOf(3));
  gate.offer(configurationOf(5));
  await run(2 * contactTime);
  expect([adopted, reasons]).toEqual([
    [3, 5],
    ['confirmed', 'newer'],
  ]);
});

it('takes nothing more when it has been stopped', async () => {
  const { gate, adopted, run } = started();
  gate.offer(configurationOf(2));
  gate.stop();
  await run(2 * contactTime);
  expect(adopted).toEqual([]);
});
