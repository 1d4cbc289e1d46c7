/**
 * The response to one request as a client must receive it: events numbered from 1 without a gap, made by one run or
 * taken up by a later one. An event consists of a line with its id and a line with its data; a line before these may state
 * the version of the weights. Nothing proves that a worker's bytes are its own, so an event is forwarded only if its form is right and
 * its id follows the last one.
 */
import { createEventStreamParser, type EventVisitor, type ParsedBytes } from './parser.js';
import type { StreamFault } from './stream-fault.js';

/** The streams of all runs of one request, in sequence. */
export interface NumberedStream {
  /** Adds bytes of the current run; returns the events that the client does not have yet. */
  readonly push: (bytes: Buffer) => ParsedBytes;
  /** The current run has ended normally. Returns why it cannot be complete, or undefined. */
  readonly end: () => StreamFault | undefined;
  /** The id of the last event that the client has; 0 if it has none. */
  readonly lastEventId: () => number;
  /** Another run takes over; an event that has not ended is dropped. It may repeat events that the client has. */
  readonly resume: () => void;
  readonly heldBytes: () => number;
}

const weightVersionField = 'x-weight-versions';
const fieldNames = [weightVersionField, 'id', 'data'] as const;
const wholeNumber = /^\d{1,16}$/;

function toWholeNumber(value: Buffer): number | undefined {
  const text = value.toString('latin1');
  const number = Number(text);
  return wholeNumber.test(text) && Number.isSafeInteger(number) ? number : undefined;
}

/** The fields of the event that is being read, and the position in the numbering. */
interface Numbering {
  /** The last event that the client has. */
  lastId: number;
  /** The last event of the current run, which may be one that the client has; undefined before its first one. */
  lastIdOfRun: number | undefined;
  /** Whether the current run has sent an event that the client did not have. */
  hasNewEvent: boolean;
  id: number | undefined;
  hasData: boolean;
}

function readField(numbering: Numbering, name: string, value: Buffer, index: number): StreamFault | undefined {
  if (numbering.hasData) return 'invalid field';
  if (name === 'data') {
    numbering.hasData = true;
    return numbering.id === undefined ? 'event without id' : undefined;
  }
  const number = toWholeNumber(value);
  const isMisplaced = name === weightVersionField ? index > 0 : numbering.id !== undefined;
  if (number === undefined || isMisplaced) return 'invalid field';
  if (name === 'id') numbering.id = number;
  return undefined;
}

/** The first event of a run may be any that the client has, or the one after these; each other one follows the last. */
function isInOrder({ lastId, lastIdOfRun }: Numbering, id: number): boolean {
  if (lastIdOfRun !== undefined) return id === lastIdOfRun + 1;
  return id >= 1 && id <= lastId + 1;
}

function endEvent(numbering: Numbering): StreamFault | 'forward' | 'drop' {
  const { id, hasData } = numbering;
  numbering.id = undefined;
  numbering.hasData = false;
  if (id === undefined) return 'event without id';
  if (!hasData) return 'event without data';
  if (!isInOrder(numbering, id)) return 'id out of order';
  numbering.lastIdOfRun = id;
  if (id <= numbering.lastId) return 'drop';
  numbering.lastId = id;
  numbering.hasNewEvent = true;
  return 'forward';
}

/**
 * A run that has sent nothing new may have ended anywhere, also one that takes up a stream: nothing states how many events
 * there are.
 */
function faultAtEnd({ hasNewEvent }: Numbering): StreamFault | undefined {
  return hasNewEvent ? undefined : 'end before an event';
}

/** The state of a run that has sent nothing. */
const beforeFirstEvent: Omit<Numbering, 'lastId'> = {
  lastIdOfRun: undefined,
  hasNewEvent: false,
  id: undefined,
  hasData: false,
};

/** Creates the stream for a client that has the events up to `lastReceivedId`. */
export function createNumberedStream(lastReceivedId = 0, maxEventBytes?: number): NumberedStream {
  const numbering: Numbering = { lastId: lastReceivedId, ...beforeFirstEvent };
  const visitor: EventVisitor = {
    fieldNames,
    field: (name, value, index) => readField(numbering, name, value, index),
    event: () => endEvent(numbering),
  };
  const parser = createEventStreamParser(visitor, maxEventBytes);
  return {
    push: parser.push,
    end: () => (parser.isInsideEvent() ? 'end inside an event' : faultAtEnd(numbering)),
    lastEventId: () => numbering.lastId,
    resume: () => {
      parser.discard();
      Object.assign(numbering, beforeFirstEvent);
    },
    heldBytes: parser.heldBytes,
  };
}
