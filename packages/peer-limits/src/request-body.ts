/** Reads the body of a request on a guarded connection. */
import type http from 'node:http';
import { createByteAccumulator } from './byte-accumulator.js';
import type { GuardedSocket } from './connection-guard.js';

/** The body, or why there is none: longer than the limit, or cut off by the client. */
export type RequestBody =
  { readonly tag: 'whole'; readonly bytes: Buffer } | { readonly tag: 'long' } | { readonly tag: 'cut' };

/**
 * Reads a body of at most `limit` bytes. What follows a longer one is dropped as it arrives.
 * @param guarded the connection, which is told how much is held
 */
export function readRequestBody(
  request: http.IncomingMessage,
  limit: number,
  guarded: GuardedSocket | undefined,
): Promise<RequestBody> {
  return new Promise((resolve) => {
    const pieces = createByteAccumulator();
    function onData(piece: Buffer): void {
      pieces.push(piece);
      if (pieces.length() > limit) return skip();
      guarded?.report(pieces.heldBytes(), piece.length);
    }
    function skip(): void {
      resolve({ tag: 'long' });
      pieces.discard();
      request.off('data', onData);
      request.resume();
      guarded?.report(0, 0);
    }
    /** Also called after the end, when nothing is left to discard. */
    function onCut(): void {
      pieces.discard();
      resolve({ tag: 'cut' });
    }
    request.on('data', onData);
    request.on('end', () => resolve({ tag: 'whole', bytes: pieces.take() }));
    request.on('error', onCut);
    request.on('close', onCut);
  });
}
