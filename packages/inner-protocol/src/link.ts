/**
 * Message transport over TCP. A process listens on one address and keeps at most one outgoing link to each other
 * address. Delivery is best effort: when a link fails, the messages buffered on it are lost. The hello gives the
 * receiver the sender's listening address and the fingerprint of its schemas; a receiver with other schemas requests
 * the sender's.
 */
import net from 'node:net';
import type { Address } from './brands.js';
import { encodeMessage } from './codec.js';
import { encodeFrame } from './frame.js';
import { readIncoming } from './incoming-link.js';
import type { Message } from './messages.js';
import { openLink, writeRetained, type OutgoingLink, type OutgoingOptions } from './outgoing-link.js';
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
  readonly connectMs?: number;
  /** How long a link may have unacknowledged bytes without any progress before it is closed, in milliseconds. */
  readonly stuckMs?: number;
  /** Idle timeout of incoming links, in milliseconds. */
  readonly idleMs?: number;
  /** Opens a connection; `net.connect` by default. */
  readonly connect?: (options: net.TcpNetConnectOpts) => net.Socket;
}

const defaults = { heldLimit: 16 * 1024 * 1024, connectMs: 300, stuckMs: 2000, idleMs: 30_000 } as const;

interface TransportState {
  readonly options: TransportOptions;
  readonly outgoing: OutgoingOptions;
  readonly links: Map<Address, OutgoingLink>;
  readonly incoming: Set<net.Socket>;
  dropped: number;
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
      connectMs: options.connectMs ?? defaults.connectMs,
      stuckMs: options.stuckMs ?? defaults.stuckMs,
      connect: options.connect ?? net.connect,
    },
    links: new Map(),
    incoming: new Set(),
    dropped: 0,
    closed: false,
    lastSent: undefined,
  };
  const server = net.createServer((socket) => accept(state, socket));
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(splitAddress(options.listen), resolve);
  });
  return {
    send: (to, message) => send(state, to, message),
    close: () => close(state, server),
    droppedCount: () => state.dropped,
  };
}

function open(state: TransportState, to: Address, retained: readonly Buffer[] = []): OutgoingLink {
  const link = openLink(to, state.outgoing, (closed) => {
    if (state.links.get(to) === closed) state.links.delete(to);
  });
  state.links.set(to, link);
  for (const bytes of retained) writeRetained(link, bytes, state.outgoing.stuckMs);
  return link;
}

function send(state: TransportState, to: Address, message: Message): void {
  if (state.closed) return;
  const existing = state.links.get(to);
  const link = existing === undefined || existing.socket.destroyed ? open(state, to) : existing;
  if (link.socket.writableLength > (state.options.maxBufferedBytes ?? defaults.heldLimit)) {
    state.dropped += 1;
    return;
  }
  writeRetained(link, bytesOf(state, message), state.outgoing.stuckMs);
}

/** Messages aren't modified once they have been sent, so the same object always has the same encoding. */
function bytesOf(state: TransportState, message: Message): Buffer {
  if (state.lastSent?.message !== message) state.lastSent = { message, bytes: encodeFrame(encodeMessage(message)) };
  return state.lastSent.bytes;
}

/**
 * Replaces a link that is still connecting. The peer has just connected to this process, so it is up; the SYN may have
 * been lost before that, and its retransmission would only come later.
 */
function reconnect(state: TransportState, to: Address): void {
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
  socket.setTimeout(options.idleMs ?? defaults.idleMs, () => socket.destroy());
  socket.on('error', () => undefined);
  socket.on('close', () => incoming.delete(socket));
  readIncoming(socket, {
    onHello: (from) => {
      if (!state.closed) reconnect(state, from);
    },
    onMessage: options.receive,
    onError: (from, error) => options.log(1101, { from, why: error.message }),
  });
}

async function close(state: TransportState, server: net.Server): Promise<void> {
  state.closed = true;
  for (const link of state.links.values()) link.socket.destroy();
  for (const socket of state.incoming) socket.destroy();
  await new Promise<void>((resolve) => server.close(() => resolve()));
}
