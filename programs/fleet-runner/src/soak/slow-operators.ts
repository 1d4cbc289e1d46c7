/** Operators that upload large configurations slowly, one after the other at each machine, whatever signals it gets. */
import http from 'node:http';
import type { SoakAdapter, SoakCall, SoakMachine } from './soak-adapter.js';

export interface SlowOperatorOptions {
  readonly adapter: SoakAdapter;
  readonly machine: SoakMachine;
  readonly isFinished: () => boolean;
  readonly random: () => number;
}

const pieceBytes = 16 * 1024;
/** About 5 Mbit/s. */
const pieceIntervalMs = 25;
const maxPauseMs = 1000;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Uploads the body piece by piece; resolves once the call has been answered or its connection has ended. */
async function uploadSlowly(ip: string, call: SoakCall, isFinished: () => boolean): Promise<void> {
  const { port, method, path, body } = call;
  const headers = { ...call.headers, 'content-length': `${Buffer.byteLength(body)}` };
  const request = http.request({ host: ip, port, method, path, headers, agent: false });
  const ended = new Promise<void>((resolve) => {
    request.on('error', () => resolve());
    request.on('response', (response) => response.resume().on('close', () => resolve()));
  });
  for (let at = 0; at < body.length && !request.destroyed && !isFinished(); at += pieceBytes) {
    request.write(body.slice(at, at + pieceBytes));
    await pause(pieceIntervalMs);
  }
  if (isFinished()) request.destroy();
  else request.end();
  await ended;
}

/** Uploads until `isFinished`. */
export async function runSlowOperator({ adapter, machine, isFinished, random }: SlowOperatorOptions): Promise<void> {
  while (!isFinished()) {
    await uploadSlowly(machine.ip, adapter.largeChange(), isFinished);
    await pause(maxPauseMs * random());
  }
}
