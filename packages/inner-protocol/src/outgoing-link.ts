/**
 * The sending side of one link. The receiver regularly acknowledges the bytes that it has received. A link without
 * progress for a while is closed, so that once the network path has recovered a new link uses it at once instead of
 * waiting for TCP's retransmission.
 */
import net from 'node:net';
import type { Address } from './brands.js';
import { encodeHello, encodeShortHello } from './codec.js';
import { encodeFrame } from './frame.js';
import { createReplyReader, replyKind } from './link-reply.js';
import { splitAddress } from './socket-address.js';

/** Options of all outgoing links of a process. */
export interface OutgoingOptions {
  /** The address at which other processes reach this one, sent in the hello. */
  readonly self: Address;
  /** Timeout of connecting, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** How long a link may have unacknowledged bytes without any progress before it is closed, in milliseconds. */
  readonly stuckTimeoutMs: number;
  readonly connect: (options: net.TcpNetConnectOpts) => net.Socket;
}

/** An outgoing link. */
export interface OutgoingLink {
  readonly socket: net.Socket;
  /** Bytes written. */
  sent: number;
  /** Bytes that the receiver has acknowledged. */
  acknowledged: number;
  stuckTimer: NodeJS.Timeout | undefined;
  /**
   * What was written before the connection was established, for a link that replaces this one; undefined after that.
   */
  retained: Buffer[] | undefined;
}

/**
 * Starts connecting and writes the hello.
 * @param to address of the receiver
 * @param options options of all links
 * @param onClose called when the link has been closed
 */
export function openLink(to: Address, options: OutgoingOptions, onClose: (link: OutgoingLink) => void): OutgoingLink {
  const socket = options.connect({ ...splitAddress(to), noDelay: true });
  const link: OutgoingLink = { socket, sent: 0, acknowledged: 0, stuckTimer: undefined, retained: [] };
  const connectTimer = setTimeout(() => socket.destroy(), options.connectTimeoutMs);
  const readReplies = createReplyReader();
  socket.on('connect', () => {
    clearTimeout(connectTimer);
    link.retained = undefined;
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    clearTimeout(connectTimer);
    clearTimeout(link.stuckTimer);
    onClose(link);
  });
  socket.on('data', (chunk: Buffer) => {
    for (const reply of readReplies(chunk)) {
      if (reply.kind === replyKind.wantSchemas)
        writeAndRetain(link, encodeFrame(encodeHello(options.self)), options.stuckTimeoutMs);
      else acknowledge(link, reply.received, options.stuckTimeoutMs);
    }
  });
  write(link, encodeFrame(encodeShortHello(options.self)), options.stuckTimeoutMs);
  return link;
}

/** Writes bytes, and retains them for a link that replaces this one before the connection is established. */
export function writeAndRetain(link: OutgoingLink, bytes: Buffer, stuckTimeoutMs: number): void {
  link.retained?.push(bytes);
  write(link, bytes, stuckTimeoutMs);
}

function write(link: OutgoingLink, bytes: Buffer, stuckTimeoutMs: number): void {
  link.sent += bytes.length;
  link.socket.write(bytes);
  if (link.stuckTimer === undefined) startStuckTimer(link, stuckTimeoutMs);
}

function acknowledge(link: OutgoingLink, received: number, stuckTimeoutMs: number): void {
  if (received <= link.acknowledged) return;
  link.acknowledged = received;
  clearTimeout(link.stuckTimer);
  link.stuckTimer = undefined;
  if (link.acknowledged < link.sent) startStuckTimer(link, stuckTimeoutMs);
}

function startStuckTimer(link: OutgoingLink, stuckTimeoutMs: number): void {
  link.stuckTimer = setTimeout(() => link.socket.destroy(), stuckTimeoutMs);
  link.stuckTimer.unref();
}
