/** A configuration is accepted as a whole, or rejected with every fault and its place. */
import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import { checkDesiredState, type DesiredState } from './desired-state.js';

function validState(): DesiredState {
  return {
    templates: [{ tenant: 'ferry', kinds: { quote: { worth: 2, patienceMs: 3000, share: 5, repeatable: true } } }],
  };
}
it('reports every fault with its place, and accepts a valid state', () => {
  expect(E.isRight(checkDesiredState(validState()))).toBe(true);
  const invalidState = {
    templates: [{ tenant: 'Ferry!', colour: 1, kinds: { quote: { worth: -1, patienceMs: 3000.5, share: 5 } } }],
    x: 1,
  };
  const result = checkDesiredState(invalidState);
  const places = E.isLeft(result) ? result.left.map((fault) => fault.at) : [];
  for (const place of [
    '/x',
    '/templates/0/tenant',
    '/templates/0/colour',
    '/templates/0/kinds/quote/worth',
    '/templates/0/kinds/quote/patienceMs',
    '/templates/0/kinds/quote/repeatable',
  ]) {
    expect(places).toContain(place);
  }
  const duplicated = { templates: [...validState().templates, ...validState().templates] };
  expect(E.isLeft(checkDesiredState(duplicated))).toBe(true);
});

it('reports a tenant without kinds, and a state in which all shares are 0', () => {
  const kindWithoutShare = { worth: 2, patienceMs: 3000, share: 0, repeatable: true };
  const empty = checkDesiredState({ templates: [...validState().templates, { tenant: 'empty', kinds: {} }] });
  expect(E.isLeft(empty) && empty.left.map((fault) => fault.at)).toEqual(['/templates/1/kinds']);
  const shareless = checkDesiredState({ templates: [{ tenant: 'ferry', kinds: { quote: kindWithoutShare } }] });
  expect(E.isLeft(shareless) && shareless.left.map((fault) => fault.at)).toEqual(['/templates']);
});
