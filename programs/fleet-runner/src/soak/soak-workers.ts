/** The workers of a soak and the list of them, played in the soak's own process on loopback. */
import http from 'node:http';
import type { SoakDialect } from './soak-dialect.js';

/** What workers did for one request. */
export interface SoakRun {
  times: number;
  /** When a worker had written its whole answer, by `performance.now()`. */
  finishedAt: number;
}

export interface SoakWorkers {
  readonly runs: ReadonlyMap<string, SoakRun>;
  readonly close: () => void;
}

export interface SoakWorkersOptions {
  readonly dialect: SoakDialect;
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
  const { dialect, random } = options;
  const runs = new Map<string, SoakRun>();

  function work(request: http.IncomingMessage, answer: http.ServerResponse): void {
    const id = dialect.idOf(request.headers);
    request.resume();
    if (id === undefined) return void answer.end(dialect.loadOfWorker);
    request.on('end', () => {
      const run = runs.get(id) ?? { times: 0, finishedAt: Infinity };
      run.times += 1;
      runs.set(id, run);
      answer.writeHead(200, dialect.workerHead(id));
      answer.on('finish', () => (run.finishedAt = performance.now()));
      writePieces(answer, random() < longShare ? longPieceMs : shortPieceMs);
    });
  }

  function writePieces(answer: http.ServerResponse, longestPause: number): void {
    const [first, ...others] = dialect.pieces;
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
      http.createServer((_request, answer) => void answer.end(dialect.listOfWorkers(options.ips))),
      dialect.ports.list,
      options.platformIp,
    ),
  ];
  const listening = await Promise.all(servers);
  return {
    runs,
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
