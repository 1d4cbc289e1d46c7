/**
 * The receiving side of one link: reads the hello, requests the sender's schemas if they differ from its own, and
 * decodes messages. A frame that can't be decoded closes the link.
 */
import type net from 'node:net';
import type { GuardedSocket } from '@tansypost/peer-limits';
import * as E from 'fp-ts/lib/Either.js';
import type { Address } from './brands.js';
import { decodeHello, type MessageDecoder } from './codec.js';
import { BadFrameError } from './errors.js';
import { createFrameDecoder, maxFrameBytes } from './frame.js';
import { encodeReply, replyKind } from './link-reply.js';
import type { Message } from './messages.js';

/** Callbacks of an incoming link. */
export interface IncomingHandlers {
  /** A hello with the sender's address has been read. */
  readonly onHello: (from: Address) => void;
  readonly onMessage: (message: Message, from: Address) => void;
  /** The link is closed because of an invalid frame. */
  readonly onError: (from: string, error: Error) => void;
}

/** Interval of acknowledgements; well below the time after which a sender closes a link without progress. */
const acknowledgeIntervalMs = 1000;
/** The longest hello; one with all schemas takes some 20 KB. */
const maxHelloBytes = 256 * 1024;
/** Frames that wait for the sender's schemas, in bytes; a sender that goes on without sending them is closed. */
const maxUndecodedBytes = 4 * 1024 * 1024;
/** A frame that waits takes about this much beside its bytes. */
const bytesPerWaitingFrame = 200;
/** `{`, the first byte of a hello, which is JSON. No message starts with it while there are fewer than 0x7b00 kinds. */
const helloFirstByte = 0x7b;

interface IncomingLink {
  readonly socket: net.Socket;
  readonly handlers: IncomingHandlers;
  from: Address | undefined;
  decode: MessageDecoder | undefined;
  /** Frames that arrived before the requested schemas. */
  undecoded: Buffer[];
  undecodedBytes: number;
  received: number;
  acknowledgeTimer: NodeJS.Timeout | undefined;
}

/** Reads a socket until it is closed; what waits on it is reported to its guard. */
export function readIncoming(
  socket: net.Socket,
  handlers: IncomingHandlers,
  guarded: GuardedSocket | undefined = undefined,
): void {
  const link: IncomingLink = {
    socket,
    handlers,
    from: undefined,
    decode: undefined,
    undecoded: [],
    undecodedBytes: 0,
    received: 0,
    acknowledgeTimer: undefined,
  };
  const frameDecoder = createFrameDecoder(maxFrameBytes, maxHelloBytes);
  guarded?.enter('head');
  socket.on('close', () => {
    clearTimeout(link.acknowledgeTimer);
    frameDecoder.discard();
    link.undecoded = [];
  });
  socket.on('data', (chunk: Buffer) => {
    link.received += chunk.length;
    link.acknowledgeTimer ??= setTimeout(() => {
      link.acknowledgeTimer = undefined;
      socket.write(encodeReply(replyKind.received, link.received));
    }, acknowledgeIntervalMs);
    const frames = frameDecoder.push(chunk);
    if (E.isLeft(frames)) return void fail(link, frames.left);
    const isSound = frames.right.every((body) => handleFrame(link, body));
    if (!isSound || guarded === undefined) return;
    const waiting = frameDecoder.heldBytes() + link.undecodedBytes;
    if (frames.right.length > 0) guarded.enter('idle');
    if (link.decode !== undefined) guarded.markServed();
    if (waiting > 0 && guarded.phase() === 'idle') guarded.enter('body');
    guarded.report(waiting, chunk.length);
  });
}

/** This and the functions below return false once the link has failed, so that nothing more is read from it. */
function handleFrame(link: IncomingLink, body: Buffer): boolean {
  if (link.from === undefined) return handleHello(link, body);
  if (link.decode !== undefined) return handleMessage(link, link.from, link.decode, body);
  if (body[0] !== helloFirstByte) return keepUndecoded(link, body);
  if (!handleHello(link, body)) return false;
  const undecoded = link.undecoded;
  link.undecoded = [];
  link.undecodedBytes = 0;
  return undecoded.every((waiting) => handleFrame(link, waiting));
}

/** Copied, as the frame is part of a read buffer that may be much larger. */
function keepUndecoded(link: IncomingLink, body: Buffer): boolean {
  link.undecodedBytes += body.length + bytesPerWaitingFrame;
  if (link.undecodedBytes > maxUndecodedBytes) return fail(link, schemasMissingError());
  link.undecoded.push(Buffer.from(body));
  return true;
}

function schemasMissingError(): Error {
  return new BadFrameError(
    `More than ${maxUndecodedBytes} bytes of messages came before the schemas that were requested; closing the link. Check that the peer is a tansypost process.`,
  );
}

function longHelloError(): Error {
  return new BadFrameError(`A hello has more than ${maxHelloBytes} bytes; check that the peer is a tansypost process.`);
}

function handleHello(link: IncomingLink, body: Buffer): boolean {
  if (body.length > maxHelloBytes) return fail(link, longHelloError());
  const hello = decodeHello(body);
  if (E.isLeft(hello)) return fail(link, hello.left);
  link.from = hello.right.from as Address;
  link.handlers.onHello(link.from);
  link.decode = hello.right.decode;
  if (link.decode === undefined) link.socket.write(encodeReply(replyKind.wantSchemas, link.received));
  return true;
}

function handleMessage(link: IncomingLink, from: Address, decode: MessageDecoder, body: Buffer): boolean {
  const decoded = decode(body);
  if (E.isLeft(decoded)) return fail(link, decoded.left);
  if (decoded.right.known) link.handlers.onMessage(decoded.right.message, from);
  return true;
}

function fail(link: IncomingLink, error: Error): false {
  link.handlers.onError(link.from ?? link.socket.remoteAddress ?? '?', error);
  link.socket.destroy();
  return false;
}
