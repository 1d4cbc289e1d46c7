/**
 * Requests through real routers over HTTP in one process, with workers made here: what reaches them, what the requester
 * reads, and what happens when somebody is slow, leaves, or talks nonsense. It waits on events, never on a time.
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
import {
  createApp,
  createHttpWorkerClient,
  createRouterCore,
  failure,
  routerDefaults,
  forwardOverHttp,
  type RouterCore,
} from '../programs/request-router/src/index.js';

const closing: (() => Promise<unknown>)[] = [];
afterEach(async () => {
  for (const f of closing.splice(0).reverse()) await f();
});

async function listen(app: FastifyInstance): Promise<string> {
  await app.listen({ host: '127.0.0.1', port: 0 });
  closing.push(() => app.close());
  return `127.0.0.1:${(app.server.address() as { port: number }).port}`;
}

interface FakeWorker {
  readonly address: string;
  readonly bodies: Record<string, unknown>[];
  readonly left: Promise<void>;
  readonly written: () => number;
}
// Reads any prompt and then streams what it is told: a short answer, or one without end.
async function worker(finish: string, endless = false): Promise<FakeWorker> {
  const app = fastify({ forceCloseConnections: true });
  const bodies: Record<string, unknown>[] = [];
  let written = 0;
  const leaving: (() => void)[] = [];
  const left = new Promise<void>((ok) => leaving.push(ok));
  function leave(): void {
    for (const f of leaving) f();
  }
  app.post<{ Body: Record<string, unknown> & { prompt: string; kv_transfer_params: { do_remote_decode: boolean } } }>(
    '/v1/completions',
    async (q, a) => {
      bodies.push(q.body);
      const id = q.headers['x-request-id'];
      if (q.body.kv_transfer_params.do_remote_decode) {
        return {
          choices: [{ index: 0, text: '', finish_reason: 'length' }],
          kv_transfer_params: {
            remote_engine_id: 'w',
            remote_block_ids: ['b'],
            remote_host: '127.0.0.1',
            remote_port: 1,
            request_id: id,
            prompt_digest: digest(q.body.prompt).slice(0, 32),
            incarnation: 1,
          },
        };
      }
      a.hijack();
      a.raw.writeHead(200, { 'content-type': 'text/event-stream' });
      function event(text: string, end: string | null): string {
        return `data: ${JSON.stringify({ choices: [{ index: 0, text, finish_reason: end }] })}\n\n`;
      }
      a.raw.on('close', leave);
      if (!endless) {
        a.raw.end(`${event('one ', null)}${event('two', null)}${event('', finish)}data: [DONE]\n\n`);
        return undefined;
      }
      const big = event('x'.repeat(100_000), null);
      function more(): void {
        while (written < 400_000_000 && !a.raw.destroyed) {
          written += big.length;
          if (!a.raw.write(big)) return void a.raw.once('drain', more);
        }
      }
      more();
      return undefined;
    },
  );
  return { address: await listen(app), bodies, left, written: () => written };
}

interface Router {
  readonly http: string;
  readonly core: RouterCore;
}
// A router that was fed a desired state, one worker and, unless told otherwise, a tenure.
async function router(
  w: string | undefined,
  o: { tenured?: boolean; others?: string[]; patienceMs?: number } = {},
): Promise<Router> {
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
      digestPrompt: (p) => digest(p).slice(0, 32),
      forward: (to, r, reply, gone) => forwardOverHttp(to, r, reply, gone, others),
    },
  );
  const value = Buffer.from(
    JSON.stringify({
      templates: [
        { tenant: 't', kinds: { k: { worth: 1, patienceMs: o.patienceMs ?? 20_000, share: 1, repeatable: true } } },
      ],
    }),
  );
  const marks: WorkerStateEntry[] = w === undefined ? [] : [{ worker: 'w', incarnation: 1, state: 1, address: w }];
  function feed(): void {
    core.receive({
      kind: 'Feed',
      workers: marks,
      reports: [],
      news: [{ key: 'desired/main', epoch: 8, version: 1, value }],
      grants: o.tenured === false ? [] : [{ asked: monotonicNow(), version: 1 }],
      others: o.others ?? [],
      contact: true,
    });
  }
  feed();
  const beat = setInterval(feed, 200);
  const http = await listen(createApp({ core, bodyLimit: 1_000_000, metricsText: () => '' }));
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
  more: Record<string, string> = {},
): Promise<{
  status: number;
  retry: unknown;
  body: { choices?: { text: string; finish_reason: string }[]; error?: { kind: string } };
}> {
  const r = await request(`http://${to}/v1/completions`, {
    method: 'POST',
    headers: { ...headers, ...more },
    body: JSON.stringify({ model: 'm', prompt: 'a b c', max_tokens: 8, ...body }),
  });
  return { status: r.statusCode, retry: r.headers['retry-after'], body: (await r.body.json()) as never };
}
function raw(to: string): Socket {
  const s = connect(Number(to.split(':')[1]), '127.0.0.1');
  const b = JSON.stringify({ model: 'm', prompt: 'a b c', max_tokens: 8, stream: true });
  s.on('error', () => undefined);
  s.write(
    `POST /v1/completions HTTP/1.1\r\nhost: x\r\n${Object.entries(headers)
      .map(([k, v]) => `${k}: ${v}\r\n`)
      .join('')}content-length: ${b.length}\r\n\r\n${b}`,
  );
  return s;
}

it('passes sampling to both workers and their finish reason back, here and sent on', async () => {
  const w = await worker('length');
  const a = await router(w.address);
  const b = await router(w.address, { tenured: false, others: [a.http] });
  const sampling = { temperature: 0.5, top_p: 0.25, seed: 7, user: 'u' };
  for (const to of [a.http, b.http]) {
    const x = await post(to, sampling);
    expect([x.status, x.body.choices]).toEqual([200, [{ index: 0, text: 'one two', finish_reason: 'length' }]]);
  }
  expect(w.bodies.length).toBe(4);
  for (const x of w.bodies) expect(x).toMatchObject(sampling);
});

it('frees the worker when the requester leaves', async () => {
  const w = await worker('stop', true);
  const s = raw((await router(w.address)).http);
  await once(s, 'data');
  s.destroy();
  await w.left;
});

it('holds the stream of a worker back for a slow reader, and cuts it off when its patience ends', async () => {
  const w = await worker('stop', true);
  const r = await router(w.address, { patienceMs: 1500 });
  const s = raw(r.http);
  s.pause();
  await w.left;
  expect(w.written()).toBeLessThan(100_000_000);
  expect((r.core.metrics() as { ends: Record<string, number> }).ends).toMatchObject({ answer_cut: 1 });
  s.destroy();
});

it('answers an unforeseen error inside by its type and without a stack', async () => {
  const r = await router('127.0.0.1:1');
  r.core.workerTable.candidates = (() => {
    throw new Error('secret at line 12');
  }) as never;
  const app = createApp({
    core: {
      ...r.core,
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
  for (const x of [await post(http, {}), await post(r.http, {})]) {
    expect([x.status, x.body.error?.kind]).toEqual([500, 'internal_error']);
    expect(JSON.stringify(x.body)).not.toMatch(/secret|line 12/);
  }
});

it('gives a typed answer when the router it sent on to talks nonsense, and asks the next when one does not answer', async () => {
  const w = await worker('stop');
  const a = await router(w.address);
  const odd = fastify();
  odd.get('/vitals', async () => ({}));
  odd.post('/v1/completions', async (_q, r) => r.code(502).type('text/html').send('<html>bad</html>'));
  const silent = fastify({ forceCloseConnections: true });
  silent.get('/vitals', () => new Promise(() => undefined));
  const [oddAt, silentAt] = [await listen(odd), await listen(silent)];
  const x = await post((await router(undefined, { tenured: false, others: [oddAt] })).http, {});
  expect([x.status, x.body.error?.kind, x.retry]).toEqual([502, 'outcome_unknown', '1']);
  expect((await post((await router(undefined, { tenured: false, others: [silentAt, a.http] })).http, {})).status).toBe(
    200,
  );
});

it('counts the time spent at another router against the patience', async () => {
  const stuck = fastify({ forceCloseConnections: true });
  stuck.post('/v1/completions', () => new Promise(() => undefined));
  const at = await listen(stuck);
  const r = await router(at, { patienceMs: 600_000 });
  const x = await post(r.http, {}, { 'x-tansypost-sent-on': '1', 'x-tansypost-spent-us': '600000000' });
  expect(x.body.error?.kind).toBe(failure('overloaded', '').kind);
  // The router it sends on to takes the request and never answers: the patience ends it here.
  const hung = fastify({ forceCloseConnections: true });
  hung.get('/vitals', async () => ({}));
  hung.post('/v1/completions', () => new Promise(() => undefined));
  const y = await post(
    (await router(undefined, { tenured: false, others: [await listen(hung)], patienceMs: 700 })).http,
    {},
  );
  expect(y.body.error?.kind).toBe('budget_spent');
});
