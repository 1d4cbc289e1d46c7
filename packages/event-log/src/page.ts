/** Writes the page of event numbers from the catalogue: `npm run events`. */
import { catalogue } from './catalogue.js';

/** The whole of docs/events.md. */
export function eventPage(): string {
  const rows = Object.entries(catalogue).map(
    ([event, entry]) => `| ${event} | ${entry.level} | ${entry.meaning} | ${entry.remedy} |`,
  );
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
