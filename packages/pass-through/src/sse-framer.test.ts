/** Framing of event streams, however their bytes are split and wherever a stream breaks and resumes. */
import { expect, it } from 'vitest';
import { createSseFramer } from './sse-framer.js';

const stream = Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d\n\n');

it('forwards the same bytes as complete events, however they are split', () => {
  for (let size = 1; size <= stream.length; size += 1) {
    const framer = createSseFramer();
    const forwarded: Buffer[] = [];
    for (let i = 0; i < stream.length; i += size) {
      const events = framer.push(stream.subarray(i, i + size));
      if (events.length > 0) expect(events.toString('latin1')).toMatch(/\n\r?\n$/);
      forwarded.push(events);
    }
    expect(Buffer.concat(forwarded)).toEqual(stream);
    expect(framer.lastEventId()).toBe(4);
    expect(framer.remainder().length).toBe(0);
  }
});

it('resumes after a break at any byte without lost or duplicate events, whatever the second stream repeats', () => {
  const events = stream.toString('latin1').split(/(?<=\n\r?\n)/);
  for (let size = 0; size < stream.length; size += 1)
    for (const firstId of [1, 2, 3, 4]) {
      const framer = createSseFramer();
      const first = framer.push(stream.subarray(0, size));
      const lastId = framer.lastEventId() ?? 0;
      framer.resume();
      const second = framer.push(Buffer.from(events.slice(firstId - 1).join(''), 'latin1'));
      if (firstId > lastId + 1 && lastId > 0) expect(framer.hasGap()).toBe(true);
      else if (firstId <= lastId + 1) expect(Buffer.concat([first, second])).toEqual(stream);
    }
});
