/**
 * All messages between the processes of the fleet. Links may lose and delay messages: every exchange carries ids, terms
 * or versions, and the process that needs the result repeats its message.
 * Kinds and field names are part of the protocol. An `epoch` is the term of the leader of a key or of a singleton role.
 */
import type { TypeOfShape, Shape } from './shape.js';

/**
 * A member in the gossip. `born` is its incarnation, which grows with each start, `beat` its heartbeat counter, `http`
 * the address at which its router accepts requests, and `tenured` whether that router holds a feed lease.
 */
const memberEntry = {
  member: 'string',
  address: 'string',
  zone: 'string',
  born: 'long',
  beat: 'long',
  http: 'string',
  tenured: 'boolean',
} as const;
/** A replica of the control cluster. `disk` is the id of its disk. */
const replica = { slot: 'long', address: 'string', disk: 'string' } as const;
const bootstrapCandidate = { address: 'string', disk: 'string' } as const;
/**
 * The lifecycle state of one incarnation of a worker; `state` is an index into `workerStates` of the membership
 * package.
 */
const workerState = { worker: 'string', incarnation: 'long', state: 'long', address: 'string' } as const;
/** The current leader (`holder`) of a singleton role (`duty`), with its term. */
const singletonRole = { duty: 'string', holder: 'string', address: 'string', epoch: 'long' } as const;
/** What a worker reports of its load. `part` is its stage, `age` the age of the report in microseconds. */
const workerReport = {
  worker: 'string',
  incarnation: 'long',
  queued: 'long',
  active: 'long',
  kvUsed: 'double',
  part: 'string',
  age: 'long',
  fence: 'long',
} as const;
/** The id of a write that has taken effect, and the version that it wrote; used to recognize a repeated write. */
const appliedChange = { id: 'string', version: 'long', epoch: 'long' } as const;
/** A record copied to a replica that catches up. `promised` is the highest term promised for the key. */
const copiedRecord = {
  key: 'string',
  sequence: 'long',
  promised: 'long',
  epoch: 'long',
  version: 'long',
  value: 'bytes',
  changes: [appliedChange],
} as const;
/** A committed value of a key. */
const keyUpdate = { key: 'string', epoch: 'long', version: 'long', value: 'bytes' } as const;
/** A step of a patch: the literal bytes, then `length` bytes of the base version from `offset` on. */
const patchStep = { literal: 'bytes', offset: 'long', length: 'long' } as const;
/** A worker in the platform's worker list. `part` is its stage, `coldMs` how long it still takes to warm up. */
const workerListEntry = {
  id: 'string',
  service: 'string',
  address: 'string',
  zone: 'string',
  slots: 'long',
  leaving: 'boolean',
  coldMs: 'long',
  part: 'string',
} as const;
/** The load of a worker. `age` is in milliseconds; `silent` means that the worker did not answer. */
const workerLoad = {
  id: 'string',
  queued: 'long',
  active: 'long',
  kvUsed: 'double',
  kvTotal: 'double',
  part: 'string',
  age: 'long',
  silent: 'boolean',
} as const;
/** The count of a tenant in one window. */
const usageCount = { tenant: 'string', count: 'long' } as const;
const usageTable = { window: 'long', counts: [usageCount] } as const;
/**
 * Statistics of a cohort (`arm`) of a rehearsal in one stratum. `sum` and `squares` are the sums of the logarithm of
 * the time to first token and of its square; the `token` fields are the same of the time per token.
 */
const cohortStatistics = {
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

/** The shape of each kind of message. The order of the kinds is part of a sender's hello. */
export const messageShapes = {
  // A gossip exchange: a sample of the members that the sender knows, the membership of the control cluster and the
  // singleton roles that the sender leads. `answer` requests the receiver's entries in return.
  Shuffle: {
    answer: 'boolean',
    from: 'string',
    entries: [memberEntry],
    membershipEpoch: 'long',
    replicas: [replica],
    duties: [singletonRole],
  },
  // Worker states: changes, or all that the sender has (`whole`). `warm` means that the sender's states are current.
  Marks: { marks: [workerState], whole: 'boolean', warm: 'boolean' },
  // Digest of all worker states that the sender has; `answer` requests the receiver's digest in return.
  MarksDigest: { from: 'string', digest: 'string', answer: 'boolean', warm: 'boolean' },

  // A request to read or write a key. A node that isn't the leader of the key forwards it; `hops` counts that.
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
  // The reply to `Ask`.
  Answer: { id: 'string', key: 'string', status: 'string', epoch: 'long', version: 'long', value: 'bytes' },

  // A router claims an idempotency key for a request, through its agent.
  Claim: { id: 'string', op: 'string', key: 'string', holder: 'string', request: 'string', ended: 'string' },
  ClaimAnswer: { id: 'string', status: 'string', known: 'string' },

  // A candidate for leader of a key asks a replica to promise its term and to send its row.
  // `replacedDisk` and `successor` are set if the round is to agree on the replacement of a replica, otherwise empty.
  Prepare: {
    id: 'string',
    from: 'string',
    key: 'string',
    epoch: 'long',
    membershipEpoch: 'long',
    replacedDisk: 'string',
    successor: 'string',
  },
  // The leader of a key asks a replica to write a row.
  Accept: {
    id: 'string',
    from: 'string',
    key: 'string',
    epoch: 'long',
    membershipEpoch: 'long',
    version: 'long',
    value: 'bytes',
    changes: [appliedChange],
  },
  // Asks a replica whether it has promised no higher term for the key, and for the version of its row without the value.
  Check: { id: 'string', from: 'string', key: 'string', epoch: 'long', membershipEpoch: 'long' },
  // A replica's reply to `Prepare`, `Accept` or `Check`.
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
    changes: [appliedChange],
  },
  // Periodic heartbeat between the replicas of the control cluster.
  ReplicaHello: {
    from: 'string',
    slot: 'long',
    disk: 'string',
    state: 'string',
    founders: ['string'],
    membershipEpoch: 'long',
    // Id of the cluster that the replica belongs to; empty while it knows none.
    cluster: 'string',
    replicas: [replica],
    leaving: 'boolean',
    ill: 'boolean',
    // An empty replica has copied everything that it needs before it may vote.
    caughtUp: 'boolean',
  },
  // Requests the records that the source has written after sequence number `after`. The number is valid for one
  // opening of the source's disk, which `source` identifies.
  CopyAsk: {
    from: 'string',
    disk: 'string',
    membershipEpoch: 'long',
    source: 'string',
    after: 'long',
  },
  // The reply to `CopyAsk`.
  CopyPage: {
    slot: 'long',
    disk: 'string',
    membershipEpoch: 'long',
    ok: 'boolean',
    source: 'string',
    after: 'long',
    records: [copiedRecord],
    last: 'boolean',
  },

  // An agent subscribes to key updates, and requests feed leases for routers (`tenures`). `relay` means that it does so
  // for other agents too.
  Subscribe: {
    from: 'string',
    have: [{ key: 'string', epoch: 'long', version: 'long' }],
    tenures: [{ router: 'string', asked: 'long', applied: 'long' }],
    relay: 'boolean',
  },
  // Updates of keys, and the membership of the control cluster.
  News: { news: [keyUpdate], membershipEpoch: 'long', replicas: [replica] },
  // Feed leases granted to routers.
  Leases: { grants: [{ router: 'string', asked: 'long', version: 'long' }] },

  // A candidate for leader of a singleton role asks a replica for its vote; `BallotVote` is the reply.
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

  // Load reports of workers. `relay` asks the receiver to pass them on to its subscribers.
  Reports: { reports: [workerReport], relay: 'boolean' },
  // Totals of a router's first attempts and retries, and what of its retry budget may be spent on fetching reports.
  Demand: { from: 'string', first: 'long', extra: 'long', allowance: 'double' },
  // Training samples of a router: `count` rows of `width` numbers.
  Samples: { from: 'string', count: 'long', width: 'long', rows: 'bytes' },
  // A router's statistics of the cohorts of a rehearsal.
  Arms: { from: 'string', arms: [cohortStatistics] },

  // A router's state for the agent on its machine.
  RouterState: {
    router: 'string',
    http: 'string',
    asked: 'long',
    applied: 'long',
    first: 'long',
    extra: 'long',
    allowance: 'double',
    arms: [cohortStatistics],
    have: [{ key: 'string', epoch: 'long', version: 'long' }],
  },
  // What the agent sends to the router on its machine.
  Feed: {
    workers: [workerState],
    reports: [workerReport],
    news: [keyUpdate],
    grants: [{ asked: 'long', version: 'long' }],
    others: ['string'],
    contact: 'boolean',
  },

  // A machine without a replica asks to be added to the membership record.
  Join: { from: 'string', disk: 'string', first: 'boolean', caughtUp: 'boolean' },
  // Reply of a control gateway, which has no replica, to a replica that is looking for others to bootstrap a cluster
  // with.
  HoldsNoState: { from: 'string' },
  // Reply of a control gateway to `Join` while it knows no replica: the machines of the first start (`first`) that have
  // asked it so far. `firstStart` means that its process has been running since the first start of the whole system, so
  // that the list is complete.
  FoundingRoster: { from: 'string', firstStart: 'boolean', candidates: [bootstrapCandidate] },
  // A machine with an empty disk tells the others that it knows which machines it would bootstrap a cluster with.
  FoundingView: { from: 'string', disk: 'string', candidates: [bootstrapCandidate] },
  // The leader of a key tells the other replicas up to which version the key is committed, that is, on a majority.
  Committed: { key: 'string', epoch: 'long', version: 'long' },
  // A follower polls each control node with the versions that it has, and the node replies with a heartbeat, `Beat`.
  // `confirmOnly` means that another node sends the configuration to this follower. `list` and `peers` are the digests
  // of the worker list and of the peers that the follower has. `asked` is a time of the follower's clock, which the
  // heartbeat echoes; it is 0 in an unsolicited heartbeat. `age` is the age of the worker list in milliseconds. `wall`
  // is the node's time of day in milliseconds since 1970, or 0 if it isn't given.
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
  // The configuration as a patch to an older version, `base`.
  ConfigurationPatch: { version: 'long', base: 'long', digest: 'string', steps: [patchStep] },
  // The worker list: complete if `base` is 0, otherwise the changes to the list with the digest `base`.
  WorkerList: { base: 'long', digest: 'long', age: 'long', workers: [workerListEntry], gone: ['string'] },
  WorkerLoads: { loads: [workerLoad] },
  // The other routers, sent to a router whose digest of them is out of date. If there are too many of them to list
  // (`all` is false), routers send `Reading` through a control node instead of directly. `Reading` announces prefills
  // that a router has just sent to workers, with their expected duration in microseconds as `service`; `bad` means
  // that an attempt at the worker has failed.
  Peers: { digest: 'long', addresses: ['string'], all: 'boolean' },
  Reading: { reads: [{ worker: 'string', service: 'long', bad: 'boolean', by: 'long' }] },
  // The usage reporter asks each router for its counts. It has all changes of the router's process `process` up to
  // sequence number `after`; `closedThrough` is the last window whose content is final, 0 for none.
  UsageAsk: { from: 'string', process: 'string', after: 'long', closedThrough: 'long' },
  // All counts that have changed after `after`, as totals, so that a repeated message adds nothing. `now` is the
  // router's estimate of the true time in milliseconds since 1970; it counts nothing more in windows that ended
  // before.
  UsageTold: {
    router: 'string',
    process: 'string',
    now: 'long',
    after: 'long',
    sequence: 'long',
    tables: [usageTable],
  },
} as const satisfies { [k: string]: Shape };

/** Kind of a message, its name on the wire. */
export type MessageKind = keyof typeof messageShapes;
/** A message of any kind. */
export type Message = { [K in MessageKind]: { kind: K } & TypeOfShape<(typeof messageShapes)[K]> }[MessageKind];
/** A message of the given kind. */
export type MessageOf<K extends MessageKind> = Extract<Message, { kind: K }>;

/** A member in the gossip. */
export type MemberEntry = TypeOfShape<typeof memberEntry>;
/** A replica in the membership record of the control cluster. */
export type ReplicaEntry = TypeOfShape<typeof replica>;
/** A machine that may take part in bootstrapping the control cluster. */
export type BootstrapCandidate = TypeOfShape<typeof bootstrapCandidate>;
/** The lifecycle state of one incarnation of a worker. */
export type WorkerStateEntry = TypeOfShape<typeof workerState>;
/** The current leader of a singleton role. */
export type SingletonRoleEntry = TypeOfShape<typeof singletonRole>;
/** What a worker reports of its load. */
export type WorkerReport = TypeOfShape<typeof workerReport>;
/** A record copied to a replica that catches up. */
export type CopiedRecord = TypeOfShape<typeof copiedRecord>;
/** A committed value of a key. */
export type KeyUpdate = TypeOfShape<typeof keyUpdate>;
/** A worker in the platform's worker list. */
export type WorkerListEntry = TypeOfShape<typeof workerListEntry>;
/** The load of a worker as control nodes distribute it. */
export type WorkerLoadEntry = TypeOfShape<typeof workerLoad>;
/** Statistics of a cohort of a rehearsal in one stratum. */
export type CohortStatistics = TypeOfShape<typeof cohortStatistics>;
/** The count of a tenant in one window. */
export type UsageCount = TypeOfShape<typeof usageCount>;
/** The counts of one window. */
export type UsageTable = TypeOfShape<typeof usageTable>;
