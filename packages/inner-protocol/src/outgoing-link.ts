/**
 * The sending side of one link. Its receiver says every so often how much has reached it; a link on which nothing more
 * gets through for a while is dropped, so that a healed path is used at once by a new one.
 */
import net from 'node:net';
import type { Address } from './brands.js';
import { encodeHello, encodeShortHello } from './codec.js';
import { encodeFrame } from './frame.js';
import { createReplyReader, replyKind } from './link-reply.js';
import { splitAddress } from './socket-address.js';

/** How links of one process are opened. */
export interface OutgoingOptions {
  /** The address that this process listens on, as told in the hello. */
  readonly self: Address;
  /** How long a connection may take to come about. */
  readonly connectMs: number;
  /** How long a link may hold bytes without any of them getting through. */
  readonly stuckMs: number;
  readonly connect: (options: net.TcpNetConnectOpts) => net.Socket;
}

/** A link to one address. */
export interface OutgoingLink {
  readonly socket: net.Socket;
  sent: number;
  /** As far as the receiver has said. */
  received: number;
  stuckTimer: NodeJS.Timeout | undefined;
  /** What waits for the connection; none once it has come about. */
  held: Buffer[] | undefined;
}

/**
 * Begins a connection and writes the hello.
 * @param to address of the receiver
 * @param options how links are opened
 * @param closed called when the link has ended
 */
export function openLink(to: Address, options: OutgoingOptions, closed: (link: OutgoingLink) => void): OutgoingLink {
  const socket = options.connect({ ...splitAddress(to), noDelay: true });
  const link: OutgoingLink = { socket, sent: 0, received: 0, stuckTimer: undefined, held: [] };
  const connectTimer = setTimeout(() => socket.destroy(), options.connectMs);
  const readReplies = createReplyReader();
  socket.on('connect', () => {
    clearTimeout(connectTimer);
    link.held = undefined;
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    clearTimeout(connectTimer);
    clearTimeout(link.stuckTimer);
    closed(link);
  });
  socket.on('data', (chunk: Buffer) => {
    for (const reply of readReplies(chunk)) {
      if (reply.kind === replyKind.wantSchemas)
        writeRetained(link, encodeFrame(encodeHello(options.self)), options.stuckMs);
      else takeReceived(link, reply.received, options.stuckMs);
    }
  });
  write(link, encodeFrame(encodeShortHello(options.self)), options.stuckMs);
  return link;
}

/** Writes bytes that are written again by whoever replaces the link before its connection came about. */
export function writeRetained(link: OutgoingLink, bytes: Buffer, stuckMs: number): void {
  link.held?.push(bytes);
  write(link, bytes, stuckMs);
}

function write(link: OutgoingLink, bytes: Buffer, stuckMs: number): void {
  link.sent += bytes.length;
  link.socket.write(bytes);
  if (link.stuckTimer === undefined) startStuckTimer(link, stuckMs);
}

function takeReceived(link: OutgoingLink, received: number, stuckMs: number): void {
  if (received <= link.received) return;
  link.received = received;
  clearTimeout(link.stuckTimer);
  link.stuckTimer = undefined;
  if (link.received < link.sent) startStuckTimer(link, stuckMs);
}

function startStuckTimer(link: OutgoingLink, stuckMs: number): void {
  link.stuckTimer = setTimeout(() => link.socket.destroy(), stuckMs);
  link.stuckTimer.unref();
}
