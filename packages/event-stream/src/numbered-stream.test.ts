/** Numbered streams: sound ones of one or two runs, and ones with bytes that no run made. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createNumberedStream, type NumberedStream } from './numbered-stream.js';

const seed = 51;

interface EventShape {
  readonly text: string;
  readonly lineEnd: string;
  readonly weightVersion: number | undefined;
}
const eventShape: fc.Arbitrary<EventShape> = fc.record({
  text: fc.stringMatching(/^[ -~]{0,20}$/),
  lineEnd: fc.constantFrom('\n', '\r\n'),
  weightVersion: fc.option(fc.nat(), { nil: undefined }),
});

/** The events of a run from `firstId` on. */
function eventsOf(shapes: readonly EventShape[], firstId = 1): string[] {
  return shapes.map(({ text, lineEnd, weightVersion }, index) => {
    const versionLine = weightVersion === undefined ? '' : `x-weight-versions: ${weightVersion}${lineEnd}`;
    return `${versionLine}id: ${firstId + index}${lineEnd}data: ${text}${lineEnd}${lineEnd}`;
  });
}

const lengths = fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1, maxLength: 8 });
const shapes = fc.array(eventShape, { minLength: 1, maxLength: 6 });

/** Pushes the bytes in pieces until a fault. */
function pushAll(stream: NumberedStream, text: string, cuts: readonly number[] = [7]): [string, string | undefined] {
  const bytes = Buffer.from(text, 'latin1');
  let forwarded = '';
  for (let at = 0, turn = 0; at < bytes.length; turn += 1) {
    const end = at + cuts[turn % cuts.length]!;
    const { events, fault } = stream.push(bytes.subarray(at, end));
    forwarded += events.toString('latin1');
    if (fault !== undefined) return [forwarded, fault];
    at = end;
  }
  return [forwarded, undefined];
}

it('forwards a sound stream unchanged and takes its end for complete, wherever it is cut', () => {
  fc.assert(
    fc.property(shapes, lengths, (events, cuts) => {
      const stream = createNumberedStream();
      const text = eventsOf(events).join('');
      expect(pushAll(stream, text, cuts)).toEqual([text, undefined]);
      expect(stream.end()).toBeUndefined();
      expect(stream.lastEventId()).toBe(events.length);
    }),
    { seed, numRuns: 1000 },
  );
});

it('takes no stream for complete that ends elsewhere than after an event', () => {
  const text = eventsOf([...'abcd'].map((letter) => ({ text: letter, lineEnd: '\n', weightVersion: undefined })));
  const ends = text.map((_, index) => text.slice(0, index + 1).join('').length);
  for (let length = 0; length <= text.join('').length; length += 1) {
    const stream = createNumberedStream();
    pushAll(stream, text.join('').slice(0, length));
    expect([length, stream.end() === undefined]).toEqual([length, ends.includes(length)]);
  }
});

const foreignText = fc.oneof(
  fc.uint8Array({ minLength: 1, maxLength: 40 }).map((bytes) => Buffer.from(bytes).toString('latin1')),
  fc.constantFrom(
    '%%%%\n\n',
    '\n',
    ': comment\n\n',
    'data: x\n',
    'data: x\n\n',
    'id: 1\n\n',
    'id: x\ndata: x\n\n',
    'id: -1\ndata: x\n\n',
    'id: 1e3\ndata: x\n\n',
    'id: 99\ndata: x\n\n',
    'event: x\nid: 1\ndata: x\n\n',
    'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi',
    '0\r\n\r\n',
  ),
);

it('ORDER: forwards nothing from the first foreign byte on, and never takes the stream for complete', () => {
  fc.assert(
    fc.property(shapes, fc.nat(), foreignText, lengths, (events, position, foreign, cuts) => {
      const texts = eventsOf(events);
      const before = texts.slice(0, position % (texts.length + 1));
      const stream = createNumberedStream();
      const [forwarded, fault] = pushAll(stream, before.join('') + foreign + texts.slice(before.length).join(''), cuts);
      expect(forwarded).toBe(before.join(''));
      expect(fault ?? stream.end()).toBeDefined();
    }),
    { seed, numRuns: 3000 },
  );
});

it('ORDER: forwards nothing from an event on that is missing, comes twice or comes too early', () => {
  fc.assert(
    fc.property(fc.array(eventShape, { minLength: 3, maxLength: 6 }), fc.nat(), lengths, (events, position, cuts) => {
      const texts = eventsOf(events);
      const at = 1 + (position % (texts.length - 2));
      const without = [...texts.slice(0, at), ...texts.slice(at + 1)];
      const twice = [...texts.slice(0, at + 1), ...texts.slice(at)];
      for (const [streamTexts, sound] of [
        [without, texts.slice(0, at)],
        [twice, texts.slice(0, at + 1)],
      ] as const) {
        const [forwarded, fault] = pushAll(createNumberedStream(), streamTexts.join(''), cuts);
        expect(forwarded).toBe(sound.join(''));
        expect(fault).toBe('id out of order');
      }
    }),
    { seed, numRuns: 500 },
  );
});

it('joins the runs of one stream without a missing event or one that comes twice, wherever the first breaks', () => {
  fc.assert(
    fc.property(shapes, fc.nat(), fc.nat(), lengths, (events, breakAt, start, cuts) => {
      const texts = eventsOf(events);
      const whole = texts.join('');
      const stream = createNumberedStream();
      const [first] = pushAll(stream, whole.slice(0, breakAt % whole.length), cuts);
      const firstId = 1 + (start % (stream.lastEventId() + 1));
      stream.resume();
      const [second, fault] = pushAll(stream, texts.slice(firstId - 1).join(''), cuts);
      expect(fault).toBeUndefined();
      expect(stream.end()).toBeUndefined();
      expect(first + second).toBe(whole);
    }),
    { seed, numRuns: 1000 },
  );
});

it('rejects a later run that skips an event or ends before the ones that the client has', () => {
  const texts = eventsOf([...'abcdef'].map((letter) => ({ text: letter, lineEnd: '\n', weightVersion: undefined })));
  const skipping = createNumberedStream(2);
  expect(pushAll(skipping, texts[3]!)).toEqual(['', 'id out of order']);
  const short = createNumberedStream(4);
  expect(pushAll(short, texts.slice(0, 2).join(''))).toEqual(['', undefined]);
  expect(short.end()).toBe('end before an event');
  const repeating = createNumberedStream(4);
  expect(pushAll(repeating, texts[3]!)).toEqual(['', undefined]);
  expect(repeating.end()).toBe('end before an event');
  expect(createNumberedStream(4).end()).toBe('end before an event');
  expect(createNumberedStream().end()).toBe('end before an event');
});
