/** Clients of a soak test. Each keeps one connection alive and reuses it until the server closes it. */
import http from 'node:http';
import type { SoakCall } from './soak-adapter.js';

/** The outcome of one request. Times are those of `performance.now()`. */
export interface SoakOutcome {
  readonly id: string;
  readonly machine: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** `unsent`: no connection was established; `cut`: the connection ended before a complete response. */
  readonly ended: 'whole' | 'failed' | 'refused' | 'cut' | 'unsent';
  readonly status: number;
  readonly reusedConnection: boolean;
  /** Whether a success brought bytes that are no event of the worker's run, or ended as complete without all of its events. */
  readonly malformed: boolean;
  /** Whether bytes came that are no HTTP response, or none that was due. */
  readonly misframed: boolean;
}

/** The response to one call; `complete` is false if the connection ended in the middle of it. */
export interface SoakAnswer {
  readonly status: number;
  readonly body: string;
  readonly complete: boolean;
}

interface ExchangeResult {
  readonly answer: SoakAnswer | undefined;
  readonly connected: boolean;
  readonly reused: boolean;
  readonly misframed: boolean;
}

/** Whether the parser of Node.js did not understand the bytes; its errors bear the codes of llhttp. */
function isParserError({ code }: NodeJS.ErrnoException): boolean {
  return code?.startsWith('HPE_') === true;
}

const callTimeoutMs = 60_000;

/** Makes a call; without an agent it opens a connection of its own. */
export function exchange(ip: string, call: SoakCall, agent: http.Agent | false = false): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    let connected = false;
    const { port, method, path, headers, body } = call;
    const request = http.request({ host: ip, port, method, path, headers, agent, timeout: callTimeoutMs });
    request.on('socket', (socket) => {
      connected = !socket.connecting;
      if (socket.connecting) socket.once('connect', () => (connected = true));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', (error) => {
      resolve({ answer: undefined, connected, reused: request.reusedSocket, misframed: isParserError(error) });
    });
    request.on('response', (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      response.on('error', () => undefined);
      response.on('close', () => {
        const answer = { status: response.statusCode ?? 0, body: text, complete: response.complete };
        resolve({ answer, connected, reused: request.reusedSocket, misframed: false });
      });
    });
    request.end(body);
  });
}

/** Statuses that guarantee that the request was not executed and will not be. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Whether the body consists of the first events, and of all of them if it is complete. Each event is of the run of the one
 * before it or of a later run.
 */
function isSound({ body, complete }: SoakAnswer, runs: readonly (readonly string[])[]): boolean {
  let rest = body;
  let [firstRun, eventCount] = [0, 0];
  while (rest !== '') {
    const candidates = runs.map((events) => events[eventCount]);
    const run = candidates.findIndex(
      (event, index) => index >= firstRun && event !== undefined && rest.startsWith(event),
    );
    if (run < 0) return false;
    rest = rest.slice(candidates[run]!.length);
    firstRun = run;
    eventCount += 1;
  }
  return !complete || eventCount === runs[0]!.length;
}

function classifyResult(
  { answer, connected }: ExchangeResult,
  runs: readonly (readonly string[])[],
): SoakOutcome['ended'] {
  if (answer === undefined) return connected ? 'cut' : 'unsent';
  if (!answer.complete) return 'cut';
  if (answer.status === 200) return isSound(answer, runs) ? 'whole' : 'cut';
  return notExecutedStatuses.has(answer.status) ? 'refused' : 'failed';
}

export interface SoakClientOptions {
  readonly machine: string;
  readonly ip: string;
  /** The events of a whole response to the call, for each run that workers may make of it. */
  readonly runsOf: (call: SoakCall) => readonly (readonly string[])[];
  readonly nextRequest: () => { readonly id: string; readonly call: SoakCall };
  readonly isFinished: () => boolean;
  readonly random: () => number;
  readonly onOutcome: (outcome: SoakOutcome) => void;
}

const maxIdleMs = 1500;
const idleShare = 0.5;

/** Sends requests to one machine, one at a time, until `isFinished`; half of them after the connection has been idle. */
export async function runSoakClient(options: SoakClientOptions): Promise<void> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  while (!options.isFinished()) {
    const { id, call } = options.nextRequest();
    const sentAt = performance.now();
    const result = await exchange(options.ip, call, agent);
    const runs = options.runsOf(call);
    options.onOutcome({
      id,
      machine: options.machine,
      sentAt,
      endedAt: performance.now(),
      ended: classifyResult(result, runs),
      status: result.answer?.status ?? 0,
      reusedConnection: result.reused,
      malformed: result.answer?.status === 200 && !isSound(result.answer, runs),
      misframed: result.misframed,
    });
    const idleMs = options.random() < idleShare ? maxIdleMs * options.random() : 20;
    await new Promise((resolve) => setTimeout(resolve, idleMs));
  }
  agent.destroy();
}
