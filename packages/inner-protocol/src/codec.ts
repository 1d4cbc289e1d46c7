// Turns messages into bytes and back. A link opens with a hello that carries the sender's schemas,
// so that a reader of another version resolves them (fields gained take their default, fields lost
// are dropped, kinds it does not know are counted and passed over).
import avsc from 'avsc';
import * as E from 'fp-ts/lib/Either.js';
import { BadFrame } from './errors.js';
import { shapes, type Kind, type Message } from './messages.js';
import { toSchema } from './shape.js';

export const protocolVersion = 1;
export const kinds = Object.keys(shapes) as Kind[];
const types = new Map(kinds.map((k) => [k, avsc.Type.forSchema(toSchema(k, shapes[k]))]));

export interface Hello {
  readonly tansypost: number;
  readonly from: string;
  readonly schemas: readonly avsc.Schema[];
}

export type Decoded = { readonly known: true; readonly message: Message } | { readonly known: false };
export type Decode = (b: Buffer) => E.Either<Error, Decoded>;

export function hello(from: string): Buffer {
  const h: Hello = { tansypost: protocolVersion, from, schemas: kinds.map((k) => toSchema(k, shapes[k])) };
  return Buffer.from(JSON.stringify(h));
}

export function encode(m: Message): Buffer {
  const body = types.get(m.kind)!.toBuffer(m);
  const out = Buffer.allocUnsafe(body.length + 2);
  out.writeUInt16BE(kinds.indexOf(m.kind), 0);
  body.copy(out, 2);
  return out;
}

export function readHello(b: Buffer): E.Either<Error, { from: string; decode: Decode }> {
  return E.tryCatch(
    () => {
      const h = JSON.parse(b.toString()) as Hello;
      if (h.tansypost !== protocolVersion) {
        throw new BadFrame(
          `The other side speaks protocol ${h.tansypost}, this one ${protocolVersion}; bring both to releases that share one.`,
        );
      }
      if (typeof h.from !== 'string' || !Array.isArray(h.schemas)) {
        throw new BadFrame('The hello lacks from or schemas; point the link at a tansypost process.');
      }
      const readers = h.schemas.map(readerFor);
      return { from: h.from, decode: (x: Buffer) => decodeWith(readers, x) };
    },
    (e) => (e instanceof Error ? e : new BadFrame(String(e))),
  );
}

type Reader = { kind: Kind; read: (b: Buffer) => unknown } | undefined;

function readerFor(s: avsc.Schema): Reader {
  const w = avsc.Type.forSchema(s);
  const k = w.name as Kind;
  const t = types.get(k);
  if (t === undefined) return undefined;
  const r = t.createResolver(w);
  return { kind: k, read: (b) => t.fromBuffer(b, r) };
}

function decodeWith(rs: readonly Reader[], b: Buffer): E.Either<Error, Decoded> {
  return E.tryCatch(
    () => {
      if (b.length < 2) throw new BadFrame('A frame is shorter than its kind; the link is closed and opened anew.');
      const i = b.readUInt16BE(0);
      if (i >= rs.length)
        throw new BadFrame(`Kind ${i} is not in the sender's hello; the link is closed and opened anew.`);
      const r = rs[i];
      if (r === undefined) return { known: false } as const;
      const body = r.read(b.subarray(2)) as object;
      return { known: true, message: { ...body, kind: r.kind } as unknown as Message } as const;
    },
    (e) => (e instanceof Error ? e : new BadFrame(String(e))),
  );
}

export function decoderForSelf(): Decode {
  const h = readHello(hello('self'));
  if (E.isLeft(h)) throw h.left;
  return h.right.decode;
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('reads from a writer that lacks a field, has one more, and knows one kind more', () => {
    const h = JSON.parse(hello('old').toString()) as {
      schemas: { name: string; fields: { name: string; type: unknown; default?: unknown }[] }[];
    } & Hello;
    const marks = h.schemas.find((s) => s.name === 'MarksDigest')!;
    marks.fields = marks.fields.filter((f) => f.name !== 'digest');
    marks.fields.push({ name: 'newer', type: 'long' });
    h.schemas.unshift({ name: 'NotYetKnown', type: 'record', fields: [] } as never);
    const old = avsc.Type.forSchema(marks as avsc.Schema);
    const r = readHello(Buffer.from(JSON.stringify(h)));
    if (E.isLeft(r)) throw r.left;
    const i = h.schemas.indexOf(marks);
    const b = Buffer.concat([Buffer.from([0, i]), old.toBuffer({ from: 'x', newer: 5 })]);
    expect(r.right.decode(b)).toEqual(
      E.right({ known: true, message: { kind: 'MarksDigest', from: 'x', digest: '', answer: false, warm: false } }),
    );
    expect(r.right.decode(Buffer.from([0, 0]))).toEqual(E.right({ known: false }));
  });
  it('calls cut or altered bytes bad instead of throwing', () => {
    const d = decoderForSelf();
    const b = encode({ kind: 'MarksDigest', from: 'abc', digest: 'def', answer: true, warm: false });
    for (let n = 0; n < b.length; n += 1) expect(E.isLeft(d(b.subarray(0, n)))).toBe(true);
    expect(E.isRight(d(b))).toBe(true);
  });
}
