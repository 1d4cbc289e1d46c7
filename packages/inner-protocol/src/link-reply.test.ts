/** Decoding of replies from chunks of any size. */
import { expect, it } from 'vitest';
import { createReplyReader, encodeReply, replyKind } from './link-reply.js';

it('decodes the encoded replies from chunks of any size', () => {
  const replies = [
    { kind: replyKind.received, received: 0 },
    { kind: replyKind.wantSchemas, received: 70_000 },
    { kind: replyKind.received, received: 2 ** 40 },
  ];
  const stream = Buffer.concat(replies.map((reply) => encodeReply(reply.kind, reply.received)));
  for (let size = 1; size <= stream.length; size += 1) {
    const read = createReplyReader();
    const decoded = [];
    for (let i = 0; i < stream.length; i += size) decoded.push(...read(stream.subarray(i, i + size)));
    expect(decoded).toEqual(replies);
  }
});
