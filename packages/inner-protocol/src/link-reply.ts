/**
 * What the receiver of a link writes back on it: an acknowledgement of the bytes received so far, or a request for the
 * sender's schemas. A reply is one byte for its kind and six for the count of bytes received.
 */

/** Kinds of replies. */
export const replyKind = { received: 1, wantSchemas: 2 } as const;

/** A decoded reply. */
export interface LinkReply {
  readonly kind: number;
  /** Bytes received on the link so far. */
  readonly received: number;
}

const countBytes = 6;
const replyBytes = 1 + countBytes;

/** Encodes a reply. */
export function encodeReply(kind: number, received: number): Buffer {
  const bytes = Buffer.alloc(replyBytes);
  bytes.writeUInt8(kind, 0);
  bytes.writeUIntBE(received, 1, countBytes);
  return bytes;
}

/** Creates a decoder for one link; it returns the replies that a chunk completes. */
export function createReplyReader(): (chunk: Buffer) => LinkReply[] {
  let buffered: Buffer = Buffer.alloc(0);
  return function read(chunk) {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    const replies: LinkReply[] = [];
    for (; buffered.length >= replyBytes; buffered = buffered.subarray(replyBytes)) {
      replies.push({ kind: buffered[0]!, received: buffered.readUIntBE(1, countBytes) });
    }
    return replies;
  };
}
