// Writes numbered events. Each line carries the number, the level and the meaning from the
// catalogue, and the fields as JSON, so that a page can list all numbers and a search finds one.
import { createConsola } from 'consola';
import { catalogue } from './catalogue.js';

export type Log = (event: number, fields: Record<string, unknown>) => void;

export function createLog(program: string, member: string, level = 3): Log {
  const c = createConsola({ level, fancy: false, formatOptions: { date: true, colors: false } });
  return function log(event, fields) {
    const e = catalogue[event];
    const line = `E${event} ${program} ${member} ${e?.means ?? 'not in the catalogue'} ${JSON.stringify(fields)}`;
    if (e?.level === 'error') c.error(line);
    else if (e?.level === 'warn') c.warn(line);
    else if (e?.level === 'debug') c.debug(line);
    else c.info(line);
  };
}
