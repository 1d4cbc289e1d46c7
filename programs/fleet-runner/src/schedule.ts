/**
 * Parses a fault schedule: one JSON object per line with the second at which the fault is injected (`at`), its kind (`do`)
 * and the affected member (`who`). An unknown kind or member is rejected with its line number before anything starts.
 */
import * as E from 'fp-ts/lib/Either.js';
import { BadScheduleError } from '@tansypost/inner-protocol';

/**
 * `drain` and `release` restart a member gracefully, `release` after its worker left the list and went idle; `empty` also
 * deletes its data; `dark` and `light` make a worker unresponsive and responsive; `lapse` expires its KV handles; `crowd`
 * doubles the request rate until `calm`; `submit` submits a changed desired state; `isolate` and `one-way` partition a
 * machine until `rejoin`; `slow` delays a member's link until `fast`.
 */
export const faultKinds = [
  'kill',
  'freeze',
  'wake',
  'restart',
  'empty',
  'drain',
  'release',
  'dark',
  'light',
  'lapse',
  'submit',
  'crowd',
  'calm',
  'leave',
  'isolate',
  'one-way',
  'rejoin',
  'slow',
  'fast',
] as const;
export type FaultKind = (typeof faultKinds)[number];
/** `at` is in seconds from the start of the traffic, `do` the kind, `who` the member. */
export interface Fault {
  readonly at: number;
  readonly do: FaultKind;
  readonly who?: string;
}
const kindsWithoutMember = new Set<FaultKind>(['submit', 'crowd', 'calm']);

/** The faults in order of time. `members` are the names that `who` may have. */
export function parseFaultSchedule(text: string, members: readonly string[]): E.Either<Error, readonly Fault[]> {
  const schedule: Fault[] = [];
  const lines = text.split('\n');
  for (let index = 0; index < lines.length; index += 1) {
    const line = lines[index]!.trim();
    if (line === '' || line.startsWith('#')) continue;
    let fault: Partial<Fault>;
    try {
      fault = JSON.parse(line) as Partial<Fault>;
    } catch {
      return E.left(new BadScheduleError(`line ${index + 1}: not JSON; write {"at":5,"do":"kill","who":"router1"}`));
    }
    if (typeof fault.at !== 'number' || fault.at < 0)
      return E.left(new BadScheduleError(`line ${index + 1}: at must be a number of seconds, 0 or above`));
    if (!faultKinds.includes(fault.do as FaultKind))
      return E.left(
        new BadScheduleError(
          `line ${index + 1}: unknown kind ${String(fault.do)}; use one of ${faultKinds.join(', ')}`,
        ),
      );
    if (!kindsWithoutMember.has(fault.do as FaultKind) && !members.includes(fault.who ?? ''))
      return E.left(new BadScheduleError(`line ${index + 1}: unknown member ${String(fault.who)}`));
    schedule.push(fault as Fault);
  }
  return E.right(schedule.sort((left, right) => left.at - right.at));
}
