// Cuts a stream of server-sent events at its events, so that only whole ones are passed on and the id of the last
// one is known. Bytes are passed on unchanged. A stream that is taken up may begin with events that the requester
// has; these are left out.

export interface EventCutter {
  // The whole events that can be passed on, and how many there are.
  readonly push: (b: Buffer) => Buffer;
  // What is left when the stream has ended properly.
  readonly rest: () => Buffer;
  readonly last: () => number | undefined;
  // A new stream goes on after the last event; a part of an event that was held is forgotten.
  readonly again: () => void;
  // An event came whose id does not follow the last one.
  readonly gap: () => boolean;
}

const limit = 4 * 1024 * 1024;

function endOfEvent(b: Buffer, from: number): number {
  for (let i = b.indexOf(10, from); i >= 0; i = b.indexOf(10, i + 1)) {
    if (b[i + 1] === 10) return i + 2;
    if (b[i + 1] === 13 && b[i + 2] === 10) return i + 3;
  }
  return -1;
}

function idOf(event: Buffer): number | undefined {
  const m = /(?:^|\n)id: ?(\d+)\r?\n/.exec(event.toString('latin1'));
  return m === null ? undefined : Number(m[1]);
}

export function createEventCutter(after?: number): EventCutter {
  let held: Buffer = Buffer.alloc(0);
  let last = after;
  let resumed = false;
  let gap = false;

  function push(b: Buffer): Buffer {
    held = held.length === 0 ? b : Buffer.concat([held, b]);
    const out: Buffer[] = [];
    let at = 0;
    for (let end = endOfEvent(held, at); end >= 0; end = endOfEvent(held, at)) {
      const e = held.subarray(at, end);
      const id = idOf(e);
      at = end;
      if (resumed && id !== undefined && last !== undefined) {
        if (id <= last) continue;
        if (id > last + 1) gap = true;
      }
      resumed = false;
      if (gap) break;
      if (id !== undefined) last = id;
      out.push(e);
    }
    held = held.subarray(at);
    if (held.length > limit) {
      out.push(held);
      held = Buffer.alloc(0);
    }
    return out.length === 1 ? out[0]! : Buffer.concat(out);
  }
  return {
    push,
    rest: () => held,
    last: () => last,
    again: () => {
      held = Buffer.alloc(0);
      resumed = true;
    },
    gap: () => gap,
  };
}
