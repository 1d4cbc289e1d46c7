/** The duty that orders workers. Only the newest order for a service and zone counts, so it supersedes an open one. */
import type { Duty, DutyRecord, PlannedCall } from '@tansypost/duty-log';
import { every, micros, type World } from '@tansypost/inner-protocol';
import { decodeScaleOrder } from './scale-order.js';
import { createScalePlanner, type FleetView, type ScaledService } from './scale-planner.js';

/** Dependencies of the duty. */
export interface ScaleDutyOptions {
  readonly services: () => readonly ScaledService[];
  /** The fleet as this control node sees it now. */
  readonly view: () => FleetView;
}

/** The duty. It observes the fleet even while another node holds the term, so that its load history is ready. */
export interface ScaleDuty extends Duty {
  readonly stop: () => void;
}

/** Name of the duty. */
export const scaleDutyName = 'scale';
const pollInterval = micros(500_000);

/** Creates the duty and starts to observe the fleet. */
export function createScaleDuty(world: World, options: ScaleDutyOptions): ScaleDuty {
  let ordered: ReadonlyMap<string, number> = new Map();
  const planner = createScalePlanner({ services: options.services, lastOrdered: (subject) => ordered.get(subject) });

  function plan(record: DutyRecord): readonly PlannedCall[] {
    ordered = lastOrderedCounts(record);
    return planner.plan(world.now());
  }

  return {
    name: scaleDutyName,
    maySupersede: true,
    plan,
    stop: every(
      world,
      () => pollInterval,
      () => planner.observe(world.now(), options.view()),
    ),
  };
}

/** The number of workers in the newest order for each subject, open or ended. */
function lastOrderedCounts({ open, outcomes }: DutyRecord): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { subject, content } of [...outcomes, ...open]) {
    const order = decodeScaleOrder(content);
    if (order !== undefined) counts.set(subject, order.workers);
  }
  return counts;
}
