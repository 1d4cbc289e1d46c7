/**
 * Clients of a soak test that do not behave: they begin requests, calls and links that they never finish, and keep their
 * connections open for a while. A machine may refuse or close them.
 */
import net from 'node:net';
import type { SoakAdapter, SoakMachine, SoakUnfinishedInput } from './soak-adapter.js';
import { pick } from './pick.js';

/** The clients of one machine. */
export interface MisbehavingClientsOptions {
  readonly adapter: SoakAdapter;
  readonly machine: SoakMachine;
  readonly isFinished: () => boolean;
  readonly random: () => number;
}

const connectionsPerCrowd = 5;
const maxStayMs = 4000;
const maxPauseMs = 1000;
const pieceBytes = 16 * 1024;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Writes the beginning and the filler as far as the machine takes them. */
async function writeInput(socket: net.Socket, input: SoakUnfinishedInput): Promise<void> {
  const piece = Buffer.from(input.filler.repeat(Math.ceil(pieceBytes / Math.max(1, input.filler.length))), 'latin1');
  socket.write(Buffer.from(input.beginning, 'latin1'));
  for (let left = input.fillerBytes; left > 0 && !socket.destroyed; left -= piece.length) {
    const fits = socket.write(left >= piece.length ? piece : piece.subarray(0, left));
    if (fits) await new Promise((next) => setImmediate(next));
    else await new Promise<void>((resolve) => socket.once('drain', resolve).once('close', () => resolve()));
  }
}

/** One connection that is never finished; resolves when it is closed by either side. */
async function stayUnfinished(ip: string, input: SoakUnfinishedInput, stayMs: number): Promise<void> {
  const socket = net.connect({ host: ip, port: input.port });
  socket.on('error', () => undefined);
  socket.resume();
  const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
  const timer = setTimeout(() => socket.destroy(), stayMs);
  await writeInput(socket, input);
  await closed;
  clearTimeout(timer);
}

/** Sends crowds of one kind after the other until `isFinished`. */
export async function runMisbehavingClients(options: MisbehavingClientsOptions): Promise<void> {
  const { adapter, machine, random } = options;
  while (!options.isFinished()) {
    const input = pick(adapter.faultyInput.unfinished(machine), random());
    const stayMs = maxStayMs * random();
    const crowd = Array.from({ length: connectionsPerCrowd }, () => stayUnfinished(machine.ip, input, stayMs));
    await Promise.all(crowd);
    await pause(maxPauseMs * random());
  }
}
