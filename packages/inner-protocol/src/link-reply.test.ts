/** Replies are read whole whatever the chunks are. */
import { expect, it } from 'vitest';
import { createReplyReader, encodeReply, replyKind } from './link-reply.js';

it('reads back what was written, in chunks of any size', () => {
  const replies = [
    { kind: replyKind.received, received: 0 },
    { kind: replyKind.wantSchemas, received: 70_000 },
    { kind: replyKind.received, received: 2 ** 40 },
  ];
  const stream = Buffer.concat(replies.map((reply) => encodeReply(reply.kind, reply.received)));
  for (let size = 1; size <= stream.length; size += 1) {
    const read = createReplyReader();
    const got = [];
    for (let i = 0; i < stream.length; i += size) got.push(...read(stream.subarray(i, i + size)));
    expect(got).toEqual(replies);
  }
});
