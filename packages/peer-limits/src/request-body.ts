/** Reads the body of a request on a guarded connection. */
import type http from 'node:http';
import { createByteAccumulator } from './byte-accumulator.js';
import type { GuardedSocket } from './connection-guard.js';

/**
 * The body, or why there is none: longer than the limit, without room beside the requests in progress, or cut off by the
 * client or for its many small pieces.
 */
export type RequestBody =
  | { readonly tag: 'whole'; readonly bytes: Buffer }
  | { readonly tag: 'long' }
  | { readonly tag: 'refused' }
  | { readonly tag: 'cut' };

/** A body may come in this many pieces, and in more of them where they are of this size on average. */
const freePieces = 1024;
const minMeanPieceBytes = 16;

/** What is held is reported whenever it changes, and progress after this many bytes. */
const reportedBytes = 4096;

/** Whether parsing the pieces costs much more time than their bytes are worth. */
function hasTooManyPieces(count: number, bytes: number): boolean {
  return count > freePieces + bytes / minMeanPieceBytes;
}

/**
 * Reads a body of at most `limit` bytes. What follows a longer one is dropped as it arrives. The connection of one in too
 * many pieces is closed at once: while an answer is on its way, parsing what has arrived would hold up all other callers.
 * @param guarded the connection, which is told how much is held
 * @param beginRequest called with the length of the whole body; false where the request does not fit. The body is then
 * dropped where it lies: a buffer for it would stay with the process until a garbage collection.
 */
export function readRequestBody(
  request: http.IncomingMessage,
  limit: number,
  guarded: GuardedSocket | undefined,
  beginRequest: (bytes: number) => boolean,
): Promise<RequestBody> {
  return new Promise((resolve) => {
    const pieces = createByteAccumulator();
    let [count, held, moved] = [0, 0, 0];
    function report(bytes: number): void {
      moved += bytes;
      if (pieces.heldBytes() === held && moved < reportedBytes) return;
      held = pieces.heldBytes();
      guarded?.report(held, moved);
      moved = 0;
    }
    function onData(piece: Buffer): void {
      pieces.push(piece);
      count += 1;
      if (pieces.length() > limit) return skip();
      if (hasTooManyPieces(count, pieces.length())) {
        guarded?.countRefused();
        request.off('data', onData);
        return void request.destroy();
      }
      report(piece.length);
    }
    function skip(): void {
      resolve({ tag: 'long' });
      pieces.discard();
      request.off('data', onData).off('end', onEnd);
      request.resume();
      guarded?.report(0, 0);
    }
    /** Also called after the end, when nothing is left to discard. */
    function onCut(): void {
      pieces.discard();
      resolve({ tag: 'cut' });
    }
    request.on('data', onData);
    function onEnd(): void {
      if (beginRequest(pieces.length())) return resolve({ tag: 'whole', bytes: pieces.take() });
      pieces.discard();
      resolve({ tag: 'refused' });
    }
    request.on('end', onEnd);
    request.on('error', onCut);
    request.on('close', onCut);
  });
}
