/** The parser on streams of any bytes, cut anywhere. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createEventStreamParser, type EventVisitor } from './parser.js';

const seed = 51;

function collectData(): { readonly data: string[]; readonly visitor: EventVisitor } {
  const data: string[] = [];
  const visitor: EventVisitor = {
    fieldNames: ['id', 'data'],
    field: (name, value) => {
      if (name === 'data') data.push(value.toString());
      return undefined;
    },
    event: () => 'forward',
  };
  return { data, visitor };
}

interface Parsed {
  readonly events: string;
  readonly isSound: boolean;
  readonly data: readonly string[];
}

/** Pushes the bytes in pieces of the given lengths, in turn, until a fault. */
function parse(bytes: Buffer, lengths: readonly number[], maxEventBytes?: number): Parsed {
  const { data, visitor } = collectData();
  const parser = createEventStreamParser(visitor, maxEventBytes);
  let events = '';
  for (let at = 0, turn = 0; at < bytes.length; turn += 1) {
    const end = at + lengths[turn % lengths.length]!;
    const parsed = parser.push(bytes.subarray(at, end));
    events += parsed.events.toString('latin1');
    if (parsed.fault !== undefined) return { events, isSound: false, data };
    at = end;
  }
  return { events, isSound: !parser.isInsideEvent(), data };
}

const lengths = fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1, maxLength: 8 });
const nearlyLines = fc.constantFrom(
  'id: 1',
  'data: a',
  'data:',
  'id',
  ': x',
  '\n',
  '\r\n',
  '\r',
  'data: \u0007',
  '\u00ff',
);
const anyBytes = fc.oneof(
  fc.uint8Array({ maxLength: 60 }).map((bytes) => Buffer.from(bytes)),
  fc.array(nearlyLines, { maxLength: 12 }).map((parts) => Buffer.from(parts.join(''), 'latin1')),
);

it('finds the same events and faults wherever the bytes are cut', () => {
  fc.assert(
    fc.property(anyBytes, lengths, (bytes, cuts) => {
      const whole = parse(bytes, [Math.max(1, bytes.length)]);
      const inPieces = parse(bytes, cuts);
      expect(inPieces.events).toBe(whole.events);
      expect(inPieces.isSound).toBe(whole.isSound);
    }),
    { seed, numRuns: 3000 },
  );
});

it('forwards the bytes of sound events unchanged, and the values of their fields', () => {
  const line = fc.string({ maxLength: 20, unit: 'grapheme' }).map((text) => text.replace(/[\u0000-\u001f]/g, ''));
  const lineEnd = fc.constantFrom('\n', '\r\n');
  const event = fc.tuple(line, lineEnd, lineEnd);
  fc.assert(
    fc.property(fc.array(event, { maxLength: 6 }), lengths, (events, cuts) => {
      const bytes = Buffer.from(events.map(([text, end, blankEnd]) => `data: ${text}${end}${blankEnd}`).join(''));
      const parsed = parse(bytes, cuts);
      expect(parsed.isSound).toBe(true);
      expect(parsed.events).toBe(bytes.toString('latin1'));
      expect(parsed.data).toEqual(events.map(([text]) => text));
    }),
    { seed, numRuns: 1000 },
  );
});

it('reports a line that can no longer become a field before it ends', () => {
  for (const [bytes, fault] of [
    ['x', 'unknown line'],
    ['HTTP/1.1 200', 'unknown line'],
    ['datax', 'unknown line'],
    [': comment', 'unknown line'],
    ['data: a\u0000', 'invalid text'],
    ['data: a\r\rb', 'invalid text'],
  ] as const) {
    const parser = createEventStreamParser(collectData().visitor);
    expect([bytes, parser.push(Buffer.from(bytes, 'latin1')).fault]).toEqual([bytes, fault]);
  }
});

it('accepts the beginning of any field', () => {
  for (const bytes of ['', 'd', 'data', 'data:', 'data: x', 'i', 'id: 4', '\r']) {
    const parser = createEventStreamParser(collectData().visitor);
    expect(parser.push(Buffer.from(bytes))).toEqual({ events: Buffer.alloc(0), fault: undefined });
    expect(parser.isInsideEvent()).toBe(bytes !== '');
  }
});

it('rejects empty events and text that is not UTF-8', () => {
  for (const bytes of ['\n', 'data: a\n\n\n', 'data: \u00ff\n\n'])
    expect(parse(Buffer.from(bytes, 'latin1'), [100]).isSound).toBe(false);
});

it('holds no more than an event of the longest allowed length, in lines of any length', () => {
  const maxEventBytes = 4096;
  const maxHeldBytes = 4 * maxEventBytes;
  for (const piece of ['x', 'x'.repeat(1000), 'data: a\n']) {
    const parser = createEventStreamParser(collectData().visitor, maxEventBytes);
    let fault = parser.push(Buffer.from('data: ')).fault;
    for (let pushed = 0; fault === undefined; pushed += piece.length) {
      fault = parser.push(Buffer.from(piece)).fault;
      expect(parser.heldBytes()).toBeLessThan(maxHeldBytes);
      expect(pushed).toBeLessThanOrEqual(maxEventBytes);
    }
    expect(fault).toBe('event too long');
    expect(parser.heldBytes()).toBe(0);
  }
});
