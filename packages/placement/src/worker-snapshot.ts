/**
 * What the router knows of the fleet when a prompt arrives (the paper's snapshot). It is put together
 * from tables that only the router's own loop writes, so taking it needs no lock. Prefill and
 * decode tokens are kept apart; `running` and `queued` are the last report corrected by the sends and
 * hand-over completions that this router has seen since.
 */
import type { WorkerId } from '@tansypost/inner-protocol';

export interface Candidate {
  readonly worker: WorkerId;
  readonly incarnation: number;
  readonly running: number;
  readonly queued: number;
  readonly prefillTokens: number;
  readonly decodeTokens: number;
  readonly kvUsed: number;
  readonly speedClass: number;
}

export interface WorkerSnapshot {
  readonly prefill: readonly Candidate[];
  readonly decode: readonly Candidate[];
}

export interface PromptSummary {
  readonly tokens: number;
  readonly blocks: readonly number[];
  readonly prefixGroup: string;
}
