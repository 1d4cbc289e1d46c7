import avsc from 'avsc';
import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import {
  decoderForOwnSchemas,
  encodeMessage,
  schemaFingerprint,
  encodeHello,
  readHello,
  encodeShortHello,
  type MessageDecoder,
} from './codec.js';

interface Told {
  tansypost: number;
  from: string;
  schemas: { name: string; type: string; fields: { name: string; type: unknown; default?: unknown }[] }[];
}

function decoder(b: Buffer): MessageDecoder | undefined {
  const r = readHello(b);
  if (E.isLeft(r)) throw r.left;
  return r.right.decode;
}

const digest = { kind: 'MarksDigest', from: 'abc', digest: 'def', answer: true, warm: false } as const;

it('reads from a writer that lacks a field, has one more, and knows one kind more', () => {
  const h = JSON.parse(encodeHello('old').toString()) as Told;
  const marks = h.schemas.find((s) => s.name === 'MarksDigest')!;
  marks.fields = marks.fields.filter((f) => f.name !== 'digest');
  marks.fields.push({ name: 'newer', type: 'long' });
  h.schemas.unshift({ name: 'NotYetKnown', type: 'record', fields: [] });
  const old = avsc.Type.forSchema(marks as avsc.Schema);
  const decode = decoder(Buffer.from(JSON.stringify(h)))!;
  const i = h.schemas.indexOf(marks);
  const b = Buffer.concat([Buffer.from([0, i]), old.toBuffer({ from: 'x', newer: 5 })]);
  expect(decode(b)).toEqual(
    E.right({ known: true, message: { kind: 'MarksDigest', from: 'x', digest: '', answer: false, warm: false } }),
  );
  expect(decode(Buffer.from([0, 0]))).toEqual(E.right({ known: false }));
});

it('calls cut or altered bytes bad instead of throwing', () => {
  const d = decoderForOwnSchemas();
  const b = encodeMessage(digest);
  for (let n = 0; n < b.length; n += 1) expect(E.isLeft(d(b.subarray(0, n)))).toBe(true);
  expect(E.isRight(d(b))).toBe(true);
});

it('reads after a short hello of the same schemas, and asks for the whole one of others', () => {
  expect(decoder(encodeShortHello('a'))!(encodeMessage(digest))).toEqual(E.right({ known: true, message: digest }));
  expect(decoder(encodeHello('a'))!(encodeMessage(digest))).toEqual(E.right({ known: true, message: digest }));
  expect(encodeShortHello('a').length).toBeLessThan(100);
  const other = encodeShortHello('a').toString().replace(schemaFingerprint(), '0123456789abcdef');
  expect(decoder(Buffer.from(other))).toBe(undefined);
});

it('refuses a hello of another protocol or with a part missing, and a schema that is none at its first message', () => {
  const h = JSON.parse(encodeHello('a').toString()) as Told;
  for (const bad of [
    { ...h, tansypost: 99 },
    { ...h, from: 1 },
    { ...h, schemas: undefined },
    { ...h, schemas: [{ type: 'record' }] },
  ]) {
    expect(E.isLeft(readHello(Buffer.from(JSON.stringify(bad))))).toBe(true);
  }
  expect(E.isLeft(readHello(Buffer.from('GET /')))).toBe(true);
  const first = [{ name: 'Marks', type: 'no such type' }, ...h.schemas];
  const decode = decoder(Buffer.from(JSON.stringify({ ...h, schemas: first })))!;
  expect(E.isLeft(decode(Buffer.from([0, 0, 0])))).toBe(true);
});
