/** Tests of the linearizability check on histories that are linearizable and on histories that are not. */
import { expect, it } from 'vitest';
import { isLinearizable } from './linearizability.js';
import { neverReturned, type Operation, type WriteOutcome } from './operation-history.js';

function write(change: string, base: number, invoked: number, returned: number, outcome: WriteOutcome): Operation {
  return { kind: 'write', client: 'p', request: { change, expectedVersion: base }, invoked, returned, outcome };
}
function read(version: number, change: string, invoked: number, returned: number): Operation {
  return { kind: 'read', client: 'q', invoked, returned, seen: { version, change } };
}

it('accepts histories that some order explains', () => {
  expect(isLinearizable([])).toBe(true);
  expect(isLinearizable([write('a', 0, 1, 2, 'done'), read(1, 'a', 3, 4), write('b', 0, 3, 5, 'refused')])).toBe(true);
  // Two concurrent writes on the same expected version, either of which may have won.
  expect(isLinearizable([write('a', 0, 1, 4, 'refused'), write('b', 0, 2, 3, 'done')])).toBe(true);
  // The same request repeated after another write is answered done again.
  expect(isLinearizable([write('a', 0, 1, 2, 'done'), write('b', 1, 3, 4, 'done'), write('a', 0, 5, 6, 'done')])).toBe(
    true,
  );
  // A write with an unknown outcome takes effect late, or never.
  const open = write('a', 0, 1, neverReturned, 'unknown');
  expect(isLinearizable([open, read(0, '', 5, 6), read(1, 'a', 7, 8)])).toBe(true);
  expect(isLinearizable([open, read(0, '', 5, 6), write('b', 0, 7, 8, 'done')])).toBe(true);
});

it('rejects histories that no order explains', () => {
  expect(isLinearizable([write('a', 0, 1, 2, 'done'), read(0, '', 3, 4)])).toBe(false);
  expect(isLinearizable([write('a', 0, 1, 2, 'done'), write('b', 0, 1, 2, 'done')])).toBe(false);
  expect(isLinearizable([write('a', 0, 1, 2, 'done'), write('a', 0, 3, 4, 'refused')])).toBe(false);
  expect(isLinearizable([write('a', 0, 1, 2, 'refused'), read(0, '', 3, 4)])).toBe(false);
  const open = write('a', 0, 1, neverReturned, 'unknown');
  expect(isLinearizable([open, read(1, 'a', 2, 3), read(0, '', 5, 6)])).toBe(false);
  expect(isLinearizable([open, write('b', 0, 2, 3, 'done'), read(1, 'a', 4, 5)])).toBe(false);
  // The refusal was wrong: nothing conflicted with the refused write before the other write began.
  expect(isLinearizable([write('b', 0, 1, 2, 'refused'), write('a', 0, 3, 4, 'done')])).toBe(false);
});
