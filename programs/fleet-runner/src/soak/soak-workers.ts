/** Simulated workers and the worker list of the platform, served on loopback by the soak test's own process. */
import http from 'node:http';
import type { SoakAdapter, SoakFaultyStream } from './soak-adapter.js';
import { pick } from './pick.js';

/** The executions of one request on the workers. */
export interface SoakExecution {
  count: number;
  /** When a worker had written its complete response, by `performance.now()`. */
  finishedAt: number;
  /** Whether a worker sent a faulty response, which a router cannot pass on whole. */
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
      const execution = executions.get(id) ?? { count: 0, finishedAt: Infinity, spoilt: false };
      execution.count += 1;
      executions.set(id, execution);
      if (random() < faultyResponseShare) {
        execution.spoilt = true;
        return void request.socket.end(pick(adapter.faultyInput.responses(id), random()), 'latin1');
      }
      const events = adapter.events(request.headers);
      const maxGapMs = random() < longAnswerShare ? longChunkGapMs : shortChunkGapMs;
      response.writeHead(200, adapter.workerHeaders(id));
      if (random() < faultyStreamShare) {
        execution.spoilt = true;
        const { soundEvents, foreign, ending } = pick(adapter.faultyInput.streams, random());
        const pieces = [...events.slice(0, soundEvents), foreign];
        return writePieces(response, pieces, maxGapMs, () => endFaultyStream(response, ending));
      }
      response.on('finish', () => (execution.finishedAt = performance.now()));
      writePieces(response, events, maxGapMs, () => response.end());
    });
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

  function endFaultyStream(response: http.ServerResponse, ending: SoakFaultyStream['ending']): void {
    if (ending === 'end') response.end();
    else if (ending === 'reset') response.socket?.resetAndDestroy();
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
