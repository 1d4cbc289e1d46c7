// Writes the page of event numbers from the catalogue: `npm run events`.
import { catalogue } from './catalogue.js';

export function eventPage(): string {
  const rows = Object.entries(catalogue).map(([n, e]) => `| ${n} | ${e.level} | ${e.means} | ${e.remedy} |`);
  return [
    '# Event numbers',
    '',
    'Written from the catalogue by `npm run events`. Numbers are never used again for something else.',
    '',
    '| number | level | meaning | remedy |',
    '|---|---|---|---|',
    ...rows,
    '',
  ].join('\n');
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('is what docs/events.md holds', async () => {
    const { readFileSync } = await import('node:fs');
    expect(readFileSync(new URL('../../../docs/events.md', import.meta.url), 'utf8')).toBe(eventPage());
  });
}
