/** Orders of workers as a duty. Only the newest number for a service and zone counts, so it overtakes one that is open. */
import type { Duty, DutyRecord, PlannedCall } from '@tansypost/duty-log';
import { every, micros, type World } from '@tansypost/inner-protocol';
import { decodeScaleOrder } from './scale-order.js';
import { createScalePlanner, type FleetView, type ScaledService } from './scale-planner.js';

/** What the duty is told when it is made. */
export interface ScaleDutyOptions {
  readonly services: () => readonly ScaledService[];
  /** What this control node sees now. */
  readonly view: () => FleetView;
}

/** The duty, which looks at the fleet also while another node has the term. */
export interface ScaleDuty extends Duty {
  readonly stop: () => void;
}

/** Name of the duty. */
export const scaleDutyName = 'scale';
const lookEvery = micros(500_000);

/** Makes the duty, which begins to look at the fleet. */
export function createScaleDuty(world: World, options: ScaleDutyOptions): ScaleDuty {
  let ordered: ReadonlyMap<string, number> = new Map();
  const planner = createScalePlanner({ services: options.services, lastOrdered: (subject) => ordered.get(subject) });

  function plan(record: DutyRecord): readonly PlannedCall[] {
    ordered = orderedNumbers(record);
    return planner.plan(world.now());
  }

  return {
    name: scaleDutyName,
    maySupersede: true,
    plan,
    stop: every(
      world,
      () => lookEvery,
      () => planner.observe(world.now(), options.view()),
    ),
  };
}

/** The newest order of each subject, whether it has ended or not. */
function orderedNumbers({ open, outcomes }: DutyRecord): ReadonlyMap<string, number> {
  const numbers = new Map<string, number>();
  for (const { subject, content } of [...outcomes, ...open]) {
    const order = decodeScaleOrder(content);
    if (order !== undefined) numbers.set(subject, order.workers);
  }
  return numbers;
}
