/** Hellos and messages from senders with other schemas, and invalid bytes. */
import avsc from 'avsc';
import * as E from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';
import {
  decoderForOwnSchemas,
  encodeHello,
  encodeMessage,
  encodeShortHello,
  decodeHello,
  schemaFingerprint,
  type MessageDecoder,
} from './codec.js';

interface FullHello {
  tansypost: number;
  from: string;
  schemas: { name: string; type: string; fields: { name: string; type: unknown; default?: unknown }[] }[];
}

function decoderFrom(hello: Buffer): MessageDecoder | undefined {
  const decoded = decodeHello(hello);
  if (E.isLeft(decoded)) throw decoded.left;
  return decoded.right.decode;
}

const digest = { kind: 'MarksDigest', from: 'abc', digest: 'def', answer: true, warm: false } as const;

it('decodes messages from a sender that lacks a field, has an additional field and an additional kind', () => {
  const hello = JSON.parse(encodeHello('old').toString()) as FullHello;
  const schema = hello.schemas.find((candidate) => candidate.name === 'MarksDigest')!;
  schema.fields = schema.fields.filter((field) => field.name !== 'digest');
  schema.fields.push({ name: 'newer', type: 'long' });
  hello.schemas.unshift({ name: 'NotYetKnown', type: 'record', fields: [] });
  const senderType = avsc.Type.forSchema(schema as avsc.Schema);
  const decode = decoderFrom(Buffer.from(JSON.stringify(hello)))!;
  const index = hello.schemas.indexOf(schema);
  const body = Buffer.concat([Buffer.from([0, index]), senderType.toBuffer({ from: 'x', newer: 5 })]);
  expect(decode(body)).toEqual(
    E.right({ known: true, message: { kind: 'MarksDigest', from: 'x', digest: '', answer: false, warm: false } }),
  );
  expect(decode(Buffer.from([0, 0]))).toEqual(E.right({ known: false }));
});

it('returns an error for truncated bytes instead of throwing', () => {
  const decode = decoderForOwnSchemas();
  const body = encodeMessage(digest);
  for (let length = 0; length < body.length; length += 1) expect(E.isLeft(decode(body.subarray(0, length)))).toBe(true);
  expect(E.isRight(decode(body))).toBe(true);
});

it('decodes after a short hello with the same schemas, and needs the full hello for other schemas', () => {
  expect(decoderFrom(encodeShortHello('a'))!(encodeMessage(digest))).toEqual(E.right({ known: true, message: digest }));
  expect(decoderFrom(encodeHello('a'))!(encodeMessage(digest))).toEqual(E.right({ known: true, message: digest }));
  expect(encodeShortHello('a').length).toBeLessThan(100);
  const other = encodeShortHello('a').toString().replace(schemaFingerprint(), '0123456789abcdef');
  expect(decoderFrom(Buffer.from(other))).toBe(undefined);
});

it('rejects a hello of another protocol version or with a part missing, and an invalid schema at its first message', () => {
  const hello = JSON.parse(encodeHello('a').toString()) as FullHello;
  for (const invalid of [
    { ...hello, tansypost: 99 },
    { ...hello, from: 1 },
    { ...hello, schemas: undefined },
    { ...hello, schemas: [{ type: 'record' }] },
  ]) {
    expect(E.isLeft(decodeHello(Buffer.from(JSON.stringify(invalid))))).toBe(true);
  }
  expect(E.isLeft(decodeHello(Buffer.from('GET /')))).toBe(true);
  const schemas = [{ name: 'Marks', type: 'no such type' }, ...hello.schemas];
  const decode = decoderFrom(Buffer.from(JSON.stringify({ ...hello, schemas })))!;
  expect(E.isLeft(decode(Buffer.from([0, 0, 0])))).toBe(true);
});
