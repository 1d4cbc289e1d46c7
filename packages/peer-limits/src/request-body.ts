/** Reads the body of a request on a guarded connection. */
import type http from 'node:http';
import { createByteAccumulator } from './byte-accumulator.js';
import type { GuardedSocket } from './connection-guard.js';

/** The body, or why there is none: longer than the limit, in too many pieces, or cut off by the client. */
export type RequestBody =
  | { readonly tag: 'whole'; readonly bytes: Buffer }
  | { readonly tag: 'long' }
  | { readonly tag: 'pieces' }
  | { readonly tag: 'cut' };

/** A body may come in this many pieces, and in more of them where they are of this size on average. */
const freePieces = 4096;
const minMeanPieceBytes = 16;

/** Whether parsing the pieces costs much more time than their bytes are worth. */
function hasTooManyPieces(count: number, bytes: number): boolean {
  return count > freePieces + bytes / minMeanPieceBytes;
}

/**
 * Reads a body of at most `limit` bytes. What follows a longer one is dropped as it arrives; the connection of one in too
 * many pieces must be closed.
 * @param guarded the connection, which is told how much is held
 */
export function readRequestBody(
  request: http.IncomingMessage,
  limit: number,
  guarded: GuardedSocket | undefined,
): Promise<RequestBody> {
  return new Promise((resolve) => {
    const pieces = createByteAccumulator();
    let count = 0;
    function onData(piece: Buffer): void {
      pieces.push(piece);
      count += 1;
      if (pieces.length() > limit) return skip('long');
      if (hasTooManyPieces(count, pieces.length())) {
        guarded?.countRefused();
        return skip('pieces');
      }
      guarded?.report(pieces.heldBytes(), piece.length);
    }
    function skip(tag: 'long' | 'pieces'): void {
      resolve({ tag });
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
