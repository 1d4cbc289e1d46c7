/** Holds docs/events.md to the catalogue. */
import { readFileSync } from 'node:fs';
import { expect, it } from 'vitest';
import { eventPage } from './page.js';

it('is what docs/events.md holds', () => {
  expect(readFileSync(new URL('../../../docs/events.md', import.meta.url), 'utf8')).toBe(eventPage());
});
