/**
 * Responses that cannot be the work of one run, at each phase: the attempt ends at once, the client receives only events
 * of the run, another worker takes over where the route allows it, and the worker's record, an event and a count say why.
 */
import { expect, it } from 'vitest';
import { createVirtualClock } from '@tansypost/inner-protocol';
import { createByteBudget } from '@tansypost/peer-limits';
import type { RouteTable } from '@tansypost/paths';
import type { IncomingRequest } from './incoming-request.js';
import type { PrefillResult, ResponseSink, ResponseWriter, RunParameters, RunResult, WorkerPort } from './ports.js';
import { createRequestHandler } from './request-handler.js';
import type { FleetWorker } from './worker-fleet.js';

const second = 1_000_000;
const deadline = 8 * second;
const events = [1, 2, 3].map((id) => `id: ${id}\ndata: part ${id}\n\n`);

function workerOf(index: number, part: FleetWorker['part']): FleetWorker {
  const place = { address: `10.0.0.${index}:1`, zone: 'z' };
  return { id: `${part}${index}`, service: 's', ...place, slots: 8, part, leaving: false };
}
const decodeWorkers = [workerOf(0, 'decode'), workerOf(1, 'decode')];

function routeTable(resumable: boolean): RouteTable {
  const route = {
    ...{ name: 'p', host: 'h', prefix: '/', timeout: deadline, targetLatency: 0.8 * second, maxEventGap: 300_000 },
    ...{ priority: 0, streaming: true, idempotent: false, resumable, maxAttempts: 2 },
    weightedServices: [{ service: 's', weight: 1 }],
  };
  const service = { name: 's', healthPath: '/', maxConnections: 10, slots: 8, kvBytesPerToken: 1000, linkMbps: 10_000 };
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  return { revision: 1, routes: [route], services: [service], limits } as unknown as RouteTable;
}

const incoming: IncomingRequest = {
  ...{ id: 'q', method: 'POST', target: '/x', host: 'h', headers: [], body: Buffer.from('x') },
  ...{ promptTokens: 100, maxOutputTokens: 10, promptSegments: [{ id: 'a', tokens: 100 }], timeout: deadline },
  lastEventId: undefined,
};

type RunScript = (sink: ResponseSink, signal: AbortSignal) => Promise<RunResult>;

function head(sink: ResponseSink, status = 200): void {
  sink.head({ status, headers: [] });
}
/** Ends only when the attempt is aborted, as the transport's result says then. */
function silence(signal: AbortSignal): Promise<RunResult> {
  return new Promise((resolve) => {
    const left: RunResult = { tag: 'unknown', reason: 'left' };
    if (signal.aborted) return resolve(left);
    signal.addEventListener('abort', () => resolve(left), { once: true });
  });
}
function streamOf(pieces: readonly string[], result: RunResult | 'silence'): RunScript {
  return async (sink, signal) => {
    head(sink);
    for (const piece of pieces) if (!signal.aborted) await sink.chunk(Buffer.from(piece, 'latin1'));
    return result === 'silence' || signal.aborted ? silence(signal) : result;
  };
}

interface Served {
  readonly body: string;
  readonly end: 'whole' | 'cut' | 'rejected';
  readonly endedAt: number;
  /** The event ids that the later runs were asked to continue after. */
  readonly lastEventIds: readonly (number | undefined)[];
  readonly logged: readonly Record<string, unknown>[];
  readonly metrics: Record<string, unknown>;
}

interface ServeOptions {
  readonly resumable: boolean;
  readonly method?: string;
  /** The second run, where it is not sound. */
  readonly secondRun?: RunScript;
  readonly workers?: readonly FleetWorker[];
  readonly prefill?: PrefillResult;
  readonly heldBytes?: number;
}

/** Serves one request whose first run follows the script; a later one continues after the last event as asked. */
async function serve(script: RunScript, options: ServeOptions): Promise<Served> {
  const { world, logged, runUntil } = createVirtualClock();
  const parameters: RunParameters[] = [];
  const port: WorkerPort = {
    prefill: async () => options.prefill!,
    run: (_worker, _request, asked, sink, signal) => {
      parameters.push(asked);
      if (parameters.length === 1) return script(sink, signal);
      if (parameters.length === 2 && options.secondRun !== undefined) return options.secondRun(sink, signal);
      return streamOf(events.slice(asked.lastEventId ?? 0), { tag: 'whole' })(sink, signal);
    },
    freeKv: () => undefined,
  };
  let body = '';
  let ended: Pick<Served, 'end' | 'endedAt'> | undefined;
  function end(result: Served['end']): void {
    ended = { end: result, endedAt: world.now() };
  }
  const writer: ResponseWriter = {
    head: () => undefined,
    chunk: (bytes) => void (body += bytes.toString('latin1')),
    end: () => end('whole'),
    abort: () => end('cut'),
    respond: () => end('rejected'),
    reject: () => end('rejected'),
  };
  const handler = createRequestHandler(
    world,
    {
      zone: 'z',
      regionOf: () => 'r',
      retryBudget: { ratio: 0.2, slack: 50, window: 10 * second, routerCount: () => 1 },
      ...(options.heldBytes === undefined ? {} : { heldBytes: createByteBudget(options.heldBytes) }),
    },
    { workers: port },
  );
  handler.updateRoutes(routeTable(options.resumable));
  const workers = options.workers ?? decodeWorkers;
  handler.updateWorkers(options.prefill === undefined ? workers : [workerOf(2, 'prefill'), ...workers]);
  const request = options.prefill === undefined ? incoming : { ...incoming, promptTokens: 9000 };
  const segments = [{ id: 'a', tokens: request.promptTokens }];
  const sent = { ...request, method: options.method ?? request.method, promptSegments: segments };
  void handler.serve(sent, writer, new AbortController().signal);
  await runUntil(() => ended !== undefined);
  const lastEventIds = parameters.slice(1).map(({ lastEventId }) => lastEventId);
  const malformed = logged.filter(({ event }) => event === 5111).map(({ fields }) => fields);
  return { body, ...ended!, lastEventIds, logged: malformed, metrics: handler.metrics() };
}

const whole: RunResult = { tag: 'whole' };
const foreign: RunResult = { tag: 'unknown', reason: 'response to another request', malformed: true };
const cases: Readonly<Record<string, readonly [script: RunScript, soundEvents: number, why: string]>> = {
  'a head of another response': [async () => foreign, 0, 'response to another request'],
  'no event': [streamOf([], whole), 0, 'end before an event'],
  'foreign bytes before the first event': [streamOf(['%%\n\n', ...events], whole), 0, 'unknown line'],
  'a first event that is not the first': [streamOf([events[1]!], whole), 0, 'id out of order'],
  'foreign bytes between events': [streamOf([events[0]!, '%%\n\n', events[1]!], whole), 1, 'unknown line'],
  'foreign bytes between events, then silence': [streamOf([events[0]!, '%%\n\n'], 'silence'), 1, 'unknown line'],
  'an event without an id, then silence': [streamOf([events[0]!, 'data: x\n\n'], 'silence'), 1, 'event without id'],
  'an event that is missing': [streamOf([events[0]!, events[2]!], whole), 1, 'id out of order'],
  'an event that comes twice': [streamOf([events[0]!, ...events], whole), 1, 'id out of order'],
  'foreign bytes inside an event': [streamOf([events[0]!, 'id: 2\n\u0000'], 'silence'), 1, 'unknown line'],
  'an event that does not end': [
    streamOf([events[0]!, `id: 2\ndata: ${'x'.repeat(5e5)}`], 'silence'),
    1,
    'event too long',
  ],
  'a normal end inside an event': [streamOf([events[0]!, 'id: 2\ndata: x'], whole), 1, 'end inside an event'],
  'foreign bytes after events, in one piece': [streamOf([`${events[0]}${events[1]}%%`], whole), 2, 'unknown line'],
};

it.each(Object.entries(cases))('ORDER: ends the attempt at once on %s', async (_kind, [script, soundEvents, why]) => {
  const sound = events.slice(0, soundEvents).join('');
  const cut = await serve(script, { resumable: false });
  expect(cut).toMatchObject({ body: sound, end: why.includes('another') ? 'rejected' : 'cut', lastEventIds: [] });
  expect(cut.endedAt).toBeLessThan(second);
  expect(cut.logged).toMatchObject([{ kind: 'run', request: 'q', why, lastEventId: soundEvents, omitted: 0 }]);
  expect(cut.metrics).toMatchObject({ heldBytes: 0, counts: { 'malformed run': 1 } });
  expect(cut.metrics['workers']).toContainEqual(expect.objectContaining({ malformed: 1, failures: 1 }));

  const resumed = await serve(script, { resumable: true });
  expect(resumed).toMatchObject({ body: events.join(''), end: 'whole' });
  expect(resumed.lastEventIds).toEqual([soundEvents === 0 ? undefined : soundEvents]);
  expect(resumed.endedAt).toBeLessThan(second);
});

it.each([
  [204, 'response without a body'],
  [205, 'response without a body'],
  [206, 'partial response'],
])('MIXED: takes no response with status %d for a stream, and starts none with it', async (status, why) => {
  async function script(sink: ResponseSink, signal: AbortSignal): Promise<RunResult> {
    head(sink, status);
    return signal.aborted ? { tag: 'unknown', reason: 'left' } : whole;
  }
  const rejected = await serve(script, { resumable: false });
  expect(rejected).toMatchObject({ body: '', end: 'rejected', lastEventIds: [], logged: [{ why }] });
  const resumed = await serve(script, { resumable: true });
  expect(resumed).toMatchObject({ body: events.join(''), end: 'whole', lastEventIds: [undefined] });
});

it('ORDER: never takes a resumed stream for complete at the end of a run that sent nothing', async () => {
  const broken = streamOf([events[0]!], { tag: 'unknown', reason: 'reset' });
  const served = await serve(broken, { resumable: true, secondRun: streamOf([], whole) });
  expect(served).toMatchObject({ body: events[0], end: 'cut', lastEventIds: [1] });
  expect(served.logged).toMatchObject([{ why: 'end before an event', lastEventId: 1 }]);
});

it('expects no events in the response to a HEAD request', async () => {
  const served = await serve(streamOf([], whole), { resumable: true, method: 'HEAD' });
  expect(served).toMatchObject({ body: '', end: 'whole', lastEventIds: [], logged: [] });
});

it('resumes at the same worker where no other one is left', async () => {
  const garbled = streamOf([events[0]!, '%%\n\n'], 'silence');
  const served = await serve(garbled, { resumable: true, workers: [decodeWorkers[0]!] });
  expect(served).toMatchObject({ body: events.join(''), end: 'whole', lastEventIds: [1] });
});

it('records a prefill whose response is not the one asked for, and runs the request without it', async () => {
  const prefill: PrefillResult = { tag: 'unknown', reason: 'prefill response without a valid handle', malformed: true };
  const served = await serve(streamOf(events, whole), { resumable: true, prefill });
  expect(served).toMatchObject({ body: events.join(''), end: 'whole' });
  expect(served.logged).toMatchObject([{ kind: 'read', why: prefill.reason }]);
  expect(served.metrics).toMatchObject({ counts: { 'malformed read': 1 } });
});

it('ends the stream that holds the most once all streams hold more than the budget', async () => {
  const unfinished = streamOf([events[0]!, `id: 2\ndata: ${'x'.repeat(20_000)}`], 'silence');
  const served = await serve(unfinished, { resumable: true, heldBytes: 10_000 });
  expect(served).toMatchObject({ body: events.join(''), end: 'whole', lastEventIds: [1] });
  expect(served.logged).toMatchObject([{ why: 'out of memory for streams' }]);
});
