/**
 * What a day showed, as the checks read it: tries of requesters and what came back, arrivals and runs at workers,
 * changes of the document and their answers, what governed at each router, and when which machine was in trouble.
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
  // The last piece that the answer has.
  readonly pieces: number;
  router: string;
  readAt: number | undefined;
  end: number | undefined;
  ended: AttemptOutcome;
  why: string;
  firstByteAt: number | undefined;
  /** The longest time between two arrivals of bytes of the answer. */
  maxGapUs: number;
  /** Tokens of its prompt, and those of its answer. */
  readonly costTokens: number;
  /** Who sent it, and the digest of the key that it bears. */
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
  // The tenant that the worker was told of, and whether it got what bears the key.
  readonly tenant: string | undefined;
  readonly gotCredentials: boolean;
  // 421: another worker has the address.
  wasMisdirected: boolean;
  // A read that was taken up.
  wasAccepted: boolean;
}
export interface RunRecord {
  readonly at: number;
  readonly request: string;
  readonly run: string;
  readonly worker: string;
  readonly service: string;
  // The request whose memory it goes on from.
  readonly kvSourceRequest: string | undefined;
}
/** An order that reached a worker. */
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
  readonly base: number;
  readonly text: string;
  readonly valid: boolean;
  readonly at: number;
  // Taken, refused for good, or without a clear answer.
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
  // A machine, or `core` for one of its machines or the links between them, or `list`.
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
  // When the list showed a worker as leaving or gone.
  readonly leavingVisibleAt: Map<string, number>;
  // Starts of a router's life, and its end.
  readonly lives: { readonly router: string; readonly life: number; readonly from: number; to: number }[];
  readonly unforeseen: string[];
  /** Tokens that workers read, of these shared parts read again, and tokens of memory moved. */
  readonly costs: { read: number; reread: number; moved: number };
  // When all had been killed, until which moment.
  outageEnds: number[];
  // When the last decode worker of a service was taken away for good.
  readonly lastDecodeRemovedAt: number[];
  /** What was read back at the end of the day, asked for again and again. */
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
