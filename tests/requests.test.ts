/**
 * Requests through real routers over HTTP in one process, with test workers: what reaches the workers, what the client
 * receives, and what happens if one side is slow, disconnects, or sends malformed data. The tests wait for events, never
 * for a fixed time.
 */
import { connect, type Socket } from 'node:net';
import { once } from 'node:events';
import fastify, { type FastifyInstance } from 'fastify';
import { Agent, request } from 'undici';
import { afterEach, expect, it } from 'vitest';
import {
  startTimer,
  digest,
  monotonicNow,
  type Address,
  type WorkerStateEntry,
  type World,
} from '../packages/inner-protocol/src/index.js';
import { createPeerGuards, createPeerLimits, type ConnectionGuard } from '../packages/peer-limits/src/index.js';
import {
  createApp,
  createHttpWorkerClient,
  createRouterCore,
  failure,
  routerDefaults,
  forwardOverHttp,
  type RouterCore,
} from '../programs/request-router/src/index.js';

function guard(): ConnectionGuard {
  const limits = createPeerLimits({ memoryMb: 350, maxDescriptors: 4096 });
  return createPeerGuards(limits, () => undefined).clients;
}

const closing: (() => Promise<unknown>)[] = [];
afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

async function listen(app: FastifyInstance): Promise<string> {
  await app.listen({ host: '127.0.0.1', port: 0 });
  closing.push(() => app.close());
  return `127.0.0.1:${(app.server.address() as { port: number }).port}`;
}

interface FakeWorker {
  readonly address: string;
  readonly bodies: Record<string, unknown>[];
  readonly clientGone: Promise<void>;
  readonly written: () => number;
}
// A worker that prefills any prompt and then streams a short answer, or an endless one.
async function startWorker(finish: string, endless = false): Promise<FakeWorker> {
  const app = fastify({ forceCloseConnections: true });
  const bodies: Record<string, unknown>[] = [];
  let written = 0;
  const listeners: (() => void)[] = [];
  const clientGone = new Promise<void>((resolve) => listeners.push(resolve));
  function markClientGone(): void {
    for (const notify of listeners) notify();
  }
  app.post<{ Body: Record<string, unknown> & { prompt: string; kv_transfer_params: { do_remote_decode: boolean } } }>(
    '/v1/completions',
    async (request, reply) => {
      bodies.push(request.body);
      const id = request.headers['x-request-id'];
      if (request.body.kv_transfer_params.do_remote_decode) {
        return {
          choices: [{ index: 0, text: '', finish_reason: 'length' }],
          kv_transfer_params: {
            remote_engine_id: 'w',
            remote_block_ids: ['b'],
            remote_host: '127.0.0.1',
            remote_port: 1,
            request_id: id,
            prompt_digest: digest(request.body.prompt).slice(0, 32),
            incarnation: 1,
          },
        };
      }
      reply.hijack();
      reply.raw.writeHead(200, { 'content-type': 'text/event-stream' });
      function completionEvent(text: string, finishReason: string | null): string {
        return `data: ${JSON.stringify({ choices: [{ index: 0, text, finish_reason: finishReason }] })}\n\n`;
      }
      reply.raw.on('close', markClientGone);
      if (!endless) {
        reply.raw.end(
          `${completionEvent('one ', null)}${completionEvent('two', null)}${completionEvent('', finish)}data: [DONE]\n\n`,
        );
        return undefined;
      }
      const largeEvent = completionEvent('x'.repeat(100_000), null);
      function writeMore(): void {
        while (written < 400_000_000 && !reply.raw.destroyed) {
          written += largeEvent.length;
          if (!reply.raw.write(largeEvent)) return void reply.raw.once('drain', writeMore);
        }
      }
      writeMore();
      return undefined;
    },
  );
  return { address: await listen(app), bodies, clientGone, written: () => written };
}

interface TestRouter {
  readonly http: string;
  readonly core: RouterCore;
}
// A router with a desired state, at most one worker and, unless `tenured` is false, a lease.
async function startRouter(
  workerAddress: string | undefined,
  options: { tenured?: boolean; others?: string[]; patienceMs?: number } = {},
): Promise<TestRouter> {
  const world: World = {
    now: monotonicNow,
    random: () => 0,
    after: startTimer,
    send: () => undefined,
    log: () => undefined,
  };
  const workers = createHttpWorkerClient();
  const others = new Agent({ connect: { timeout: 1000 } });
  const core = createRouterCore(
    world,
    { ...routerDefaults, routerId: 'r#1', httpAddress: 'r', agentAddress: 'a:1' as Address, service: 'main' },
    {
      workerClient: workers,
      digestPrompt: (prompt) => digest(prompt).slice(0, 32),
      forward: (to, forwarded, reply, signal) => forwardOverHttp(to, forwarded, reply, signal, others),
    },
  );
  const value = Buffer.from(
    JSON.stringify({
      templates: [
        {
          tenant: 't',
          kinds: { k: { worth: 1, patienceMs: options.patienceMs ?? 20_000, share: 1, repeatable: true } },
        },
      ],
    }),
  );
  const marks: WorkerStateEntry[] =
    workerAddress === undefined ? [] : [{ worker: 'w', incarnation: 1, state: 1, address: workerAddress }];
  function feed(): void {
    core.receive({
      kind: 'Feed',
      workers: marks,
      reports: [],
      news: [{ key: 'desired/main', epoch: 8, version: 1, value }],
      grants: options.tenured === false ? [] : [{ asked: monotonicNow(), version: 1 }],
      others: options.others ?? [],
      contact: true,
    });
  }
  feed();
  const beat = setInterval(feed, 200);
  const http = await listen(createApp({ core, guard: guard(), bodyLimit: 1_000_000, metricsText: () => '' }));
  closing.push(async () => {
    clearInterval(beat);
    core.stop();
    await workers.close();
    await others.destroy();
  });
  return { http, core };
}
const headers = { 'content-type': 'application/json', 'x-tansypost-tenant': 't', 'x-tansypost-kind': 'k' };
async function post(
  to: string,
  body: object,
  extraHeaders: Record<string, string> = {},
): Promise<{
  status: number;
  retry: unknown;
  body: { choices?: { text: string; finish_reason: string }[]; error?: { kind: string } };
}> {
  const response = await request(`http://${to}/v1/completions`, {
    method: 'POST',
    headers: { ...headers, ...extraHeaders },
    body: JSON.stringify({ model: 'm', prompt: 'a b c', max_tokens: 8, ...body }),
  });
  return {
    status: response.statusCode,
    retry: response.headers['retry-after'],
    body: (await response.body.json()) as never,
  };
}
function openStream(to: string): Socket {
  const socket = connect(Number(to.split(':')[1]), '127.0.0.1');
  const body = JSON.stringify({ model: 'm', prompt: 'a b c', max_tokens: 8, stream: true });
  socket.on('error', () => undefined);
  socket.write(
    `POST /v1/completions HTTP/1.1\r\nhost: x\r\n${Object.entries(headers)
      .map(([name, value]) => `${name}: ${value}\r\n`)
      .join('')}content-length: ${body.length}\r\n\r\n${body}`,
  );
  return socket;
}

it('passes sampling parameters to both workers and returns their finish reason, directly and through another router', async () => {
  const worker = await startWorker('length');
  const router = await startRouter(worker.address);
  const forwardingRouter = await startRouter(worker.address, { tenured: false, others: [router.http] });
  const sampling = { temperature: 0.5, top_p: 0.25, seed: 7, user: 'u' };
  for (const to of [router.http, forwardingRouter.http]) {
    const answer = await post(to, sampling);
    expect([answer.status, answer.body.choices]).toEqual([
      200,
      [{ index: 0, text: 'one two', finish_reason: 'length' }],
    ]);
  }
  expect(worker.bodies.length).toBe(4);
  for (const body of worker.bodies) expect(body).toMatchObject(sampling);
});

it('frees the worker if the client disconnects', async () => {
  const worker = await startWorker('stop', true);
  const socket = openStream((await startRouter(worker.address)).http);
  await once(socket, 'data');
  socket.destroy();
  await worker.clientGone;
});

it('applies backpressure to a worker for a slow client, and cuts the stream off at the deadline', async () => {
  const worker = await startWorker('stop', true);
  const router = await startRouter(worker.address, { patienceMs: 1500 });
  const socket = openStream(router.http);
  socket.pause();
  await worker.clientGone;
  expect(worker.written()).toBeLessThan(100_000_000);
  expect((router.core.metrics() as { ends: Record<string, number> }).ends).toMatchObject({ answer_cut: 1 });
  socket.destroy();
});

it('reports an internal error by its type and without a stack', async () => {
  const router = await startRouter('127.0.0.1:1');
  router.core.workerTable.candidates = (() => {
    throw new Error('secret at line 12');
  }) as never;
  const app = createApp({
    guard: guard(),
    core: {
      ...router.core,
      handleRequest: () => {
        throw new Error('secret at line 12');
      },
    },
    bodyLimit: 1000,
    metricsText: () => {
      throw new Error('secret');
    },
  });
  const http = await listen(app);
  for (const answer of [await post(http, {}), await post(router.http, {})]) {
    expect([answer.status, answer.body.error?.kind]).toEqual([500, 'internal_error']);
    expect(JSON.stringify(answer.body)).not.toMatch(/secret|line 12/);
  }
});

it('returns a typed error if the router it forwards to sends a malformed response, and skips one that does not answer', async () => {
  const worker = await startWorker('stop');
  const router = await startRouter(worker.address);
  const malformedRouter = fastify();
  malformedRouter.get('/vitals', async () => ({}));
  malformedRouter.post('/v1/completions', async (_request, reply) =>
    reply.code(502).type('text/html').send('<html>bad</html>'),
  );
  const hangingRouter = fastify({ forceCloseConnections: true });
  hangingRouter.get('/vitals', () => new Promise(() => undefined));
  const [malformedAddress, hangingAddress] = [await listen(malformedRouter), await listen(hangingRouter)];
  const answer = await post((await startRouter(undefined, { tenured: false, others: [malformedAddress] })).http, {});
  expect([answer.status, answer.body.error?.kind, answer.retry]).toEqual([502, 'outcome_unknown', '1']);
  expect(
    (await post((await startRouter(undefined, { tenured: false, others: [hangingAddress, router.http] })).http, {}))
      .status,
  ).toBe(200);
});

it('counts the time spent at another router against the deadline', async () => {
  const stalledRouter = fastify({ forceCloseConnections: true });
  stalledRouter.post('/v1/completions', () => new Promise(() => undefined));
  const address = await listen(stalledRouter);
  const router = await startRouter(address, { patienceMs: 600_000 });
  const answer = await post(router.http, {}, { 'x-tansypost-sent-on': '1', 'x-tansypost-spent-us': '600000000' });
  expect(answer.body.error?.kind).toBe(failure('overloaded', '').kind);
  // The other router accepts the forwarded request and never responds: the deadline ends it here.
  const unresponsiveRouter = fastify({ forceCloseConnections: true });
  unresponsiveRouter.get('/vitals', async () => ({}));
  unresponsiveRouter.post('/v1/completions', () => new Promise(() => undefined));
  const timedOut = await post(
    (await startRouter(undefined, { tenured: false, others: [await listen(unresponsiveRouter)], patienceMs: 700 }))
      .http,
    {},
  );
  expect(timedOut.body.error?.kind).toBe('budget_spent');
});
