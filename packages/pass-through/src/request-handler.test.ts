/**
 * The request handler in virtual time, one request at a time, with workers whose behavior is scripted or generated:
 * which attempts are made at which workers, and when each one follows the failure of the previous one.
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
  readonly result: 'whole' | 'failed' | 'cut' | Rejection;
  readonly status?: number;
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

function neverAnswers(signal: AbortSignal): Promise<{ readonly tag: 'unknown'; readonly reason: string }> {
  return new Promise((done) => {
    signal.addEventListener('abort', () => done({ tag: 'unknown', reason: 'left' }), { once: true });
  });
}

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
    answer: (record: Attempt) => Promise<R>,
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
    const result = await answer(record);
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
    if (response !== undefined) throw new Error('answered twice');
    response = { time: world.now(), result, ...more };
  }
  const writer: ResponseWriter = {
    head: () => {
      responseStarted = true;
    },
    chunk: () => undefined,
    end: () => end('whole'),
    abort: () => end('cut'),
    respond: (h) => end('failed', { status: h.status, seal: h.headers[1]! }),
    reject: (g) => end(g),
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
  at(scenario.routesAt, () => handler.updateRoutes(routeTable(scenario.route ?? {})));
  at(scenario.workersAt, () => handler.updateWorkers(workers));
  function at(time: number | undefined, run: () => void): void {
    if (time === undefined) run();
    else world.after(time as Micros, run);
  }
  if (scenario.rejectUnstartedAt !== undefined) at(scenario.rejectUnstartedAt, handler.rejectUnstarted);
  // All workers report their load regularly, so none of them counts as unresponsive.
  function reportLoads(): void {
    const load = { queued: 0, active: 1, kvUsed: 0.1, unresponsive: false, reportedAt: world.now() };
    for (const worker of workers) handler.updateLoad(worker.id, { ...load, ...scenario.load?.(worker.id) });
    world.after(second as Micros, reportLoads);
  }
  reportLoads();
  const served = handler.serve({ ...incoming, ...scenario.request }, writer, new AbortController().signal);
  await runUntil(() => response !== undefined);
  await served;
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
function runSucceeds(_attempt: Attempt, _signal: AbortSignal, sink: ResponseSink | undefined): Promise<RunResult> {
  sink!.head({ status: 200, headers: ['Seal', 'seal'] });
  void sink!.chunk(Buffer.from('id: 1\n\n'));
  return Promise.resolve({ tag: 'whole' });
}
/** Leaves the first attempt unanswered; later ones behave as given. */
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
function attemptsOf(outcome: Outcome): string {
  return outcome.attempts.map((attempt) => `${attempt.kind} ${attempt.result}`).join(', ');
}

/** Decode workers so busy that even a short prompt is sent to a prefill worker. */
function busyDecodeWorkers(id: string): Partial<ReportedLoad> {
  return id.startsWith('runner') ? { active: 8 } : {};
}

/** The first prefill has the given result, later ones succeed. */
function firstPrefill(result: PrefillResult): WorkerBehavior<PrefillResult> {
  let isLater = false;
  return (attempt) => {
    if (isLater) return prefillSucceeds(attempt);
    isLater = true;
    return Promise.resolve(result);
  };
}
it('counts the wait for a starting router against the timeout of the route', async () => {
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

it("gives each attempt only the time that remains of the client's timeout, also a late one", async () => {
  const timeout = 4 * second;
  const outcome = await runRequest(
    { prefill: prefillSucceeds, run: firstUnanswered(runSucceeds) },
    { request: { timeout } },
  );
  expect(outcome.response?.result).toBe('whole');
  expect(outcome.attempts.at(-1)!.startedAt).toBeGreaterThan(0.35 * second);
  for (const attempt of outcome.attempts) expect(attempt.remainingTime).toBe(timeout - attempt.startedAt);
});

it('rejects unrun requests that waited for workers or routes within a quarter of the target latency', async () => {
  const refused = { kind: 'not_ready', ran: 'no', retryAfterSeconds: 1.2 };
  const noWorkers = await runRequest({ prefill: prefillSucceeds, run: runSucceeds }, { workersAt: second });
  expect(noWorkers.response).toMatchObject({ time: targetLatency / 5, result: refused });
  const later = { route: { targetLatency: 2 * targetLatency }, routesAt: targetLatency / 8, workersAt: second };
  const late = await runRequest({ prefill: prefillSucceeds, run: runSucceeds }, later);
  expect(late.response).toMatchObject({ time: (2 * targetLatency) / 5, result: refused });
  const noRoutes = await runRequest({ prefill: prefillSucceeds, run: runSucceeds }, { routesAt: second });
  expect(noRoutes.response).toMatchObject({ time: 150_000, result: refused });
  for (const outcome of [noWorkers, late, noRoutes]) expect(outcome.attempts).toEqual([]);
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
  const outcome = await runRequest({ prefill: firstPrefill(refusedPrefill), run: runSucceeds });
  expect([outcome.response?.result, outcome.response?.time, attemptsOf(outcome)]).toEqual([
    'whole',
    0,
    'read refused, read read, run whole',
  ]);
});

it('retries a lost prefill only where that retry and the run stay within the maximum attempts', async () => {
  for (const sends of [2, 3]) {
    const outcome = await runRequest(
      { prefill: firstPrefill(lostPrefill), run: runSucceeds },
      { route: { maxAttempts: sends } },
    );
    expect([outcome.response?.result, outcome.response?.time, attemptsOf(outcome)]).toEqual([
      'whole',
      0,
      'read unknown, read read, run whole',
    ]);
  }
  for (const first of [lostPrefill, refusedPrefill]) {
    const outcome = await runRequest({ prefill: firstPrefill(first), run: runSucceeds }, { route: { maxAttempts: 1 } });
    expect([outcome.response?.result, outcome.response?.time, attemptsOf(outcome)]).toEqual([
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
  expect([lost.response?.result, attemptsOf(lost)]).toEqual(['whole', 'read unknown, read unknown, run whole']);
  const none = await runRequest({
    prefill: firstPrefill(lostPrefill),
    run: () => Promise.resolve({ tag: 'unknown', reason: '' }),
  });
  expect([attemptsOf(none), none.response?.result]).toEqual([
    'read unknown, read read, run unknown',
    expect.objectContaining({ kind: 'outcome_unknown', ran: 'maybe' }),
  ]);
});

it('sends a request without a prompt to no prefill worker, which would run it', async () => {
  const request = { promptTokens: 0, promptSegments: [] };
  const outcome = await runRequest(
    { prefill: prefillSucceeds, run: runSucceeds },
    { request, load: busyDecodeWorkers, pairCosts: { interferenceCost: 1000 } },
  );
  expect(attemptsOf(outcome)).toBe('run whole');
});

it('abandons a prefill that a responsive worker does not answer, long before the deadline of the request', async () => {
  const outcome = await runRequest({ prefill: firstUnanswered<PrefillResult>(prefillSucceeds), run: runSucceeds });
  expect([outcome.response?.result, attemptsOf(outcome)]).toEqual(['whole', 'read unknown, read read, run whole']);
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
  expect([outcome.response?.result, attemptsOf(outcome)]).toEqual(['whole', 'read unknown, run whole']);
  expect(outcome.response!.time).toBeLessThanOrEqual(0.6 * targetLatency);
  const long = await runRequest(script(), { request: { promptTokens: 40_000, promptSegments: [] } });
  expect(long.response!.time).toBeGreaterThanOrEqual(targetLatency);
});

it('abandons an unanswered run only where the request may run at another worker', async () => {
  const outcome = await runRequest({ prefill: prefillSucceeds, run: firstUnanswered<RunResult>(runSucceeds) });
  expect([outcome.response?.result, attemptsOf(outcome)]).toEqual(['whole', 'read read, run unknown, run whole']);
  expect(outcome.response!.time).toBeLessThan(targetLatency);
  const once = await runRequest(
    { prefill: prefillSucceeds, run: firstUnanswered<RunResult>(runSucceeds) },
    { route: { resumable: false } },
  );
  expect([attemptsOf(once), once.response?.time]).toEqual(['read read, run unknown', routeTimeout]);
  expect(once.response?.result).toMatchObject({ kind: 'budget_spent', ran: 'maybe' });
});

it('abandons no worker where the retry budget is exhausted or no other worker exists', async () => {
  for (const scenario of [{ retrySlack: 0 }, { decodeWorkers: 1 }]) {
    const outcome = await runRequest(
      { prefill: prefillSucceeds, run: firstUnanswered<RunResult>(runSucceeds) },
      scenario,
    );
    expect([attemptsOf(outcome), outcome.response?.time]).toEqual(['read read, run unknown', routeTimeout]);
  }
});

/** A run that sends its first event and then nothing. */
function stallsMidStream(_attempt: Attempt, signal: AbortSignal, sink: ResponseSink | undefined): Promise<RunResult> {
  sink!.head({ status: 200, headers: ['Seal', 'seal'] });
  void sink!.chunk(Buffer.from('id: 1\n\n'));
  return neverAnswers(signal);
}
function firstStallsMidStream(): WorkerBehavior<RunResult> {
  let first = true;
  return (attempt, signal, sink) => {
    const answer = first ? stallsMidStream : runSucceeds;
    first = false;
    return answer(attempt, signal, sink);
  };
}

it('abandons a stalled stream where another worker is available to resume it', async () => {
  const outcome = await runRequest({ prefill: prefillSucceeds, run: firstStallsMidStream() });
  expect([outcome.response?.result, attemptsOf(outcome)]).toEqual(['whole', 'read read, run unknown, run whole']);
  expect(outcome.response!.time).toBeLessThan(1.1 * second);
});

function breaksMidStream(_attempt: Attempt, _signal: AbortSignal, sink: ResponseSink | undefined): Promise<RunResult> {
  sink!.head({ status: 200, headers: ['Seal', 'seal'] });
  void sink!.chunk(Buffer.from('id: 1\n\n'));
  return Promise.resolve({ tag: 'unknown', reason: 'reset' });
}
function breaksBeforeResponse(): Promise<RunResult> {
  return Promise.resolve({ tag: 'unknown', reason: 'reset' });
}
function unreachable(): Promise<RunResult> {
  return Promise.resolve({ tag: 'unsent', reason: 'refused' });
}
/** Runs behave as given, one after the other. */
function sequence(...behaviors: readonly WorkerBehavior<RunResult>[]): WorkerBehavior<RunResult> {
  let turn = 0;
  return (attempt, signal, sink) => behaviors[turn++]!(attempt, signal, sink);
}
function decodeWorkersOf(outcome: Outcome): string[] {
  return outcome.attempts.filter((attempt) => attempt.kind === 'run').map((attempt) => attempt.worker);
}

it('retries a worker whose connection broke once, as it has the prompt cached, and then another', async () => {
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

it('reports the start of a request of a tenant once for all its runs, and never without a run', async () => {
  const request = { tenant: 'acme' };
  const twice = await runRequest(
    { prefill: prefillSucceeds, run: sequence(breaksMidStream, breaksMidStream, runSucceeds) },
    { request, route: { maxAttempts: 3 } },
  );
  expect([twice.response?.result, decodeWorkersOf(twice).length, twice.startedTenants]).toEqual(['whole', 3, ['acme']]);
  const late = await runRequest(
    { prefill: prefillSucceeds, run: sequence(breaksBeforeResponse, runSucceeds) },
    { request },
  );
  expect([late.response?.result, late.startedTenants]).toEqual(['whole', ['acme']]);
  const none = await runRequest({ prefill: prefillSucceeds, run: () => unreachable() }, { request });
  expect(none.startedTenants).toEqual([]);
  const nobody = await runRequest({ prefill: prefillSucceeds, run: runSucceeds });
  expect([nobody.response?.result, nobody.startedTenants]).toEqual(['whole', []]);
});

it('goes to another worker where the one whose connection broke is unreachable or was abandoned', async () => {
  const broken = await runRequest({
    prefill: prefillSucceeds,
    run: sequence(breaksMidStream, unreachable, runSucceeds),
  });
  expect([broken.response?.result, broken.response?.time]).toEqual(['whole', 0]);
  expect(new Set(decodeWorkersOf(broken)).size).toBe(2);
  const left = await runRequest({ prefill: prefillSucceeds, run: sequence(stallsMidStream, runSucceeds) });
  expect([left.response?.result, new Set(decodeWorkersOf(left)).size]).toEqual(['whole', 2]);
});

it('waits for a stalled stream until the deadline where no other worker is available', async () => {
  const others = /^runner[12]$/;
  const full = { load: (id: string) => (others.test(id) ? { queued: 9 } : {}) };
  const silent = { load: (id: string) => (others.test(id) ? { unresponsive: true } : {}) };
  for (const scenario of [{ decodeWorkers: 1 }, { retrySlack: 0 }, { route: { maxAttempts: 1 } }, full, silent]) {
    const outcome = await runRequest({ prefill: prefillSucceeds, run: firstStallsMidStream() }, scenario);
    expect([attemptsOf(outcome), outcome.response?.result, outcome.response?.time]).toEqual([
      'read read, run unknown',
      'cut',
      routeTimeout,
    ]);
  }
});

it('waits for a started response of a request that is idempotent but not resumable', async () => {
  const route = { idempotent: true, resumable: false };
  const started = await runRequest({ prefill: prefillSucceeds, run: firstStallsMidStream() }, { route });
  expect([attemptsOf(started), started.response?.result, started.response?.time]).toEqual([
    'read read, run unknown',
    'cut',
    routeTimeout,
  ]);
  const unstarted = await runRequest(
    { prefill: prefillSucceeds, run: firstUnanswered<RunResult>(runSucceeds) },
    { route },
  );
  expect([attemptsOf(unstarted), unstarted.response?.result]).toEqual(['read read, run unknown, run whole', 'whole']);
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

it('frees the KV cache of a request that no worker is left to run', async () => {
  const outcome = await runRequest({
    prefill: prefillSucceeds,
    run: () => Promise.resolve({ tag: 'unsent', reason: '' }),
  });
  expect(outcome.freedHandles.length).toBe(1);
  expect(outcome.response?.result).toMatchObject({ ran: 'no', retryAfterSeconds: 0.3 });
});

const behaviors = fc.record({
  tag: fc.constantFrom('good', 'unsent', 'refused', 'misdirected', 'failed', 'unknown', 'broken', 'never'),
  delay: fc.integer({ min: 0, max: 2 * second }),
});

it('makes attempts without delay, runs non-resumable requests once, and respects the maximum attempts', async () => {
  const ends = new Map<string, number>();
  await fc.assert(
    fc.asyncProperty(
      fc.array(behaviors, { minLength: 8, maxLength: 8 }),
      fc.record({ resumable: fc.boolean(), maxAttempts: fc.integer({ min: 1, max: 4 }) }),
      fc.constantFrom(0, 50),
      async (drawn, route, retrySlack) => {
        let turn = 0;
        const statuses = new Map<string, number>();
        function behaving(good: WorkerBehavior<PrefillResult | RunResult>): WorkerBehavior<PrefillResult | RunResult> {
          return async (attempt, signal, sink) => {
            const { tag, delay } = drawn[(turn += 1) % drawn.length]!;
            // Workers answer at once unless they are silent, so any other time that passes is an idle delay.
            if (tag === 'never' || delay > 1.9 * second) return neverAnswers(signal);
            const failure = { status: 500 + turn, headers: ['Seal', `seal of ${attempt.worker} ${500 + turn}`], body };
            statuses.set(failure.headers[1]!, failure.status);
            if (tag === 'good') return good(attempt, signal, sink);
            if (tag === 'unsent') return { tag, reason: '' };
            if (tag === 'refused' || tag === 'misdirected')
              return { tag: 'refused', reason: '', misdirected: tag === 'misdirected', response: failure };
            if (tag === 'failed' && attempt.kind === 'run') return { tag, response: failure };
            if (tag === 'broken' && attempt.kind === 'run') {
              sink!.head({ status: 200, headers: ['Seal', 'seal'] });
              void sink!.chunk(Buffer.from('id: 1\n\n'));
            }
            return { tag: 'unknown', reason: '' };
          };
        }
        const outcome = await runRequest(
          {
            prefill: behaving(prefillSucceeds as WorkerBehavior<PrefillResult>) as WorkerBehavior<PrefillResult>,
            run: behaving(runSucceeds as WorkerBehavior<RunResult>) as WorkerBehavior<RunResult>,
          },
          { route, retrySlack },
        );
        const result = outcome.response!.result;
        const name = typeof result === 'string' ? result : `${result.kind} ${result.ran}`;
        ends.set(name, (ends.get(name) ?? 0) + 1);

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
  for (const end of ['whole', 'failed', 'cut', 'outcome_unknown maybe', 'workers_refused no', 'no_workers no'])
    expect([end, (ends.get(end) ?? 0) > 3]).toEqual([end, true]);
});

it('rejects unstarted requests at shutdown, and guarantees that nothing ran only where that holds', async () => {
  const rejectAt = 0.3 * second;
  const unread = await runRequest(
    { prefill: (_attempt, signal) => neverAnswers(signal), run: runSucceeds },
    { rejectUnstartedAt: rejectAt, route: { maxAttempts: 1 } },
  );
  expect(unread.response).toMatchObject({
    time: rejectAt,
    result: { kind: 'budget_spent', ran: 'no', retryAfterSeconds: 0.3 },
  });
  const running = await runRequest(
    { prefill: prefillSucceeds, run: (_attempt, signal) => neverAnswers(signal) },
    { rejectUnstartedAt: rejectAt, route: { maxAttempts: 1 } },
  );
  expect(running.response).toMatchObject({ time: rejectAt, result: { kind: 'budget_spent', ran: 'maybe' } });
  expect(running.attempts.map((attempt) => attempt.kind)).toEqual(['read', 'run']);
});

it('lets started responses complete at shutdown', async () => {
  let finish: (() => void) | undefined;
  function waitsForLoadReport(
    _attempt: Attempt,
    signal: AbortSignal,
    sink: ResponseSink | undefined,
  ): Promise<RunResult> {
    sink!.head({ status: 200, headers: [] });
    return new Promise((done) => {
      finish = () => done({ tag: 'whole' });
      signal.addEventListener('abort', () => done({ tag: 'unknown', reason: 'left' }), { once: true });
    });
  }
  const playing = runRequest(
    { prefill: prefillSucceeds, run: waitsForLoadReport },
    { rejectUnstartedAt: 0.3 * second, load: () => (finish?.(), {}) },
  );
  expect((await playing).response).toMatchObject({ result: 'whole', time: second });
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
  const leftAt = 0.3 * second;
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
  const served = handler.serve(incoming, ignoredResponse, client.signal);
  clock.world.after(leftAt as Micros, () => client.abort());
  await clock.runTo(4 * second);
  await served;
  expect([attempts, aborted]).toEqual([1, [leftAt]]);
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
