/** Authentication of later attempts when the route table starts to require keys, or a key is revoked. */
import { expect, it } from 'vitest';
import { createVirtualClock, type Micros } from '@tansypost/inner-protocol';
import { digestOfKey, type RouteTable, type Tenant } from '@tansypost/paths';
import { createRequestHandler } from './request-handler.js';
import type { IncomingRequest } from './incoming-request.js';
import type { ResponseWriter, RunResult, ResponseSink } from './ports.js';

const second = 1_000_000;

function routeTable(revision: number, tenants: readonly Tenant[] | undefined): RouteTable {
  const route = {
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
  return { revision, routes: [route], services: [service], limits, tenants } as unknown as RouteTable;
}
const tenant: Tenant = { name: 'acme', keyDigests: [digestOfKey('k')], priority: undefined };
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

/** The requests that workers receive when the route table changes during the first run. */
async function requestsSentToWorkers(
  tenantsBefore: readonly Tenant[] | undefined,
  tenantsAfter: readonly Tenant[] | undefined,
  firstRun: (sink: ResponseSink) => RunResult,
): Promise<IncomingRequest[]> {
  const { world, runUntil } = createVirtualClock();
  const received: IncomingRequest[] = [];
  const handler = createRequestHandler(
    world,
    {
      zone: 'z',
      regionOf: () => 'r',
      retryBudget: { ratio: 0.2, slack: 50, window: 10 * second, routerCount: () => 1 },
    },
    {
      workers: {
        prefill: async () => ({ tag: 'unsent', reason: '' }),
        run: async (_worker, attempted, _parameters, sink) => {
          received.push(attempted);
          if (received.length > 1) return { tag: 'whole' };
          handler.updateRoutes(routeTable(2, tenantsAfter));
          return firstRun(sink);
        },
        freeKv: () => undefined,
      },
    },
  );
  handler.updateRoutes(routeTable(1, tenantsBefore));
  handler.updateWorkers(
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
    handler.updateLoad(`w${n}`, {
      queued: 0,
      active: 1,
      kvUsed: 0.1,
      unresponsive: false,
      reportedAt: world.now() as Micros,
    });
  let ended = false;
  const response: ResponseWriter = {
    head: () => undefined,
    chunk: () => undefined,
    end: () => void (ended = true),
    abort: () => void (ended = true),
    respond: () => void (ended = true),
    reject: () => void (ended = true),
  };
  const served = handler.serve(request, response, new AbortController().signal);
  await runUntil(() => ended);
  await served;
  return received;
}

it("forwards the tenant's name instead of the API key in attempts after tenants were added", async () => {
  const received = await requestsSentToWorkers(undefined, [tenant], () => ({
    tag: 'refused',
    reason: '503',
    misdirected: false,
    response: { status: 503, headers: [], body: Buffer.alloc(0) },
  }));
  expect(received.slice(1).map(({ credentialHeaders: credentials, tenant }) => ({ credentials, tenant }))).toEqual([
    { credentials: undefined, tenant: 'acme' },
  ]);
});

it('does not resume a stream at another worker after its key was revoked', async () => {
  const received = await requestsSentToWorkers([tenant], [], (sink) => {
    sink.head({ status: 200, headers: ['Seal', 's', 'Content-Type', 'text/event-stream'] });
    void sink.chunk(Buffer.from('id: 1\ndata: a\n\n'));
    return { tag: 'unknown', reason: 'broken' };
  });
  expect(received.length).toBe(1);
});
