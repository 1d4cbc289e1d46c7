/**
 * The receiving side of one link: reads the hello, asks for the sender's schemas where they differ from its own, and
 * decodes messages. A frame that can't be read ends the link.
 */
import type net from 'node:net';
import * as E from 'fp-ts/lib/Either.js';
import type { Address } from './brands.js';
import { readHello, type MessageDecoder } from './codec.js';
import { createFrameDecoder } from './frame.js';
import { encodeReply, replyKind } from './link-reply.js';
import type { Message } from './messages.js';

/** Who hears of what comes in. */
export interface IncomingHandlers {
  /** A sender has said who it is. */
  readonly greeted: (from: Address) => void;
  readonly receive: (message: Message, from: Address) => void;
  /** The link is ended because of a bad frame. */
  readonly failed: (from: string, error: Error) => void;
}

/** How often the receiver says how much has reached it: well within the time after which a sender takes a link for stuck. */
const replyEveryMs = 1000;
/** The first byte of a hello, which is JSON; no message begins with it as long as there are fewer than 0x7b00 kinds. */
const helloFirstByte = 0x7b;

interface IncomingLink {
  readonly socket: net.Socket;
  readonly handlers: IncomingHandlers;
  from: Address | undefined;
  decode: MessageDecoder | undefined;
  /** What came before the schemas that were asked for. */
  early: Buffer[];
  received: number;
  replyTimer: NodeJS.Timeout | undefined;
}

/** Reads a socket to its end. */
export function readIncoming(socket: net.Socket, handlers: IncomingHandlers): void {
  const link: IncomingLink = {
    socket,
    handlers,
    from: undefined,
    decode: undefined,
    early: [],
    received: 0,
    replyTimer: undefined,
  };
  const unframer = createFrameDecoder();
  socket.on('close', () => clearTimeout(link.replyTimer));
  socket.on('data', (chunk: Buffer) => {
    link.received += chunk.length;
    link.replyTimer ??= setTimeout(() => {
      link.replyTimer = undefined;
      socket.write(encodeReply(replyKind.received, link.received));
    }, replyEveryMs);
    const frames = unframer.push(chunk);
    if (E.isLeft(frames)) return void fail(link, frames.left);
    frames.right.every((body) => takeFrame(link, body));
  });
}

/** All functions below give false when the link has failed and nothing more is to be read from it. */
function takeFrame(link: IncomingLink, body: Buffer): boolean {
  if (link.from === undefined) return takeHello(link, body);
  if (link.decode !== undefined) return takeMessage(link, link.from, link.decode, body);
  if (body[0] !== helloFirstByte) {
    link.early.push(body);
    return true;
  }
  if (!takeHello(link, body)) return false;
  const early = link.early;
  link.early = [];
  return early.every((waiting) => takeFrame(link, waiting));
}

function takeHello(link: IncomingLink, body: Buffer): boolean {
  const read = readHello(body);
  if (E.isLeft(read)) return fail(link, read.left);
  link.from = read.right.from as Address;
  link.handlers.greeted(link.from);
  link.decode = read.right.decode;
  if (link.decode === undefined) link.socket.write(encodeReply(replyKind.wantSchemas, link.received));
  return true;
}

function takeMessage(link: IncomingLink, from: Address, decode: MessageDecoder, body: Buffer): boolean {
  const decoded = decode(body);
  if (E.isLeft(decoded)) return fail(link, decoded.left);
  if (decoded.right.known) link.handlers.receive(decoded.right.message, from);
  return true;
}

function fail(link: IncomingLink, error: Error): false {
  link.handlers.failed(link.from ?? link.socket.remoteAddress ?? '?', error);
  link.socket.destroy();
  return false;
}
