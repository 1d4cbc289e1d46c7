/**
 * What the receiver of a link writes back on it: how much has reached it, or that it needs the sender's schemas. A reply
 * is one byte of kind and six of the bytes received so far.
 */

/** Kinds of replies. */
export const replyKind = { received: 1, wantSchemas: 2 } as const;

/** One reply, as read. */
export interface LinkReply {
  readonly kind: number;
  readonly received: number;
}

const countSize = 6;
const replySize = 1 + countSize;

/** The bytes of a reply. */
export function encodeReply(kind: number, received: number): Buffer {
  const bytes = Buffer.alloc(replySize);
  bytes.writeUInt8(kind, 0);
  bytes.writeUIntBE(received, 1, countSize);
  return bytes;
}

/** Makes a reader of one link's replies: it takes chunks and gives the replies that they complete. */
export function createReplyReader(): (chunk: Buffer) => LinkReply[] {
  let held: Buffer = Buffer.alloc(0);
  return function read(chunk) {
    held = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
    const replies: LinkReply[] = [];
    for (; held.length >= replySize; held = held.subarray(replySize)) {
      replies.push({ kind: held[0]!, received: held.readUIntBE(1, countSize) });
    }
    return replies;
  };
}
