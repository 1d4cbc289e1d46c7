/**
 * What a router knows of the fleet when a prompt arrives (the snapshot of the paper). It is read from tables that only the
 * router's own event loop writes, so taking it needs no lock. Prefill and decode tokens are counted separately; `running`
 * and `queued` are the last report, corrected by the attempts and the prefill-to-decode transfers that this router has
 * seen since.
 */
import type { WorkerId } from '@tansypost/inner-protocol';

/** A worker that a request may be placed on, and its load. */
export interface Candidate {
  readonly worker: WorkerId;
  readonly incarnation: number;
  /** Requests running there. */
  readonly running: number;
  /** Requests queued there. */
  readonly queued: number;
  readonly prefillTokens: number;
  readonly decodeTokens: number;
  /** Share of KV memory in use, 0 to 1. */
  readonly kvUsed: number;
  /** See `ThroughputTracker`. */
  readonly speedClass: number;
}

/** The candidates for each stage. */
export interface WorkerSnapshot {
  readonly prefill: readonly Candidate[];
  readonly decode: readonly Candidate[];
}

/** What placement needs to know of a prompt. */
export interface PromptSummary {
  readonly tokens: number;
  /** Hashes of the prompt's blocks, in order. */
  readonly blocks: readonly number[];
  /** Name that prompts with the same beginning share. */
  readonly prefixGroup: string;
}
