/**
 * Collects what routers count, on the one node that reports usage. It asks each router about once a second for what has
 * changed, and says of which windows the content can be fixed: those beyond which each router has told, or that are due.
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
import { createUsageBook, type UsageBook } from './usage-book.js';
import type { UsageContent } from './usage-content.js';
import { windowEnd, windowOf } from './usage-window.js';

/** What a collector is told when it is made. Durations are milliseconds. */
export interface UsageCollectorOptions {
  readonly self: Address;
  /** Length of a window. */
  readonly windowLength: number;
  /** A window's report is due so long after its end. */
  readonly reportDelay: number;
  /** So long before that, a window is closed without the routers that are silent; the reports need this time. */
  readonly reportingMargin: number;
  /** The routers that this node hears. */
  readonly routers: () => readonly Address[];
  /** This machine's time of day, in milliseconds since 1970. */
  readonly wallClock: () => number;
  /** Whether this node reports now, and has read what the duty's record holds. */
  readonly isLeader: () => boolean;
  /**
   * Whether this node stands by for the duty: it collects as the holder does and gives nothing out. What a router that is
   * killed had told is lost with a holder that nobody stands by for, as far as its windows are open.
   */
  readonly isStandby?: () => boolean;
  /** The last window whose content stands in the duty's record, on a majority; undefined where it holds none. */
  readonly closedThrough: () => number | undefined;
}

/** The collector of one node; it works while the node holds the duty. */
export interface UsageCollector {
  /** Takes in a message and says whether it was meant for the collector. */
  readonly receive: (message: Message) => boolean;
  /**
   * The windows after the last one in the record that can be reported, in order and without gaps, some at a time. What has
   * been given out is given out again without change, until the record holds it.
   */
  readonly readyWindows: () => readonly UsageContent[];
  /** The windows of which something is kept, and the routers that are known. */
  readonly retained: () => { readonly windows: readonly number[]; readonly routers: number };
  readonly stop: () => void;
}

/** Each router is asked in one of so many rounds, which makes once a second; one that doesn't answer more often. */
const askRounds = 10;
const roundEvery = millis(100);
/** A router that has not answered is asked again after so long, in microseconds. */
const askAgainAfter = 300_000;
/** A new holder closes nothing before each router was asked twice; in microseconds. */
const gatherFor = 2_000_000;
/** A window is closed so long after its end at the earliest, in milliseconds. */
const settleFor = 300;
/** Where most routers are silent, or none is known, the fault may be on this side: a window then waits so many times the report's delay. */
const longestWait = 3;
const mostDueAtOnce = 16;
/** Closed windows that are kept for a while, to tell how much comes late. */
const closedWindowsKept = 2;
/** Windows so old that nothing is expected any more, and only their contents are kept. */
const condenseAfter = 8;
/** A node that only stands by, and may not hear what is closed, keeps so many windows. */
const standbyKeeps = 32;
/** Where the record takes nothing for so many windows, the oldest ones lose their counts. */
const mostWindows = 256;
/** The event for counts that are in no report. */
const lateEvent = 3501;
const microsPerMillisecond = 1000;

/** The newest process of a router, as far as it has told. */
interface RouterProgress {
  process: string;
  /** All changes up to this one are known. */
  sequence: number;
  /** In microseconds of the monotonic clock. */
  heardAt: number;
  /** The true time that it told last. */
  told: number;
}

interface CollectorState {
  readonly world: World;
  readonly options: UsageCollectorOptions;
  readonly clock: FleetClock;
  readonly book: UsageBook;
  readonly routers: Map<string, RouterProgress>;
  /** When each router was asked last, in microseconds of the monotonic clock. */
  readonly askedAt: Map<string, number>;
  round: number;
  /** Since when this node collects, in microseconds of the monotonic clock. */
  collectsSince: number | undefined;
  /** The first window of a record that holds none yet, once it has been given out. */
  firstWindow: number | undefined;
}

/** Makes a collector, which begins to ask when this node becomes the holder. */
export function createUsageCollector(world: World, options: UsageCollectorOptions): UsageCollector {
  const state: CollectorState = {
    world,
    options,
    clock: createFleetClock(world, options),
    book: createUsageBook((window, count) => world.log(lateEvent, { window, count })),
    routers: new Map(),
    askedAt: new Map(),
    round: 0,
    collectsSince: undefined,
    firstWindow: undefined,
  };
  return {
    receive: (message) => receive(state, message),
    readyWindows: () => due(state),
    retained: () => ({ windows: state.book.windows(), routers: state.routers.size }),
    stop: every(
      world,
      () => roundEvery,
      () => tick(state),
    ),
  };
}

function tick(state: CollectorState): void {
  state.round = (state.round + 1) % askRounds;
  noteCollecting(state);
  tidy(state);
  if (state.collectsSince === undefined) return;
  for (const address of state.options.routers()) if (isToBeAsked(state, address)) ask(state, address);
}

function isToBeAsked({ world, round, routers, askedAt }: CollectorState, address: Address): boolean {
  if (hash32(address) % askRounds === round) return true;
  const asked = askedAt.get(address);
  if (asked === undefined || world.now() - asked < askAgainAfter) return false;
  return (routers.get(address)?.heardAt ?? -Infinity) < asked;
}

/** Whoever collects no more keeps what it has given out, as a write of it may be under way. */
function noteCollecting(state: CollectorState): void {
  const { isLeader: isHolder, isStandby } = state.options;
  if (isHolder() || isStandby?.() === true) {
    state.collectsSince ??= state.world.now();
    return;
  }
  if (state.collectsSince === undefined) return;
  state.collectsSince = undefined;
  state.firstWindow = undefined;
  state.routers.clear();
  state.askedAt.clear();
  state.book.dropUnfixed();
}

function tidy(state: CollectorState): void {
  const { book, options } = state;
  const closed = options.closedThrough();
  if (closed !== undefined) book.dropBefore(closed + 1 - closedWindowsKept);
  if (!options.isLeader()) book.dropBefore(windowOf(state.clock.now(), options.windowLength) - standbyKeeps);
  if (state.round === 0) condenseOld(state);
  book.keepAtMost(mostWindows);
  for (const [router, { heardAt }] of state.routers) if (isGone(state, heardAt)) state.routers.delete(router);
  for (const [router, askedAt] of state.askedAt) if (isGone(state, askedAt)) state.askedAt.delete(router);
}

/** Windows that nobody fetches, as the record takes no more, are kept as their contents alone. */
function condenseOld(state: CollectorState): void {
  const { book, clock, options } = state;
  if (!options.isLeader() || !hasGathered(state)) return;
  const old = windowOf(clock.now(), options.windowLength) - condenseAfter;
  for (const window of book.windows()) if (window < old && isReady(state, window)) book.condense(window);
}

/** Only the holder says what is closed, as it knows what has been heard of that. */
function ask(state: CollectorState, address: Address): void {
  const { closedThrough, isLeader: isHolder, self } = state.options;
  const known = state.routers.get(address);
  state.askedAt.set(address, state.world.now());
  state.world.send(address, {
    kind: 'UsageAsk',
    from: self,
    process: known?.process ?? '',
    after: known?.sequence ?? 0,
    closedThrough: isHolder() ? (closedThrough() ?? 0) : 0,
  });
}

function receive(state: CollectorState, message: Message): boolean {
  if (message.kind !== 'UsageTold') return false;
  if (state.collectsSince === undefined) return true;
  noteProgress(state, message);
  for (const table of message.tables)
    if (isKept(state, table.window)) state.book.take(`${message.router} ${message.process}`, table);
  return true;
}

/** Windows whose books were dropped are not opened again. */
function isKept(state: CollectorState, window: number): boolean {
  const closed = state.options.closedThrough();
  return closed === undefined || window > closed || state.book.has(window);
}

function noteProgress(state: CollectorState, told: MessageOf<'UsageTold'>): void {
  const heardAt = state.world.now();
  const known = state.routers.get(told.router);
  const before = known?.process === told.process ? known.sequence : 0;
  // An answer to an ask of a holder that knew more leaves a gap here: what lies in it is asked for again.
  const sequence = told.after <= before ? Math.max(before, told.sequence) : before;
  state.routers.set(told.router, { process: told.process, sequence, heardAt, told: told.now });
  state.clock.addSample(told.router, told.now, heardAt, heardAt);
}

/** What is so long ago matters to no window that is waited for. */
function isGone({ world, options }: CollectorState, since: number): boolean {
  return world.now() - since > (options.windowLength + options.reportDelay) * microsPerMillisecond;
}

function hasGathered({ world, collectsSince }: CollectorState): boolean {
  return collectsSince !== undefined && world.now() - collectsSince >= gatherFor;
}

function due(state: CollectorState): readonly UsageContent[] {
  noteCollecting(state);
  if (!state.options.isLeader() || !hasGathered(state)) return [];
  const first = firstOpen(state);
  const contents: UsageContent[] = [];
  if (first === undefined) return contents;
  for (let window = first; contents.length < mostDueAtOnce && isReady(state, window); window += 1) {
    contents.push(state.book.content(window));
  }
  if (contents.length > 0) state.firstWindow ??= first;
  return contents;
}

/** The first window after the record's last one; where the record holds none, the first that anything was counted in. */
function firstOpen(state: CollectorState): number | undefined {
  const closed = state.options.closedThrough();
  if (closed !== undefined) return closed + 1;
  return state.firstWindow ?? state.book.windows()[0];
}

function isReady(state: CollectorState, window: number): boolean {
  const { options, routers } = state;
  const end = windowEnd(window, options.windowLength);
  const now = state.clock.now();
  if (now < end + settleFor) return false;
  const awaited = new Set<string>([...options.routers(), ...routers.keys()]);
  const beyond = [...awaited].filter((router) => (routers.get(router)?.told ?? -Infinity) >= end);
  if (beyond.length === 0 || beyond.length < awaited.size / 2) return now >= end + longestWait * options.reportDelay;
  return beyond.length === awaited.size || now >= end + options.reportDelay - options.reportingMargin;
}
