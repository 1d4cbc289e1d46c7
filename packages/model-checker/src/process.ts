/** A program under the scheduler, and cuts between programs. */
import type { Address, Message } from '@tansypost/inner-protocol';
import type { ClockSettings } from './clock.js';
import type { Fingerprint } from './fingerprint.js';

/** One program under the scheduler; it keeps its name and address over its starts. */
export interface Process {
  readonly name: string;
  readonly address: Address;
  readonly clock: ClockSettings;
  alive: boolean;
  frozen: boolean;
  /** Rises with each end of the program. */
  incarnation: number;
  /** Of all inputs that the process took since the start, with the local time of each. */
  readonly inputs: Fingerprint;
  receive: (message: Message, from: Address) => void;
}

/** A set of processes cut off from all others. */
export interface Partition {
  readonly group: readonly string[];
  readonly way: 'in' | 'out' | 'both';
  /** Whether what is sent into the cut waits for its end, as in a sender's buffer, or is lost. */
  readonly holds: boolean;
}

/** Whether a cut keeps messages from one process to another. */
export function isBlocked(cut: Partition | undefined, from: string, to: string): boolean {
  if (cut === undefined || from === to) return false;
  const sends = cut.group.includes(from);
  if (sends === cut.group.includes(to)) return false;
  return cut.way === 'both' || (sends ? cut.way === 'out' : cut.way === 'in');
}
