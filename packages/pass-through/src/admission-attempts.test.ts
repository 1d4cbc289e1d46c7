/** A request between two of its attempts when the route table begins to ask for keys, or when its key is taken away. */
import { expect, it } from 'vitest';
import { createVirtualClock, type Micros } from '@tansypost/inner-protocol';
import { digestOfKey, type RouteTable, type Tenant } from '@tansypost/paths';
import { createRequestHandler } from './course.js';
import type { IncomingRequest } from './incoming.js';
import type { ResponseWriter, RunResult, ResponseSink } from './ports.js';

const second = 1_000_000;

function tableOf(revision: number, tenants: readonly Tenant[] | undefined): RouteTable {
  const path = {
    name: 'p',
    host: 'h',
    prefix: '/',
    timeout: 8 * second,
    targetLatency: 0.8 * second,
    maxEventGap: 300_000,
    priority: 0,
    streaming: true,
    idempotent: false,
    resumable: true,
    maxAttempts: 3,
    weightedServices: [{ service: 's', weight: 1 }],
  };
  const service = { name: 's', healthPath: '/', maxConnections: 10, slots: 8, kvBytesPerToken: 1000, linkMbps: 10_000 };
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  return { revision, routes: [path], services: [service], limits, tenants } as unknown as RouteTable;
}
const holder: Tenant = { name: 'acme', keyDigests: [digestOfKey('k')], priority: undefined };
const request: IncomingRequest = {
  id: 'q',
  method: 'POST',
  target: '/x',
  host: 'h',
  headers: [],
  credentialHeaders: ['Authorization', 'Bearer k'],
  keyDigest: digestOfKey('k'),
  body: Buffer.from('x'),
  promptTokens: 400,
  maxOutputTokens: 10,
  promptSegments: [],
  timeout: 8 * second,
  lastEventId: undefined,
};

/** What workers are given when the table changes during the first run. */
async function sent(
  before: readonly Tenant[] | undefined,
  after: readonly Tenant[] | undefined,
  first: (sink: ResponseSink) => RunResult,
): Promise<IncomingRequest[]> {
  const { world, runUntil } = createVirtualClock();
  const seen: IncomingRequest[] = [];
  const course = createRequestHandler(
    world,
    {
      zone: 'z',
      regionOf: () => 'r',
      retryBudget: { ratio: 0.2, slack: 50, window: 10 * second, routerCount: () => 1 },
    },
    {
      workers: {
        prefill: async () => ({ tag: 'unsent', reason: '' }),
        run: async (_worker, given, _terms, sink) => {
          seen.push(given);
          if (seen.length > 1) return { tag: 'whole' };
          course.updateRoutes(tableOf(2, after));
          return first(sink);
        },
        freeKv: () => undefined,
      },
    },
  );
  course.updateRoutes(tableOf(1, before));
  course.updateWorkers(
    [0, 1, 2].map((n) => ({
      id: `w${n}`,
      service: 's',
      address: `10.0.0.${n}:1`,
      zone: 'z',
      slots: 8,
      part: 'decode' as const,
      leaving: false,
    })),
  );
  for (const n of [0, 1, 2])
    course.updateLoad(`w${n}`, {
      queued: 0,
      active: 1,
      kvUsed: 0.1,
      unresponsive: false,
      reportedAt: world.now() as Micros,
    });
  let over = false;
  const reply: ResponseWriter = {
    head: () => undefined,
    chunk: () => undefined,
    end: () => void (over = true),
    abort: () => void (over = true),
    respond: () => void (over = true),
    reject: () => void (over = true),
  };
  const served = course.serve(request, reply, new AbortController().signal);
  await runUntil(() => over);
  await served;
  return seen;
}

it('withholds the key and names the tenant in an attempt after tenants were added', async () => {
  const given = await sent(undefined, [holder], () => ({
    tag: 'refused',
    reason: '503',
    misdirected: false,
    response: { status: 503, headers: [], body: Buffer.alloc(0) },
  }));
  expect(given.slice(1).map(({ credentialHeaders: credentials, tenant }) => ({ credentials, tenant }))).toEqual([
    { credentials: undefined, tenant: 'acme' },
  ]);
});

it('resumes no stream at another worker for a key that was taken away', async () => {
  const given = await sent([holder], [], (sink) => {
    sink.head({ status: 200, headers: ['Seal', 's', 'Content-Type', 'text/event-stream'] });
    void sink.chunk(Buffer.from('id: 1\ndata: a\n\n'));
    return { tag: 'unknown', reason: 'broken' };
  });
  expect(given.length).toBe(1);
});
