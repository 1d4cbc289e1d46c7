/**
 * Days of traffic that is passed on, in virtual time: drawn troubles break nothing that must hold, scenes of single
 * troubles end as they should, and each check fails where its mechanism is broken on purpose.
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

function at(seconds: number, what: PassedTrouble['do'], lasting = 4, who = 0.3): PassedTrouble {
  return { at: seconds, do: what, for: lasting, who };
}
function play(
  troubles: readonly PassedTrouble[],
  over: Partial<PassedDayOptions> = {},
  seed = 7,
  deployment = cold,
): Promise<PassedOne> {
  return playPassedOne(deployment, seed, { troubles, closing: 'none', replicas: 3, span: 14, ...over });
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
])('breaks nothing on a drawn day (%#)', async (d, seed) => {
  const x = await playPassedOne(d, seed);
  expect(x.breaches).toEqual([]);
  expect(x.served).toBeGreaterThan(0.7 * x.tasks);
});

it('serves a quiet day whole and in time, and plays a seed the same way twice', async () => {
  const x = await play([]);
  expect([x.breaches, x.ends]).toEqual([[], { whole: x.tasks }]);
  expect(x.inTime).toBeGreaterThan(0.97 * x.tasks);
  const y = await play([]);
  expect([y.events, y.ends]).toEqual([x.events, x.ends]);
});

it('takes nothing from requesters while workers are released and routers are rolled, one after the other', async () => {
  const x = await play([at(1, 'release'), at(2, 'router-roll')]);
  expect(x.breaches).toEqual([]);
  expect(x.served).toBeGreaterThan(0.99 * x.tasks);
});

it('knows of every kind of trouble', async () => {
  const hit = new Set<string>();
  for (let i = 0; i < passedTroubleKinds.length; i += 5) {
    const kinds = passedTroubleKinds.slice(i, i + 5);
    const x = await play(
      kinds.map((k, n) => at(1 + 9 * n, k, 2)),
      { span: 46, rate: 0.15 },
    );
    expect([kinds, x.breaches]).toEqual([kinds, []]);
    for (const t of x.troubles) hit.add(t.do);
  }
  expect(hit.size).toBe(passedTroubleKinds.length);
});

/** Keys are taken away, given and passed on all through the day, beside what may keep a router from hearing of it. */
const keyChanges = Array.from({ length: 6 }, (_, i) => at(1 + 2 * i, tenantTroubleKinds[i % 3]!));
it.each([
  ['a router cut off', 1, [at(2, 'router-cut', 5), at(7, 'connections-reset')]],
  ['routers killed', 2, [at(2, 'router-kill'), at(5, 'router-power'), at(8, 'router-kill', 4, 0.8)]],
  ['a router frozen', 3, [at(2, 'router-freeze'), at(9, 'router-freeze', 3, 0.7)]],
  ['the core cut off', 4, [at(2, 'core-cut', 3), at(11, 'keeper-one-way', 2)]],
  ['machines of the core killed, frozen and replaced', 5, [at(2, 'keeper-freeze'), at(9, 'keeper-kill')]],
  ['all killed', 6, [at(6, 'herd-kill')]],
  ['operators that race', 7, [at(3.1, 'config-race'), at(5.1, 'config-race'), at(7.1, 'config-storm')]],
  ['a large tenant that presses', 8, [at(2, 'tenant-presses', 10), at(4, 'worker-gone')]],
  ['answers lost', 9, [at(2, 'answers-lost', 8), at(4, 'workers-fail', 4)]],
  ['operators that send invalid documents', 10, Array.from({ length: 12 }, (_, i) => at(1.5 + i, 'config-invalid'))],
] as const)('breaks nothing while keys change, with %s', async (_, seed, troubles) => {
  for (const deployment of [ferryTenants, coldTenants]) {
    const x = await play([...keyChanges, ...troubles], { span: 18 }, seed, deployment);
    expect([x.breaches, x.troubles.length]).toEqual([[], keyChanges.length + troubles.length]);
    expect(x.ends['unknown_key']).toBeGreaterThan(0);
  }
});

// Not each drawn fault of a document leaves a request without a path, so there are many of them.
const invalidDocuments = Array.from({ length: 21 }, (_, i) => at(1 + i, 'config-invalid'));
const broken: readonly (readonly [Spoil, PassedRule[], readonly PassedTrouble[], Partial<PassedDayOptions>?])[] = [
  ['unknown-called-refused', ['runs twice', 'refused yet run'], [at(1, 'answers-lost')]],
  ['cut-called-whole', ['pieces'], [at(1, 'answers-garbled', 4, 0)]],
  ['piece-dropped', ['pieces'], []],
  ['piece-doubled', ['pieces'], []],
  ['handles-mixed', ['memory of another'], []],
  ['leaving-hidden', ['leaving worker'], [at(1, 'release')], { span: 20 }],
  ['news-withheld', ['document late'], [at(1, 'config-change')]],
  ['document-set-back', ['document back', 'path'], [1, 4, 7, 10].map((t) => at(t, 'config-storm')), { span: 18 }],
  ['invalid-let-through', ['document not taken', 'denied'], invalidDocuments, { span: 28 }],
  ['two-disks-lost', ['read back'], [at(1, 'disk-wiped-after-ack')]],
  ['budget-ignored', ['budget'], [at(1, 'answers-lost', 12)], { rate: 8 }],
  ['core-stays-dead', ['recovery'], [at(1, 'herd-kill')]],
  ['leaves-at-once', ['lost in leaving'], [at(1, 'router-roll')]],
];
const brokenWithTenants: readonly (readonly [Spoil, PassedRule[], readonly PassedTrouble[]])[] = [
  ['credentials-passed-on', ['key passed on'], []],
  ['tenants-mixed', ['wrong tenant'], []],
  ['keys-unchecked', ['unknown key', 'key passed on'], []],
  ['dropped-keys-kept', ['dropped key'], [1, 2, 3].map((t) => at(t, 'key-taken'))],
  ['new-keys-ignored', ['denied', 'dropped key', 'wrong tenant'], keyChanges],
  ['tenant-left-out', ['starved'], []],
];
/** What breaks hangs on the draw of a day, so several are played until each rule was seen to break. */
const mostDays = 6;
async function expectSeen(
  rules: readonly PassedRule[],
  day: (seed: number, spoil?: Spoil) => Promise<PassedOne>,
  spoil: Spoil,
): Promise<void> {
  const seen = new Set<PassedRule>();
  for (let seed = 7; seed < 7 + mostDays && !rules.every((rule) => seen.has(rule)); seed += 1) {
    const spoiled = await day(seed, spoil);
    for (const { rule } of spoiled.breaches) seen.add(rule);
    const sound = await day(seed);
    expect([seed, sound.breaches]).toEqual([seed, []]);
  }
  expect([...seen]).toEqual(expect.arrayContaining([...rules]));
}
it.each(broken)('sees a fleet with %s break: %s', (spoil, rules, troubles, over) =>
  expectSeen(rules, (seed, harm) => play(troubles, harm === undefined ? over : { ...over, spoil: harm }, seed), spoil),
);
it.each(brokenWithTenants)('sees a fleet of tenants with %s break: %s', (spoil, rules, troubles) =>
  expectSeen(
    rules,
    (seed, harm) => play(troubles, harm === undefined ? {} : { spoil: harm }, seed, coldTenants),
    spoil,
  ),
);
