/**
 * What is recorded of a run of the control side: every call of an operator, every configuration that a router took, and
 * every round of votes as the network saw it. The judges read nothing else.
 */
import { configurationKey } from '@tansypost/control-feed';
import type { Address, Message } from '@tansypost/inner-protocol';
import type { MessageObserver } from '../simulated-control-node.js';

/** A number that no configuration has yet: the revision that the first one builds on. */
export const noRevision = 0;

/** One call of an operator to one machine. */
export interface ConfigCall {
  readonly kind: 'put' | 'get';
  readonly node: string;
  readonly sentAt: number;
  /** Of an order: its text, the revision in it and the revision that it builds on. */
  readonly text?: string;
  readonly revision?: number;
  readonly expectedRevision?: number;
  /** When the answer came, and its status; undefined when none came. */
  answeredAt?: number;
  code?: number;
  /** Of a read: what was given. */
  readResult?: { readonly revision: number; readonly text: string };
  /** Whether the machine ran, neither killed nor frozen, for as long as an answer may take. */
  nodeWasAvailable: boolean;
}

/** A configuration that a router put into force. */
export interface AppliedConfiguration {
  readonly router: string;
  readonly startedAt: number;
  readonly at: number;
  readonly revision: number;
}

/** A round of votes on the configuration, begun by one machine. */
export interface ObservedRound {
  readonly node: string;
  readonly startedAt: number;
  readonly majority: number;
  readonly slots: Set<number>;
  wonAt?: number;
}

/** An answer about the configuration that one machine gave to another that had passed a question on. */
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

/** One thing that must never happen and did. */
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

/** Records the rounds on the configuration; `members` tells how many replicas a machine believes there are. */
export function createRoundObserver(
  h: ControlHistory,
  now: () => number,
  members: (machine: string) => number,
): MessageObserver {
  function sent(m: Message, from: Address): void {
    if (m.kind !== 'Prepare' && m.kind !== 'Accept' && m.kind !== 'Check') return;
    // A repair of one replica is no round: nobody counts its votes.
    if (m.key !== configurationKey || m.id.startsWith('repair/') || h.rounds.has(m.id)) return;
    // Nor is the renewal of a lease to serve reads one that an order may stand on.
    if (m.kind === 'Check' && m.epoch === Number.MAX_SAFE_INTEGER) return;
    const node = machineOf(from);
    const majority = Math.floor(members(node) / 2) + 1;
    h.rounds.set(m.id, { node, startedAt: now(), majority, slots: new Set() });
  }
  function received(m: Message, at: Address, from: Address): void {
    if (m.kind === 'Answer' && m.key === configurationKey && from !== at)
      h.answers.push({ from: machineOf(from), to: machineOf(at), at: now() });
    if (m.kind !== 'Vote' || !m.ok || !m.voting) return;
    const round = h.rounds.get(m.id);
    if (round === undefined || round.wonAt !== undefined) return;
    round.slots.add(m.slot);
    // The machine that asks has its own vote besides.
    if (round.slots.size >= round.majority - 1) round.wonAt = now();
  }
  return { sent, received };
}
