/**
 * The course of single requests in virtual time, with workers that answer as drawn or as scripted: what is sent to
 * whom and when, between the failure of one attempt and the next one or the answer.
 */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createVirtualClock, createSeededRandom, type Micros } from '@tansypost/inner-protocol';
import type { Route, RouteTable } from '@tansypost/paths';
import type { defaultPairCosts } from './assign-pair.js';
import { createRequestHandler, type RequestHandler } from './course.js';
import type { IncomingRequest } from './incoming.js';
import type { Rejection, PrefillResult, ResponseWriter, RunResult, ResponseSink, WorkerPort } from './ports.js';
import type { FleetWorker, ReportedLoad } from './worker-fleet.js';

const second = 1_000_000;
const aim = 0.8 * second;
const limit = 8 * second;
const body = Buffer.from('x');

interface Attempt {
  readonly kind: 'read' | 'run';
  readonly worker: string;
  readonly left: number;
  readonly from: number;
  to: number | undefined;
  result: (PrefillResult | RunResult)['tag'] | undefined;
}
type Answering<R> = (attempt: Attempt, gone: AbortSignal, sink: ResponseSink | undefined) => Promise<R>;
interface Script {
  readonly read: Answering<PrefillResult>;
  readonly run: Answering<RunResult>;
}
interface Ended {
  readonly at: number;
  readonly how: 'whole' | 'failed' | 'cut' | Rejection;
  readonly status?: number;
  readonly seal?: string;
}
interface Played {
  readonly attempts: Attempt[];
  readonly freed: string[];
  readonly ended: Ended | undefined;
  readonly began: boolean;
  /** Tenants whose requests were said to have begun to run. */
  readonly begunFor: readonly string[];
}

function never(gone: AbortSignal): Promise<{ readonly tag: 'unknown'; readonly reason: string }> {
  return new Promise((done) => {
    gone.addEventListener('abort', () => done({ tag: 'unknown', reason: 'left' }), { once: true });
  });
}

function fleetOf(readers: number, runners: number): FleetWorker[] {
  return [...Array(readers + runners).keys()].map((i) => ({
    id: i < readers ? `reader${i}` : `runner${i - readers}`,
    service: 's',
    address: `10.0.0.${i}:1`,
    zone: 'z',
    slots: 8,
    part: i < readers ? 'prefill' : 'decode',
    leaving: false,
  }));
}
function tableOf(over: Partial<Route>): RouteTable {
  return {
    revision: 1,
    routes: [
      {
        name: 'p',
        host: 'h',
        prefix: '/',
        timeout: limit,
        targetLatency: aim,
        maxEventGap: 300_000,
        priority: 0,
        streaming: true,
        idempotent: false,
        resumable: true,
        maxAttempts: 2,
        weightedServices: [{ service: 's', weight: 1 }],
        ...over,
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
  timeout: limit,
  lastEventId: undefined,
};

interface Setting {
  /** When the router is told its routes and its workers, if not before the request. */
  readonly pathsAt?: number;
  readonly workersAt?: number;
  /** What each worker tells of its load, where it is not one run. */
  readonly load?: (id: string) => Partial<ReportedLoad>;
  readonly request?: Partial<IncomingRequest>;
  readonly pair?: Partial<typeof defaultPairCosts>;
  readonly path?: Partial<Route>;
  readonly always?: number;
  readonly readers?: number;
  readonly runners?: number;
  /** When the router gives up on what has not begun, as it is about to end. */
  readonly leavesAt?: number;
}
async function play(script: Script, setting: Setting = {}): Promise<Played> {
  const { world, runUntil } = createVirtualClock();
  const attempts: Attempt[] = [];
  const freed: string[] = [];
  const workers = fleetOf(setting.readers ?? 3, setting.runners ?? 3);
  let ended: Ended | undefined;
  let began = false;
  const begunFor: string[] = [];

  async function attempt<R extends PrefillResult | RunResult>(
    kind: Attempt['kind'],
    worker: FleetWorker,
    left: number,
    answer: (a: Attempt) => Promise<R>,
  ): Promise<R> {
    const a: Attempt = { kind, worker: worker.id, left, from: world.now(), to: undefined, result: undefined };
    attempts.push(a);
    const result = await answer(a);
    a.to = world.now();
    a.result = result.tag;
    return result;
  }
  const port: WorkerPort = {
    prefill: (w, _q, left, _urgency, gone) => attempt('read', w, left, (a) => script.read(a, gone, undefined)),
    run: (w, _q, t, sink, gone) => attempt('run', w, t.remainingTime, (a) => script.run(a, gone, sink)),
    freeKv: (_w, handle) => void freed.push(handle),
  };
  function end(how: Ended['how'], more: { status?: number; seal?: string } = {}): void {
    if (ended !== undefined) throw new Error('answered twice');
    ended = { at: world.now(), how, ...more };
  }
  const reply: ResponseWriter = {
    head: () => {
      began = true;
    },
    chunk: () => undefined,
    end: () => end('whole'),
    abort: () => end('cut'),
    respond: (h) => end('failed', { status: h.status, seal: h.headers[1]! }),
    reject: (g) => end(g),
  };
  const course: RequestHandler = createRequestHandler(
    world,
    {
      zone: 'z',
      regionOf: () => 'r',
      retryBudget: { ratio: 0.2, slack: setting.always ?? 50, window: 10 * second, routerCount: () => 1 },
      ...(setting.pair === undefined ? {} : { pairCosts: setting.pair }),
    },
    { workers: port, requestStarted: (tenant) => begunFor.push(tenant) },
  );
  at(setting.pathsAt, () => course.updateRoutes(tableOf(setting.path ?? {})));
  at(setting.workersAt, () => course.updateWorkers(workers));
  function at(when: number | undefined, run: () => void): void {
    if (when === undefined) run();
    else world.after(when as Micros, run);
  }
  if (setting.leavesAt !== undefined) at(setting.leavesAt, course.rejectUnstarted);
  // All workers tell their load all the time: none of them is silent to everybody.
  function tellLoads(): void {
    const usual = { queued: 0, active: 1, kvUsed: 0.1, unresponsive: false, reportedAt: world.now() };
    for (const w of workers) course.updateLoad(w.id, { ...usual, ...setting.load?.(w.id) });
    world.after(second as Micros, tellLoads);
  }
  tellLoads();
  const served = course.serve({ ...incoming, ...setting.request }, reply, new AbortController().signal);
  await runUntil(() => ended !== undefined);
  await served;
  return { attempts, freed, ended, began, begunFor };
}

function readAt(a: Attempt): Promise<PrefillResult> {
  return Promise.resolve({ tag: 'read', kvHandle: `handle of ${a.worker}`, tokens: 1 });
}
function wholeRun(_a: Attempt, _gone: AbortSignal, sink: ResponseSink | undefined): Promise<RunResult> {
  sink!.head({ status: 200, headers: ['Seal', 'seal'] });
  void sink!.chunk(Buffer.from('id: 1\n\n'));
  return Promise.resolve({ tag: 'whole' });
}
/** The first attempt of a kind is left unanswered, the later ones are answered. */
function firstSilent<R>(later: Answering<R>): Answering<R | { readonly tag: 'unknown'; readonly reason: string }> {
  let first = true;
  return (a, gone, sink) => {
    if (!first) return later(a, gone, sink);
    first = false;
    return never(gone);
  };
}
function kinds(x: Played): string {
  return x.attempts.map((a) => `${a.kind} ${a.result}`).join(', ');
}

/** Runners that have enough to do for a short prompt to be read apart. */
function busyRunners(id: string): Partial<ReportedLoad> {
  return id.startsWith('runner') ? { active: 8 } : {};
}

/** The first read ends as given, any later one is answered. */
function firstRead(first: PrefillResult): Answering<PrefillResult> {
  let begun = false;
  return (a) => {
    if (begun) return readAt(a);
    begun = true;
    return Promise.resolve(first);
  };
}
it('counts the wait for a starting router within the time that the route allows', async () => {
  const budget = second;
  const pathsAt = 0.1 * second;
  const x = await play(
    { read: readAt, run: (_a, gone) => never(gone) },
    { pathsAt, path: { timeout: budget, maxAttempts: 1 } },
  );
  expect(x.attempts.map((a) => a.from)).toEqual([pathsAt, pathsAt]);
  expect(x.attempts.map((a) => a.left)).toEqual([budget - pathsAt, budget - pathsAt]);
  expect(x.ended).toMatchObject({ at: budget, how: { kind: 'budget_spent', ran: 'maybe' } });
});

it("hands each attempt no more time than is left of the client's, also one that comes late", async () => {
  const patience = 4 * second;
  const x = await play({ read: readAt, run: firstSilent(wholeRun) }, { request: { timeout: patience } });
  expect(x.ended?.how).toBe('whole');
  expect(x.attempts.at(-1)!.from).toBeGreaterThan(0.35 * second);
  for (const attempt of x.attempts) expect(attempt.left).toBe(patience - attempt.from);
});

it('refuses, unrun, what waited for the workers or the routes, within a quarter of its aim', async () => {
  const refused = { kind: 'not_ready', ran: 'no', retryAfter: 1.2 };
  const noWorkers = await play({ read: readAt, run: wholeRun }, { workersAt: second });
  expect(noWorkers.ended).toMatchObject({ at: aim / 5, how: refused });
  const later = { path: { targetLatency: 2 * aim }, pathsAt: aim / 8, workersAt: second };
  const late = await play({ read: readAt, run: wholeRun }, later);
  expect(late.ended).toMatchObject({ at: (2 * aim) / 5, how: refused });
  const noPaths = await play({ read: readAt, run: wholeRun }, { pathsAt: second });
  expect(noPaths.ended).toMatchObject({ at: 150_000, how: refused });
  for (const x of [noWorkers, late, noPaths]) expect(x.attempts).toEqual([]);
});

it('serves what waited as soon as routes and workers are known', async () => {
  const x = await play({ read: readAt, run: wholeRun }, { pathsAt: 0.05 * second, workersAt: 0.1 * second });
  expect([x.ended?.how, x.ended?.at]).toEqual(['whole', 0.1 * second]);
});

const refusedRead: PrefillResult = { tag: 'refused', reason: 'full', misdirected: false };
const lostRead: PrefillResult = { tag: 'unknown', reason: 'reset' };

it('asks another reader at once where a read was turned away, and runs what that one read', async () => {
  const x = await play({ read: firstRead(refusedRead), run: wholeRun });
  expect([x.ended?.how, x.ended?.at, kinds(x)]).toEqual(['whole', 0, 'read refused, read read, run whole']);
});

it('asks another reader after a lost read only where that read and the run stay within the most sends', async () => {
  for (const sends of [2, 3]) {
    const x = await play({ read: firstRead(lostRead), run: wholeRun }, { path: { maxAttempts: sends } });
    expect([x.ended?.how, x.ended?.at, kinds(x)]).toEqual(['whole', 0, 'read unknown, read read, run whole']);
  }
  for (const first of [lostRead, refusedRead]) {
    const x = await play({ read: firstRead(first), run: wholeRun }, { path: { maxAttempts: 1 } });
    expect([x.ended?.how, x.ended?.at, kinds(x)]).toEqual(['whole', 0, `read ${first.tag}, run whole`]);
  }
});

it('reads at most twice for a request, and sends no more after reads and a run than the most sends', async () => {
  const lost = await play({ read: () => Promise.resolve(lostRead), run: wholeRun }, { path: { maxAttempts: 4 } });
  expect([lost.ended?.how, kinds(lost)]).toEqual(['whole', 'read unknown, read unknown, run whole']);
  const none = await play({ read: firstRead(lostRead), run: () => Promise.resolve({ tag: 'unknown', reason: '' }) });
  expect([kinds(none), none.ended?.how]).toEqual([
    'read unknown, read read, run unknown',
    expect.objectContaining({ kind: 'outcome_unknown', ran: 'maybe' }),
  ]);
});

it('has nothing read apart that has no prompt, since a reader would run it', async () => {
  const request = { promptTokens: 0, promptSegments: [] };
  const x = await play(
    { read: readAt, run: wholeRun },
    { request, load: busyRunners, pair: { interferenceCost: 1000 } },
  );
  expect(kinds(x)).toBe('run whole');
});

it('leaves a read that a worker which answers others does not answer, long before the request runs out', async () => {
  const x = await play({ read: firstSilent<PrefillResult>(readAt), run: wholeRun });
  expect([x.ended?.how, kinds(x)]).toEqual(['whole', 'read unknown, read read, run whole']);
  expect(x.ended!.at).toBeLessThanOrEqual(aim);
});

it('leaves a read of a short prompt, which waits behind no others, in time for another worker to be within the aim', async () => {
  const request = { promptTokens: 600, promptSegments: [{ id: 'a', tokens: 600 }] };
  function script(): Script {
    return { read: firstSilent<PrefillResult>(readAt), run: wholeRun };
  }
  const x = await play(script(), {
    request,
    load: busyRunners,
    path: { maxAttempts: 1, idempotent: false, resumable: false },
  });
  expect([x.ended?.how, kinds(x)]).toEqual(['whole', 'read unknown, run whole']);
  expect(x.ended!.at).toBeLessThanOrEqual(0.6 * aim);
  const long = await play(script(), { request: { promptTokens: 40_000, promptSegments: [] } });
  expect(long.ended!.at).toBeGreaterThanOrEqual(aim);
});

it('leaves a run that is not answered where another worker may take it up, and only there', async () => {
  const x = await play({ read: readAt, run: firstSilent<RunResult>(wholeRun) });
  expect([x.ended?.how, kinds(x)]).toEqual(['whole', 'read read, run unknown, run whole']);
  expect(x.ended!.at).toBeLessThan(aim);
  const once = await play({ read: readAt, run: firstSilent<RunResult>(wholeRun) }, { path: { resumable: false } });
  expect([kinds(once), once.ended?.at]).toEqual(['read read, run unknown', limit]);
  expect(once.ended?.how).toMatchObject({ kind: 'budget_spent', ran: 'maybe' });
});

it('leaves nobody where no extra send is in the budget, or no other worker is there', async () => {
  for (const setting of [{ always: 0 }, { runners: 1 }]) {
    const x = await play({ read: readAt, run: firstSilent<RunResult>(wholeRun) }, setting);
    expect([kinds(x), x.ended?.at]).toEqual(['read read, run unknown', limit]);
  }
});

/** A run that sends its first event and then nothing more. */
function silentMidway(_a: Attempt, gone: AbortSignal, sink: ResponseSink | undefined): Promise<RunResult> {
  sink!.head({ status: 200, headers: ['Seal', 'seal'] });
  void sink!.chunk(Buffer.from('id: 1\n\n'));
  return never(gone);
}
function silentMidwayFirst(): Answering<RunResult> {
  let first = true;
  return (a, gone, sink) => {
    const answer = first ? silentMidway : wholeRun;
    first = false;
    return answer(a, gone, sink);
  };
}

it('leaves a stream that falls silent where another worker is available to go on with it', async () => {
  const x = await play({ read: readAt, run: silentMidwayFirst() });
  expect([x.ended?.how, kinds(x)]).toEqual(['whole', 'read read, run unknown, run whole']);
  expect(x.ended!.at).toBeLessThan(1.1 * second);
});

function brokenMidway(_a: Attempt, _gone: AbortSignal, sink: ResponseSink | undefined): Promise<RunResult> {
  sink!.head({ status: 200, headers: ['Seal', 'seal'] });
  void sink!.chunk(Buffer.from('id: 1\n\n'));
  return Promise.resolve({ tag: 'unknown', reason: 'reset' });
}
function brokenUnanswered(): Promise<RunResult> {
  return Promise.resolve({ tag: 'unknown', reason: 'reset' });
}
function unreachable(): Promise<RunResult> {
  return Promise.resolve({ tag: 'unsent', reason: 'refused' });
}
/** Runs end as given, one after the other. */
function inTurn(...answers: readonly Answering<RunResult>[]): Answering<RunResult> {
  let turn = 0;
  return (a, gone, sink) => answers[turn++]!(a, gone, sink);
}
function runnersOf(x: Played): string[] {
  return x.attempts.filter((a) => a.kind === 'run').map((a) => a.worker);
}

it('asks the worker again whose connection broke in a run, since it has the prompt, and then another', async () => {
  for (const broken of [brokenMidway, brokenUnanswered]) {
    const x = await play({ read: readAt, run: inTurn(broken, broken, wholeRun) }, { path: { maxAttempts: 3 } });
    expect([x.ended?.how, x.ended?.at]).toEqual(['whole', 0]);
    const [first, second, third] = runnersOf(x);
    expect([second, third === first]).toEqual([first, false]);
  }
});

it('says once that a request of a tenant has begun to run, however many workers run it, and never what did not run', async () => {
  const request = { tenant: 'acme' };
  const twice = await play(
    { read: readAt, run: inTurn(brokenMidway, brokenMidway, wholeRun) },
    { request, path: { maxAttempts: 3 } },
  );
  expect([twice.ended?.how, runnersOf(twice).length, twice.begunFor]).toEqual(['whole', 3, ['acme']]);
  const late = await play({ read: readAt, run: inTurn(brokenUnanswered, wholeRun) }, { request });
  expect([late.ended?.how, late.begunFor]).toEqual(['whole', ['acme']]);
  const none = await play({ read: readAt, run: () => unreachable() }, { request });
  expect(none.begunFor).toEqual([]);
  const nobody = await play({ read: readAt, run: wholeRun });
  expect([nobody.ended?.how, nobody.begunFor]).toEqual(['whole', []]);
});

it('goes to another worker where the one whose connection broke cannot be reached, or was left', async () => {
  const gone = await play({ read: readAt, run: inTurn(brokenMidway, unreachable, wholeRun) });
  expect([gone.ended?.how, gone.ended?.at]).toEqual(['whole', 0]);
  expect(new Set(runnersOf(gone)).size).toBe(2);
  const left = await play({ read: readAt, run: inTurn(silentMidway, wholeRun) });
  expect([left.ended?.how, new Set(runnersOf(left)).size]).toEqual(['whole', 2]);
});

it('waits for a stream that falls silent to the end of its time where no other worker is available', async () => {
  const others = /^runner[12]$/;
  const full = { load: (id: string) => (others.test(id) ? { queued: 9 } : {}) };
  const silent = { load: (id: string) => (others.test(id) ? { unresponsive: true } : {}) };
  for (const setting of [{ runners: 1 }, { always: 0 }, { path: { maxAttempts: 1 } }, full, silent]) {
    const x = await play({ read: readAt, run: silentMidwayFirst() }, setting);
    expect([kinds(x), x.ended?.how, x.ended?.at]).toEqual(['read read, run unknown', 'cut', limit]);
  }
});

it('waits for an answer that has begun and may be repeated, but not be resumed', async () => {
  const path = { idempotent: true, resumable: false };
  const begun = await play({ read: readAt, run: silentMidwayFirst() }, { path });
  expect([kinds(begun), begun.ended?.how, begun.ended?.at]).toEqual(['read read, run unknown', 'cut', limit]);
  const unbegun = await play({ read: readAt, run: firstSilent<RunResult>(wholeRun) }, { path });
  expect([kinds(unbegun), unbegun.ended?.how]).toEqual(['read read, run unknown, run whole', 'whole']);
});

it('answers at once when the time has run out in a read, promises that nothing ran, and begins no run', async () => {
  const x = await play({ read: (_a, gone) => never(gone), run: wholeRun }, { always: 0, path: { timeout: second } });
  expect(x.attempts.map((a) => a.kind)).toEqual(['read']);
  expect(x.ended).toMatchObject({ at: second, how: { kind: 'budget_spent', ran: 'no', retryAfter: 0.3 } });
});

it('frees what was read for a request that no worker is left to run', async () => {
  const x = await play({ read: readAt, run: () => Promise.resolve({ tag: 'unsent', reason: '' }) });
  expect(x.freed.length).toBe(1);
  expect(x.ended?.how).toMatchObject({ ran: 'no', retryAfter: 0.3 });
});

const outcomes = fc.record({
  tag: fc.constantFrom('good', 'unsent', 'refused', 'misdirected', 'failed', 'unknown', 'broken', 'never'),
  delay: fc.integer({ min: 0, max: 2 * second }),
});

it('leaves no hole between attempts, sends what may not be repeated once, and keeps to the most sends', async () => {
  const ends = new Map<string, number>();
  await fc.assert(
    fc.asyncProperty(
      fc.array(outcomes, { minLength: 8, maxLength: 8 }),
      fc.record({ resumable: fc.boolean(), maxAttempts: fc.integer({ min: 1, max: 4 }) }),
      fc.constantFrom(0, 50),
      async (drawn, path, always) => {
        let turn = 0;
        const statuses = new Map<string, number>();
        function answering(good: Answering<PrefillResult | RunResult>): Answering<PrefillResult | RunResult> {
          return async (a, gone, sink) => {
            const { tag, delay } = drawn[(turn += 1) % drawn.length]!;
            // Answers take no time here but where a worker is silent: what passes else would be a hole.
            if (tag === 'never' || delay > 1.9 * second) return never(gone);
            const failure = { status: 500 + turn, headers: ['Seal', `seal of ${a.worker} ${500 + turn}`], body };
            statuses.set(failure.headers[1]!, failure.status);
            if (tag === 'good') return good(a, gone, sink);
            if (tag === 'unsent') return { tag, reason: '' };
            if (tag === 'refused' || tag === 'misdirected')
              return { tag: 'refused', reason: '', misdirected: tag === 'misdirected', response: failure };
            if (tag === 'failed' && a.kind === 'run') return { tag, response: failure };
            if (tag === 'broken' && a.kind === 'run') {
              sink!.head({ status: 200, headers: ['Seal', 'seal'] });
              void sink!.chunk(Buffer.from('id: 1\n\n'));
            }
            return { tag: 'unknown', reason: '' };
          };
        }
        const x = await play(
          {
            read: answering(readAt as Answering<PrefillResult>) as Answering<PrefillResult>,
            run: answering(wholeRun as Answering<RunResult>) as Answering<RunResult>,
          },
          { path, always },
        );
        const how = x.ended!.how;
        const name = typeof how === 'string' ? how : `${how.kind} ${how.ran}`;
        ends.set(name, (ends.get(name) ?? 0) + 1);

        x.attempts.forEach((a, i) => expect((x.attempts[i + 1]?.from ?? x.ended!.at) - a.to!).toBe(0));
        for (const a of x.attempts) expect(a.left).toBeGreaterThan(0);
        const runs = x.attempts.filter((a) => a.kind === 'run' && a.result !== 'unsent');
        const mayHaveRun = runs.filter((a) => a.result !== 'refused');
        expect(runs.length).toBeLessThanOrEqual(path.maxAttempts);
        const reads = x.attempts.filter((a) => a.kind === 'read' && a.result !== 'unsent');
        if (reads.length > 1) expect(reads.length + runs.length).toBeLessThanOrEqual(path.maxAttempts + 1);
        if (!path.resumable) expect(mayHaveRun.length).toBeLessThanOrEqual(1);
        if (typeof how === 'object') {
          if (mayHaveRun.length > 0) expect(how.ran).toBe('maybe');
          if (how.ran === 'no') expect(how.retryAfter).toBeGreaterThan(0);
        }
        if (how === 'failed') expect(x.ended!.status).toBe(statuses.get(x.ended!.seal!));
      },
    ),
    { seed: 517, numRuns: 1000 },
  );
  for (const end of ['whole', 'failed', 'cut', 'outcome_unknown maybe', 'workers_refused no', 'no_workers no'])
    expect([end, (ends.get(end) ?? 0) > 3]).toEqual([end, true]);
});

it('gives up on what has not begun when the router is about to end, with the promise only where nothing ran', async () => {
  const leavesAt = 0.3 * second;
  const unread = await play({ read: (_a, gone) => never(gone), run: wholeRun }, { leavesAt, path: { maxAttempts: 1 } });
  expect(unread.ended).toMatchObject({ at: leavesAt, how: { kind: 'budget_spent', ran: 'no', retryAfter: 0.3 } });
  const running = await play({ read: readAt, run: (_a, gone) => never(gone) }, { leavesAt, path: { maxAttempts: 1 } });
  expect(running.ended).toMatchObject({ at: leavesAt, how: { kind: 'budget_spent', ran: 'maybe' } });
  expect(running.attempts.map((a) => a.kind)).toEqual(['read', 'run']);
});

it('leaves what has begun to its end when the router is about to end', async () => {
  let finish: (() => void) | undefined;
  function begun(_a: Attempt, gone: AbortSignal, sink: ResponseSink | undefined): Promise<RunResult> {
    sink!.head({ status: 200, headers: [] });
    return new Promise((done) => {
      finish = () => done({ tag: 'whole' });
      gone.addEventListener('abort', () => done({ tag: 'unknown', reason: 'left' }), { once: true });
    });
  }
  const playing = play({ read: readAt, run: begun }, { leavesAt: 0.3 * second, load: () => (finish?.(), {}) });
  expect((await playing).ended).toMatchObject({ how: 'whole', at: second });
});

const budget = { ratio: 1, slack: 50, window: 10 * second, routerCount: () => 1 };
function ignore(): undefined {
  return undefined;
}
const unheard: ResponseWriter = {
  head: ignore,
  chunk: ignore,
  end: ignore,
  abort: ignore,
  respond: ignore,
  reject: ignore,
};

it('ends its attempt in the instant in which the requester leaves, and makes no other', async () => {
  const leftAt = 0.3 * second;
  const clock = createVirtualClock();
  const aborted: number[] = [];
  let attempts = 0;
  function unanswered(gone: AbortSignal): Promise<{ readonly tag: 'unknown'; readonly reason: string }> {
    attempts += 1;
    gone.addEventListener('abort', () => aborted.push(clock.world.now()));
    return never(gone);
  }
  const course = createRequestHandler(
    clock.world,
    { zone: 'z', regionOf: () => 'r', retryBudget: budget },
    {
      workers: {
        prefill: (_w, _q, _left, _urgency, gone) => unanswered(gone),
        run: (_w, _q, _t, _sink, gone) => unanswered(gone),
        freeKv: ignore,
      },
    },
  );
  course.updateRoutes(tableOf({ idempotent: true, maxAttempts: 3 }));
  course.updateWorkers(fleetOf(3, 3));
  const requester = new AbortController();
  const served = course.serve(incoming, unheard, requester.signal);
  clock.world.after(leftAt as Micros, () => requester.abort());
  await clock.runTo(4 * second);
  await served;
  expect([attempts, aborted]).toEqual([1, [leftAt]]);
});

it('gives each service of a route its weight of the requests', async () => {
  const clock = createVirtualClock({ random: createSeededRandom(4) });
  const counts = new Map<string, number>();
  const workers = ['a', 'b', 'c'].map((service, i) => ({
    ...fleetOf(0, 1)[0]!,
    id: service,
    service,
    address: `w${i}:1`,
  }));
  const course = createRequestHandler(
    clock.world,
    { zone: 'z', regionOf: () => 'r', retryBudget: budget },
    {
      workers: {
        prefill: () => Promise.resolve(lostRead),
        run: (w, _q, _t, sink) => {
          counts.set(w.service, (counts.get(w.service) ?? 0) + 1);
          sink.head({ status: 200, headers: [] });
          return Promise.resolve({ tag: 'whole' });
        },
        freeKv: ignore,
      },
    },
  );
  const table = tableOf({});
  const weights = { a: 70, b: 25, c: 5 };
  const shares = Object.entries(weights).map(([service, weight]) => ({ service, weight }));
  const services = shares.map(({ service }) => ({ ...table.services[0]!, name: service }));
  course.updateRoutes({
    ...table,
    routes: table.routes.map((path) => ({ ...path, weightedServices: shares })),
    services,
  });
  course.updateWorkers(workers);
  for (let i = 0; i < 2000; i += 1) await course.serve(incoming, unheard, new AbortController().signal);
  for (const [service, weight] of Object.entries(weights))
    expect(Math.abs((counts.get(service) ?? 0) / 2000 - weight / 100)).toBeLessThan(0.03);
});
