/** Simulated processes, and network partitions between them. */
import type { Address, Message } from '@tansypost/inner-protocol';
import type { ClockSettings } from './clock.js';
import type { Fingerprint } from './fingerprint.js';

/** One simulated process; it keeps its name and address across restarts. */
export interface Process {
  readonly name: string;
  readonly address: Address;
  readonly clock: ClockSettings;
  alive: boolean;
  frozen: boolean;
  /** Increases each time the process ends. */
  incarnation: number;
  /** Covers all inputs that the process has taken since the run began, with the local time of each. */
  readonly inputs: Fingerprint;
  receive: (message: Message, from: Address) => void;
}

/** A network partition: a group of processes cut off from all others. */
export interface Partition {
  readonly group: readonly string[];
  readonly way: 'in' | 'out' | 'both';
  /** Whether messages across the partition wait for its end, as in a sender's buffer, or are lost. */
  readonly holds: boolean;
}

/** Whether a partition blocks messages from one process to another. */
export function isBlocked(partition: Partition | undefined, from: string, to: string): boolean {
  if (partition === undefined || from === to) return false;
  const sends = partition.group.includes(from);
  if (sends === partition.group.includes(to)) return false;
  return partition.way === 'both' || (sends ? partition.way === 'out' : partition.way === 'in');
}
