/**
 * Collects the pieces of a body or a frame. A piece may be as small as a byte and may be part of a much larger buffer, so
 * pieces are copied into blocks that grow with the length; what is held stays within about twice the length. Large blocks
 * are used again, as memory that is only dropped stays with the process until the next full garbage collection.
 */

/** The pieces so far. */
export interface ByteAccumulator {
  readonly push: (piece: Buffer) => void;
  /** Bytes pushed. */
  readonly length: () => number;
  /** Bytes of memory that are held for them. */
  readonly heldBytes: () => number;
  /** All bytes in one buffer; the accumulator is empty afterwards. */
  readonly take: () => Buffer;
  /** Drops all bytes. */
  readonly discard: () => void;
}

const minBlockBytes = 1024;
const reusedBlockBytes = 64 * 1024;
const maxFreeBlocks = 64;
const freeBlocks: Buffer[] = [];

function allocateBlock(bytes: number): Buffer {
  const free = bytes === reusedBlockBytes ? freeBlocks.pop() : undefined;
  return free ?? Buffer.allocUnsafeSlow(bytes);
}

function releaseBlock(block: Buffer): void {
  if (block.length === reusedBlockBytes && freeBlocks.length < maxFreeBlocks) freeBlocks.push(block);
}

/** Whether the piece makes up most of the memory that it keeps in use. */
function ownsItsMemory(piece: Buffer): boolean {
  return piece.buffer.byteLength <= 2 * piece.length;
}

interface Pieces {
  /** The first piece as it came, if it owns its memory. */
  firstPiece: Buffer | undefined;
  fullBlocks: Buffer[];
  block: Buffer | undefined;
  /** Bytes used of the last block. */
  used: number;
  length: number;
  held: number;
}

function noPieces(): Pieces {
  return { firstPiece: undefined, fullBlocks: [], block: undefined, used: 0, length: 0, held: 0 };
}

function addBlock(pieces: Pieces): Buffer {
  const doubled = 2 ** Math.ceil(Math.log2(pieces.length + 1));
  const block = allocateBlock(Math.min(reusedBlockBytes, Math.max(minBlockBytes, doubled)));
  pieces.held += block.length;
  pieces.used = 0;
  pieces.block = block;
  return block;
}

function copyInto(pieces: Pieces, piece: Buffer): void {
  for (let start = 0; start < piece.length;) {
    const block = pieces.block ?? addBlock(pieces);
    const copied = piece.copy(block, pieces.used, start);
    pieces.used += copied;
    start += copied;
    if (pieces.used < block.length) continue;
    pieces.fullBlocks.push(block);
    pieces.block = undefined;
  }
  pieces.length += piece.length;
}

function push(pieces: Pieces, piece: Buffer): void {
  if (piece.length === 0) return;
  if (pieces.length > 0 || !ownsItsMemory(piece)) return copyInto(pieces, piece);
  pieces.firstPiece = piece;
  pieces.length = piece.length;
  pieces.held = piece.length;
}

function joined({ firstPiece, fullBlocks, block, used }: Pieces): Buffer {
  const blocks = block === undefined ? fullBlocks : [...fullBlocks, block.subarray(0, used)];
  if (firstPiece === undefined) return Buffer.concat(blocks);
  return blocks.length === 0 ? firstPiece : Buffer.concat([firstPiece, ...blocks]);
}

/** Creates an empty accumulator. */
export function createByteAccumulator(): ByteAccumulator {
  let pieces = noPieces();

  function discard(): void {
    for (const block of pieces.fullBlocks) releaseBlock(block);
    if (pieces.block !== undefined) releaseBlock(pieces.block);
    pieces = noPieces();
  }

  function take(): Buffer {
    const bytes = joined(pieces);
    discard();
    return bytes;
  }

  return {
    push: (piece) => push(pieces, piece),
    length: () => pieces.length,
    heldBytes: () => pieces.held,
    take,
    discard,
  };
}
