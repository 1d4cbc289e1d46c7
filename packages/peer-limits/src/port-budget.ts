/**
 * What the peers at one port make this process hold: their connections, the bytes that wait in it (input that is not
 * complete, output that is not read), and the requests in progress. Where one of these exceeds its limit, the connections
 * that make the least progress give way. Pure: the caller passes the time in and closes the connections that are named.
 */

/**
 * The phases of a connection: before any input, or between requests (`idle`); within the head of a request or the opening
 * of a link (`head`); within a body, with its trailers, or within a frame (`body`); while a request is in progress
 * (`request`), or while output of it waits for the peer to read (`answer`).
 */
export type ConnectionPhase = 'idle' | 'head' | 'body' | 'request' | 'answer';

/** What all connections of one port may hold together. */
export interface PortLimits {
  readonly maxConnections: number;
  /** Input that is not complete and output that is not read, in bytes. */
  readonly maxPendingBytes: number;
  /** Requests in progress, in bytes of their heads and bodies. */
  readonly maxRequestBytes: number;
}

/** How long a connection may stay in a phase, in milliseconds; in `answer`, without any progress. */
export type PhaseTimeouts = Readonly<Partial<Record<ConnectionPhase, number>>>;

/** One open connection. */
export interface PeerConnection {
  readonly phase: ConnectionPhase;
  /** Bytes that wait in this process. */
  readonly pendingBytes: number;
  /** Requests in progress. */
  readonly requests: number;
}

/** The budget of one port. Times are monotonic milliseconds. */
export interface PortBudget {
  /** Adds a connection; `excess` must be called afterwards. */
  readonly open: (now: number) => PeerConnection;
  readonly close: (connection: PeerConnection) => void;
  readonly enter: (connection: PeerConnection, phase: ConnectionPhase, now: number) => void;
  /** States how many bytes wait, and how many have moved since the last call; `excess` must be called afterwards. */
  readonly report: (connection: PeerConnection, pendingBytes: number, movedBytes: number, now: number) => void;
  /** Marks a connection that has completed its first request or opening, and ranks above others from now on. */
  readonly markServed: (connection: PeerConnection) => void;
  /** Takes a request in progress. False where it does not fit: it must be refused. */
  readonly beginRequest: (connection: PeerConnection, bytes: number) => boolean;
  readonly endRequest: (connection: PeerConnection, bytes: number) => void;
  /** The connections that have to be closed now; empty while all limits are kept. */
  readonly excess: (now: number) => readonly PeerConnection[];
  /**
   * The connections to close so that more requests fit: those that hold requests in progress and do not read their output.
   */
  readonly unread: (now: number) => readonly PeerConnection[];
  /** The connections that have been in their phase for longer than allowed. */
  readonly overdue: (now: number, timeouts: PhaseTimeouts) => readonly PeerConnection[];
  readonly usage: () => PortUsage;
}

/** What is held at the moment. */
export interface PortUsage {
  readonly connections: number;
  readonly pendingBytes: number;
  readonly requests: number;
  readonly requestBytes: number;
}

interface Entry extends PeerConnection {
  phase: ConnectionPhase;
  phaseSince: number;
  pendingBytes: number;
  requests: number;
  served: boolean;
  /** Bytes moved in the current window, and in the one before it. */
  windowStart: number;
  movedInWindow: number;
  movedBefore: number;
}

/** The progress of a connection is what it moved in the last whole window; none before its phase is that old. */
const progressWindowMs = 1000;
/** Connections give way until this share of a limit is reached, so that the next ones need not be ranked at once. */
const lowWaterShare = 7 / 8;
/** Requests may be in progress on this share of the connections; the others stay free for further callers. */
const maxRequestShare = 3 / 4;
/** A request may take this share of what is free, so that smaller ones still find room. */
const maxShareOfFreeBytes = 1 / 2;

/** Bytes that the connection has moved in a recent window; infinite while its phase is too young to tell. */
function progressOf(entry: Entry, now: number): number {
  if (now - entry.phaseSince < progressWindowMs) return Infinity;
  const windows = Math.floor((now - entry.windowStart) / progressWindowMs);
  if (windows === 0) return Math.max(entry.movedBefore, entry.movedInWindow);
  return windows === 1 ? entry.movedInWindow : 0;
}

function addProgress(entry: Entry, movedBytes: number, now: number): void {
  const windows = Math.floor((now - entry.windowStart) / progressWindowMs);
  if (windows > 0) {
    entry.movedBefore = windows === 1 ? entry.movedInWindow : 0;
    entry.movedInWindow = 0;
    entry.windowStart += windows * progressWindowMs;
  }
  entry.movedInWindow += movedBytes;
}

interface Ranked {
  readonly entry: Entry;
  readonly progress: number;
}

/** Least progress first; among equals, those never served, then those that hold most, then the oldest. */
function givesWayBefore(a: Ranked, b: Ranked): number {
  if (a.progress !== b.progress) return a.progress < b.progress ? -1 : 1;
  if (a.entry.served !== b.entry.served) return a.entry.served ? 1 : -1;
  return b.entry.pendingBytes - a.entry.pendingBytes || a.entry.phaseSince - b.entry.phaseSince;
}

function ranked(entries: Iterable<Entry>, now: number): Entry[] {
  return [...entries]
    .map((entry): Ranked => ({ entry, progress: progressOf(entry, now) }))
    .sort(givesWayBefore)
    .map(({ entry }) => entry);
}

/** Requests in progress are not broken off for a connection, but for output that their client does not read. */
function mayGiveWay(entry: Entry): boolean {
  return entry.requests === 0 || entry.phase === 'answer';
}

interface BudgetState {
  readonly limits: PortLimits;
  readonly entries: Set<Entry>;
  pendingBytes: number;
  requests: number;
  requestBytes: number;
}

function setPending(state: BudgetState, entry: Entry, bytes: number): void {
  state.pendingBytes += bytes - entry.pendingBytes;
  entry.pendingBytes = bytes;
}

function open(state: BudgetState, now: number): PeerConnection {
  const entry: Entry = {
    phase: 'idle',
    phaseSince: now,
    pendingBytes: 0,
    requests: 0,
    served: false,
    windowStart: now,
    movedInWindow: 0,
    movedBefore: 0,
  };
  state.entries.add(entry);
  return entry;
}

function enter(entry: Entry, phase: ConnectionPhase, now: number): void {
  if (entry.phase === phase) return;
  entry.phase = phase;
  entry.phaseSince = now;
}

function report(state: BudgetState, entry: Entry, bytes: number, movedBytes: number, now: number): void {
  if (!state.entries.has(entry)) return;
  if (movedBytes > 0 && entry.phase === 'answer') entry.phaseSince = now;
  addProgress(entry, movedBytes, now);
  setPending(state, entry, bytes);
}

function hasRoomFor(state: BudgetState, bytes: number): boolean {
  const { limits, requests, requestBytes } = state;
  if (requests >= Math.max(1, maxRequestShare * limits.maxConnections)) return false;
  return requestBytes === 0 || bytes <= maxShareOfFreeBytes * (limits.maxRequestBytes - requestBytes);
}

function beginRequest(state: BudgetState, entry: Entry, bytes: number): boolean {
  if (!state.entries.has(entry) || !hasRoomFor(state, bytes)) return false;
  entry.requests += 1;
  state.requests += 1;
  state.requestBytes += bytes;
  return true;
}

function endRequest(state: BudgetState, entry: Entry, bytes: number): void {
  entry.requests -= 1;
  state.requests -= 1;
  state.requestBytes -= bytes;
}

function excessConnections({ entries, limits }: BudgetState, now: number): Entry[] {
  if (entries.size <= limits.maxConnections) return [];
  const count = entries.size - Math.floor(lowWaterShare * limits.maxConnections);
  return ranked([...entries].filter(mayGiveWay), now).slice(0, count);
}

/** The only connection that holds anything stays, as a single request within the limits is to be served. */
function excessHolders({ entries, limits }: BudgetState, now: number, leaving: ReadonlySet<Entry>): Entry[] {
  const holders = [...entries].filter((entry) => entry.pendingBytes > 0 && !leaving.has(entry));
  let left = holders.reduce((sum, entry) => sum + entry.pendingBytes, 0);
  if (left <= limits.maxPendingBytes) return [];
  const result: Entry[] = [];
  for (const entry of ranked(holders.filter(mayGiveWay), now)) {
    if (left <= lowWaterShare * limits.maxPendingBytes || holders.length - result.length === 1) break;
    result.push(entry);
    left -= entry.pendingBytes;
  }
  return result;
}

function excess(state: BudgetState, now: number): readonly PeerConnection[] {
  const { entries, limits } = state;
  if (entries.size <= limits.maxConnections && state.pendingBytes <= limits.maxPendingBytes) return [];
  const surplus = excessConnections(state, now);
  return [...surplus, ...excessHolders(state, now, new Set(surplus))];
}

function unread({ entries, limits }: BudgetState, now: number): readonly PeerConnection[] {
  const stalled = [...entries].filter((entry) => entry.phase === 'answer' && progressOf(entry, now) === 0);
  return ranked(stalled, now).slice(0, Math.ceil((1 - lowWaterShare) * limits.maxConnections));
}

function overdue({ entries }: BudgetState, now: number, timeouts: PhaseTimeouts): readonly PeerConnection[] {
  return [...entries].filter((entry) => now - entry.phaseSince > (timeouts[entry.phase] ?? Infinity));
}

/** Creates the budget of a port without connections. */
export function createPortBudget(limits: PortLimits): PortBudget {
  const state: BudgetState = { limits, entries: new Set(), pendingBytes: 0, requests: 0, requestBytes: 0 };
  return {
    open: (now) => open(state, now),
    close: (connection) => {
      if (state.entries.delete(connection as Entry)) setPending(state, connection as Entry, 0);
    },
    enter: (connection, phase, now) => enter(connection as Entry, phase, now),
    report: (connection, pendingBytes, movedBytes, now) =>
      report(state, connection as Entry, pendingBytes, movedBytes, now),
    markServed: (connection) => {
      (connection as Entry).served = true;
    },
    beginRequest: (connection, bytes) => beginRequest(state, connection as Entry, bytes),
    endRequest: (connection, bytes) => endRequest(state, connection as Entry, bytes),
    excess: (now) => excess(state, now),
    unread: (now) => unread(state, now),
    overdue: (now, timeouts) => overdue(state, now, timeouts),
    usage: () => ({
      connections: state.entries.size,
      pendingBytes: state.pendingBytes,
      requests: state.requests,
      requestBytes: state.requestBytes,
    }),
  };
}
