/**
 * Keeps the sockets of one port within its budget: registers each, closes those that give way or stay too long in a
 * phase, and logs how many were closed. What waits on a socket is reported as it arrives, and looked up once a second.
 */
import type { Socket } from 'node:net';
import {
  createPortBudget,
  type ConnectionPhase,
  type PeerConnection,
  type PhaseTimeouts,
  type PortBudget,
  type PortLimits,
  type PortUsage,
} from './port-budget.js';

/** What a guard needs of its process. */
export interface ConnectionGuardOptions {
  /** The name of the port in events. */
  readonly port: string;
  readonly limits: PortLimits;
  readonly timeouts: PhaseTimeouts;
  readonly log: (event: number, fields: Record<string, unknown>) => void;
}

/** One guarded socket. */
export interface GuardedSocket {
  readonly enter: (phase: ConnectionPhase) => void;
  /** States how many bytes wait on the connection, and how many have moved since the last call. */
  readonly report: (pendingBytes: number, movedBytes: number) => void;
  readonly markServed: () => void;
  /** False where the request does not fit; it is over when `endRequest` is called with the same bytes. */
  readonly beginRequest: (bytes: number) => boolean;
  readonly endRequest: (bytes: number) => void;
  /** Counts a request as refused in event 1201. */
  readonly countRefused: () => void;
  readonly phase: () => ConnectionPhase;
}

/** The guard of one port. */
export interface ConnectionGuard {
  /**
   * Registers a socket until it is closed.
   * @param inspect called once a second; it reports what waits on the socket
   */
  readonly accept: (socket: Socket, inspect?: (guarded: GuardedSocket) => void) => GuardedSocket;
  readonly limits: PortLimits;
  /** How long a body may take, in milliseconds. */
  readonly bodyTimeoutMs: number;
  /** Sets how long the head of a request may take, in milliseconds. */
  readonly setHeadTimeout: (timeoutMs: number) => void;
  readonly usage: () => PortUsage;
}

const sweepIntervalMs = 1000;
const defaultBodyTimeoutMs = 60_000;

interface Registered {
  readonly socket: Socket;
  readonly guarded: GuardedSocket;
  readonly inspect: ((guarded: GuardedSocket) => void) | undefined;
}

interface GuardState {
  readonly options: ConnectionGuardOptions;
  readonly budget: PortBudget;
  readonly registered: Map<PeerConnection, Registered>;
  timeouts: PhaseTimeouts;
  sweepTimer: NodeJS.Timeout | undefined;
  /** Since the last sweep. */
  counts: { gaveWay: number; overdue: number; refused: number };
}

function closeAll({ budget, registered }: GuardState, connections: readonly PeerConnection[]): void {
  for (const connection of connections) {
    budget.close(connection);
    registered.get(connection)?.socket.destroy();
    registered.delete(connection);
  }
}

function giveWay(state: GuardState, connections: readonly PeerConnection[]): void {
  state.counts.gaveWay += connections.length;
  closeAll(state, connections);
}

function enforce(state: GuardState): void {
  giveWay(state, state.budget.excess(performance.now()));
}

/** A request that does not fit is refused; it finds room when it comes again, if output that is not read gave way. */
function beginRequest(state: GuardState, connection: PeerConnection, bytes: number): boolean {
  if (state.budget.beginRequest(connection, bytes)) return true;
  state.counts.refused += 1;
  giveWay(state, state.budget.unread(performance.now()));
  return false;
}

function sweep(state: GuardState): void {
  const { budget, options, registered, timeouts } = state;
  for (const { guarded, inspect } of [...registered.values()]) inspect?.(guarded);
  const overdue = budget.overdue(performance.now(), timeouts);
  state.counts.overdue += overdue.length;
  closeAll(state, overdue);
  const { counts } = state;
  if (counts.gaveWay + counts.overdue + counts.refused > 0)
    options.log(1201, { port: options.port, ...counts, ...budget.usage() });
  state.counts = { gaveWay: 0, overdue: 0, refused: 0 };
  state.sweepTimer = undefined;
  scheduleSweep(state);
}

function scheduleSweep(state: GuardState): void {
  const { counts, registered } = state;
  if (registered.size === 0 && counts.gaveWay === 0) return;
  state.sweepTimer ??= setTimeout(sweep, sweepIntervalMs, state).unref();
}

function guardedSocket(state: GuardState, connection: PeerConnection): GuardedSocket {
  const { budget } = state;
  return {
    enter: (phase) => budget.enter(connection, phase, performance.now()),
    report: (pendingBytes, movedBytes) => {
      budget.report(connection, pendingBytes, movedBytes, performance.now());
      enforce(state);
    },
    markServed: () => budget.markServed(connection),
    beginRequest: (bytes) => beginRequest(state, connection, bytes),
    endRequest: (bytes) => budget.endRequest(connection, bytes),
    countRefused: () => {
      state.counts.refused += 1;
    },
    phase: () => connection.phase,
  };
}

function accept(state: GuardState, socket: Socket, inspect?: (guarded: GuardedSocket) => void): GuardedSocket {
  const { budget, registered } = state;
  const connection = budget.open(performance.now());
  const guarded = guardedSocket(state, connection);
  registered.set(connection, { socket, guarded, inspect });
  socket.once('close', () => {
    budget.close(connection);
    registered.delete(connection);
  });
  enforce(state);
  scheduleSweep(state);
  return guarded;
}

/** Creates the guard of a port without connections. */
export function createConnectionGuard(options: ConnectionGuardOptions): ConnectionGuard {
  const state: GuardState = {
    options,
    budget: createPortBudget(options.limits),
    registered: new Map(),
    timeouts: options.timeouts,
    sweepTimer: undefined,
    counts: { gaveWay: 0, overdue: 0, refused: 0 },
  };
  return {
    accept: (socket, inspect) => accept(state, socket, inspect),
    limits: options.limits,
    bodyTimeoutMs: options.timeouts.body ?? defaultBodyTimeoutMs,
    setHeadTimeout: (timeoutMs) => {
      state.timeouts = { ...state.timeouts, head: timeoutMs };
    },
    usage: state.budget.usage,
  };
}
