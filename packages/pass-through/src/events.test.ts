import { expect, it } from 'vitest';
import { createSseFramer } from './events.js';

const all = Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d\n\n');

it('passes the same bytes on as whole events, however they are cut', () => {
  for (let n = 1; n <= all.length; n += 1) {
    const c = createSseFramer();
    const out: Buffer[] = [];
    for (let i = 0; i < all.length; i += n) {
      const b = c.push(all.subarray(i, i + n));
      if (b.length > 0) expect(b.toString('latin1')).toMatch(/\n\r?\n$/);
      out.push(b);
    }
    expect(Buffer.concat(out)).toEqual(all);
    expect(c.lastEventId()).toBe(4);
    expect(c.remainder().length).toBe(0);
  }
});

it('goes on after a break at any byte with no piece missing and none twice, whatever the second stream repeats', () => {
  const events = all.toString('latin1').split(/(?<=\n\r?\n)/);
  for (let n = 0; n < all.length; n += 1)
    for (const from of [1, 2, 3, 4]) {
      const c = createSseFramer();
      const one = c.push(all.subarray(0, n));
      const last = c.lastEventId() ?? 0;
      c.resume();
      const two = c.push(Buffer.from(events.slice(from - 1).join(''), 'latin1'));
      if (from > last + 1 && last > 0) expect(c.hasGap()).toBe(true);
      else if (from <= last + 1) expect(Buffer.concat([one, two])).toEqual(all);
    }
});
