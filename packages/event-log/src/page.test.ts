/** Checks that docs/events.md is generated from the current catalogue. */
import { readFileSync } from 'node:fs';
import { expect, it } from 'vitest';
import { eventPage } from './page.js';

it('matches docs/events.md', () => {
  expect(readFileSync(new URL('../../../docs/events.md', import.meta.url), 'utf8')).toBe(eventPage());
});
