/**
 * Turns messages into bytes and back. A link opens with a hello that carries the sender's schemas,
 * so that a reader of another version resolves them (fields gained take their default, fields lost
 * are dropped, kinds it does not know are counted and passed over). A short hello carries only their
 * fingerprint; to a reader of other schemas it decodes nothing, and the whole hello has to follow.
 * Schemas become codecs at the first message of their kind, as making all of them delays a start.
 */
import avsc from 'avsc';
import * as E from 'fp-ts/lib/Either.js';
import { BadFrameError } from './errors.js';
import { digest } from './hash.js';
import { messageShapes, type MessageKind, type Message } from './messages.js';
import { toSchema } from './shape.js';

export const protocolVersion = 1;
export const messageKinds = Object.keys(messageShapes) as MessageKind[];
const ordinals = new Map(messageKinds.map((k, i) => [k, i]));
const types = new Map<MessageKind, avsc.Type>();
const own: { schemas?: string; schemaFingerprint?: string } = {};

export type DecodedMessage = { readonly known: true; readonly message: Message } | { readonly known: false };
export type MessageDecoder = (b: Buffer) => E.Either<Error, DecodedMessage>;

// Without `decode` the hello was short and of other schemas than the reader's.
export interface DecodedHello {
  readonly from: string;
  readonly decode: MessageDecoder | undefined;
}

function typeOf(k: MessageKind): avsc.Type {
  let t = types.get(k);
  if (t === undefined) {
    t = avsc.Type.forSchema(toSchema(k, messageShapes[k]));
    types.set(k, t);
  }
  return t;
}

function schemas(): string {
  own.schemas ??= JSON.stringify(messageKinds.map((k) => toSchema(k, messageShapes[k])));
  return own.schemas;
}

export function schemaFingerprint(): string {
  own.schemaFingerprint ??= digest(schemas()).slice(0, 16);
  return own.schemaFingerprint;
}

export function encodeHello(from: string): Buffer {
  return Buffer.from(`{"tansypost":${protocolVersion},"from":${JSON.stringify(from)},"schemas":${schemas()}}`);
}

export function encodeShortHello(from: string): Buffer {
  return Buffer.from(JSON.stringify({ tansypost: protocolVersion, from, fingerprint: schemaFingerprint() }));
}

export function encodeMessage(m: Message): Buffer {
  const body = typeOf(m.kind).toBuffer(m);
  const out = Buffer.allocUnsafe(body.length + 2);
  out.writeUInt16BE(ordinals.get(m.kind)!, 0);
  body.copy(out, 2);
  return out;
}

export function readHello(b: Buffer): E.Either<Error, DecodedHello> {
  return E.tryCatch(
    () => {
      const h = JSON.parse(b.toString()) as Record<string, unknown>;
      if (h['tansypost'] !== protocolVersion) {
        throw new BadFrameError(
          `The other side speaks protocol ${String(h['tansypost'])}, this one ${protocolVersion}; bring both to releases that share one.`,
        );
      }
      const from = h['from'];
      if (typeof from !== 'string') throw lacking();
      if (typeof h['fingerprint'] === 'string') {
        return { from, decode: h['fingerprint'] === schemaFingerprint() ? decodeOwn : undefined };
      }
      const told = h['schemas'];
      if (!Array.isArray(told) || !told.every(isNamed)) throw lacking();
      if (JSON.stringify(told) === schemas()) return { from, decode: decodeOwn };
      const readers = told.map(readerFor);
      return { from, decode: (x: Buffer) => decodeWith(readers, x) };
    },
    (e) => (e instanceof Error ? e : new BadFrameError(String(e))),
  );
}

function lacking(): Error {
  return new BadFrameError('The hello lacks from or schemas; point the link at a tansypost process.');
}

function isNamed(s: unknown): s is avsc.Schema & { name: string } {
  return typeof s === 'object' && s !== null && typeof (s as { name?: unknown }).name === 'string';
}

interface Reader {
  readonly kind: MessageKind;
  readonly read: (b: Buffer) => unknown;
}

function readerFor(s: avsc.Schema & { name: string }): Reader | undefined {
  const kind = s.name as MessageKind;
  if (!ordinals.has(kind)) return undefined;
  let resolver: unknown;
  function read(b: Buffer): unknown {
    resolver ??= typeOf(kind).createResolver(avsc.Type.forSchema(s));
    return typeOf(kind).fromBuffer(b, resolver as never);
  }
  return { kind, read };
}

const ownReaders: readonly Reader[] = messageKinds.map((kind) => ({ kind, read: (b) => typeOf(kind).fromBuffer(b) }));

function decodeOwn(b: Buffer): E.Either<Error, DecodedMessage> {
  return decodeWith(ownReaders, b);
}

function decodeWith(rs: readonly (Reader | undefined)[], b: Buffer): E.Either<Error, DecodedMessage> {
  return E.tryCatch(
    () => {
      if (b.length < 2)
        throw new BadFrameError('A frame is shorter than its kind; the link is closed and opened anew.');
      const i = b.readUInt16BE(0);
      if (i >= rs.length)
        throw new BadFrameError(`Kind ${i} is not in the sender's hello; the link is closed and opened anew.`);
      const r = rs[i];
      if (r === undefined) return { known: false } as const;
      const body = r.read(b.subarray(2)) as object;
      return { known: true, message: { ...body, kind: r.kind } as unknown as Message } as const;
    },
    (e) => (e instanceof Error ? e : new BadFrameError(String(e))),
  );
}

export function decoderForOwnSchemas(): MessageDecoder {
  return decodeOwn;
}
