/**
 * The catalogue of numbered events. docs/events.md is generated from it; a test checks that it is up to date.
 * A number is never reused for another event. A replica is a control node's copy of the control state; a duty is a task
 * that one node at a time carries out through calls to the platform.
 */

/** Severity of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** One kind of event: what has happened, and what an operator should do about it. */
export interface CatalogueEntry {
  readonly level: EventLevel;
  readonly meaning: string;
  readonly remedy: string;
}

/** All kinds of events by their number. */
export const catalogue: { readonly [event: number]: CatalogueEntry } = {
  1001: { level: 'info', meaning: 'program started', remedy: 'None.' },
  1002: { level: 'info', meaning: 'graceful stop begun; active requests are completed', remedy: 'None.' },
  1003: {
    level: 'info',
    meaning: 'program stopped; after a graceful stop, with the counts of requests since the signal',
    remedy: 'None.',
  },
  1004: {
    level: 'error',
    meaning: 'program ended by an error',
    remedy: 'Read the message: it names the field or file.',
  },
  1005: {
    level: 'error',
    meaning: 'unexpected error in a timer, message or background task; the program continues without its result',
    remedy: 'Report it with the stack.',
  },
  1006: {
    level: 'warn',
    meaning: 'program exits at the end of its grace period, although the named tasks have not ended',
    remedy: 'Look for what kept them: an operator that does not finish a call, or a disk that does not answer.',
  },
  1101: {
    level: 'warn',
    meaning: 'internal connection closed after an invalid frame',
    remedy: 'Check that only tansypost processes whose releases share a protocol version connect there.',
  },
  1102: {
    level: 'error',
    meaning: 'message dropped because it cannot be encoded or its receiver is no valid address',
    remedy: 'Report it with the message; another attempt follows where the message matters.',
  },
  1201: {
    level: 'warn',
    meaning:
      'connections closed because peers of this port held too much (gaveWay) or stayed too long in a phase (overdue), or requests refused for lack of memory or because of bodies in too many small chunks (refused), within the last second',
    remedy:
      'Find out who calls: ordinary clients within the limits of the pages do not cause it. If they do, give the machine more memory or descriptors, or set other limits in peer_limits.',
  },
  2001: {
    level: 'info',
    meaning: 'replica state changed',
    remedy: 'None; a replica that stays blank for a minute has no contact with the other two.',
  },
  2002: { level: 'info', meaning: 'leadership of a key taken over under a new epoch', remedy: 'None.' },
  2003: { level: 'info', meaning: 'leadership of a key lost to a higher epoch', remedy: 'None.' },
  2004: { level: 'info', meaning: 'stale copy of a key repaired by a read or by anti-entropy', remedy: 'None.' },
  2005: {
    level: 'error',
    meaning: 'disk write failed; this replica stops voting and retries the disk',
    remedy: 'Free up or replace the disk; the replica then recovers by itself.',
  },
  2006: { level: 'info', meaning: 'control cluster membership changed', remedy: 'None.' },
  2007: { level: 'info', meaning: 'data file compacted', remedy: 'None.' },
  2008: {
    level: 'warn',
    meaning: 'incomplete record truncated at the end of the data file',
    remedy: 'None; it was never acknowledged.',
  },
  2009: {
    level: 'error',
    meaning: 'damaged data file quarantined; the replica starts blank and copies the state from the other two',
    remedy: 'Check the disk; delete the quarantined file when it is no longer needed.',
  },
  2010: { level: 'info', meaning: 'disk works again; the replica restarts from the data on it', remedy: 'None.' },
  2011: {
    level: 'error',
    meaning: 'disk still fails; the replica stays out and retries',
    remedy: 'Free up or replace the disk; the replica then recovers by itself.',
  },
  2012: {
    level: 'info',
    meaning:
      'leaving replica ends: replaced by a successor that votes, copied to the remaining replicas, or incomplete when time ran out',
    remedy: 'After incomplete, replace the machine before another one is removed.',
  },
  2013: {
    level: 'error',
    meaning:
      'disk not used: its membership record cannot be read or belongs to another cluster; the replica does not vote',
    remedy: 'Follow the message; the other replicas continue without this one.',
  },
  2014: {
    level: 'error',
    meaning:
      'no contact with any control node for a long time; operator requests fail here, routers serve with the state they have',
    remedy:
      'Start the machines that hold control state. Where there are none, give some machines that serve control a disk (data_dir) and count their loss in the fault budget (counts_as_loss).',
  },
  2015: {
    level: 'warn',
    meaning: 'fewer replicas than the fault budget requires; losses within the budget may lose acknowledged changes',
    remedy: 'Start more machines with a disk whose loss is counted, or lower the fault budget.',
  },
  2016: { level: 'info', meaning: 'contact with a control node restored', remedy: 'None.' },
  2017: {
    level: 'warn',
    meaning: 'this control node votes but has no followers; routers may not know the addresses of control nodes',
    remedy: 'Start routers, or check the seeds configured for them and for this machine, and the network between them.',
  },
  2018: { level: 'info', meaning: 'this control node has followers again', remedy: 'None.' },
  2019: {
    level: 'error',
    meaning:
      'this machine has a disk for control state but no state yet: it knows no control cluster and may not bootstrap one',
    remedy:
      'Start the seeds and machines that it names, or repair the network to them. Where too few machines have a disk, start more or lower the fault budget. If this is not the first start, restore the machines that hold control state; only if all their disks are lost, empty all data folders and start the whole system anew.',
  },
  2101: { level: 'info', meaning: 'change acknowledged', remedy: 'None.' },
  2102: {
    level: 'info',
    meaning: 'change rejected: another change was made first',
    remedy: 'Read the current state and resubmit on its version.',
  },
  2103: { level: 'warn', meaning: 'outcome of a change unknown', remedy: 'Look it up by its change id.' },
  3001: { level: 'info', meaning: 'member seen for the first time', remedy: 'None.' },
  3002: {
    level: 'info',
    meaning: 'member no longer seen',
    remedy: 'Check that machine unless it was stopped on purpose.',
  },
  3003: { level: 'info', meaning: 'worker state update applied', remedy: 'None.' },
  3004: { level: 'info', meaning: 'zone leader changed', remedy: 'None.' },
  3101: { level: 'info', meaning: 'singleton role acquired', remedy: 'None.' },
  3102: { level: 'info', meaning: 'singleton role lost or released', remedy: 'None.' },
  3103: {
    level: 'info',
    meaning: 'term of a duty acquired: this node makes the calls to the platform, with the fencing token given',
    remedy: 'None.',
  },
  3104: {
    level: 'warn',
    meaning: 'call to the platform has been pending for a long time; it is retried',
    remedy: 'Check how the platform responds; `tansypost duties` lists the pending calls.',
  },
  3105: {
    level: 'warn',
    meaning: 'call of a duty rejected for its fencing token: another leader has a higher one; this term has ended',
    remedy: 'None for a single event; if it persists, find out who else makes these calls.',
  },
  3106: {
    level: 'error',
    meaning: 'call of a duty rejected permanently by the platform; it is not retried',
    remedy: 'Check the content given against what the platform requires.',
  },
  3107: {
    level: 'error',
    meaning: 'record of a duty cannot be read; this duty makes no calls',
    remedy: 'Report it with the message.',
  },
  3108: {
    level: 'info',
    meaning: 'pending call of a duty superseded by a newer one for the same subject',
    remedy: 'None.',
  },
  3109: { level: 'info', meaning: 'another node has taken over a duty; this one backs off', remedy: 'None.' },
  3110: {
    level: 'error',
    meaning: 'a step of a duty failed unexpectedly; it is retried',
    remedy: 'Report it with the reason given; the duty continues as soon as a step succeeds.',
  },
  3201: {
    level: 'warn',
    meaning: 'event sink refused a batch three times; the batch is lost',
    remedy: 'Check the sink configured in eventSink.',
  },
  3501: {
    level: 'warn',
    meaning: 'routers reported requests after their usage window was closed; no usage report includes them',
    remedy:
      'Check for routers that were suspended or disconnected, and the network between them and the control nodes.',
  },
  3502: {
    level: 'warn',
    meaning: 'a router drops counts of a usage window that no node has received; no usage report includes them',
    remedy:
      'Check what kept this router from the control nodes: a suspension, a network partition, or no node that reports usage.',
  },
  4001: {
    level: 'info',
    meaning: 'placement fell back to the heuristic (logged at the 1st, 10th, 100th ... time for each reason)',
    remedy: 'None for the reason cold; check any other reason that persists.',
  },
  4002: { level: 'info', meaning: 'model loaded', remedy: 'None.' },
  4003: { level: 'info', meaning: 'model trained', remedy: 'None.' },
  4004: {
    level: 'warn',
    meaning: 'model rejected: its content does not match its hash',
    remedy: 'None; the router keeps its current model.',
  },
  4005: { level: 'warn', meaning: 'training failed; the live model stays', remedy: 'Report it with the message.' },
  4101: { level: 'info', meaning: 'rehearsal started', remedy: 'Approve or reject it if you wish.' },
  4102: { level: 'info', meaning: 'rehearsal ended', remedy: 'None.' },
  4103: { level: 'info', meaning: 'worker ordered to change its stage', remedy: 'None.' },
  4104: {
    level: 'info',
    meaning: 'rehearsal widened, or its change is live and compared with a control cohort that is held back',
    remedy: 'None; rejecting it rolls it back.',
  },
  4106: {
    level: 'error',
    meaning: 'record of orders to workers cannot be read; no orders are sent',
    remedy: 'Report it with the message.',
  },
  5001: { level: 'info', meaning: 'router lease acquired', remedy: 'None.' },
  5002: {
    level: 'warn',
    meaning: 'router lease expired; requests are forwarded to other routers',
    remedy: 'Check the network between this machine and the control cluster.',
  },
  5003: { level: 'info', meaning: 'desired state applied', remedy: 'None.' },
  5004: {
    level: 'info',
    meaning:
      'configuration in force at a router: its revision, why and how it arrived, and how long ago it was first announced',
    remedy: 'None; where routers differ for a long time, check the network of those that lag.',
  },
  5101: { level: 'debug', meaning: 'request answered', remedy: 'None.' },
  5102: { level: 'info', meaning: 'request rejected', remedy: 'See the kind; the client was told when to retry.' },
  5103: {
    level: 'warn',
    meaning: 'worker broke off, sent an invalid response or reported impossible figures',
    remedy: 'Check that worker if it persists.',
  },
  5104: { level: 'warn', meaning: 'response cut off after its first byte', remedy: 'Check the worker named.' },
  5105: {
    level: 'error',
    meaning: 'unexpected error in the router; the request received a typed error response',
    remedy: 'Report it with the message.',
  },
  5106: { level: 'info', meaning: 'router statistics', remedy: 'None.' },
  5107: {
    level: 'warn',
    meaning: 'a service has no decode worker left; all its requests are rejected',
    remedy: 'None where there is a prefill worker: it is ordered to decode (4103). Otherwise start a decode worker.',
  },
  5108: { level: 'info', meaning: 'a service has a decode worker again', remedy: 'None.' },
  5109: {
    level: 'info',
    meaning: 'request did not end in time: how it ended, where its time was spent, and which workers it used',
    remedy: 'None for a single request; `tansypost decisions` summarizes the causes.',
  },
  5110: {
    level: 'warn',
    meaning: 'entries of the worker list were left out because they are invalid',
    remedy:
      'Correct them at the platform: each needs an id, a service and an address; its numbers must not be negative.',
  },
  5111: {
    level: 'warn',
    meaning:
      'response of a worker not trusted any further: its bytes cannot be the work of the request, or hold too much memory; nothing of it was forwarded from there on, and the attempt ended. Omitted: of this worker since its last line',
    remedy: 'Look into the worker and what lies between; one that keeps doing this should be replaced.',
  },
  6001: { level: 'info', meaning: 'test worker changed its stage', remedy: 'None.' },
  6002: {
    level: 'warn',
    meaning: 'stage order refused: its epoch is older than one already accepted',
    remedy: 'None.',
  },
  7001: { level: 'info', meaning: 'fault injected', remedy: 'None.' },
};
