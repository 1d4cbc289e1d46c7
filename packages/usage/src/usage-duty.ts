/** The duty that reports usage: one call for each window, in order, whose content never changes once it is recorded. */
import type { Duty, DutyRecord, PlannedCall } from '@tansypost/duty-log';
import type { Message, World } from '@tansypost/inner-protocol';
import { createUsageCollector, type UsageCollectorOptions } from './usage-collector.js';
import { encodeUsageContent, type UsageContent } from './usage-content.js';

/** Dependencies and settings of the duty. */
export interface UsageDutyOptions extends Omit<UsageCollectorOptions, 'isLeader' | 'closedThrough'> {
  /** Whether this node holds the term of this duty. */
  readonly hasTerm: () => boolean;
}

/** The duty, which receives the routers' counts. */
export interface UsageDuty extends Duty {
  /** Handles a message and returns whether it was meant for this duty. */
  readonly receive: (message: Message) => boolean;
  readonly stop: () => void;
}

/** Name of the duty. */
export const usageDutyName = 'usage';
/** All windows share one subject, so they are reported in order. */
const subject = 'windows';

/** Creates the duty; it collects while this node holds the term or is the standby. */
export function createUsageDuty(world: World, options: UsageDutyOptions): UsageDuty {
  let closedThrough: number | undefined;
  let hasReadRecord = false;
  const collector = createUsageCollector(world, {
    ...options,
    isLeader: () => hasReadRecord && options.hasTerm(),
    closedThrough: () => closedThrough,
  });

  function plan(record: DutyRecord): readonly PlannedCall[] {
    hasReadRecord = true;
    closedThrough = lastRecordedWindow(record) ?? closedThrough;
    return collector.readyWindows().map((content) => ({ subject, content: encodeUsageContent(content) }));
  }

  return { name: usageDutyName, maySupersede: false, plan, receive: collector.receive, stop: collector.stop };
}

/** The last window whose content is in the record, open or reported. */
function lastRecordedWindow({ open, outcomes }: DutyRecord): number | undefined {
  const windows = [...open, ...outcomes].map(({ content }) => (JSON.parse(content) as UsageContent).window);
  return windows.length === 0 ? undefined : Math.max(...windows);
}
