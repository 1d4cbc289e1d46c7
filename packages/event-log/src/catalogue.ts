/**
 * The catalogue of numbered events. docs/events.md is written from it (a test holds that the two are alike).
 * A number is never used again for something else.
 */

/** How much an event matters to an operator. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** One kind of event: what it says, and what an operator does about it. */
export interface CatalogueEntry {
  readonly level: EventLevel;
  readonly meaning: string;
  readonly remedy: string;
}

/** All kinds of events by their number. */
export const catalogue: { readonly [event: number]: CatalogueEntry } = {
  1001: { level: 'info', meaning: 'program started', remedy: 'None.' },
  1002: { level: 'info', meaning: 'graceful stop begun; answers under way go on', remedy: 'None.' },
  1003: {
    level: 'info',
    meaning: 'program stopped; after a graceful stop with what came and went since the signal',
    remedy: 'None.',
  },
  1004: {
    level: 'error',
    meaning: 'program ended by an error',
    remedy: 'Read the message; it names the field or file.',
  },
  1101: {
    level: 'warn',
    meaning: 'inner link closed on a bad frame',
    remedy: 'Check that only tansypost processes of releases sharing a protocol connect there.',
  },
  2001: {
    level: 'info',
    meaning: 'place state changed',
    remedy: 'None; a place that stays blank for a minute lacks contact to the other two.',
  },
  2002: { level: 'info', meaning: 'key taken over under a new epoch', remedy: 'None.' },
  2003: { level: 'info', meaning: 'key lost to a higher epoch', remedy: 'None.' },
  2004: { level: 'info', meaning: 'old copy mended by a read or the sweep', remedy: 'None.' },
  2005: {
    level: 'error',
    meaning: 'disk failed a write; this place stops voting and tries the disk again',
    remedy: 'Free or replace the disk; the place comes back by itself.',
  },
  2006: { level: 'info', meaning: 'core places changed', remedy: 'None.' },
  2007: { level: 'info', meaning: 'data file rewritten', remedy: 'None.' },
  2008: { level: 'warn', meaning: 'torn tail cut from the data file', remedy: 'None; it was never answered for.' },
  2009: {
    level: 'error',
    meaning: 'damaged data file put aside; the place begins blank and copies from the other two',
    remedy: 'Look at the disk; delete the file put aside when it is of no more use.',
  },
  2010: { level: 'info', meaning: 'disk works again; the place starts afresh from what is on it', remedy: 'None.' },
  2011: {
    level: 'error',
    meaning: 'disk still fails; the place stays out and tries again',
    remedy: 'Free or replace the disk; the place comes back by itself.',
  },
  2012: {
    level: 'info',
    meaning:
      'leaving replica ends: replaced by a successor that votes, copied to those that stay, or incomplete in its time',
    remedy: 'After incomplete, replace the machine before another one is taken away.',
  },
  2013: {
    level: 'error',
    meaning:
      'disk not used: its membership record cannot be read, or is that of another cluster; the replica does not vote',
    remedy: 'Do as the message says; the other replicas go on without this one.',
  },
  2014: {
    level: 'error',
    meaning: 'no control node has been heard for long; operators get no answer here, routers serve by what they have',
    remedy:
      'Start the machines that hold control state. Where there are none, give some that serve control a disk (data_dir) and count their loss in the fault budget (counts_as_loss).',
  },
  2015: {
    level: 'warn',
    meaning: 'fewer replicas than the fault budget needs; the losses that it allows may lose what was acknowledged',
    remedy: 'Start more machines with a disk whose loss is counted, or lower the fault budget.',
  },
  2016: { level: 'info', meaning: 'a control node is heard again', remedy: 'None.' },
  2017: {
    level: 'warn',
    meaning: 'this control node votes and nobody follows it; routers may not know where control nodes are',
    remedy: 'Start routers, or look at the seeds that they and this machine were given, and at the links between them.',
  },
  2018: { level: 'info', meaning: 'this control node is followed again', remedy: 'None.' },
  2019: {
    level: 'error',
    meaning:
      'this machine has a disk for control state and holds none yet: it knows no control cluster and may not found one',
    remedy:
      'Start the seeds and machines that it names, or mend the links to them. Where too few machines have a disk, start more or lower the fault budget. Where it is not the first start, bring back the machines that hold control state; only if all their disks are lost, empty all data folders and start the whole system anew.',
  },
  2101: { level: 'info', meaning: 'change acknowledged', remedy: 'None.' },
  2102: {
    level: 'info',
    meaning: 'change lost the race',
    remedy: 'Read the current state and submit again on its version.',
  },
  2103: { level: 'warn', meaning: 'outcome of a change unknown', remedy: 'Ask for it by its change id.' },
  3001: { level: 'info', meaning: 'member seen for the first time', remedy: 'None.' },
  3002: {
    level: 'info',
    meaning: 'member no longer heard of',
    remedy: 'Look at that machine if it was not stopped on purpose.',
  },
  3003: { level: 'info', meaning: 'worker mark taken', remedy: 'None.' },
  3004: { level: 'info', meaning: 'home agent of the zone changed', remedy: 'None.' },
  3101: { level: 'info', meaning: 'duty won', remedy: 'None.' },
  3102: { level: 'info', meaning: 'duty lost or laid down', remedy: 'None.' },
  3103: {
    level: 'info',
    meaning: 'term of a duty taken: calls to the platform are made from here, under the fence given',
    remedy: 'None.',
  },
  3104: {
    level: 'warn',
    meaning: 'a call to the platform that a duty owes is open for long; it is repeated',
    remedy: 'Look at how the platform answers; `tansypost duties` tells what is owed.',
  },
  3105: {
    level: 'warn',
    meaning: 'call of a duty refused for its fence: another holder has a higher one; this term has ended',
    remedy: 'None once; if it lasts, see who else makes these calls.',
  },
  3106: {
    level: 'error',
    meaning: 'call of a duty refused by the platform for good; it is not repeated',
    remedy: 'Look at the content given and at what the platform asks of it.',
  },
  3107: {
    level: 'error',
    meaning: 'the record of a duty cannot be read; no call of this duty is made',
    remedy: 'Report it with the message.',
  },
  3108: { level: 'info', meaning: 'open call of a duty overtaken by a newer one for its subject', remedy: 'None.' },
  3109: { level: 'info', meaning: 'another node has taken the term of a duty; this one stands back', remedy: 'None.' },
  3110: {
    level: 'error',
    meaning: 'a step of a duty failed unexpectedly; it is tried again',
    remedy: 'Report it with the reason given; the duty goes on as soon as a step succeeds.',
  },
  3201: {
    level: 'warn',
    meaning: 'event sink refused a batch three times; it is lost',
    remedy: 'Look at the sink named in eventSink.',
  },
  3501: {
    level: 'warn',
    meaning: 'requests told by routers after the content of their usage window was fixed; they are in no report',
    remedy: 'Look at the routers that were frozen or cut off, and at the links between them and the control nodes.',
  },
  3502: {
    level: 'warn',
    meaning: 'a router drops counts of a usage window that nobody has heard; they are in no report',
    remedy: 'Look at what kept this router from the control nodes: a freeze, a cut, or no node that reports usage.',
  },
  4001: {
    level: 'info',
    meaning: 'placement fell back to the heuristic (logged at the 1st, 10th, 100th ... of a reason)',
    remedy: 'None when cold; look at the reason when it lasts.',
  },
  4002: { level: 'info', meaning: 'model swapped', remedy: 'None.' },
  4003: { level: 'info', meaning: 'model trained', remedy: 'None.' },
  4004: {
    level: 'warn',
    meaning: 'model refused: its content does not match its hash',
    remedy: 'None; the router keeps the one it has.',
  },
  4005: {
    level: 'warn',
    meaning: 'training failed; what is live stays',
    remedy: 'Report it with the message.',
  },
  4101: { level: 'info', meaning: 'rehearsal begun', remedy: 'Approve or reject it if you wish.' },
  4102: { level: 'info', meaning: 'rehearsal ended', remedy: 'None.' },
  4103: { level: 'info', meaning: 'worker ordered to change its stage', remedy: 'None.' },
  4104: {
    level: 'info',
    meaning: 'rehearsal widened, or live and watched beside a control arm held back',
    remedy: 'None; a reject rolls it back.',
  },
  4106: {
    level: 'error',
    meaning: 'the record of orders to workers cannot be read; no worker is ordered',
    remedy: 'Report it with the message.',
  },
  5001: { level: 'info', meaning: 'feed tenure gained', remedy: 'None.' },
  5002: {
    level: 'warn',
    meaning: 'feed tenure ran out; requests are sent on',
    remedy: 'Check the link of this machine to the core.',
  },
  5003: { level: 'info', meaning: 'desired state applied', remedy: 'None.' },
  5004: {
    level: 'info',
    meaning:
      'configuration in force at a router: its revision, why and how it came, and how long before it was first told',
    remedy: 'None; where routers differ for long, look at the links of those behind.',
  },
  5101: { level: 'debug', meaning: 'request answered', remedy: 'None.' },
  5102: {
    level: 'info',
    meaning: 'request given up on',
    remedy: 'See the kind; the requester was told when to come back.',
  },
  5103: {
    level: 'warn',
    meaning: 'worker broke off, answered nonsense or reported impossible figures',
    remedy: 'Look at that worker if it lasts.',
  },
  5104: { level: 'warn', meaning: 'answer cut after its first byte', remedy: 'Look at the worker named.' },
  5105: {
    level: 'error',
    meaning: 'unforeseen error inside the router; its request got a typed answer',
    remedy: 'Report it with the message.',
  },
  5106: { level: 'info', meaning: 'figures of a router', remedy: 'None.' },
  5107: {
    level: 'warn',
    meaning: 'a service has no decode worker left; all of its requests are refused',
    remedy: 'None where a prefill worker is there: it is ordered to decode (4103). Else start a decode worker.',
  },
  5108: { level: 'info', meaning: 'a service has a decode worker again', remedy: 'None.' },
  5109: {
    level: 'info',
    meaning: 'request did not end in time: how it ended, what its time went to, and where',
    remedy: 'None for one; `tansypost decisions` tells what most of them were lost to.',
  },
  6001: { level: 'info', meaning: 'worker stand-in changed its part', remedy: 'None.' },
  6002: { level: 'warn', meaning: 'order refused: its epoch is older than the fence', remedy: 'None.' },
  7001: { level: 'info', meaning: 'fault brought about', remedy: 'None.' },
};
