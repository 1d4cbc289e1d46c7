/**
 * Collects the routers' request counts on the control node that reports usage. It polls each router about once a second for
 * changed counts. A window is ready to be reported, and its content fixed, as soon as every router has reported a time past
 * its end, or when its report is due.
 */
import {
  every,
  hash32,
  millis,
  type Address,
  type Message,
  type MessageOf,
  type World,
} from '@tansypost/inner-protocol';
import { createFleetClock, type FleetClock } from './fleet-clock.js';
import { createWindowCountStore, type WindowCountStore } from './window-counts.js';
import type { UsageContent } from './usage-content.js';
import { windowEnd, windowOf } from './usage-window.js';

/** Dependencies and settings of a collector. Durations are in milliseconds. */
export interface UsageCollectorOptions {
  readonly self: Address;
  /** Length of a window. */
  readonly windowLength: number;
  /** A window's report is due this long after its end. */
  readonly reportDelay: number;
  /** How long before the report is due a window is closed without unresponsive routers, to leave time for the report. */
  readonly reportingMargin: number;
  /** The routers that this node is in contact with. */
  readonly routers: () => readonly Address[];
  /** This machine's time of day, in milliseconds since 1970. */
  readonly wallClock: () => number;
  /** Whether this node reports now, and has read the duty's record. */
  readonly isLeader: () => boolean;
  /**
   * Whether this node is the standby of the leader: it collects like the leader, but reports nothing. Without a standby, the
   * counts in open windows of routers that have been killed are lost together with the leader.
   */
  readonly isStandby?: () => boolean;
  /** The last window whose content is committed in the duty's record; undefined if there is none. */
  readonly closedThrough: () => number | undefined;
}

/** The collector of one node; it is active while the node is the leader or the standby. */
export interface UsageCollector {
  /** Handles a message and returns whether it was meant for the collector. */
  readonly receive: (message: Message) => boolean;
  /**
   * The windows after the last one in the record that can be reported, in order and without gaps, up to `maxReadyWindows`.
   * A window that was returned once is returned again unchanged until the record holds it.
   */
  readonly readyWindows: () => readonly UsageContent[];
  /** The windows that are stored, and the number of known routers. */
  readonly retained: () => { readonly windows: readonly number[]; readonly routers: number };
  readonly stop: () => void;
}

/** Each router is polled in one of this many rounds, which is once a second; one that does not answer is polled more often. */
const roundsPerPoll = 10;
const roundInterval = millis(100);
/** A router that has not answered is polled again after this time. */
const repollDelayUs = 300_000;
/** A new leader closes no window for this time, in which each router is polled twice. */
const warmUpUs = 2_000_000;
/** The minimum time between a window's end and its closing. */
const settleTimeMs = 300;
/**
 * If most routers are unresponsive, or none is known, this node itself may be cut off. A window is then held back for this
 * many times the report delay.
 */
const maxWaitFactor = 3;
const maxReadyWindows = 16;
/** Number of closed windows that are retained to count late requests. */
const retainedClosedWindows = 2;
/** Windows older than this many windows expect no more counts and keep only their content. */
const compactAfterWindows = 8;
/** Number of windows that a node other than the leader retains, as it may not learn which windows are closed. */
const maxStandbyWindows = 32;
/** If the record cannot be written for this many windows, the counts of the oldest windows are dropped. */
const maxWindows = 256;
/** The log event for requests that are in no report. */
const lateEvent = 3501;
const microsPerMillisecond = 1000;

/** The latest known process of a router, and how much of its counts is known. */
interface RouterProgress {
  process: string;
  /** All changes up to this number are known. */
  sequence: number;
  /** When its last answer arrived, in microseconds of the monotonic clock. */
  receivedAt: number;
  /** The true time in its last answer, in milliseconds since 1970. */
  routerTime: number;
}

interface CollectorState {
  readonly world: World;
  readonly options: UsageCollectorOptions;
  readonly clock: FleetClock;
  readonly counts: WindowCountStore;
  readonly routers: Map<string, RouterProgress>;
  /** When each router was last polled, in microseconds of the monotonic clock. */
  readonly polledAt: Map<string, number>;
  round: number;
  /** Since when this node has been collecting, in microseconds of the monotonic clock. */
  collectingSince: number | undefined;
  /** The first window that was returned as ready while the record held none. */
  firstReadyWindow: number | undefined;
}

/** Creates a collector, which starts to poll when this node becomes the leader or the standby. */
export function createUsageCollector(world: World, options: UsageCollectorOptions): UsageCollector {
  const state: CollectorState = {
    world,
    options,
    clock: createFleetClock(world, options),
    counts: createWindowCountStore((window, count) => world.log(lateEvent, { window, count })),
    routers: new Map(),
    polledAt: new Map(),
    round: 0,
    collectingSince: undefined,
    firstReadyWindow: undefined,
  };
  return {
    receive: (message) => receive(state, message),
    readyWindows: () => readyWindows(state),
    retained: () => ({ windows: state.counts.windows(), routers: state.routers.size }),
    stop: every(
      world,
      () => roundInterval,
      () => tick(state),
    ),
  };
}

function tick(state: CollectorState): void {
  state.round = (state.round + 1) % roundsPerPoll;
  updateCollecting(state);
  dropOldState(state);
  if (state.collectingSince === undefined) return;
  for (const address of state.options.routers()) if (needsPoll(state, address)) poll(state, address);
}

function needsPoll({ world, round, routers, polledAt }: CollectorState, address: Address): boolean {
  if (hash32(address) % roundsPerPoll === round) return true;
  const lastPollAt = polledAt.get(address);
  if (lastPollAt === undefined || world.now() - lastPollAt < repollDelayUs) return false;
  return (routers.get(address)?.receivedAt ?? -Infinity) < lastPollAt;
}

/** Starts or stops collecting. A node that stops keeps the fixed contents, as a write of them may be in progress. */
function updateCollecting(state: CollectorState): void {
  const { isLeader, isStandby } = state.options;
  if (isLeader() || isStandby?.() === true) {
    state.collectingSince ??= state.world.now();
    return;
  }
  if (state.collectingSince === undefined) return;
  state.collectingSince = undefined;
  state.firstReadyWindow = undefined;
  state.routers.clear();
  state.polledAt.clear();
  state.counts.dropOpen();
}

function dropOldState(state: CollectorState): void {
  const { counts, options } = state;
  const closed = options.closedThrough();
  if (closed !== undefined) counts.dropBefore(closed + 1 - retainedClosedWindows);
  if (!options.isLeader()) counts.dropBefore(windowOf(state.clock.now(), options.windowLength) - maxStandbyWindows);
  if (state.round === 0) compactOld(state);
  counts.dropExcess(maxWindows);
  for (const [router, { receivedAt }] of state.routers) if (isExpired(state, receivedAt)) state.routers.delete(router);
  for (const [router, polledAt] of state.polledAt) if (isExpired(state, polledAt)) state.polledAt.delete(router);
}

/** Keeps only the contents of old windows, which are not reported because the record cannot be written. */
function compactOld(state: CollectorState): void {
  const { counts, clock, options } = state;
  if (!options.isLeader() || !isWarmedUp(state)) return;
  const old = windowOf(clock.now(), options.windowLength) - compactAfterWindows;
  for (const window of counts.windows()) if (window < old && isReady(state, window)) counts.compact(window);
}

/** Only the leader tells routers which windows are closed, as it knows which counts of them it has received. */
function poll(state: CollectorState, address: Address): void {
  const { closedThrough, isLeader, self } = state.options;
  const known = state.routers.get(address);
  state.polledAt.set(address, state.world.now());
  state.world.send(address, {
    kind: 'UsageAsk',
    from: self,
    process: known?.process ?? '',
    after: known?.sequence ?? 0,
    closedThrough: isLeader() ? (closedThrough() ?? 0) : 0,
  });
}

function receive(state: CollectorState, message: Message): boolean {
  if (message.kind !== 'UsageTold') return false;
  if (state.collectingSince === undefined) return true;
  updateProgress(state, message);
  for (const table of message.tables)
    if (isAccepted(state, table.window)) state.counts.addTable(`${message.router} ${message.process}`, table);
  return true;
}

/** Whether counts for the window are accepted; a closed window that was dropped is not opened again. */
function isAccepted(state: CollectorState, window: number): boolean {
  const closed = state.options.closedThrough();
  return closed === undefined || window > closed || state.counts.has(window);
}

function updateProgress(state: CollectorState, answer: MessageOf<'UsageTold'>): void {
  const receivedAt = state.world.now();
  const known = state.routers.get(answer.router);
  const knownSequence = known?.process === answer.process ? known.sequence : 0;
  // An answer to a poll of another leader that knew more leaves a gap; the next poll asks again for the changes in it.
  const sequence = answer.after <= knownSequence ? Math.max(knownSequence, answer.sequence) : knownSequence;
  state.routers.set(answer.router, { process: answer.process, sequence, receivedAt, routerTime: answer.now });
  state.clock.addSample(answer.router, answer.now, receivedAt, receivedAt);
}

/** Whether `since` is so long ago that it no longer matters for any window that is not closed yet. */
function isExpired({ world, options }: CollectorState, since: number): boolean {
  return world.now() - since > (options.windowLength + options.reportDelay) * microsPerMillisecond;
}

function isWarmedUp({ world, collectingSince }: CollectorState): boolean {
  return collectingSince !== undefined && world.now() - collectingSince >= warmUpUs;
}

function readyWindows(state: CollectorState): readonly UsageContent[] {
  updateCollecting(state);
  if (!state.options.isLeader() || !isWarmedUp(state)) return [];
  const first = firstOpenWindow(state);
  const contents: UsageContent[] = [];
  if (first === undefined) return contents;
  for (let window = first; contents.length < maxReadyWindows && isReady(state, window); window += 1) {
    contents.push(state.counts.fixContent(window));
  }
  if (contents.length > 0) state.firstReadyWindow ??= first;
  return contents;
}

/** The window after the last one in the record; if the record holds none, the first window with any counts. */
function firstOpenWindow(state: CollectorState): number | undefined {
  const closed = state.options.closedThrough();
  if (closed !== undefined) return closed + 1;
  return state.firstReadyWindow ?? state.counts.windows()[0];
}

function isReady(state: CollectorState, window: number): boolean {
  const { options, routers } = state;
  const end = windowEnd(window, options.windowLength);
  const now = state.clock.now();
  if (now < end + settleTimeMs) return false;
  const awaited = new Set<string>([...options.routers(), ...routers.keys()]);
  const pastEnd = [...awaited].filter((router) => (routers.get(router)?.routerTime ?? -Infinity) >= end);
  if (pastEnd.length === 0 || pastEnd.length < awaited.size / 2)
    return now >= end + maxWaitFactor * options.reportDelay;
  return pastEnd.length === awaited.size || now >= end + options.reportDelay - options.reportingMargin;
}
