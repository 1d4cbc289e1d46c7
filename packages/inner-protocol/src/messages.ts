/**
 * Every message that the fleet's own processes exchange. Links lose and delay messages as they
 * like: each conversation carries ids, epochs or versions, and is repeated by the one who needs it.
 */
import type { TypeOfShape, Shape } from './shape.js';

const entry = {
  member: 'string',
  address: 'string',
  zone: 'string',
  born: 'long',
  beat: 'long',
  http: 'string',
  tenured: 'boolean',
} as const;
const replica = { slot: 'long', address: 'string', disk: 'string' } as const;
const candidate = { address: 'string', disk: 'string' } as const;
const mark = { worker: 'string', incarnation: 'long', state: 'long', address: 'string' } as const;
const duty = { duty: 'string', holder: 'string', address: 'string', epoch: 'long' } as const;
const report = {
  worker: 'string',
  incarnation: 'long',
  queued: 'long',
  active: 'long',
  kvUsed: 'double',
  part: 'string',
  age: 'long',
  fence: 'long',
} as const;
const change = { id: 'string', version: 'long', epoch: 'long' } as const;
const copied = {
  key: 'string',
  sequence: 'long',
  promised: 'long',
  epoch: 'long',
  version: 'long',
  value: 'bytes',
  changes: [change],
} as const;
const news = { key: 'string', epoch: 'long', version: 'long', value: 'bytes' } as const;
const patchStep = { literal: 'bytes', offset: 'long', length: 'long' } as const;
const listed = {
  id: 'string',
  service: 'string',
  address: 'string',
  zone: 'string',
  slots: 'long',
  leaving: 'boolean',
  coldMs: 'long',
  part: 'string',
} as const;
const load = {
  id: 'string',
  queued: 'long',
  active: 'long',
  kvUsed: 'double',
  kvTotal: 'double',
  part: 'string',
  age: 'long',
  silent: 'boolean',
} as const;
const usageCount = { tenant: 'string', count: 'long' } as const;
const usageTable = { window: 'long', counts: [usageCount] } as const;
const arm = {
  rehearsal: 'string',
  arm: 'string',
  stratum: 'string',
  count: 'long',
  failures: 'long',
  sum: 'double',
  squares: 'double',
  tokenCount: 'long',
  tokenSum: 'double',
  tokenSquares: 'double',
} as const;

export const messageShapes = {
  Shuffle: {
    answer: 'boolean',
    from: 'string',
    entries: [entry],
    membershipEpoch: 'long',
    replicas: [replica],
    duties: [duty],
  },
  Marks: { marks: [mark], whole: 'boolean', warm: 'boolean' },
  MarksDigest: { from: 'string', digest: 'string', answer: 'boolean', warm: 'boolean' },

  Ask: {
    id: 'string',
    origin: 'string',
    key: 'string',
    op: 'string',
    change: 'string',
    base: 'long',
    value: 'bytes',
    hops: 'long',
  },
  Answer: { id: 'string', key: 'string', status: 'string', epoch: 'long', version: 'long', value: 'bytes' },

  Claim: { id: 'string', op: 'string', key: 'string', holder: 'string', request: 'string', ended: 'string' },
  ClaimAnswer: { id: 'string', status: 'string', known: 'string' },

  // `replacedDisk` and `successor` are given where the round is to agree on a replacement, and empty otherwise.
  Prepare: {
    id: 'string',
    from: 'string',
    key: 'string',
    epoch: 'long',
    membershipEpoch: 'long',
    replacedDisk: 'string',
    successor: 'string',
  },
  Accept: {
    id: 'string',
    from: 'string',
    key: 'string',
    epoch: 'long',
    membershipEpoch: 'long',
    version: 'long',
    value: 'bytes',
    changes: [change],
  },
  Check: { id: 'string', from: 'string', key: 'string', epoch: 'long', membershipEpoch: 'long' },
  Vote: {
    id: 'string',
    slot: 'long',
    disk: 'string',
    membershipEpoch: 'long',
    voting: 'boolean',
    ok: 'boolean',
    promised: 'long',
    epoch: 'long',
    version: 'long',
    value: 'bytes',
    changes: [change],
  },
  ReplicaHello: {
    from: 'string',
    slot: 'long',
    disk: 'string',
    state: 'string',
    founders: ['string'],
    membershipEpoch: 'long',
    // The cluster that it belongs to; empty as long as it knows none.
    cluster: 'string',
    replicas: [replica],
    leaving: 'boolean',
    ill: 'boolean',
    // A blank replica has copied all that a member needs before it may vote.
    caughtUp: 'boolean',
  },
  // Asks for what the source has taken in after a sequence number; `source` names the opening of its disk that it holds for.
  CopyAsk: {
    from: 'string',
    disk: 'string',
    membershipEpoch: 'long',
    source: 'string',
    after: 'long',
  },
  CopyPage: {
    slot: 'long',
    disk: 'string',
    membershipEpoch: 'long',
    ok: 'boolean',
    source: 'string',
    after: 'long',
    records: [copied],
    last: 'boolean',
  },

  Subscribe: {
    from: 'string',
    have: [{ key: 'string', epoch: 'long', version: 'long' }],
    tenures: [{ router: 'string', asked: 'long', applied: 'long' }],
    relay: 'boolean',
  },
  News: { news: [news], membershipEpoch: 'long', replicas: [replica] },
  Leases: { grants: [{ router: 'string', asked: 'long', version: 'long' }] },

  Ballot: { id: 'string', from: 'string', duty: 'string', candidate: 'string', epoch: 'long', membershipEpoch: 'long' },
  BallotVote: {
    id: 'string',
    slot: 'long',
    disk: 'string',
    duty: 'string',
    granted: 'boolean',
    epoch: 'long',
    holder: 'string',
    address: 'string',
  },

  Reports: { reports: [report], relay: 'boolean' },
  Demand: { from: 'string', first: 'long', extra: 'long', allowance: 'double' },
  Samples: { from: 'string', count: 'long', width: 'long', rows: 'bytes' },
  Arms: { from: 'string', arms: [arm] },

  RouterState: {
    router: 'string',
    http: 'string',
    asked: 'long',
    applied: 'long',
    first: 'long',
    extra: 'long',
    allowance: 'double',
    arms: [arm],
    have: [{ key: 'string', epoch: 'long', version: 'long' }],
  },
  Feed: {
    workers: [mark],
    reports: [report],
    news: [news],
    grants: [{ asked: 'long', version: 'long' }],
    others: ['string'],
    contact: 'boolean',
  },

  // A machine without a replica asks to be written into the membership record.
  Join: { from: 'string', disk: 'string', first: 'boolean', caughtUp: 'boolean' },
  // A machine that serves control without a disk answers a replica that looks for others to found a cluster with.
  HoldsNoState: { from: 'string' },
  // The same machine, as long as it knows no replica, answers those that ask to join with all that have asked it so far.
  // `firstStart` says that its process has run since the first start of the whole system, so has forgotten none of them.
  FoundingRoster: { from: 'string', firstStart: 'boolean', candidates: [candidate] },
  // A blank machine tells the others that it knows of which machines it would found a cluster with.
  FoundingView: { from: 'string', disk: 'string', candidates: [candidate] },
  // The owner tells the other places up to which version a key is on a majority.
  Committed: { key: 'string', epoch: 'long', version: 'long' },
  // A router asks each control node with all that it has, and each answers with a beat as small. `confirmOnly` says that
  // another node sends the router the configuration itself; `asked` is a number of the router's clock, which the beat
  // echoes, 0 in a beat that nobody asked for. `wall` is the node's time of day in milliseconds since 1970, 0 if not told.
  Follow: {
    key: 'string',
    version: 'long',
    membershipEpoch: 'long',
    list: 'long',
    peers: 'long',
    confirmOnly: 'boolean',
    takesPatches: 'boolean',
    asked: 'long',
  },
  Beat: {
    version: 'long',
    membershipEpoch: 'long',
    list: 'long',
    age: 'long',
    followers: 'long',
    voting: 'boolean',
    leased: 'boolean',
    zone: 'string',
    asked: 'long',
    wall: 'long',
  },
  // The configuration as a difference from an older version: each step is a literal, then bytes copied from the older one.
  ConfigurationPatch: { version: 'long', base: 'long', digest: 'string', steps: [patchStep] },
  // A list of workers: whole where `base` is 0, else what is other than in the list with that digest.
  WorkerList: { base: 'long', digest: 'long', age: 'long', workers: [listed], gone: ['string'] },
  WorkerLoads: { loads: [load] },
  // Other routers, for one that asked with another digest; and what one of them has just sent to be read, in time to read.
  // Where these are not all, what they tell each other goes through the keeper. `bad` says that a send failed there.
  Peers: { digest: 'long', addresses: ['string'], all: 'boolean' },
  Reading: { reads: [{ worker: 'string', service: 'long', bad: 'boolean', by: 'long' }] },
  // Whoever reports usage asks each router for what it has counted. `process` and `after` say up to which change of which
  // process of that router it knows all; `closedThrough` is the last window whose content is fixed, 0 for none.
  UsageAsk: { from: 'string', process: 'string', after: 'long', closedThrough: 'long' },
  // All counts that have changed after `after`, each in full, so that a repeat adds nothing. `now` is the true time as the
  // router estimates it, in milliseconds since 1970: it will count nothing more in a window that ended before.
  UsageTold: {
    router: 'string',
    process: 'string',
    now: 'long',
    after: 'long',
    sequence: 'long',
    tables: [usageTable],
  },
} as const satisfies { [k: string]: Shape };

export type MessageKind = keyof typeof messageShapes;
export type Message = { [K in MessageKind]: { kind: K } & TypeOfShape<(typeof messageShapes)[K]> }[MessageKind];
export type MessageOf<K extends MessageKind> = Extract<Message, { kind: K }>;

export type MemberEntry = TypeOfShape<typeof entry>;
export type ReplicaEntry = TypeOfShape<typeof replica>;
export type BootstrapCandidate = TypeOfShape<typeof candidate>;
export type WorkerStateEntry = TypeOfShape<typeof mark>;
export type SingletonRoleEntry = TypeOfShape<typeof duty>;
export type WorkerReport = TypeOfShape<typeof report>;
export type CopiedRecord = TypeOfShape<typeof copied>;
export type KeyUpdate = TypeOfShape<typeof news>;
export type WorkerListEntry = TypeOfShape<typeof listed>;
export type WorkerLoadEntry = TypeOfShape<typeof load>;
export type CohortStatistics = TypeOfShape<typeof arm>;
export type UsageCount = TypeOfShape<typeof usageCount>;
export type UsageTable = TypeOfShape<typeof usageTable>;
