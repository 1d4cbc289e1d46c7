/**
 * The recorded history of a simulated run, as input of the checks: client attempts and their responses, arrivals and
 * runs at workers, configuration changes and their answers, the documents applied by each router, and all faults.
 */

import type { KeyDigest } from '@tansypost/paths';

export type AttemptOutcome =
  | 'open'
  | 'unread'
  | 'whole'
  | 'cut'
  | 'refused'
  | 'gave_up'
  | 'failed'
  | 'left'
  | 'unknown_path'
  | 'unknown_key'
  | 'odd';
export interface AttemptRecord {
  readonly id: string;
  readonly task: number;
  readonly kind: string;
  readonly target: string;
  readonly at: number;
  readonly lastEvent: number | undefined;
  readonly streaming: boolean;
  readonly resumable: boolean;
  readonly repeatable: boolean;
  // Number of events of the complete response.
  readonly pieces: number;
  router: string;
  readAt: number | undefined;
  end: number | undefined;
  ended: AttemptOutcome;
  why: string;
  firstByteAt: number | undefined;
  /** Longest time between two arrivals of response bytes. */
  maxGapUs: number;
  /** Prompt tokens plus the weighted output tokens. */
  readonly costTokens: number;
  /** The tenant that sent it, and the digest of the API key it carries. */
  readonly tenant?: string | undefined;
  readonly keyDigest?: KeyDigest | undefined;
  readonly body: Buffer[];
}
export interface ArrivalRecord {
  readonly at: number;
  readonly sentAt: number;
  readonly request: string;
  readonly doing: 'read' | 'run';
  readonly worker: string;
  readonly service: string;
  readonly router: string;
  // The tenant named to the worker, and whether the worker received the headers with the key.
  readonly tenant: string | undefined;
  readonly gotCredentials: boolean;
  // Answered 421: the address now belongs to another worker.
  wasMisdirected: boolean;
  // Whether the worker accepted the prefill.
  wasAccepted: boolean;
}
export interface RunRecord {
  readonly at: number;
  readonly request: string;
  readonly run: string;
  readonly worker: string;
  readonly service: string;
  // The request whose KV cache the run decodes from.
  readonly kvSourceRequest: string | undefined;
}
/** A stage order that reached a worker. */
export interface StageOrderRecord {
  readonly at: number;
  readonly worker: string;
  /** The machine that sent it. */
  readonly machine: string;
  readonly holder: string;
  readonly fence: number;
  readonly stage: string;
  readonly status: number;
}
export interface ChangeRecord {
  readonly revision: number;
  readonly baseRevision: number;
  readonly text: string;
  readonly valid: boolean;
  readonly at: number;
  // Accepted, refused for good, or of unknown outcome.
  answer: 'open' | 'taken' | 'refused' | 'unclear';
  answeredAt: number | undefined;
}
export interface AppliedRecord {
  readonly at: number;
  readonly router: string;
  readonly life: number;
  readonly revision: number;
  readonly text: string;
}
export interface FaultRecord {
  // A machine; `core` for a control node or a link between control nodes; or `list` for the worker list.
  readonly who: string;
  readonly what: string;
  readonly from: number;
  to: number;
}
export interface PassedHistory {
  readonly tries: AttemptRecord[];
  readonly arrivals: ArrivalRecord[];
  readonly runs: RunRecord[];
  readonly orders: StageOrderRecord[];
  readonly changes: ChangeRecord[];
  readonly applied: AppliedRecord[];
  readonly troubles: FaultRecord[];
  // When the worker list first showed a worker as leaving or gone, by worker id.
  readonly leavingVisibleAt: Map<string, number>;
  // The incarnations of each router, with start and end.
  readonly lives: { readonly router: string; readonly life: number; readonly from: number; to: number }[];
  readonly unforeseen: string[];
  /** Tokens prefilled by workers, those of them that belong to recently prefilled shared parts, and KV tokens moved. */
  readonly costs: { read: number; reread: number; moved: number };
  // Ends of outages in which all control nodes had been killed.
  outageEnds: number[];
  // When a service permanently lost its last decode worker.
  readonly lastDecodeRemovedAt: number[];
  /** Configurations read back repeatedly at the end of the run. */
  readonly readbacks: { readonly text: string; readonly at: number }[];
  from: number;
  to: number;
}

export function emptyHistory(): PassedHistory {
  return {
    tries: [],
    arrivals: [],
    runs: [],
    orders: [],
    changes: [],
    applied: [],
    troubles: [],
    leavingVisibleAt: new Map(),
    lives: [],
    unforeseen: [],
    costs: { read: 0, reread: 0, moved: 0 },
    outageEnds: [],
    lastDecodeRemovedAt: [],
    readbacks: [],
    from: 0,
    to: 0,
  };
}
