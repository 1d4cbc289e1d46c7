/**
 * Carries messages over TCP. A process listens on one address and keeps at most one outgoing link to each other address;
 * every message names none but its receiver, and a link that fails drops what waited on it. The hello tells the receiver
 * the sender's listening address and the fingerprint of its schemas; a receiver with others asks for the schemas.
 */
import net from 'node:net';
import type { Address } from './brands.js';
import { encodeMessage } from './codec.js';
import { encodeFrame } from './frame.js';
import { readIncoming } from './incoming-link.js';
import type { Message } from './messages.js';
import { openLink, writeRetained, type OutgoingLink, type OutgoingOptions } from './outgoing-link.js';
import { splitAddress } from './socket-address.js';

/** Sends messages, and passes those that come to its receiver. */
export interface Transport {
  readonly send: (to: Address, message: Message) => void;
  readonly close: () => Promise<void>;
  /** How many messages were dropped because their link held too much. */
  readonly droppedCount: () => number;
}

/** What a carrier is told when it is made. */
export interface TransportOptions {
  readonly listen: Address;
  /** Address under which others reach it, where that differs. */
  readonly advertise?: Address;
  readonly receive: (message: Message, from: Address) => void;
  readonly log: (event: number, fields: Record<string, unknown>) => void;
  /** Bytes that a link may hold before messages are dropped. */
  readonly maxBufferedBytes?: number;
  /** How long a connection may take to come about. */
  readonly connectMs?: number;
  /** How long a link may hold bytes without any of them getting through. */
  readonly stuckMs?: number;
  /** How long an incoming link may be silent. */
  readonly idleMs?: number;
  /** How a connection is begun; `net.connect` unless a test says otherwise. */
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
  /** What was sent last, as it often goes to many one after the other. */
  lastSent: { readonly message: Message; readonly bytes: Buffer } | undefined;
}

/** Listens on the address given; rejects when that is not possible. */
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

function open(state: TransportState, to: Address, held: readonly Buffer[] = []): OutgoingLink {
  const link = openLink(to, state.outgoing, (ended) => {
    if (state.links.get(to) === ended) state.links.delete(to);
  });
  state.links.set(to, link);
  for (const bytes of held) writeRetained(link, bytes, state.outgoing.stuckMs);
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

/** A message is never changed after it was sent, so the same object has the same bytes. */
function bytesOf(state: TransportState, message: Message): Buffer {
  if (state.lastSent?.message !== message) state.lastSent = { message, bytes: encodeFrame(encodeMessage(message)) };
  return state.lastSent.bytes;
}

/** The other side is there, so an opening packet that went out before it was is not waited for. */
function reopen(state: TransportState, to: Address): void {
  const link = state.links.get(to);
  if (link?.held === undefined || link.socket.destroyed) return;
  const { held } = link;
  state.links.delete(to);
  link.socket.destroy();
  open(state, to, held);
}

function accept(state: TransportState, socket: net.Socket): void {
  const { options, incoming } = state;
  incoming.add(socket);
  socket.setNoDelay(true);
  socket.setTimeout(options.idleMs ?? defaults.idleMs, () => socket.destroy());
  socket.on('error', () => undefined);
  socket.on('close', () => incoming.delete(socket));
  readIncoming(socket, {
    greeted: (from) => {
      if (!state.closed) reopen(state, from);
    },
    receive: options.receive,
    failed: (from, error) => options.log(1101, { from, why: error.message }),
  });
}

async function close(state: TransportState, server: net.Server): Promise<void> {
  state.closed = true;
  for (const link of state.links.values()) link.socket.destroy();
  for (const socket of state.incoming) socket.destroy();
  await new Promise<void>((resolve) => server.close(() => resolve()));
}
