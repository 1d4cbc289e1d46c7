/**
 * The request handler in virtual time, one request at a time, with workers whose behavior is scripted or generated:
 * which attempts are made at which workers, and when an attempt starts after the previous one failed.
 */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createVirtualClock, createSeededRandom, type Micros } from '@tansypost/inner-protocol';
import type { Route, RouteTable } from '@tansypost/paths';
import type { defaultPairCosts } from './assign-worker-pair.js';
import { createRequestHandler, type RequestHandler } from './request-handler.js';
import type { IncomingRequest } from './incoming-request.js';
import type { Rejection, PrefillResult, ResponseWriter, RunResult, ResponseSink, WorkerPort } from './ports.js';
import type { FleetWorker, ReportedLoad } from './worker-fleet.js';

const second = 1_000_000;
const targetLatency = 0.8 * second;
const routeTimeout = 8 * second;
const body = Buffer.from('x');

interface Attempt {
  /** `read` is a prefill; so is the result `read` of one that succeeded. */
  readonly kind: 'read' | 'run';
  readonly worker: string;
  readonly remainingTime: number;
  readonly startedAt: number;
  endedAt: number | undefined;
  result: (PrefillResult | RunResult)['tag'] | undefined;
}
type WorkerBehavior<R> = (attempt: Attempt, signal: AbortSignal, sink: ResponseSink | undefined) => Promise<R>;
interface Script {
  readonly prefill: WorkerBehavior<PrefillResult>;
  readonly run: WorkerBehavior<RunResult>;
}
interface ClientResponse {
  readonly time: number;
  /** `failed`: a worker's error response was forwarded; `cut`: the handler aborted a started response. */
  readonly result: 'whole' | 'failed' | 'cut' | Rejection;
  readonly status?: number;
  /** The value of the `Seal` header, which shows whose error response was forwarded. */
  readonly seal?: string;
}
interface Outcome {
  readonly attempts: Attempt[];
  readonly freedHandles: string[];
  readonly response: ClientResponse | undefined;
  readonly responseStarted: boolean;
  /** Tenants for which `requestStarted` was called. */
  readonly startedTenants: readonly string[];
}

/** Ends only when the handler aborts the attempt. */
function neverAnswers(signal: AbortSignal): Promise<{ readonly tag: 'unknown'; readonly reason: string }> {
  return new Promise((done) => {
    signal.addEventListener('abort', () => done({ tag: 'unknown', reason: 'left' }), { once: true });
  });
}

/** The prefill workers are `reader0`, `reader1` and so on, the decode workers `runner0`, `runner1` and so on. */
function createWorkers(prefillWorkers: number, decodeWorkers: number): FleetWorker[] {
  return [...Array(prefillWorkers + decodeWorkers).keys()].map((i) => ({
    id: i < prefillWorkers ? `reader${i}` : `runner${i - prefillWorkers}`,
    service: 's',
    address: `10.0.0.${i}:1`,
    zone: 'z',
    slots: 8,
    part: i < prefillWorkers ? 'prefill' : 'decode',
    leaving: false,
  }));
}
function routeTable(overrides: Partial<Route>): RouteTable {
  return {
    revision: 1,
    routes: [
      {
        name: 'p',
        host: 'h',
        prefix: '/',
        timeout: routeTimeout,
        targetLatency,
        maxEventGap: 300_000,
        priority: 0,
        streaming: true,
        idempotent: false,
        resumable: true,
        maxAttempts: 2,
        weightedServices: [{ service: 's', weight: 1 }],
        ...overrides,
      },
    ],
    services: [{ name: 's', healthPath: '/', maxConnections: 10, slots: 8, kvBytesPerToken: 1000, linkMbps: 10_000 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
  } as unknown as RouteTable;
}
const incoming: IncomingRequest = {
  id: 'q',
  method: 'POST',
  target: '/x',
  host: 'h',
  headers: [],
  body,
  promptTokens: 4000,
  maxOutputTokens: 10,
  promptSegments: [
    { id: 'a', tokens: 3000 },
    { id: 'b', tokens: 1000 },
  ],
  timeout: routeTimeout,
  lastEventId: undefined,
};

interface Scenario {
  /** When the handler receives its routes and workers; before the request by default. */
  readonly routesAt?: number;
  readonly workersAt?: number;
  /** The load that a worker reports; one active run by default. */
  readonly load?: (id: string) => Partial<ReportedLoad>;
  readonly request?: Partial<IncomingRequest>;
  readonly pairCosts?: Partial<typeof defaultPairCosts>;
  readonly route?: Partial<Route>;
  readonly retrySlack?: number;
  readonly prefillWorkers?: number;
  readonly decodeWorkers?: number;
  /** When the router rejects unstarted requests during its shutdown. */
  readonly rejectUnstartedAt?: number;
}
async function runRequest(script: Script, scenario: Scenario = {}): Promise<Outcome> {
  const { world, runUntil } = createVirtualClock();
  const attempts: Attempt[] = [];
  const freedHandles: string[] = [];
  const workers = createWorkers(scenario.prefillWorkers ?? 3, scenario.decodeWorkers ?? 3);
  let response: ClientResponse | undefined;
  let responseStarted = false;
  const startedTenants: string[] = [];

  async function attempt<R extends PrefillResult | RunResult>(
    kind: Attempt['kind'],
    worker: FleetWorker,
    remainingTime: number,
    behave: (record: Attempt) => Promise<R>,
  ): Promise<R> {
    const record: Attempt = {
      kind,
      worker: worker.id,
      remainingTime,
      startedAt: world.now(),
      endedAt: undefined,
      result: undefined,
    };
    attempts.push(record);
    const result = await behave(record);
    record.endedAt = world.now();
    record.result = result.tag;
    return result;
  }
  const port: WorkerPort = {
    prefill: (worker, _request, remainingTime, _urgency, signal) =>
      attempt('read', worker, remainingTime, (record) => script.prefill(record, signal, undefined)),
    run: (worker, _request, parameters, sink, signal) =>
      attempt('run', worker, parameters.remainingTime, (record) => script.run(record, signal, sink)),
    freeKv: (_worker, handle) => void freedHandles.push(handle),
  };
  function end(result: ClientResponse['result'], more: { status?: number; seal?: string } = {}): void {
    if (response !== undefined) throw new Error('The handler ended the response twice.');
    response = { time: world.now(), result, ...more };
  }
  const writer: ResponseWriter = {
    head: () => {
      responseStarted = true;
    },
    chunk: () => undefined,
    end: () => end('whole'),
    abort: () => end('cut'),
    respond: (failure) => end('failed', { status: failure.status, seal: failure.headers[1]! }),
    reject: (rejection) => end(rejection),
  };
  const handler: RequestHandler = createRequestHandler(
    world,
    {
      zone: 'z',
      regionOf: () => 'r',
      retryBudget: { ratio: 0.2, slack: scenario.retrySlack ?? 50, window: 10 * second, routerCount: () => 1 },
      ...(scenario.pairCosts === undefined ? {} : { pairCosts: scenario.pairCosts }),
    },
    { workers: port, requestStarted: (tenant) => startedTenants.push(tenant) },
  );
  runAt(scenario.routesAt, () => handler.updateRoutes(routeTable(scenario.route ?? {})));
  runAt(scenario.workersAt, () => handler.updateWorkers(workers));
  /** Runs at once if `time` is undefined. */
  function runAt(time: number | undefined, run: () => void): void {
    if (time === undefined) run();
    else world.after(time as Micros, run);
  }
  if (scenario.rejectUnstartedAt !== undefined) runAt(scenario.rejectUnstartedAt, handler.rejectUnstarted);
  // All workers report their load regularly, so none of them counts as unresponsive.
  function reportLoads(): void {
    const load = { queued: 0, active: 1, kvUsed: 0.1, unresponsive: false, reportedAt: world.now() };
    for (const worker of workers) handler.updateLoad(worker.id, { ...load, ...scenario.load?.(worker.id) });
    world.after(second as Micros, reportLoads);
  }
  reportLoads();
  const servePromise = handler.serve({ ...incoming, ...scenario.request }, writer, new AbortController().signal);
  await runUntil(() => response !== undefined);
  await servePromise;
  return {
    attempts,
    freedHandles,
    response,
    responseStarted,
    startedTenants,
  };
}

function prefillSucceeds(attempt: Attempt): Promise<PrefillResult> {
  return Promise.resolve({ tag: 'read', kvHandle: `handle of ${attempt.worker}`, tokens: 1 });
}
/** Sends two events; runs that break send the first of them. */
function runSucceeds(_attempt: Attempt, _signal: AbortSignal, sink: ResponseSink | undefined): Promise<RunResult> {
  sink!.head({ status: 200, headers: ['Seal', 'seal'] });
  void sink!.chunk(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n'));
  return Promise.resolve({ tag: 'whole' });
}
/** The first attempt gets no answer; later ones follow `behavior`. */
function firstUnanswered<R>(
  behavior: WorkerBehavior<R>,
): WorkerBehavior<R | { readonly tag: 'unknown'; readonly reason: string }> {
  let first = true;
  return (attempt, signal, sink) => {
    if (!first) return behavior(attempt, signal, sink);
    first = false;
    return neverAnswers(signal);
  };
}
function describeAttempts(outcome: Outcome): string {
  return outcome.attempts.map((attempt) => `${attempt.kind} ${attempt.result}`).join(', ');
}

/** The load function of a scenario whose decode workers are so busy that a prefill worker gets even a short prompt. */
function busyDecodeWorkers(id: string): Partial<ReportedLoad> {
  return id.startsWith('runner') ? { active: 8 } : {};
}

/** The first prefill has the given result, later ones succeed. */
function firstPrefillReturns(result: PrefillResult): WorkerBehavior<PrefillResult> {
  let isLater = false;
  return (attempt) => {
    if (isLater) return prefillSucceeds(attempt);
    isLater = true;
    return Promise.resolve(result);
  };
}
it('counts the wait for routes against the timeout of the route', async () => {
  const timeout = second;
  const routesAt = 0.1 * second;
  const outcome = await runRequest(
    { prefill: prefillSucceeds, run: (_attempt, signal) => neverAnswers(signal) },
    { routesAt, route: { timeout, maxAttempts: 1 } },
  );
  expect(outcome.attempts.map((attempt) => attempt.startedAt)).toEqual([routesAt, routesAt]);
  expect(outcome.attempts.map((attempt) => attempt.remainingTime)).toEqual([timeout - routesAt, timeout - routesAt]);
  expect(outcome.response).toMatchObject({ time: timeout, result: { kind: 'budget_spent', ran: 'maybe' } });
});

it("gives each attempt, also a late one, only the time that remains of the client's timeout", async () => {
  const timeout = 4 * second;
  const outcome = await runRequest(
    { prefill: prefillSucceeds, run: firstUnanswered(runSucceeds) },
    { request: { timeout } },
  );
  expect(outcome.response?.result).toBe('whole');
  // The first run is abandoned after 0.4 s at the earliest (`kvRunTimeout`).
  expect(outcome.attempts.at(-1)!.startedAt).toBeGreaterThan(0.35 * second);
  for (const attempt of outcome.attempts) expect(attempt.remainingTime).toBe(timeout - attempt.startedAt);
});

it('rejects requests after a fifth of the target latency where no workers are known, and after 150 ms where no routes are', async () => {
  const rejection = { kind: 'not_ready', ran: 'no', retryAfterSeconds: 1.2 };
  const noWorkers = await runRequest({ prefill: prefillSucceeds, run: runSucceeds }, { workersAt: second });
  expect(noWorkers.response).toMatchObject({ time: targetLatency / 5, result: rejection });
  const laterRoutes = { route: { targetLatency: 2 * targetLatency }, routesAt: targetLatency / 8, workersAt: second };
  const lateRoutes = await runRequest({ prefill: prefillSucceeds, run: runSucceeds }, laterRoutes);
  expect(lateRoutes.response).toMatchObject({ time: (2 * targetLatency) / 5, result: rejection });
  const noRoutes = await runRequest({ prefill: prefillSucceeds, run: runSucceeds }, { routesAt: second });
  expect(noRoutes.response).toMatchObject({ time: 150_000, result: rejection });
  for (const outcome of [noWorkers, lateRoutes, noRoutes]) expect(outcome.attempts).toEqual([]);
});

it('serves waiting requests as soon as routes and workers are known', async () => {
  const outcome = await runRequest(
    { prefill: prefillSucceeds, run: runSucceeds },
    { routesAt: 0.05 * second, workersAt: 0.1 * second },
  );
  expect([outcome.response?.result, outcome.response?.time]).toEqual(['whole', 0.1 * second]);
});

const refusedPrefill: PrefillResult = { tag: 'refused', reason: 'full', misdirected: false };
const lostPrefill: PrefillResult = { tag: 'unknown', reason: 'reset' };

it('retries a refused prefill at another prefill worker at once, and runs with its KV cache', async () => {
  const outcome = await runRequest({ prefill: firstPrefillReturns(refusedPrefill), run: runSucceeds });
  expect([outcome.response?.result, outcome.response?.time, describeAttempts(outcome)]).toEqual([
    'whole',
    0,
    'read refused, read read, run whole',
  ]);
});

it('retries a lost prefill only where that retry and the run stay within the maximum attempts', async () => {
  for (const maxAttempts of [2, 3]) {
    const outcome = await runRequest(
      { prefill: firstPrefillReturns(lostPrefill), run: runSucceeds },
      { route: { maxAttempts } },
    );
    expect([outcome.response?.result, outcome.response?.time, describeAttempts(outcome)]).toEqual([
      'whole',
      0,
      'read unknown, read read, run whole',
    ]);
  }
  for (const first of [lostPrefill, refusedPrefill]) {
    const outcome = await runRequest(
      { prefill: firstPrefillReturns(first), run: runSucceeds },
      { route: { maxAttempts: 1 } },
    );
    expect([outcome.response?.result, outcome.response?.time, describeAttempts(outcome)]).toEqual([
      'whole',
      0,
      `read ${first.tag}, run whole`,
    ]);
  }
});

it('prefills a prompt at most twice, and counts the second prefill against the maximum attempts', async () => {
  const lost = await runRequest(
    { prefill: () => Promise.resolve(lostPrefill), run: runSucceeds },
    { route: { maxAttempts: 4 } },
  );
  expect([lost.response?.result, describeAttempts(lost)]).toEqual(['whole', 'read unknown, read unknown, run whole']);
  const runUnanswered = await runRequest({
    prefill: firstPrefillReturns(lostPrefill),
    run: () => Promise.resolve({ tag: 'unknown', reason: '' }),
  });
  expect([describeAttempts(runUnanswered), runUnanswered.response?.result]).toEqual([
    'read unknown, read read, run unknown',
    expect.objectContaining({ kind: 'outcome_unknown', ran: 'maybe' }),
  ]);
});

it('sends a request without a prompt only to a decode worker, since a prefill worker would run it', async () => {
  const request = { promptTokens: 0, promptSegments: [] };
  const outcome = await runRequest(
    { prefill: prefillSucceeds, run: runSucceeds },
    { request, load: busyDecodeWorkers, pairCosts: { interferenceCost: 1000 } },
  );
  expect(describeAttempts(outcome)).toBe('run whole');
});

it('abandons a prefill that gets no answer from a worker which still reports its load, long before the deadline', async () => {
  const outcome = await runRequest({ prefill: firstUnanswered<PrefillResult>(prefillSucceeds), run: runSucceeds });
  expect([outcome.response?.result, describeAttempts(outcome)]).toEqual([
    'whole',
    'read unknown, read read, run whole',
  ]);
  expect(outcome.response!.time).toBeLessThanOrEqual(targetLatency);
});

it('abandons the prefill of a short prompt early enough for another worker to meet the target latency', async () => {
  const request = { promptTokens: 600, promptSegments: [{ id: 'a', tokens: 600 }] };
  function script(): Script {
    return { prefill: firstUnanswered<PrefillResult>(prefillSucceeds), run: runSucceeds };
  }
  const outcome = await runRequest(script(), {
    request,
    load: busyDecodeWorkers,
    route: { maxAttempts: 1, idempotent: false, resumable: false },
  });
  expect([outcome.response?.result, describeAttempts(outcome)]).toEqual(['whole', 'read unknown, run whole']);
  expect(outcome.response!.time).toBeLessThanOrEqual(0.6 * targetLatency);
  const longPromptOutcome = await runRequest(script(), { request: { promptTokens: 40_000, promptSegments: [] } });
  expect(longPromptOutcome.response!.time).toBeGreaterThanOrEqual(targetLatency);
});

it('abandons an unanswered run only where the request may run at another worker', async () => {
  const outcome = await runRequest({ prefill: prefillSucceeds, run: firstUnanswered<RunResult>(runSucceeds) });
  expect([outcome.response?.result, describeAttempts(outcome)]).toEqual(['whole', 'read read, run unknown, run whole']);
  expect(outcome.response!.time).toBeLessThan(targetLatency);
  const notResumable = await runRequest(
    { prefill: prefillSucceeds, run: firstUnanswered<RunResult>(runSucceeds) },
    { route: { resumable: false } },
  );
  expect([describeAttempts(notResumable), notResumable.response?.time]).toEqual([
    'read read, run unknown',
    routeTimeout,
  ]);
  expect(notResumable.response?.result).toMatchObject({ kind: 'budget_spent', ran: 'maybe' });
});

it('abandons no worker where the retry budget is exhausted or no other worker exists', async () => {
  // Without slack, the retry budget of a router that has just started allows a single request no retry.
  for (const scenario of [{ retrySlack: 0 }, { decodeWorkers: 1 }]) {
    const outcome = await runRequest(
      { prefill: prefillSucceeds, run: firstUnanswered<RunResult>(runSucceeds) },
      scenario,
    );
    expect([describeAttempts(outcome), outcome.response?.time]).toEqual(['read read, run unknown', routeTimeout]);
  }
});

/** A run that sends its first event and then nothing. */
function stallsMidStream(_attempt: Attempt, signal: AbortSignal, sink: ResponseSink | undefined): Promise<RunResult> {
  sink!.head({ status: 200, headers: ['Seal', 'seal'] });
  void sink!.chunk(Buffer.from('id: 1\ndata: a\n\n'));
  return neverAnswers(signal);
}
function firstStallsMidStream(): WorkerBehavior<RunResult> {
  let first = true;
  return (attempt, signal, sink) => {
    const behavior = first ? stallsMidStream : runSucceeds;
    first = false;
    return behavior(attempt, signal, sink);
  };
}

it('abandons a stalled stream where another worker is available to resume it', async () => {
  const outcome = await runRequest({ prefill: prefillSucceeds, run: firstStallsMidStream() });
  expect([outcome.response?.result, describeAttempts(outcome)]).toEqual(['whole', 'read read, run unknown, run whole']);
  expect(outcome.response!.time).toBeLessThan(1.1 * second);
});

function breaksMidStream(_attempt: Attempt, _signal: AbortSignal, sink: ResponseSink | undefined): Promise<RunResult> {
  sink!.head({ status: 200, headers: ['Seal', 'seal'] });
  void sink!.chunk(Buffer.from('id: 1\ndata: a\n\n'));
  return Promise.resolve({ tag: 'unknown', reason: 'reset' });
}
function breaksBeforeResponse(): Promise<RunResult> {
  return Promise.resolve({ tag: 'unknown', reason: 'reset' });
}
function unreachable(): Promise<RunResult> {
  return Promise.resolve({ tag: 'unsent', reason: 'refused' });
}
/** The n-th run follows the n-th behavior. */
function sequence(...behaviors: readonly WorkerBehavior<RunResult>[]): WorkerBehavior<RunResult> {
  let runCount = 0;
  return (attempt, signal, sink) => behaviors[runCount++]!(attempt, signal, sink);
}
function decodeWorkersOf(outcome: Outcome): string[] {
  return outcome.attempts.filter((attempt) => attempt.kind === 'run').map((attempt) => attempt.worker);
}

it('retries once at the worker whose connection broke, as it has the prompt in its KV cache, and then at another', async () => {
  for (const broken of [breaksMidStream, breaksBeforeResponse]) {
    const outcome = await runRequest(
      { prefill: prefillSucceeds, run: sequence(broken, broken, runSucceeds) },
      { route: { maxAttempts: 3 } },
    );
    expect([outcome.response?.result, outcome.response?.time]).toEqual(['whole', 0]);
    const [first, second, third] = decodeWorkersOf(outcome);
    expect([second, third === first]).toEqual([first, false]);
  }
});

it("reports the start of a tenant's request once, however many runs it takes, and never without a run", async () => {
  const request = { tenant: 'acme' };
  const twice = await runRequest(
    { prefill: prefillSucceeds, run: sequence(breaksMidStream, breaksMidStream, runSucceeds) },
    { request, route: { maxAttempts: 3 } },
  );
  expect([twice.response?.result, decodeWorkersOf(twice).length, twice.startedTenants]).toEqual(['whole', 3, ['acme']]);
  const brokenBeforeResponse = await runRequest(
    { prefill: prefillSucceeds, run: sequence(breaksBeforeResponse, runSucceeds) },
    { request },
  );
  expect([brokenBeforeResponse.response?.result, brokenBeforeResponse.startedTenants]).toEqual(['whole', ['acme']]);
  const neverRan = await runRequest({ prefill: prefillSucceeds, run: () => unreachable() }, { request });
  expect(neverRan.startedTenants).toEqual([]);
  const withoutTenant = await runRequest({ prefill: prefillSucceeds, run: runSucceeds });
  expect([withoutTenant.response?.result, withoutTenant.startedTenants]).toEqual(['whole', []]);
});

it('runs at another worker where the one whose connection broke is unreachable, or where a stalled one was abandoned', async () => {
  const broken = await runRequest({
    prefill: prefillSucceeds,
    run: sequence(breaksMidStream, unreachable, runSucceeds),
  });
  expect([broken.response?.result, broken.response?.time]).toEqual(['whole', 0]);
  expect(new Set(decodeWorkersOf(broken)).size).toBe(2);
  const abandoned = await runRequest({ prefill: prefillSucceeds, run: sequence(stallsMidStream, runSucceeds) });
  expect([abandoned.response?.result, new Set(decodeWorkersOf(abandoned)).size]).toEqual(['whole', 2]);
});

it('waits for a stalled stream until the deadline where no other worker is available', async () => {
  const others = /^runner[12]$/;
  const full = { load: (id: string) => (others.test(id) ? { queued: 9 } : {}) };
  const unresponsive = { load: (id: string) => (others.test(id) ? { unresponsive: true } : {}) };
  for (const scenario of [{ decodeWorkers: 1 }, { retrySlack: 0 }, { route: { maxAttempts: 1 } }, full, unresponsive]) {
    const outcome = await runRequest({ prefill: prefillSucceeds, run: firstStallsMidStream() }, scenario);
    expect([describeAttempts(outcome), outcome.response?.result, outcome.response?.time]).toEqual([
      'read read, run unknown',
      'cut',
      routeTimeout,
    ]);
  }
});

it('waits for a started response of a request that is idempotent but not resumable', async () => {
  const route = { idempotent: true, resumable: false };
  const started = await runRequest({ prefill: prefillSucceeds, run: firstStallsMidStream() }, { route });
  expect([describeAttempts(started), started.response?.result, started.response?.time]).toEqual([
    'read read, run unknown',
    'cut',
    routeTimeout,
  ]);
  const unstarted = await runRequest(
    { prefill: prefillSucceeds, run: firstUnanswered<RunResult>(runSucceeds) },
    { route },
  );
  expect([describeAttempts(unstarted), unstarted.response?.result]).toEqual([
    'read read, run unknown, run whole',
    'whole',
  ]);
});

it('rejects at the deadline during a prefill, guarantees that nothing ran, and starts no run', async () => {
  const outcome = await runRequest(
    { prefill: (_attempt, signal) => neverAnswers(signal), run: runSucceeds },
    { retrySlack: 0, route: { timeout: second } },
  );
  expect(outcome.attempts.map((attempt) => attempt.kind)).toEqual(['read']);
  expect(outcome.response).toMatchObject({
    time: second,
    result: { kind: 'budget_spent', ran: 'no', retryAfterSeconds: 0.3 },
  });
});

it('frees the KV cache where no worker can be reached to run the request', async () => {
  const outcome = await runRequest({
    prefill: prefillSucceeds,
    run: () => Promise.resolve({ tag: 'unsent', reason: '' }),
  });
  expect(outcome.freedHandles.length).toBe(1);
  expect(outcome.response?.result).toMatchObject({ ran: 'no', retryAfterSeconds: 0.3 });
});

const behaviors = fc.record({
  tag: fc.constantFrom('good', 'unsent', 'refused', 'misdirected', 'failed', 'unknown', 'broken', 'never'),
  /** An attempt with a value above 1.9 s, about one in twenty, is not answered, as with the tag `never`. */
  unansweredDraw: fc.integer({ min: 0, max: 2 * second }),
});

it('starts each attempt as soon as the previous one failed, runs non-resumable requests once, and respects the maximum attempts', async () => {
  const countsByResult = new Map<string, number>();
  await fc.assert(
    fc.asyncProperty(
      fc.array(behaviors, { minLength: 8, maxLength: 8 }),
      fc.record({ resumable: fc.boolean(), maxAttempts: fc.integer({ min: 1, max: 4 }) }),
      fc.constantFrom(0, 50),
      async (drawn, route, retrySlack) => {
        let attemptCount = 0;
        const statuses = new Map<string, number>();
        function drawnBehavior(
          success: WorkerBehavior<PrefillResult | RunResult>,
        ): WorkerBehavior<PrefillResult | RunResult> {
          return async (attempt, signal, sink) => {
            const { tag, unansweredDraw } = drawn[(attemptCount += 1) % drawn.length]!;
            // Workers answer at once or never, so any gap between the end of an attempt and the next is a delay by the
            // handler.
            if (tag === 'never' || unansweredDraw > 1.9 * second) return neverAnswers(signal);
            const failure = {
              status: 500 + attemptCount,
              headers: ['Seal', `seal of ${attempt.worker} ${500 + attemptCount}`],
              body,
            };
            statuses.set(failure.headers[1]!, failure.status);
            if (tag === 'good') return success(attempt, signal, sink);
            if (tag === 'unsent') return { tag, reason: '' };
            if (tag === 'refused' || tag === 'misdirected')
              return { tag: 'refused', reason: '', misdirected: tag === 'misdirected', response: failure };
            if (tag === 'failed' && attempt.kind === 'run') return { tag, response: failure };
            if (tag === 'broken' && attempt.kind === 'run') {
              sink!.head({ status: 200, headers: ['Seal', 'seal'] });
              void sink!.chunk(Buffer.from('id: 1\ndata: a\n\n'));
            }
            return { tag: 'unknown', reason: '' };
          };
        }
        const outcome = await runRequest(
          {
            prefill: drawnBehavior(prefillSucceeds as WorkerBehavior<PrefillResult>) as WorkerBehavior<PrefillResult>,
            run: drawnBehavior(runSucceeds as WorkerBehavior<RunResult>) as WorkerBehavior<RunResult>,
          },
          { route, retrySlack },
        );
        const result = outcome.response!.result;
        const name = typeof result === 'string' ? result : `${result.kind} ${result.ran}`;
        countsByResult.set(name, (countsByResult.get(name) ?? 0) + 1);

        outcome.attempts.forEach((attempt, i) =>
          expect((outcome.attempts[i + 1]?.startedAt ?? outcome.response!.time) - attempt.endedAt!).toBe(0),
        );
        for (const attempt of outcome.attempts) expect(attempt.remainingTime).toBeGreaterThan(0);
        const runs = outcome.attempts.filter((attempt) => attempt.kind === 'run' && attempt.result !== 'unsent');
        const mayHaveRun = runs.filter((attempt) => attempt.result !== 'refused');
        expect(runs.length).toBeLessThanOrEqual(route.maxAttempts);
        const prefills = outcome.attempts.filter((attempt) => attempt.kind === 'read' && attempt.result !== 'unsent');
        if (prefills.length > 1) expect(prefills.length + runs.length).toBeLessThanOrEqual(route.maxAttempts + 1);
        if (!route.resumable) expect(mayHaveRun.length).toBeLessThanOrEqual(1);
        if (typeof result === 'object') {
          if (mayHaveRun.length > 0) expect(result.ran).toBe('maybe');
          if (result.ran === 'no') expect(result.retryAfterSeconds).toBeGreaterThan(0);
        }
        if (result === 'failed') expect(outcome.response!.status).toBe(statuses.get(outcome.response!.seal!));
      },
    ),
    { seed: 517, numRuns: 1000 },
  );
  for (const name of ['whole', 'failed', 'cut', 'outcome_unknown maybe', 'workers_refused no', 'no_workers no'])
    expect([name, (countsByResult.get(name) ?? 0) > 3]).toEqual([name, true]);
});

it('rejects unstarted requests at shutdown, and states that nothing ran only where no run was started', async () => {
  const rejectAt = 0.3 * second;
  const duringPrefill = await runRequest(
    { prefill: (_attempt, signal) => neverAnswers(signal), run: runSucceeds },
    { rejectUnstartedAt: rejectAt, route: { maxAttempts: 1 } },
  );
  expect(duringPrefill.response).toMatchObject({
    time: rejectAt,
    result: { kind: 'budget_spent', ran: 'no', retryAfterSeconds: 0.3 },
  });
  const duringRun = await runRequest(
    { prefill: prefillSucceeds, run: (_attempt, signal) => neverAnswers(signal) },
    { rejectUnstartedAt: rejectAt, route: { maxAttempts: 1 } },
  );
  expect(duringRun.response).toMatchObject({ time: rejectAt, result: { kind: 'budget_spent', ran: 'maybe' } });
  expect(duringRun.attempts.map((attempt) => attempt.kind)).toEqual(['read', 'run']);
});

it('lets started responses complete at shutdown', async () => {
  let finish: (() => void) | undefined;
  /** Ends when the load function of the scenario is called again, at 1 s. */
  function endsAtNextLoadReport(
    _attempt: Attempt,
    signal: AbortSignal,
    sink: ResponseSink | undefined,
  ): Promise<RunResult> {
    sink!.head({ status: 200, headers: [] });
    void sink!.chunk(Buffer.from('id: 1\ndata: a\n\n'));
    return new Promise((done) => {
      finish = () => {
        finish = undefined;
        void sink!.chunk(Buffer.from('id: 2\ndata: b\n\n'));
        done({ tag: 'whole' });
      };
      signal.addEventListener('abort', () => done({ tag: 'unknown', reason: 'left' }), { once: true });
    });
  }
  const outcomePromise = runRequest(
    { prefill: prefillSucceeds, run: endsAtNextLoadReport },
    { rejectUnstartedAt: 0.3 * second, load: () => (finish?.(), {}) },
  );
  expect((await outcomePromise).response).toMatchObject({ result: 'whole', time: second });
});

const retryBudget = { ratio: 1, slack: 50, window: 10 * second, routerCount: () => 1 };
function ignore(): undefined {
  return undefined;
}
const ignoredResponse: ResponseWriter = {
  head: ignore,
  chunk: ignore,
  end: ignore,
  abort: ignore,
  respond: ignore,
  reject: ignore,
};

it('aborts the attempt at once when the client disconnects, and makes no other', async () => {
  const disconnectedAt = 0.3 * second;
  const clock = createVirtualClock();
  const aborted: number[] = [];
  let attempts = 0;
  function recordAttempt(signal: AbortSignal): Promise<{ readonly tag: 'unknown'; readonly reason: string }> {
    attempts += 1;
    signal.addEventListener('abort', () => aborted.push(clock.world.now()));
    return neverAnswers(signal);
  }
  const handler = createRequestHandler(
    clock.world,
    { zone: 'z', regionOf: () => 'r', retryBudget },
    {
      workers: {
        prefill: (_worker, _request, _remainingTime, _urgency, signal) => recordAttempt(signal),
        run: (_worker, _request, _parameters, _sink, signal) => recordAttempt(signal),
        freeKv: ignore,
      },
    },
  );
  handler.updateRoutes(routeTable({ idempotent: true, maxAttempts: 3 }));
  handler.updateWorkers(createWorkers(3, 3));
  const client = new AbortController();
  const servePromise = handler.serve(incoming, ignoredResponse, client.signal);
  clock.world.after(disconnectedAt as Micros, () => client.abort());
  await clock.runTo(4 * second);
  await servePromise;
  expect([attempts, aborted]).toEqual([1, [disconnectedAt]]);
});

it('distributes the requests of a route over its services by weight', async () => {
  const clock = createVirtualClock({ random: createSeededRandom(4) });
  const counts = new Map<string, number>();
  const workers = ['a', 'b', 'c'].map((service, i) => ({
    ...createWorkers(0, 1)[0]!,
    id: service,
    service,
    address: `w${i}:1`,
  }));
  const handler = createRequestHandler(
    clock.world,
    { zone: 'z', regionOf: () => 'r', retryBudget },
    {
      workers: {
        prefill: () => Promise.resolve(lostPrefill),
        run: (worker, _request, _parameters, sink) => {
          counts.set(worker.service, (counts.get(worker.service) ?? 0) + 1);
          sink.head({ status: 200, headers: [] });
          void sink.chunk(Buffer.from('id: 1\ndata: a\n\n'));
          return Promise.resolve({ tag: 'whole' });
        },
        freeKv: ignore,
      },
    },
  );
  const table = routeTable({});
  const weights = { a: 70, b: 25, c: 5 };
  const weightedServices = Object.entries(weights).map(([service, weight]) => ({ service, weight }));
  const services = weightedServices.map(({ service }) => ({ ...table.services[0]!, name: service }));
  handler.updateRoutes({
    ...table,
    routes: table.routes.map((route) => ({ ...route, weightedServices })),
    services,
  });
  handler.updateWorkers(workers);
  for (let i = 0; i < 2000; i += 1) await handler.serve(incoming, ignoredResponse, new AbortController().signal);
  for (const [service, weight] of Object.entries(weights))
    expect(Math.abs((counts.get(service) ?? 0) / 2000 - weight / 100)).toBeLessThan(0.03);
});
