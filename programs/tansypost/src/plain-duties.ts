/** Where the duties stand, in plain words. `--json` gives the status itself. */
import type { DutiesStatus, DutyStatus, OpenCall } from '@tansypost/duty-log';

const microsPerSecond = 1_000_000;

function plainCall({ subject, age, failures }: OpenCall): string {
  return `  open    ${subject}, for ${(age / microsPerSecond).toFixed(1)} s, ${failures} calls without a clear answer`;
}

function plainDuty({ duty, fence, open, waiting }: DutyStatus): string[] {
  const term = fence === undefined ? 'no term at this node' : `fence ${fence}`;
  const owed = waiting === 0 ? [] : [`  waiting ${waiting} calls that have no place in the record yet`];
  return [`${duty}: ${term}, ${open.length} open`, ...open.map(plainCall), ...owed];
}

/** The status of one control node in lines of text. Open calls are known to the holder alone. */
export function plainDuties({ holder, duties }: DutiesStatus): string {
  const who = holder === undefined ? 'holder: not known here' : `holder: ${holder.holder} at ${holder.address}`;
  return `${[who, ...duties.flatMap(plainDuty)].join('\n')}\n`;
}
