/**
 * Parses a stream of server-sent events (https://html.spec.whatwg.org/multipage/server-sent-events.html), however its
 * bytes are cut. Stricter than a browser: a line that is no known field is a fault and not a comment, and so is a line
 * that can no longer become one. Lines end with LF or CRLF; an empty line ends an event. Bytes are kept unchanged.
 */
import { isUtf8 } from 'node:buffer';
import { createByteAccumulator, type ByteAccumulator } from '@tansypost/peer-limits';
import type { StreamFault } from './stream-fault.js';

/** Receives the lines of events, and decides what happens to each event. */
export interface EventVisitor {
  /** The names of the fields that an event may have. */
  readonly fieldNames: readonly string[];
  /** One field; `index` is the position of its line in the event. The value is valid only during the call. */
  readonly field: (name: string, value: Buffer, index: number) => StreamFault | undefined;
  /** The end of an event with at least one field. */
  readonly event: () => StreamFault | 'forward' | 'drop';
}

/** What the bytes pushed so far have completed. */
export interface ParsedBytes {
  /** The complete events to be forwarded, unchanged. */
  readonly events: Buffer;
  /** The fault that follows them; the stream must not be parsed any further. */
  readonly fault: StreamFault | undefined;
}

/** The parser of one stream. */
export interface EventStreamParser {
  readonly push: (bytes: Buffer) => ParsedBytes;
  /** Whether an event has begun that has not ended. */
  readonly isInsideEvent: () => boolean;
  /** Bytes of memory held for an event that has not ended. */
  readonly heldBytes: () => number;
  /** Drops an event that has not ended. */
  readonly discard: () => void;
}

/** Events longer than this are a fault, unless the parser is created with another limit. */
export const defaultMaxEventBytes = 256 * 1024;

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const tab = 0x09;
const space = 0x20;
const colon = 0x3a;

function hasControlCharacter(text: Buffer): boolean {
  for (const byte of text) if (byte < space && byte !== tab) return true;
  return false;
}

function isText(value: Buffer): boolean {
  return !hasControlCharacter(value) && isUtf8(value);
}

function withoutLineEnd(line: Buffer): Buffer {
  const end = line.length - 1;
  return line.subarray(0, end > 0 && line[end - 1] === carriageReturn ? end - 1 : end);
}

/** Whether more bytes may turn the beginning of a line into a field or an empty line. */
function mayBecomeLine(beginning: Buffer, fieldNames: readonly string[]): boolean {
  const end = beginning.indexOf(colon);
  const name = beginning.toString('latin1', 0, end < 0 ? beginning.length : end);
  if (end >= 0) return fieldNames.includes(name);
  return name === '\r' || fieldNames.some((fieldName) => fieldName.startsWith(name));
}

/** The event that has not ended. */
interface OpenEvent {
  readonly visitor: EventVisitor;
  readonly maxEventBytes: number;
  /** Its complete lines from earlier pushes, and the beginning of its next line. */
  readonly lines: ByteAccumulator;
  readonly partialLine: ByteAccumulator;
  /** The first bytes of the partial line, enough to tell its field. */
  beginning: Buffer;
  /** How many fields it has. */
  fieldCount: number;
}

function discard(open: OpenEvent): void {
  open.lines.discard();
  open.partialLine.discard();
  open.beginning = Buffer.alloc(0);
  open.fieldCount = 0;
}

function parseField(open: OpenEvent, content: Buffer): StreamFault | undefined {
  const end = content.indexOf(colon);
  const name = content.toString('latin1', 0, Math.max(0, end));
  if (end < 0 || !open.visitor.fieldNames.includes(name)) return 'unknown line';
  const value = content.subarray(content[end + 1] === space ? end + 2 : end + 1);
  if (!isText(value)) return 'invalid text';
  open.fieldCount += 1;
  return open.visitor.field(name, value, open.fieldCount - 1);
}

function endEvent(open: OpenEvent): StreamFault | 'forward' | 'drop' {
  const isEmpty = open.fieldCount === 0;
  open.fieldCount = 0;
  return isEmpty ? 'empty event' : open.visitor.event();
}

/** Holds the beginning of a line, or more of it. */
function holdPartialLine(open: OpenEvent, piece: Buffer): StreamFault | undefined {
  if (piece.length === 0) return undefined;
  const { fieldNames } = open.visitor;
  const missing = 1 + Math.max(...fieldNames.map((name) => name.length)) - open.beginning.length;
  if (missing > 0) open.beginning = Buffer.concat([open.beginning, piece.subarray(0, missing)]);
  open.partialLine.push(piece);
  if (!mayBecomeLine(open.beginning, fieldNames)) return 'unknown line';
  const mayEnd = piece[piece.length - 1] === carriageReturn;
  if (hasControlCharacter(mayEnd ? piece.subarray(0, -1) : piece)) return 'invalid text';
  return open.lines.length() + open.partialLine.length() > open.maxEventBytes ? 'event too long' : undefined;
}

/** The complete line that ends with `ending`, and starts with the partial line if there is one. */
function takeLine(open: OpenEvent, ending: Buffer): Buffer {
  if (open.partialLine.length() === 0) return ending;
  open.beginning = Buffer.alloc(0);
  return Buffer.concat([open.partialLine.take(), ending]);
}

/** The events to be forwarded: parts of `bytes`, which are not copied as long as they follow each other. */
interface ForwardedPieces {
  /** Adds an event: its lines of earlier pushes, and its part of `bytes`. */
  readonly add: (lines: ByteAccumulator, from: number, to: number) => void;
  readonly joined: () => Buffer;
}

function collectPieces(bytes: Buffer): ForwardedPieces {
  const pieces: Buffer[] = [];
  let [start, end] = [0, 0];
  function flush(): void {
    if (end > start) pieces.push(bytes.subarray(start, end));
  }
  return {
    add: (lines, from, to) => {
      if (lines.length() > 0) pieces.push(lines.take());
      if (from !== end) {
        flush();
        start = from;
      }
      end = to;
    },
    joined: () => {
      flush();
      return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces);
    },
  };
}

function push(open: OpenEvent, bytes: Buffer): ParsedBytes {
  const events = collectPieces(bytes);
  /** The first byte of the open event, and that of its next line, as far as they are in `bytes`. */
  let [eventStart, lineStart] = [0, 0];
  for (let at = bytes.indexOf(lineFeed); at >= 0; at = bytes.indexOf(lineFeed, lineStart)) {
    const isContinued = open.partialLine.length() > 0;
    const line = takeLine(open, bytes.subarray(lineStart, at + 1));
    lineStart = at + 1;
    if (isContinued) {
      open.lines.push(line);
      eventStart = lineStart;
    }
    const content = withoutLineEnd(line);
    const outcome = content.length > 0 ? parseField(open, content) : endEvent(open);
    if (outcome === undefined && open.lines.length() + lineStart - eventStart <= open.maxEventBytes) continue;
    if (outcome === 'forward') events.add(open.lines, eventStart, lineStart);
    else if (outcome === 'drop') open.lines.discard();
    else return { events: events.joined(), fault: outcome ?? 'event too long' };
    eventStart = lineStart;
  }
  open.lines.push(bytes.subarray(eventStart, lineStart));
  return { events: events.joined(), fault: holdPartialLine(open, bytes.subarray(lineStart)) };
}

/** Creates a parser at the beginning of a stream. */
export function createEventStreamParser(
  visitor: EventVisitor,
  maxEventBytes: number = defaultMaxEventBytes,
): EventStreamParser {
  const open: OpenEvent = {
    visitor,
    maxEventBytes,
    lines: createByteAccumulator(),
    partialLine: createByteAccumulator(),
    beginning: Buffer.alloc(0),
    fieldCount: 0,
  };
  return {
    push: (bytes) => {
      const parsed = push(open, bytes);
      if (parsed.fault !== undefined) discard(open);
      return parsed;
    },
    isInsideEvent: () => open.fieldCount > 0 || open.partialLine.length() > 0,
    heldBytes: () => open.lines.heldBytes() + open.partialLine.heldBytes(),
    discard: () => discard(open),
  };
}
