/** Reports of usage as a duty: one call for each window, in order, whose content never changes once it is written down. */
import type { Duty, DutyRecord, PlannedCall } from '@tansypost/duty-log';
import type { Message, World } from '@tansypost/inner-protocol';
import { createUsageCollector, type UsageCollectorOptions } from './usage-collector.js';
import { encodeUsageContent, type UsageContent } from './usage-content.js';

/** What the duty is told when it is made. */
export interface UsageDutyOptions extends Omit<UsageCollectorOptions, 'isLeader' | 'closedThrough'> {
  /** Whether this node has the term of this duty. */
  readonly hasTerm: () => boolean;
}

/** The duty, and what routers tell it. */
export interface UsageDuty extends Duty {
  /** Takes in a message and says whether it was meant for this duty. */
  readonly receive: (message: Message) => boolean;
  readonly stop: () => void;
}

/** Name of the duty. */
export const usageDutyName = 'usage';
/** All windows together are one subject, so they are reported in order. */
const subject = 'windows';

/** Makes the duty; it collects while this node has the term. */
export function createUsageDuty(world: World, options: UsageDutyOptions): UsageDuty {
  let closedThrough: number | undefined;
  let hasRead = false;
  const collector = createUsageCollector(world, {
    ...options,
    isLeader: () => hasRead && options.hasTerm(),
    closedThrough: () => closedThrough,
  });

  function plan(record: DutyRecord): readonly PlannedCall[] {
    hasRead = true;
    closedThrough = lastWindow(record) ?? closedThrough;
    return collector.readyWindows().map((content) => ({ subject, content: encodeUsageContent(content) }));
  }

  return { name: usageDutyName, maySupersede: false, plan, receive: collector.receive, stop: collector.stop };
}

/** The last window whose content stands in the record, open or reported. */
function lastWindow({ open, outcomes }: DutyRecord): number | undefined {
  const windows = [...open, ...outcomes].map(({ content }) => (JSON.parse(content) as UsageContent).window);
  return windows.length === 0 ? undefined : Math.max(...windows);
}
