/**
 * What a run did, as the checks read it: requests and their ends, runs at workers, sends, orders, marks, changes
 * of the desired state, and what each router applied.
 */

import type { RehearsalRecord } from '@tansypost/rehearsal';

export interface RequestSeen {
  readonly id: string;
  readonly kind: string;
  readonly tenant: string;
  readonly repeatable: boolean;
  readonly patience: number;
  readonly at: number;
  readonly router: string;
  end: number | undefined;
  ended: 'whole' | 'unreachable' | 'broken' | string;
  ran: 'no' | 'maybe' | undefined;
  verdict: 'whole' | 'cut' | 'foreign' | 'overlong' | undefined;
  ttft: number | undefined;
  retryAfter: boolean;
  // A router that had it in hand was frozen meanwhile, so no answer could come in time.
  excused: boolean;
  readonly zone: number;
  // The routers that had it in hand: the one asked, and those it was sent on to.
  readonly via: Set<string>;
}
export interface Run {
  readonly at: number;
  readonly request: string;
  readonly worker: string;
  readonly incarnation: number;
  readonly what: 'prefill' | 'decode';
  readonly memoryOf: string | undefined;
}
export interface SendSeen {
  readonly at: number;
  readonly request: string;
  readonly router: string;
  readonly worker: string;
  readonly extra: boolean;
  readonly phase: 'prefill' | 'decode';
  // A decision of its own, and not the decode that carries on what the prefill just before it began.
  readonly decided: boolean;
  // The version of the desired state whose template governed it.
  readonly version: number;
}
export interface OrderSeen {
  readonly at: number;
  readonly worker: string;
  readonly epoch: number;
  readonly part: string;
  readonly obeyed: boolean;
  readonly by: string;
}
export interface LeavingSeen {
  readonly at: number;
  readonly worker: string;
  readonly incarnation: number;
}
export interface ChangeSeen {
  readonly id: string;
  readonly tag: number;
  // The state submitted, whole.
  whole: string;
  readonly at: number;
  base: number | undefined;
  end: number | undefined;
  answer: string | undefined;
  version: number | undefined;
}
export interface AppliedSeen {
  readonly at: number;
  readonly router: string;
  readonly version: number;
  readonly tag: number;
}

// One read of the desired state, asked of any agent at any time.
export interface ReadSeen {
  readonly from: number;
  readonly end: number;
  readonly version: number;
  readonly whole: string;
}
// Members that were awake and held one duty at one instant, where they were two or more.
export interface HoldersSeen {
  readonly at: number;
  readonly duty: string;
  readonly members: readonly string[];
}
// A router's word that it gives a request up.
export interface GaveUp {
  readonly at: number;
  readonly request: string;
  readonly router: string;
  readonly kind: string;
}
// A fault that struck, or healed; `gone` says what it takes away while it stands.
export interface Disturbance {
  readonly at: number;
  readonly until: number;
  readonly what: string;
  readonly who: string;
}
export interface RecordSeen {
  readonly at: number;
  readonly version: number;
  readonly record: RehearsalRecord;
}

export interface ClaimSeen {
  readonly at: number;
  readonly key: string;
  readonly ids: readonly string[];
}

export interface History {
  readonly claims: ClaimSeen[];
  readonly requests: RequestSeen[];
  readonly runs: Run[];
  readonly sends: SendSeen[];
  readonly probes: number[];
  readonly orders: OrderSeen[];
  readonly leaving: LeavingSeen[];
  readonly changes: ChangeSeen[];
  readonly applied: AppliedSeen[];
  readonly logs: { at: number; who: string; event: number; fields: Record<string, unknown> }[];
  readBack: { version: number; whole: string } | undefined;
  readonly reads: ReadSeen[];
  readonly holders: HoldersSeen[];
  readonly gaveUp: GaveUp[];
  readonly disturbed: Disturbance[];
  // When routers lost their tenures.
  readonly untenured: { readonly at: number; readonly router: string }[];
  // Every version of the rehearsal record that any agent held, by version.
  readonly records: RecordSeen[];
  // The zone of a router, by its name.
  zoneOf: (router: string) => string;
  calmFrom: number;
  end: number;
}

export function newHistory(): History {
  return {
    claims: [],
    requests: [],
    runs: [],
    sends: [],
    probes: [],
    orders: [],
    leaving: [],
    changes: [],
    applied: [],
    logs: [],
    records: [],
    reads: [],
    holders: [],
    gaveUp: [],
    disturbed: [],
    untenured: [],
    readBack: undefined,
    zoneOf: () => '',
    calmFrom: 0,
    end: 0,
  };
}
