/**
 * The duties that schedules run: reports of windows, all under one subject and never superseded, for which each leader
 * would compute a different content; and orders of a desired number for each of several subjects, where the newest order
 * supersedes older ones.
 */
import type { Duty, DutyRecord, PlannedCall } from '@tansypost/duty-log';
import type { Draw } from './draw.js';
import { scheduleTimes } from './scope.js';

/** The name of the duty that reports windows. */
export const reportDuty = 'usage';
/** The name of the duty that orders desired numbers. */
export const orderDuty = 'scale';
/** The only subject of the reports. */
export const reportSubject = 'all windows';
/** The subjects of the orders. */
export const orderSubjects = ['a', 'b', 'c'] as const;

/** The content of a report. */
export interface WindowReport {
  readonly window: number;
  readonly count: number;
}

const maxCount = 1_000_000;
/** The maximum number of windows planned at once. */
const maxPlannedWindows = 8;

/** The newest window that has ended. */
export function lastEndedWindow(now: number): number {
  return Math.floor(now / scheduleTimes.usageWindow) - 1;
}

/** Decodes the report in a call's content. */
export function reportOf(content: string): WindowReport {
  return JSON.parse(content) as WindowReport;
}

/** The duty that reports ended windows in order, with a new count at each planning, while fewer than `maxOpen` are open. */
export function createReports(now: () => number, draw: Draw, maxOpen: number): Duty {
  function plan(record: DutyRecord): PlannedCall[] {
    if (record.open.length >= maxOpen) return [];
    const known = [...record.open, ...record.outcomes].map((entry) => reportOf(entry.content).window);
    const first = Math.max(-1, ...known) + 1;
    const last = Math.min(lastEndedWindow(now()), first + maxPlannedWindows - 1);
    const planned: PlannedCall[] = [];
    for (let window = first; window <= last; window += 1) {
      const report: WindowReport = { window, count: Math.floor(draw.number() * maxCount) };
      planned.push({ subject: reportSubject, content: JSON.stringify(report) });
    }
    return planned;
  }
  return { name: reportDuty, maySupersede: false, plan };
}

/** The duty that orders the desired numbers where they differ from the last order. */
export function createOrders(desiredNumbers: ReadonlyMap<string, number>): Duty {
  function plan(record: DutyRecord): PlannedCall[] {
    const planned: PlannedCall[] = [];
    for (const [subject, number] of desiredNumbers) {
      const content = JSON.stringify({ number });
      const open = record.open.filter((entry) => entry.subject === subject).at(-1);
      const last = open ?? record.outcomes.find((entry) => entry.subject === subject);
      if (last?.content !== content) planned.push({ subject, content });
    }
    return planned;
  }
  return { name: orderDuty, maySupersede: true, plan };
}
