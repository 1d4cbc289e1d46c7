/** Simulated workers and the worker list of the platform, served on loopback by the soak test's own process. */
import http from 'node:http';
import type { SoakAdapter, SoakFaultyStream } from './soak-adapter.js';
import { pick } from './pick.js';

/** The executions of one request on the workers. */
export interface SoakExecution {
  count: number;
  /** When a worker had written its complete response, by `performance.now()`. */
  finishedAt: number;
  /** How many times workers may run it. */
  readonly maxRuns: number;
  /** Whether a worker sent a faulty response, or a stream without events, which a router cannot pass on whole. */
  spoilt: boolean;
}

export interface SoakWorkers {
  readonly executions: ReadonlyMap<string, SoakExecution>;
  readonly close: () => void;
}

export interface SoakWorkersOptions {
  readonly adapter: SoakAdapter;
  readonly ips: readonly string[];
  readonly platformIp: string;
  readonly random: () => number;
}

/** Shares of the reports, lists and responses that are faulty. */
const faultyReportShare = 0.15;
const faultyListShare = 0.25;
const faultyResponseShare = 0.03;
const faultyStreamShare = 0.06;
/** The same for the first run of a request whose stream another run may take up. */
const faultyResumableShare = 0.3;
/** Share of the streams that state their length; the others come in chunks. */
const statedLengthShare = 0.5;
const unreachedByte = 'x';
/** Most responses are short; some last longer than a router that got SIGTERM keeps running without accepting requests. */
const shortChunkGapMs = 60;
const longChunkGapMs = 900;
const longAnswerShare = 0.2;

/** Starts the workers and the worker list; resolves when all of them listen. */
export async function startSoakWorkers(options: SoakWorkersOptions): Promise<SoakWorkers> {
  const { adapter, random } = options;
  const executions = new Map<string, SoakExecution>();

  function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const id = adapter.requestIdOf(request.headers);
    request.resume();
    if (id === undefined) return void response.end(reportBody());
    request.on('end', () => {
      const execution = startExecution(id, request.url ?? '');
      if (random() < faultyResponseShare) {
        execution.spoilt = true;
        return void request.socket.end(pick(adapter.faultyInput.responses(id), random()), 'latin1');
      }
      const events = adapter.events(request.headers, execution.count - 1);
      const maxGapMs = random() < longAnswerShare ? longChunkGapMs : shortChunkGapMs;
      const statesLength = random() < statedLengthShare;
      if (random() < faultyShareOf(execution)) {
        execution.spoilt = true;
        const { soundEvents, foreign, ending } = pick(adapter.faultyInput.streams, random());
        const pieces = [...events.slice(0, soundEvents), foreign];
        // A stream that breaks off states a length that it does not reach; else its connection would take another request.
        const stated = ending === 'end' ? pieces : [...pieces, ...events, unreachedByte];
        startStream(response, id, statesLength ? stated : undefined);
        return writePieces(response, pieces, maxGapMs, () => endFaultyStream(request, response, ending));
      }
      if (events.length === 0) execution.spoilt = true;
      startStream(response, id, statesLength ? events : undefined);
      response.on('finish', () => (execution.finishedAt = performance.now()));
      writePieces(response, events, maxGapMs, () => response.end());
    });
  }

  function startExecution(id: string, path: string): SoakExecution {
    const newExecution = { count: 0, finishedAt: Infinity, spoilt: false, maxRuns: adapter.maxRuns(path) };
    const execution = executions.get(id) ?? newExecution;
    execution.count += 1;
    executions.set(id, execution);
    return execution;
  }

  function faultyShareOf({ count, maxRuns }: SoakExecution): number {
    return count < maxRuns ? faultyResumableShare : faultyStreamShare;
  }

  /** Sends the head of a stream, with the length of these pieces where they are given. */
  function startStream(response: http.ServerResponse, id: string, stated: readonly string[] | undefined): void {
    const length = stated === undefined ? {} : { 'Content-Length': Buffer.byteLength(stated.join(''), 'latin1') };
    response.writeHead(200, { ...adapter.workerHeaders(id), ...length });
  }

  function reportBody(): string {
    return random() < faultyReportShare ? pick(adapter.faultyInput.reports, random()) : adapter.workerLoadBody;
  }

  function listBody(): string {
    const { ips } = options;
    return random() < faultyListShare
      ? pick(adapter.faultyInput.workerLists(ips), random())
      : adapter.workerListBody(ips);
  }

  /** Writes the first piece at once and each other one after a pause, and then calls `done`. */
  function writePieces(
    response: http.ServerResponse,
    pieces: readonly string[],
    maxGapMs: number,
    done: () => void,
  ): void {
    const [piece, ...remaining] = pieces;
    if (piece === undefined) return done();
    response.write(piece, 'latin1');
    setTimeout(writePieces, maxGapMs * random(), response, remaining, maxGapMs, done);
  }

  /** A response that waits behind another one on its connection has no socket yet, so that of the request is reset. */
  function endFaultyStream(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    ending: SoakFaultyStream['ending'],
  ): void {
    if (ending === 'end') response.end();
    else if (ending === 'reset') request.socket.resetAndDestroy();
  }

  const servers = [
    ...options.ips.map((ip) => listen(http.createServer(handleRequest), adapter.ports.worker, ip)),
    listen(
      http.createServer((_request, response) => void response.end(listBody())),
      adapter.ports.list,
      options.platformIp,
    ),
  ];
  const listening = await Promise.all(servers);
  return {
    executions,
    close: () => {
      for (const server of listening) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

function listen(server: http.Server, port: number, ip: string): Promise<http.Server> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => resolve(server));
  });
}
