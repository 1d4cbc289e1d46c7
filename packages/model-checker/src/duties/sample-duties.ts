/**
 * The duties that schedules play: reports of windows, of which each holder would compute another content, in one subject
 * and never overtaken; and orders of a wanted number for each of some subjects, where the newest overtakes.
 */
import type { Duty, DutyRecord, PlannedCall } from '@tansypost/duty-log';
import type { Draw } from './draw.js';
import { times } from './scope.js';

/** Names of the duties. */
export const reportDuty = 'usage';
/** Orders of a wanted number. */
export const orderDuty = 'scale';
/** The one subject of the reports. */
export const reportSubject = 'all windows';
/** Subjects of the orders. */
export const orderSubjects = ['a', 'b', 'c'] as const;

/** The content of a report. */
export interface WindowReport {
  readonly window: number;
  readonly count: number;
}

const counts = 1_000_000;
/** Windows planned at once at most. */
const maxPlanned = 8;

/** The newest window that has ended. */
export function lastEndedWindow(now: number): number {
  return Math.floor(now / times.usageWindow) - 1;
}

/** The report in a call's content. */
export function reportOf(content: string): WindowReport {
  return JSON.parse(content) as WindowReport;
}

/** Reports of ended windows, in order, counted anew by whoever plans them, unless so many are open. */
export function createReports(now: () => number, draw: Draw, mostOpen: number): Duty {
  function plan(record: DutyRecord): PlannedCall[] {
    if (record.open.length >= mostOpen) return [];
    const known = [...record.open, ...record.outcomes].map((entry) => reportOf(entry.content).window);
    const first = Math.max(-1, ...known) + 1;
    const last = Math.min(lastEndedWindow(now()), first + maxPlanned - 1);
    const planned: PlannedCall[] = [];
    for (let window = first; window <= last; window += 1) {
      const report: WindowReport = { window, count: Math.floor(draw.number() * counts) };
      planned.push({ subject: reportSubject, content: JSON.stringify(report) });
    }
    return planned;
  }
  return { name: reportDuty, maySupersede: false, plan };
}

/** Orders of the numbers wanted now, where they differ from what was ordered last. */
export function createOrders(wanted: ReadonlyMap<string, number>): Duty {
  function plan(record: DutyRecord): PlannedCall[] {
    const planned: PlannedCall[] = [];
    for (const [subject, number] of wanted) {
      const content = JSON.stringify({ number });
      const open = record.open.filter((entry) => entry.subject === subject).at(-1);
      const last = open ?? record.outcomes.find((entry) => entry.subject === subject);
      if (last?.content !== content) planned.push({ subject, content });
    }
    return planned;
  }
  return { name: orderDuty, maySupersede: true, plan };
}
