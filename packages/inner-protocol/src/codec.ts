/**
 * Encodes and decodes messages. A link opens with a short hello, which carries the fingerprint of the sender's schemas.
 * A receiver with other schemas can't decode anything after it, and has to request the full hello, which carries the
 * schemas. With them it decodes the messages of another release (Avro schema resolution): a field that the sender lacks
 * takes its default, a field that the receiver lacks is dropped, and a message of an unknown kind is ignored.
 * Each schema is compiled when the first message of its kind is handled, as compiling all of them delays the start.
 */
import avsc from 'avsc';
import * as E from 'fp-ts/lib/Either.js';
import { BadFrameError } from './errors.js';
import { digest } from './hash.js';
import { messageShapes, type MessageKind, type Message } from './messages.js';
import { toSchema } from './shape.js';

/** Version of the framing and of the hello; peers of different versions can't exchange messages. */
export const protocolVersion = 1;
/** All message kinds; a message is sent with the index of its kind in this list. */
export const messageKinds = Object.keys(messageShapes) as MessageKind[];
const kindIndexes = new Map(messageKinds.map((kind, i) => [kind, i]));
const compiledTypes = new Map<MessageKind, avsc.Type>();
/** JSON and fingerprint of this release's schemas, each computed at first use. */
const ownSchemas: { json?: string; fingerprint?: string } = {};

/** A decoded message, or `known: false` if this release has no such kind. */
export type DecodedMessage = { readonly known: true; readonly message: Message } | { readonly known: false };
/** Decodes the body of one frame. */
export type MessageDecoder = (body: Buffer) => E.Either<Error, DecodedMessage>;

/** The contents of a hello. */
export interface DecodedHello {
  readonly from: string;
  /** Undefined if a short hello has another fingerprint than this process; the full hello must be requested then. */
  readonly decode: MessageDecoder | undefined;
}

function typeOf(kind: MessageKind): avsc.Type {
  let type = compiledTypes.get(kind);
  if (type === undefined) {
    type = avsc.Type.forSchema(toSchema(kind, messageShapes[kind]));
    compiledTypes.set(kind, type);
  }
  return type;
}

function schemasJson(): string {
  ownSchemas.json ??= JSON.stringify(messageKinds.map((kind) => toSchema(kind, messageShapes[kind])));
  return ownSchemas.json;
}

/** Identifies the schemas of this release: the first 16 characters of the hex digest of their JSON. */
export function schemaFingerprint(): string {
  ownSchemas.fingerprint ??= digest(schemasJson()).slice(0, 16);
  return ownSchemas.fingerprint;
}

/** The full hello, with all schemas. */
export function encodeHello(from: string): Buffer {
  return Buffer.from(`{"tansypost":${protocolVersion},"from":${JSON.stringify(from)},"schemas":${schemasJson()}}`);
}

/** The short hello, with the fingerprint of the schemas only. */
export function encodeShortHello(from: string): Buffer {
  return Buffer.from(JSON.stringify({ tansypost: protocolVersion, from, fingerprint: schemaFingerprint() }));
}

/** The body of a frame: two bytes for the index of the kind, then the message in Avro's binary encoding. */
export function encodeMessage(message: Message): Buffer {
  const content = typeOf(message.kind).toBuffer(message);
  const body = Buffer.allocUnsafe(content.length + 2);
  body.writeUInt16BE(kindIndexes.get(message.kind)!, 0);
  content.copy(body, 2);
  return body;
}

/** Decodes a full or a short hello. */
export function decodeHello(body: Buffer): E.Either<Error, DecodedHello> {
  return E.tryCatch(
    () => {
      const hello = JSON.parse(body.toString()) as Record<string, unknown>;
      if (hello['tansypost'] !== protocolVersion) {
        throw new BadFrameError(
          `The peer uses protocol version ${String(hello['tansypost'])}, this process ${protocolVersion}; run releases with the same protocol version on both sides.`,
        );
      }
      const from = hello['from'];
      if (typeof from !== 'string') throw incompleteHelloError();
      if (typeof hello['fingerprint'] === 'string') {
        return { from, decode: hello['fingerprint'] === schemaFingerprint() ? decodeWithOwnSchemas : undefined };
      }
      const schemas = hello['schemas'];
      if (!Array.isArray(schemas) || !schemas.every(isNamedSchema)) throw incompleteHelloError();
      if (JSON.stringify(schemas) === schemasJson()) return { from, decode: decodeWithOwnSchemas };
      const readers = schemas.map(readerFor);
      return { from, decode: (frameBody: Buffer) => decodeWith(readers, frameBody) };
    },
    (error) => (error instanceof Error ? error : new BadFrameError(String(error))),
  );
}

function incompleteHelloError(): Error {
  return new BadFrameError(
    'The hello has no valid sender address or no valid schemas; check that the peer is a tansypost process.',
  );
}

function isNamedSchema(schema: unknown): schema is avsc.Schema & { name: string } {
  return typeof schema === 'object' && schema !== null && typeof (schema as { name?: unknown }).name === 'string';
}

/** Decodes messages of one kind. */
interface KindReader {
  readonly kind: MessageKind;
  readonly read: (content: Buffer) => unknown;
}

/** The reader of messages written with a sender's schema; undefined for a kind that this release doesn't know. */
function readerFor(schema: avsc.Schema & { name: string }): KindReader | undefined {
  const kind = schema.name as MessageKind;
  if (!kindIndexes.has(kind)) return undefined;
  let resolver: unknown;
  function read(content: Buffer): unknown {
    resolver ??= typeOf(kind).createResolver(avsc.Type.forSchema(schema));
    return typeOf(kind).fromBuffer(content, resolver as never);
  }
  return { kind, read };
}

const ownSchemaReaders: readonly KindReader[] = messageKinds.map((kind) => ({
  kind,
  read: (content) => typeOf(kind).fromBuffer(content),
}));

function decodeWithOwnSchemas(body: Buffer): E.Either<Error, DecodedMessage> {
  return decodeWith(ownSchemaReaders, body);
}

function decodeWith(readers: readonly (KindReader | undefined)[], body: Buffer): E.Either<Error, DecodedMessage> {
  return E.tryCatch(
    () => {
      if (body.length < 2)
        throw new BadFrameError('Frame body of less than 2 bytes, too short for a message kind; closing the link.');
      const index = body.readUInt16BE(0);
      if (index >= readers.length)
        throw new BadFrameError(`Message kind ${index} is not in the sender's hello; closing the link.`);
      const reader = readers[index];
      if (reader === undefined) return { known: false } as const;
      const fields = reader.read(body.subarray(2)) as object;
      return { known: true, message: { ...fields, kind: reader.kind } as unknown as Message } as const;
    },
    (error) => (error instanceof Error ? error : new BadFrameError(String(error))),
  );
}

/** The decoder of messages from a sender with the same schemas. */
export function decoderForOwnSchemas(): MessageDecoder {
  return decodeWithOwnSchemas;
}
