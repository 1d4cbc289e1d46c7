/** A configuration is taken whole, or refused with every fault at its place. */
import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import { checkDesiredState, type DesiredState } from './desired-state.js';

function good(): DesiredState {
  return {
    templates: [{ tenant: 'ferry', kinds: { quote: { worth: 2, patienceMs: 3000, share: 5, repeatable: true } } }],
  };
}
it('reports every fault at its place, and takes a sound state', () => {
  expect(E.isRight(checkDesiredState(good()))).toBe(true);
  const bad = {
    templates: [{ tenant: 'Ferry!', colour: 1, kinds: { quote: { worth: -1, patienceMs: 3000.5, share: 5 } } }],
    x: 1,
  };
  const r = checkDesiredState(bad);
  const at = E.isLeft(r) ? r.left.map((f) => f.at) : [];
  for (const p of [
    '/x',
    '/templates/0/tenant',
    '/templates/0/colour',
    '/templates/0/kinds/quote/worth',
    '/templates/0/kinds/quote/patienceMs',
    '/templates/0/kinds/quote/repeatable',
  ]) {
    expect(at).toContain(p);
  }
  const twice = { templates: [...good().templates, ...good().templates] };
  expect(E.isLeft(checkDesiredState(twice))).toBe(true);
});

it('reports a tenant without kinds, and shares that are all 0', () => {
  const idle = { worth: 2, patienceMs: 3000, share: 0, repeatable: true };
  const empty = checkDesiredState({ templates: [...good().templates, { tenant: 'empty', kinds: {} }] });
  expect(E.isLeft(empty) && empty.left.map((fault) => fault.at)).toEqual(['/templates/1/kinds']);
  const shareless = checkDesiredState({ templates: [{ tenant: 'ferry', kinds: { quote: idle } }] });
  expect(E.isLeft(shareless) && shareless.left.map((fault) => fault.at)).toEqual(['/templates']);
});
