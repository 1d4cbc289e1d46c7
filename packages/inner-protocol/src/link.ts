/**
 * Message transport over TCP. A process listens on one address and keeps at most one outgoing link to the address of
 * every other process. Messages go in one direction on a link, and delivery is best effort: when a link fails, the
 * messages buffered on it are lost. A link begins with a hello, which gives the receiver the sender's listening address
 * and the fingerprint of its schemas; a receiver with other schemas requests the sender's by a reply on the same
 * connection.
 */
import net from 'node:net';
import { listenBacklog, type ConnectionGuard } from '@tansypost/peer-limits';
import type { Address } from './brands.js';
import { encodeMessage } from './codec.js';
import { encodeFrame } from './frame.js';
import { readIncoming, type IncomingHandlers } from './incoming-link.js';
import type { Message } from './messages.js';
import { openLink, writeAndRetain, type OutgoingLink, type OutgoingOptions } from './outgoing-link.js';
import { splitAddress } from './socket-address.js';

/** Sends messages and passes incoming ones to `TransportOptions.receive`. */
export interface Transport {
  readonly send: (to: Address, message: Message) => void;
  readonly close: () => Promise<void>;
  /** Number of messages dropped because their link had too many bytes buffered. */
  readonly droppedCount: () => number;
}

/** Options of a transport. */
export interface TransportOptions {
  readonly listen: Address;
  /** Address at which other processes reach this one, if it differs. */
  readonly advertise?: Address;
  readonly receive: (message: Message, from: Address) => void;
  readonly log: (event: number, fields: Record<string, unknown>) => void;
  /** Bytes that may be buffered on a link; above that, messages to it are dropped. */
  readonly maxBufferedBytes?: number;
  /** Timeout of connecting, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** How long a link may have unacknowledged bytes without any progress before it is closed, in milliseconds. */
  readonly stuckTimeoutMs?: number;
  /** Idle timeout of incoming links, in milliseconds. */
  readonly idleTimeoutMs?: number;
  /** Bounds what incoming links make this process hold; without one they are not bounded. */
  readonly guard?: ConnectionGuard | undefined;
  /** Opens a connection; `net.connect` by default. */
  readonly connect?: (options: net.TcpNetConnectOpts) => net.Socket;
}

const defaults = {
  maxBufferedBytes: 16 * 1024 * 1024,
  connectTimeoutMs: 300,
  stuckTimeoutMs: 2000,
  idleTimeoutMs: 30_000,
} as const;
interface TransportState {
  readonly options: TransportOptions;
  readonly outgoing: OutgoingOptions;
  readonly links: Map<Address, OutgoingLink>;
  readonly incoming: Set<net.Socket>;
  droppedCount: number;
  closed: boolean;
  /** The last message and its encoding: the same message is often sent to many receivers in a row. */
  lastSent: { readonly message: Message; readonly bytes: Buffer } | undefined;
}

/** Creates a transport that listens on the given address; rejects if it can't. */
export async function createTransport(options: TransportOptions): Promise<Transport> {
  const state: TransportState = {
    options,
    outgoing: {
      self: options.advertise ?? options.listen,
      connectTimeoutMs: options.connectTimeoutMs ?? defaults.connectTimeoutMs,
      stuckTimeoutMs: options.stuckTimeoutMs ?? defaults.stuckTimeoutMs,
      connect: options.connect ?? net.connect,
    },
    links: new Map(),
    incoming: new Set(),
    droppedCount: 0,
    closed: false,
    lastSent: undefined,
  };
  const server = net.createServer((socket) => accept(state, socket));
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    const backlog = options.guard === undefined ? undefined : listenBacklog(options.guard);
    server.listen({ ...splitAddress(options.listen), backlog }, resolve);
  });
  return {
    send: (to, message) => sendOrDrop(state, to, message),
    close: () => close(state, server),
    droppedCount: () => state.droppedCount,
  };
}

/** Opens a link; `retained` was written to a link that this one replaces before that one was connected. */
function open(state: TransportState, to: Address, retained: readonly Buffer[] = []): OutgoingLink {
  const link = openLink(to, state.outgoing, (closedLink) => {
    if (state.links.get(to) === closedLink) state.links.delete(to);
  });
  state.links.set(to, link);
  for (const bytes of retained) writeAndRetain(link, bytes, state.outgoing.stuckTimeoutMs);
  return link;
}

function sendOrDrop(state: TransportState, to: Address, message: Message): void {
  if (state.closed) return;
  try {
    send(state, to, message);
  } catch (error) {
    state.options.log(1102, { to, kind: message.kind, why: error instanceof Error ? error.message : String(error) });
  }
}

function send(state: TransportState, to: Address, message: Message): void {
  const existing = state.links.get(to);
  const link = existing === undefined || existing.socket.destroyed ? open(state, to) : existing;
  if (link.socket.writableLength > (state.options.maxBufferedBytes ?? defaults.maxBufferedBytes)) {
    state.droppedCount += 1;
    return;
  }
  writeAndRetain(link, bytesOf(state, message), state.outgoing.stuckTimeoutMs);
}

/** Messages aren't modified once they have been sent, so the same object always has the same encoding. */
function bytesOf(state: TransportState, message: Message): Buffer {
  if (state.lastSent?.message !== message) state.lastSent = { message, bytes: encodeFrame(encodeMessage(message)) };
  return state.lastSent.bytes;
}

/**
 * Replaces a link that is still connecting; does nothing for another one. The peer has just connected to this process,
 * so it is up. If the SYN of this process was lost while the peer was down, its retransmission would come later than a
 * new connection.
 */
function reconnectIfConnecting(state: TransportState, to: Address): void {
  const link = state.links.get(to);
  if (link?.retained === undefined || link.socket.destroyed) return;
  const { retained } = link;
  state.links.delete(to);
  link.socket.destroy();
  open(state, to, retained);
}

function accept(state: TransportState, socket: net.Socket): void {
  const { options, incoming } = state;
  incoming.add(socket);
  socket.setNoDelay(true);
  socket.setTimeout(options.idleTimeoutMs ?? defaults.idleTimeoutMs, () => socket.destroy());
  socket.on('error', () => undefined);
  socket.on('close', () => incoming.delete(socket));
  const handlers: IncomingHandlers = {
    onHello: (from) => {
      if (!state.closed) reconnectIfConnecting(state, from);
    },
    onMessage: options.receive,
    onError: (from, error) => options.log(1101, { from, why: error.message }),
  };
  readIncoming(socket, handlers, options.guard?.accept(socket));
}

async function close(state: TransportState, server: net.Server): Promise<void> {
  state.closed = true;
  for (const link of state.links.values()) link.socket.destroy();
  for (const socket of state.incoming) socket.destroy();
  await new Promise<void>((resolve) => server.close(() => resolve()));
}
