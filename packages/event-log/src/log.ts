/**
 * Writes numbered events. Each line carries the number, the meaning from the catalogue, and the fields as
 * JSON, so that all numbers can be listed on a page and each can be searched for.
 */
import { createConsola, type ConsolaInstance } from 'consola';
import { catalogue, type EventLevel } from './catalogue.js';

/** Writes one event of the catalogue with its fields. */
export type Log = (event: number, fields: Record<string, unknown>) => void;

const defaultLevel = 3;

/**
 * Makes the log of one program.
 * @param program name of the program, on every line
 * @param member name of the process in the fleet, on every line
 * @param level consola's level: 0 writes errors only, 3 all but debug, 4 everything
 */
export function createLog(program: string, member: string, level = defaultLevel): Log {
  const output = createConsola({ level, fancy: false, formatOptions: { date: true, colors: false } });
  return function log(event, fields) {
    const entry = catalogue[event];
    const meaning = entry?.meaning ?? 'not in the catalogue';
    write(output, entry?.level ?? 'info', `E${event} ${program} ${member} ${meaning} ${JSON.stringify(fields)}`);
  };
}

function write(output: ConsolaInstance, level: EventLevel, line: string): void {
  output[level](line);
}
