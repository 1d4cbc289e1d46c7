/**
 * A crowd of peers that do not behave: each opens a connection, writes what its script says, and then stays open. One
 * whose connection is closed comes again, a few times.
 */
import net from 'node:net';

/** What one member writes, piece by piece; the pieces of all members are interleaved. */
export type CrowdScript = (member: number) => Iterable<Buffer | string>;

/** The size of a crowd and what it does. */
export interface CrowdOptions {
  readonly host: string;
  readonly port: number;
  readonly members: number;
  readonly script: CrowdScript;
  /** Whether members read what they receive, as they do by default. One that does not may miss that it was closed. */
  readonly reads?: boolean;
  /** How often a member whose connection is closed connects again. */
  readonly returns?: number;
}

/** A crowd that has started. */
export interface Crowd {
  /** Resolves when no member writes any more: each is through with its script, or its peer takes nothing more. */
  readonly settled: Promise<void>;
  readonly openConnections: () => number;
  /** Resolves when all connections have been closed by the peer. */
  readonly allClosed: () => Promise<void>;
  readonly leave: () => void;
}

const pollIntervalMs = 50;
/** A crowd of which nobody has written for this long has settled. */
const settleAfterMs = 1500;
const defaultReturns = 2;

interface Progress {
  writtenAt: number;
  finished: number;
  left: boolean;
  readonly sockets: Set<net.Socket>;
}

/** Resolves when more may be written, or when the connection is closed. */
function writable(socket: net.Socket): Promise<void> {
  return new Promise((resolve) => {
    function done(): void {
      socket.off('drain', done).off('close', done);
      resolve();
    }
    if (socket.destroyed) return resolve();
    socket.on('drain', done).on('close', done);
  });
}

async function connectMember(options: CrowdOptions, progress: Progress): Promise<net.Socket> {
  const socket = net.connect({ host: options.host, port: options.port, noDelay: true });
  progress.sockets.add(socket);
  socket.on('error', () => undefined);
  socket.on('close', () => progress.sockets.delete(socket));
  if (options.reads !== false) socket.resume();
  await new Promise<void>((resolve) => socket.once('connect', resolve).once('close', () => resolve()));
  return socket;
}

async function writeScript(socket: net.Socket, pieces: Iterable<Buffer | string>, progress: Progress): Promise<void> {
  for (const piece of pieces) {
    if (socket.destroyed || progress.left) return;
    const fits = socket.write(piece);
    progress.writtenAt = performance.now();
    // Each piece waits for the next turn of the loop, so that the pieces of all members are interleaved.
    if (fits) await new Promise((next) => setImmediate(next));
    else await writable(socket);
  }
}

async function runMember(options: CrowdOptions, member: number, progress: Progress): Promise<void> {
  for (let visit = 0; visit <= (options.returns ?? defaultReturns) && !progress.left; visit += 1) {
    const socket = await connectMember(options, progress);
    await writeScript(socket, options.script(member), progress);
    if (!socket.destroyed && !progress.left) {
      progress.finished += 1;
      await new Promise((resolve) => (socket.destroyed ? resolve(undefined) : socket.once('close', resolve)));
      progress.finished -= 1;
    }
  }
  progress.finished += 1;
}

/** Starts a crowd. */
export function startCrowd(options: CrowdOptions): Crowd {
  const progress: Progress = { writtenAt: performance.now(), finished: 0, left: false, sockets: new Set() };
  for (let member = 0; member < options.members; member += 1) void runMember(options, member, progress);

  async function until(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
  }
  function isQuiet(): boolean {
    return performance.now() - progress.writtenAt > settleAfterMs;
  }
  return {
    settled: until(() => progress.finished >= options.members || isQuiet()),
    openConnections: () => progress.sockets.size,
    allClosed: () => until(() => progress.sockets.size === 0),
    leave: () => {
      progress.left = true;
      for (const socket of progress.sockets) socket.destroy();
    },
  };
}

/** `text` again and again, in pieces of `pieceBytes` at the most, `totalBytes` in all. */
export function* repeated(text: string, totalBytes: number, pieceBytes: number): Generator<Buffer> {
  const repeats = Math.max(1, Math.floor(pieceBytes / text.length));
  const piece = Buffer.from(text.repeat(repeats));
  let left = totalBytes;
  for (; left >= piece.length; left -= piece.length) yield piece;
  if (left > 0) yield piece.subarray(0, left);
}
