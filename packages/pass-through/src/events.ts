/**
 * Cuts a stream of server-sent events at its events, so that only whole ones are passed on and the id of the last one is
 * known. Bytes are passed on unchanged. A stream that is taken up may begin with events that the requester has; these
 * are left out.
 */

/** Cuts one answer, which may consist of several streams one after the other. */
export interface SseFramer {
  /** The whole events that can be passed on. */
  readonly push: (bytes: Buffer) => Buffer;
  /** What is left when the stream has ended properly. */
  readonly remainder: () => Buffer;
  /** The id of the last whole event. */
  readonly lastEventId: () => number | undefined;
  /** A new stream goes on after the last event; a part of an event that was held is forgotten. */
  readonly resume: () => void;
  /** An event came whose id does not follow the last one. */
  readonly hasGap: () => boolean;
}

/** More than this is not held: what has no end of an event by then is no stream of events. */
const mostHeld = 4 * 1024 * 1024;
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
  const line = /(?:^|\n)id: ?(\d+)\r?\n/.exec(event.toString('latin1'));
  return line === null ? undefined : Number(line[1]);
}

/** A cutter for a requester that has the events up to `after`. */
export function createSseFramer(after?: number): SseFramer {
  let held: Buffer = Buffer.alloc(0);
  let last = after;
  let resumed = false;
  let gap = false;

  /** Whether the event is to be passed on: it is neither known to the requester nor behind a gap. */
  function isNext(id: number | undefined): boolean {
    if (resumed && id !== undefined && last !== undefined) {
      if (id <= last) return false;
      if (id > last + 1) gap = true;
    }
    resumed = false;
    return !gap;
  }

  function push(bytes: Buffer): Buffer {
    held = held.length === 0 ? bytes : Buffer.concat([held, bytes]);
    const whole: Buffer[] = [];
    let at = 0;
    for (let end = endOfEvent(held, at); end >= 0 && !gap; end = endOfEvent(held, at)) {
      const event = held.subarray(at, end);
      const id = idOf(event);
      at = end;
      if (!isNext(id)) continue;
      if (id !== undefined) last = id;
      whole.push(event);
    }
    held = held.subarray(at);
    if (held.length > mostHeld) {
      whole.push(held);
      held = Buffer.alloc(0);
    }
    return whole.length === 1 ? whole[0]! : Buffer.concat(whole);
  }

  return {
    push,
    remainder: () => held,
    lastEventId: () => last,
    resume: () => {
      held = Buffer.alloc(0);
      resumed = true;
    },
    hasGap: () => gap,
  };
}
