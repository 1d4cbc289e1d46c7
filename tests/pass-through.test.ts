/**
 * Simulated days of pass-through traffic: random faults violate no invariant, scenes with chosen faults end as expected,
 * and each check fails if the mechanism that it guards is disabled on purpose.
 */
import { expect, it } from 'vitest';
import {
  passedDeployments,
  passedTroubleKinds,
  playPassedOne,
  tenantTroubleKinds,
  type PassedDayOptions,
  type PassedOne,
  type PassedRule,
  type PassedTrouble,
  type Spoil,
} from '../packages/simulator/src/index.js';

const ferry = passedDeployments['ferry']!;
const cold = passedDeployments['cold-storage']!;
const ferryTenants = passedDeployments['ferry-tenants']!;
const coldTenants = passedDeployments['cold-storage-tenants']!;

function at(seconds: number, kind: PassedTrouble['do'], duration = 4, who = 0.3): PassedTrouble {
  return { at: seconds, do: kind, for: duration, who };
}
function play(
  troubles: readonly PassedTrouble[],
  overrides: Partial<PassedDayOptions> = {},
  seed = 7,
  deployment = cold,
): Promise<PassedOne> {
  return playPassedOne(deployment, seed, { troubles, closing: 'none', replicas: 3, span: 14, ...overrides });
}

it.each([
  [ferry, 1],
  [ferry, 13],
  [ferry, 39],
  [cold, 3],
  [cold, 7],
  [cold, 20],
  [ferryTenants, 7],
  [coldTenants, 9],
])('violates no invariant on a random day (%#)', async (deployment, seed) => {
  const day = await playPassedOne(deployment, seed);
  expect(day.breaches).toEqual([]);
  expect(day.served).toBeGreaterThan(0.7 * day.tasks);
});

it('serves a day without faults completely and in time, and reproduces it with the same seed', async () => {
  const day = await play([]);
  expect([day.breaches, day.ends]).toEqual([[], { whole: day.tasks }]);
  expect(day.inTime).toBeGreaterThan(0.97 * day.tasks);
  const repeated = await play([]);
  expect([repeated.events, repeated.ends]).toEqual([day.events, day.ends]);
});

it('loses no request while workers are released and routers are restarted one after the other', async () => {
  const day = await play([at(1, 'release'), at(2, 'router-roll')]);
  expect(day.breaches).toEqual([]);
  expect(day.served).toBeGreaterThan(0.99 * day.tasks);
});

it('injects every kind of fault', async () => {
  const seenKinds = new Set<string>();
  for (let i = 0; i < passedTroubleKinds.length; i += 5) {
    const kinds = passedTroubleKinds.slice(i, i + 5);
    const day = await play(
      kinds.map((kind, position) => at(1 + 9 * position, kind, 2)),
      { span: 46, rate: 0.15 },
    );
    expect([kinds, day.breaches]).toEqual([kinds, []]);
    for (const trouble of day.troubles) seenKinds.add(trouble.do);
  }
  expect(seenKinds.size).toBe(passedTroubleKinds.length);
});

/** Keys are revoked, added and reassigned throughout the day, together with faults that may delay the update at a router. */
const keyChanges = Array.from({ length: 6 }, (_, i) => at(1 + 2 * i, tenantTroubleKinds[i % 3]!));
it.each([
  ['a router cut off', 1, [at(2, 'router-cut', 5), at(7, 'connections-reset')]],
  ['routers killed', 2, [at(2, 'router-kill'), at(5, 'router-power'), at(8, 'router-kill', 4, 0.8)]],
  ['a router frozen', 3, [at(2, 'router-freeze'), at(9, 'router-freeze', 3, 0.7)]],
  ['the control cluster cut off', 4, [at(2, 'core-cut', 3), at(11, 'keeper-one-way', 2)]],
  ['control nodes killed, frozen and replaced', 5, [at(2, 'keeper-freeze'), at(9, 'keeper-kill')]],
  ['all killed', 6, [at(6, 'herd-kill')]],
  ['concurrent operators', 7, [at(3.1, 'config-race'), at(5.1, 'config-race'), at(7.1, 'config-storm')]],
  ['a large tenant that overloads', 8, [at(2, 'tenant-presses', 10), at(4, 'worker-gone')]],
  ['answers lost', 9, [at(2, 'answers-lost', 8), at(4, 'workers-fail', 4)]],
  ['operators that send invalid documents', 10, Array.from({ length: 12 }, (_, i) => at(1.5 + i, 'config-invalid'))],
] as const)('violates no invariant while keys change, with %s', async (_, seed, troubles) => {
  for (const deployment of [ferryTenants, coldTenants]) {
    const day = await play([...keyChanges, ...troubles], { span: 18 }, seed, deployment);
    expect([day.breaches, day.troubles.length]).toEqual([[], keyChanges.length + troubles.length]);
    expect(day.ends['unknown_key']).toBeGreaterThan(0);
  }
});

// Only some of the random invalid documents would leave a request without a route, so there are many of them.
const invalidDocuments = Array.from({ length: 21 }, (_, i) => at(1 + i, 'config-invalid'));
const spoiledFleets: readonly (readonly [Spoil, PassedRule[], readonly PassedTrouble[], Partial<PassedDayOptions>?])[] =
  [
    ['unknown-called-refused', ['runs twice', 'refused yet run'], [at(1, 'answers-lost')]],
    ['cut-called-whole', ['pieces'], [at(1, 'answers-garbled', 4, 0)]],
    ['piece-dropped', ['pieces'], []],
    ['piece-doubled', ['pieces'], []],
    ['handles-mixed', ['memory of another'], []],
    ['leaving-hidden', ['leaving worker'], [at(1, 'release')], { span: 20 }],
    ['news-withheld', ['document late'], [at(1, 'config-change')]],
    [
      'document-set-back',
      ['document back', 'path'],
      [1, 4, 7, 10].map((second) => at(second, 'config-storm')),
      { span: 18 },
    ],
    ['invalid-let-through', ['document not taken', 'denied'], invalidDocuments, { span: 28 }],
    ['two-disks-lost', ['read back'], [at(1, 'disk-wiped-after-ack')]],
    ['budget-ignored', ['budget'], [at(1, 'answers-lost', 12)], { rate: 8 }],
    ['core-stays-dead', ['recovery'], [at(1, 'herd-kill')]],
    ['leaves-at-once', ['lost in leaving'], [at(1, 'router-roll')]],
  ];
const spoiledTenantFleets: readonly (readonly [Spoil, PassedRule[], readonly PassedTrouble[]])[] = [
  ['credentials-passed-on', ['key passed on'], []],
  ['tenants-mixed', ['wrong tenant'], []],
  ['keys-unchecked', ['unknown key', 'key passed on'], []],
  ['dropped-keys-kept', ['dropped key'], [1, 2, 3].map((second) => at(second, 'key-taken'))],
  ['new-keys-ignored', ['denied', 'dropped key', 'wrong tenant'], keyChanges],
  ['tenant-left-out', ['starved'], []],
];
/** Which rules are violated depends on the seed, so several days are played until each rule has been violated. */
const maxDays = 6;
async function expectSeen(
  rules: readonly PassedRule[],
  day: (seed: number, spoil?: Spoil) => Promise<PassedOne>,
  spoil: Spoil,
): Promise<void> {
  const seen = new Set<PassedRule>();
  for (let seed = 7; seed < 7 + maxDays && !rules.every((rule) => seen.has(rule)); seed += 1) {
    const spoiled = await day(seed, spoil);
    for (const { rule } of spoiled.breaches) seen.add(rule);
    const sound = await day(seed);
    expect([seed, sound.breaches]).toEqual([seed, []]);
  }
  expect([...seen]).toEqual(expect.arrayContaining([...rules]));
}
it.each(spoiledFleets)('detects in a fleet with %s the violation of: %s', (spoil, rules, troubles, overrides) =>
  expectSeen(
    rules,
    (seed, activeSpoil) =>
      play(troubles, activeSpoil === undefined ? overrides : { ...overrides, spoil: activeSpoil }, seed),
    spoil,
  ),
);
it.each(spoiledTenantFleets)('detects in a fleet with tenants and %s the violation of: %s', (spoil, rules, troubles) =>
  expectSeen(
    rules,
    (seed, activeSpoil) => play(troubles, activeSpoil === undefined ? {} : { spoil: activeSpoil }, seed, coldTenants),
    spoil,
  ),
);
