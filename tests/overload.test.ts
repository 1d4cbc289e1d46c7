/**
 * More than the workers can take, in a simulated fleet: who is turned away is turned away soon, with a time to come
 * back, and what is answered is worth more than first come, first served would make it.
 */
import { expect, it } from 'vitest';
import { checks, createSim } from '../packages/simulator/src/index.js';
import { ferry, type Deployment } from '../programs/requester-stand-in/src/index.js';

const small: Deployment = { ...ferry, machines: 4, zones: 2, workers: 4 };

it('sheds by worth and credits, at once, and keeps serving', async () => {
  const h = await createSim({
    deployment: small,
    seed: 9,
    span: 30,
    calm: 6,
    rate: 140,
    faults: [],
    plain: true,
    paces: [5000],
    trainEvery: 1e9,
    shiftParts: false,
  }).run();
  const rs = h.requests.filter((q) => q.at > 10e6 && q.at < 30e6);
  const worth = new Map(small.kinds.map((k) => [k.kind, k.worth]));
  function served(kind: string): number {
    const of = rs.filter((q) => q.kind === kind);
    return of.filter((q) => q.ended === 'whole').length / of.length;
  }
  const shed = rs.filter((q) => q.ended === 'overloaded');
  console.log(
    small.kinds.map((k) => `${k.kind} worth ${k.worth}: ${(100 * served(k.kind)).toFixed(0)} % answered`).join('; '),
    `shed ${shed.length} of ${rs.length}`,
  );
  expect(shed.length).toBeGreaterThan(50);
  expect(shed.every((q) => q.retryAfter && q.end! - q.at <= 0.6 * q.patience)).toBe(true);
  expect(checks['answeredAtOnce']!(h, { faultless: true, overloaded: true })).toEqual([]);
  expect(checks['noRunAfterRefusal']!(h, { faultless: true, overloaded: true })).toEqual([]);
  expect(served('seat_hold')).toBeGreaterThan(served('fare_quote'));
  const got = rs.filter((q) => q.ended === 'whole').reduce((a, q) => a + worth.get(q.kind)!, 0);
  const even =
    (rs.filter((q) => q.ended === 'whole').length / rs.length) * rs.reduce((a, q) => a + worth.get(q.kind)!, 0);
  expect(got).toBeGreaterThan(even);
});
