/**
 * The recorded history of a control run: every call of an operator, every configuration that a router applied, and
 * every vote round as observed on the network. The invariant checks read nothing else.
 */
import { configurationKey } from '@tansypost/control-feed';
import type { Address, Message } from '@tansypost/inner-protocol';
import type { MessageObserver } from '../simulated-control-node.js';

/** The expected revision of the first update; no configuration has this revision. */
export const noRevision = 0;

/** One API call of an operator to one machine. Times are in microseconds. */
export interface ConfigCall {
  readonly kind: 'put' | 'get';
  readonly node: string;
  readonly sentAt: number;
  /** Of an update: its text, the revision in the text, and the revision that it replaces. */
  readonly text?: string;
  readonly revision?: number;
  readonly expectedRevision?: number;
  /** Arrival time and status of the response; undefined without a response. */
  answeredAt?: number;
  code?: number;
  /** Of a successful read: the configuration returned. */
  readResult?: { readonly revision: number; readonly text: string };
  /** Whether the machine was neither killed nor frozen between the call and the end of its timeout. */
  nodeWasAvailable: boolean;
}

/** A configuration that a router applied. */
export interface AppliedConfiguration {
  readonly router: string;
  readonly startedAt: number;
  readonly at: number;
  readonly revision: number;
}

/** A vote round on the configuration key, started by one machine. */
export interface ObservedRound {
  readonly node: string;
  readonly startedAt: number;
  readonly majority: number;
  readonly slots: Set<number>;
  wonAt?: number;
}

/** A response about the configuration from one machine to another that had forwarded a request to it. */
export interface ForwardedAnswer {
  readonly from: string;
  readonly to: string;
  readonly at: number;
}

export interface ControlHistory {
  readonly calls: ConfigCall[];
  readonly appliedConfigurations: AppliedConfiguration[];
  readonly rounds: Map<string, ObservedRound>;
  readonly answers: ForwardedAnswer[];
}

/** One violation of an invariant. */
export interface ControlBreach {
  readonly check: string;
  readonly what: string;
}

export function createControlHistory(): ControlHistory {
  return { calls: [], appliedConfigurations: [], rounds: new Map(), answers: [] };
}

export function machineOf(address: Address): string {
  return address.split(':')[0]!;
}

/** Records the vote rounds on the configuration key; `members` returns the replica count that a machine knows of. */
export function createRoundObserver(
  history: ControlHistory,
  now: () => number,
  members: (machine: string) => number,
): MessageObserver {
  function sent(message: Message, from: Address): void {
    if (message.kind !== 'Prepare' && message.kind !== 'Accept' && message.kind !== 'Check') return;
    // The repair of a single replica is not a round, as its votes are not counted.
    if (message.key !== configurationKey || message.id.startsWith('repair/') || history.rounds.has(message.id)) return;
    // A renewal of the read lease does not confirm updates, so it is not a round either.
    if (message.kind === 'Check' && message.epoch === Number.MAX_SAFE_INTEGER) return;
    const node = machineOf(from);
    const majority = Math.floor(members(node) / 2) + 1;
    history.rounds.set(message.id, { node, startedAt: now(), majority, slots: new Set() });
  }
  function received(message: Message, at: Address, from: Address): void {
    if (message.kind === 'Answer' && message.key === configurationKey && from !== at)
      history.answers.push({ from: machineOf(from), to: machineOf(at), at: now() });
    if (message.kind !== 'Vote' || !message.ok || !message.voting) return;
    const round = history.rounds.get(message.id);
    if (round === undefined || round.wonAt !== undefined) return;
    round.slots.add(message.slot);
    // The initiating machine's own vote is not sent over the network, so it is counted separately.
    if (round.slots.size >= round.majority - 1) round.wonAt = now();
  }
  return { sent, received };
}
