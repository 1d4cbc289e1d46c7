/** Clients of a soak. Each keeps one connection and goes on using it for as long as the process lets it. */
import http from 'node:http';
import type { SoakCall } from './soak-adapter.js';

/** What became of one request. Times are those of `performance.now()`. */
export interface SoakOutcome {
  readonly id: string;
  readonly machine: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** `unsent`: no connection came up; `cut`: the connection ended without a whole answer. */
  readonly ended: 'whole' | 'failed' | 'refused' | 'cut' | 'unsent';
  readonly status: number;
  readonly reusedConnection: boolean;
}

/** The answer to one call; `complete` is false where the connection ended in the middle. */
export interface SoakAnswer {
  readonly status: number;
  readonly body: string;
  readonly complete: boolean;
}

interface Exchange {
  readonly answer: SoakAnswer | undefined;
  readonly connected: boolean;
  readonly reused: boolean;
}

const callTimeoutMs = 60_000;

/** Makes a call; without an agent on a connection of its own. */
export function exchange(ip: string, call: SoakCall, agent: http.Agent | false = false): Promise<Exchange> {
  return new Promise((done) => {
    let connected = false;
    const { port, method, path, headers, body } = call;
    const request = http.request({ host: ip, port, method, path, headers, agent, timeout: callTimeoutMs });
    request.on('socket', (socket) => {
      connected = !socket.connecting;
      if (socket.connecting) socket.once('connect', () => (connected = true));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => done({ answer: undefined, connected, reused: request.reusedSocket }));
    request.on('response', (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (part: string) => (text += part));
      response.on('error', () => undefined);
      response.on('close', () => {
        const answer = { status: response.statusCode ?? 0, body: text, complete: response.complete };
        done({ answer, connected, reused: request.reusedSocket });
      });
    });
    request.end(body);
  });
}

/** Statuses that promise that a request has not run and never will. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function endOf({ answer, connected }: Exchange, expectedBody: string): SoakOutcome['ended'] {
  if (answer === undefined) return connected ? 'cut' : 'unsent';
  if (!answer.complete) return 'cut';
  if (answer.status === 200) return answer.body === expectedBody ? 'whole' : 'cut';
  return promises.has(answer.status) ? 'refused' : 'failed';
}

export interface SoakClientOptions {
  readonly machine: string;
  readonly ip: string;
  readonly expectedBody: string;
  readonly nextRequest: () => { readonly id: string; readonly call: SoakCall };
  readonly isFinished: () => boolean;
  readonly random: () => number;
  readonly onOutcome: (outcome: SoakOutcome) => void;
}

const longestRestMs = 1500;
const restShare = 0.5;

/** Sends requests to one machine, one after the other, until `isOver`; half of them after the connection has rested. */
export async function runSoakClient(options: SoakClientOptions): Promise<void> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  while (!options.isFinished()) {
    const { id, call } = options.nextRequest();
    const sentAt = performance.now();
    const result = await exchange(options.ip, call, agent);
    options.onOutcome({
      id,
      machine: options.machine,
      sentAt,
      endedAt: performance.now(),
      ended: endOf(result, options.expectedBody),
      status: result.answer?.status ?? 0,
      reusedConnection: result.reused,
    });
    const rest = options.random() < restShare ? longestRestMs * options.random() : 20;
    await new Promise((rested) => setTimeout(rested, rest));
  }
  agent.destroy();
}
