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
