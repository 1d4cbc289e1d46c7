/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded and the id of
 * the last one is known. Bytes are forwarded unchanged. A resumed stream may start with events that the client already
 * has; these are dropped.
 */

/** Frames one response, which may consist of several streams in sequence. */
export interface SseFramer {
  /** Adds bytes; returns the complete events that can be forwarded. */
  readonly push: (bytes: Buffer) => Buffer;
  /** The bytes after the last complete event, to be forwarded when the stream has ended normally. */
  readonly remainder: () => Buffer;
  /** The id of the last complete event. */
  readonly lastEventId: () => number | undefined;
  /** A new stream continues after the last event; a buffered partial event is discarded. */
  readonly resume: () => void;
  /** Whether an event came whose id does not follow the last one. */
  readonly hasGap: () => boolean;
}

/** Beyond this, bytes are forwarded unframed: a stream without an event boundary by then is no event stream. */
const maxBufferedBytes = 4 * 1024 * 1024;
const lineFeed = 10;
const carriageReturn = 13;

function endOfEvent(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(lineFeed, from); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    if (bytes[at + 1] === lineFeed) return at + 2;
    if (bytes[at + 1] === carriageReturn && bytes[at + 2] === lineFeed) return at + 3;
  }
  return -1;
}

function idOf(event: Buffer): number | undefined {
  const line = /(?:^|\n)id: ?(\d{1,15})\r?\n/.exec(event.toString('latin1'));
  return line === null ? undefined : Number(line[1]);
}

/** Creates a framer for a client that has the events up to `lastReceivedId`. */
export function createSseFramer(lastReceivedId?: number): SseFramer {
  let buffered: Buffer = Buffer.alloc(0);
  let lastId = lastReceivedId;
  let resumed = false;
  let gap = false;

  /** Whether the event is forwarded: the client does not have it, and no gap precedes it. */
  function shouldForward(id: number | undefined): boolean {
    if (resumed && id !== undefined && lastId !== undefined) {
      if (id <= lastId) return false;
      if (id > lastId + 1) gap = true;
    }
    resumed = false;
    return !gap;
  }

  function push(bytes: Buffer): Buffer {
    buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
    const completeEvents: Buffer[] = [];
    let offset = 0;
    for (let end = endOfEvent(buffered, offset); end >= 0 && !gap; end = endOfEvent(buffered, offset)) {
      const event = buffered.subarray(offset, end);
      const id = idOf(event);
      offset = end;
      if (!shouldForward(id)) continue;
      if (id !== undefined) lastId = id;
      completeEvents.push(event);
    }
    buffered = buffered.subarray(offset);
    if (buffered.length > maxBufferedBytes) {
      completeEvents.push(buffered);
      buffered = Buffer.alloc(0);
    }
    return completeEvents.length === 1 ? completeEvents[0]! : Buffer.concat(completeEvents);
  }

  return {
    push,
    remainder: () => buffered,
    lastEventId: () => lastId,
    resume: () => {
      buffered = Buffer.alloc(0);
      resumed = true;
    },
    hasGap: () => gap,
  };
}
