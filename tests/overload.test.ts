/**
 * Overload of a simulated fleet: rejections are quick and state when to retry, and the served requests have a higher
 * total worth than with first come, first served.
 */
import { expect, it } from 'vitest';
import { checks, createSim } from '../packages/simulator/src/index.js';
import { ferry, type Deployment } from '../programs/requester-stand-in/src/index.js';

const small: Deployment = { ...ferry, machines: 4, zones: 2, workers: 4 };

it('sheds load at once by worth and credits, and keeps serving', async () => {
  const history = await createSim({
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
  const requests = history.requests.filter((request) => request.at > 10e6 && request.at < 30e6);
  const worth = new Map(small.kinds.map((kind) => [kind.kind, kind.worth]));
  function served(kind: string): number {
    const sameKind = requests.filter((request) => request.kind === kind);
    return sameKind.filter((request) => request.ended === 'whole').length / sameKind.length;
  }
  const rejected = requests.filter((request) => request.ended === 'overloaded');
  console.log(
    small.kinds
      .map((kind) => `${kind.kind} worth ${kind.worth}: ${(100 * served(kind.kind)).toFixed(0)} % answered`)
      .join('; '),
    `shed ${rejected.length} of ${requests.length}`,
  );
  expect(rejected.length).toBeGreaterThan(50);
  expect(rejected.every((request) => request.retryAfter && request.end! - request.at <= 0.6 * request.patience)).toBe(
    true,
  );
  expect(checks['answeredAtOnce']!(history, { faultless: true, overloaded: true })).toEqual([]);
  expect(checks['noRunAfterRefusal']!(history, { faultless: true, overloaded: true })).toEqual([]);
  expect(served('seat_hold')).toBeGreaterThan(served('fare_quote'));
  const servedWorth = requests
    .filter((request) => request.ended === 'whole')
    .reduce((sum, request) => sum + worth.get(request.kind)!, 0);
  const proportionalWorth =
    (requests.filter((request) => request.ended === 'whole').length / requests.length) *
    requests.reduce((sum, request) => sum + worth.get(request.kind)!, 0);
  expect(servedWorth).toBeGreaterThan(proportionalWorth);
});
