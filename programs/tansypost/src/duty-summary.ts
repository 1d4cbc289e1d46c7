/** A readable summary of the duties' status; `tansypost duties --json` prints the status itself. */
import type { DutiesStatus, DutyStatus, OpenCall } from '@tansypost/duty-log';

const microsPerSecond = 1_000_000;

function summarizeCall({ subject, age, failures }: OpenCall): string {
  return `  open    ${subject}, for ${(age / microsPerSecond).toFixed(1)} s, ${failures} calls with unknown outcome`;
}

function summarizeDuty({ duty, fence, open, waiting }: DutyStatus): string[] {
  const term = fence === undefined ? 'no term at this node' : `fence ${fence}`;
  const pending = waiting === 0 ? [] : [`  waiting ${waiting} calls not yet in the stored record`];
  return [`${duty}: ${term}, ${open.length} open`, ...open.map(summarizeCall), ...pending];
}

/** Summarizes the status reported by one control node. Only the leader knows the open calls. */
export function summarizeDuties({ holder, duties }: DutiesStatus): string {
  const leader =
    holder === undefined ? 'holder: unknown to this node' : `holder: ${holder.holder} at ${holder.address}`;
  return `${[leader, ...duties.flatMap(summarizeDuty)].join('\n')}\n`;
}
