/** Generates the reference page of event numbers from the catalogue (`npm run events`). */
import { catalogue } from './catalogue.js';

/** The content of docs/events.md. */
export function eventPage(): string {
  const rows = Object.entries(catalogue).map(
    ([event, entry]) => `| ${event} | ${entry.level} | ${entry.meaning} | ${entry.remedy} |`,
  );
  return [
    '# Event numbers',
    '',
    'Generated from the catalogue by `npm run events`. Numbers are never reused for other events.',
    '',
    '| number | level | meaning | remedy |',
    '|---|---|---|---|',
    ...rows,
    '',
  ].join('\n');
}
