/** The workers of a soak and the list of them, played in the soak's own process on loopback. */
import http from 'node:http';
import type { SoakAdapter } from './soak-adapter.js';

/** What workers did for one request. */
export interface SoakExecution {
  count: number;
  /** When a worker had written its whole answer, by `performance.now()`. */
  finishedAt: number;
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

/** Most answers are short; some last longer than a router has after its signal without taking requests. */
const shortPieceMs = 60;
const longPieceMs = 900;
const longShare = 0.2;

/** Starts the workers and the list; all listen when the promise is kept. */
export async function startSoakWorkers(options: SoakWorkersOptions): Promise<SoakWorkers> {
  const { adapter: dialect, random } = options;
  const runs = new Map<string, SoakExecution>();

  function work(request: http.IncomingMessage, answer: http.ServerResponse): void {
    const id = dialect.requestIdOf(request.headers);
    request.resume();
    if (id === undefined) return void answer.end(dialect.workerLoadBody);
    request.on('end', () => {
      const run = runs.get(id) ?? { count: 0, finishedAt: Infinity };
      run.count += 1;
      runs.set(id, run);
      answer.writeHead(200, dialect.workerHeaders(id));
      answer.on('finish', () => (run.finishedAt = performance.now()));
      writePieces(answer, random() < longShare ? longPieceMs : shortPieceMs);
    });
  }

  function writePieces(answer: http.ServerResponse, longestPause: number): void {
    const [first, ...others] = dialect.chunks;
    answer.write(first);
    function next(): void {
      const piece = others.shift();
      if (piece === undefined) return void answer.end();
      answer.write(piece);
      setTimeout(next, longestPause * random());
    }
    setTimeout(next, longestPause * random());
  }

  const servers = [
    ...options.ips.map((ip) => listen(http.createServer(work), dialect.ports.worker, ip)),
    listen(
      http.createServer((_request, answer) => void answer.end(dialect.workerListBody(options.ips))),
      dialect.ports.list,
      options.platformIp,
    ),
  ];
  const listening = await Promise.all(servers);
  return {
    executions: runs,
    close: () => {
      for (const server of listening) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

function listen(server: http.Server, port: number, ip: string): Promise<http.Server> {
  return new Promise((done, failed) => {
    server.once('error', failed);
    server.listen(port, ip, () => done(server));
  });
}
