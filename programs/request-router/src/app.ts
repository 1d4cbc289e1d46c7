/**
 * The caller's side: OpenAI's /v1/completions with server-sent events, checked by TypeBox before anything
 * else happens. `[DONE]` follows only a whole answer; after the first byte a failure is a typed error
 * event, before it a status with a body and Retry-After.
 */
import { randomUUID } from 'node:crypto';
import { Type, type Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import fastify, { type FastifyInstance, type FastifyReply } from 'fastify';
import { Agent, request } from 'undici';
import { failure, failureBody, parseFailure, failureKinds, type Failure } from './failure.js';
import type { IncomingRequest, ResponseWriter, RouterCore } from './router-core.js';
import type { Sampling } from './worker-client.js';

const Body = Type.Object(
  {
    model: Type.String({ minLength: 1, maxLength: 200 }),
    prompt: Type.String({ minLength: 1 }),
    max_tokens: Type.Optional(Type.Integer({ minimum: 1, maximum: 4096 })),
    stream: Type.Optional(Type.Boolean()),
    temperature: Type.Optional(Type.Number({ minimum: 0, maximum: 2 })),
    top_p: Type.Optional(Type.Number({ minimum: 0, maximum: 1 })),
    seed: Type.Optional(Type.Integer()),
    user: Type.Optional(Type.String()),
  },
  { additionalProperties: false },
);

export interface AppOptions {
  readonly core: RouterCore;
  readonly bodyLimit: number;
  readonly metricsText: () => string;
}

function header(h: Record<string, string | string[] | undefined>, k: string): string | undefined {
  const v = h[k];
  return typeof v === 'string' ? v : undefined;
}

function samplingOf(b: Static<typeof Body>): Sampling {
  return {
    ...(b.temperature === undefined ? {} : { temperature: b.temperature }),
    ...(b.top_p === undefined ? {} : { top_p: b.top_p }),
    ...(b.seed === undefined ? {} : { seed: b.seed }),
    ...(b.user === undefined ? {} : { user: b.user }),
  };
}

export function createApp(o: AppOptions): FastifyInstance {
  const app = fastify({ bodyLimit: o.bodyLimit, forceCloseConnections: 'idle', return503OnClosing: false });
  const ids = /^[A-Za-z0-9._:-]{1,128}$/;

  function refuse(a: FastifyReply, f: Failure, id: string): FastifyReply {
    if (f.retryAfter !== undefined) a.header('retry-after', `${f.retryAfter}`);
    return a.code(failureKinds[f.kind].status).send(failureBody(f, id));
  }

  app.setErrorHandler((e: { code?: string; message: string; statusCode?: number }, _q, a) => {
    if (e.code === 'FST_ERR_CTP_BODY_TOO_LARGE') return refuse(a, failure('body_too_large', e.message), '');
    if (e.statusCode !== undefined && e.statusCode < 500) return refuse(a, failure('bad_request', e.message), '');
    return refuse(a, failure('internal_error', 'Something unforeseen went wrong inside this router.'), '');
  });
  app.setNotFoundHandler((q, a) =>
    a.code(404).send({
      error: { kind: 'bad_request', message: `There is no ${q.method} ${q.url}.`, remedy: 'POST /v1/completions.' },
    }),
  );

  app.post('/v1/completions', async (q, a) => {
    const id = header(q.headers, 'x-request-id') ?? randomUUID();
    if (!ids.test(id))
      return refuse(a, failure('bad_request', 'x-request-id may hold letters, digits and ._:- up to 128.'), '');
    const e = [...Value.Errors(Body, q.body)][0];
    if (e !== undefined) return refuse(a, failure('bad_request', `${e.path === '' ? '/' : e.path}: ${e.message}`), id);
    const b = q.body as Static<typeof Body>;
    const tenant = header(q.headers, 'x-tansypost-tenant');
    const kind = header(q.headers, 'x-tansypost-kind');
    if (tenant === undefined || kind === undefined)
      return refuse(a, failure('bad_request', 'x-tansypost-tenant and x-tansypost-kind must be given.'), id);
    const r: IncomingRequest = {
      id,
      tenant,
      kind,
      model: b.model,
      prompt: b.prompt,
      maxTokens: b.max_tokens ?? 16,
      forwarded: header(q.headers, 'x-tansypost-sent-on') !== undefined,
      idempotencyKey: header(q.headers, 'idempotency-key'),
      elapsedUs: Math.max(0, Number(header(q.headers, 'x-tansypost-spent-us') ?? 0) || 0),
      sampling: samplingOf(b),
    };
    const gone = new AbortController();
    a.hijack();
    a.raw.on('error', () => undefined);
    a.raw.on('close', () => {
      if (!a.raw.writableEnded) gone.abort();
    });
    const reply = b.stream === true ? streamed(a, id, b.model) : gathered(a, id, b.model);
    try {
      await o.core.handleRequest(r, reply, gone.signal);
    } catch {
      reply.fail(failure('internal_error', 'Something unforeseen went wrong inside this router.'));
    }
    return undefined;
  });

  function head(a: FastifyReply, status: number, f: Failure, id: string): void {
    const body = JSON.stringify(failureBody(f, id));
    const h: Record<string, string> = {
      'content-type': 'application/json',
      'content-length': `${Buffer.byteLength(body)}`,
    };
    if (f.retryAfter !== undefined) h['retry-after'] = `${f.retryAfter}`;
    a.raw.writeHead(status, h);
    a.raw.end(body);
  }

  function streamed(a: FastifyReply, id: string, model: string): ResponseWriter {
    let begun = false;
    function event(text: string, end: string | null): string {
      return `data: ${JSON.stringify({ id, object: 'text_completion', model, choices: [{ index: 0, text, finish_reason: end }] })}\n\n`;
    }
    function begin(): void {
      if (!begun) a.raw.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
      begun = true;
    }
    return {
      chunk: (t) => {
        begin();
        if (a.raw.write(event(t, null)) || a.raw.destroyed) return undefined;
        return new Promise((ok) => {
          function on(): void {
            a.raw.off('drain', on).off('close', on);
            ok();
          }
          a.raw.on('drain', on).on('close', on);
        });
      },
      end: (finish) => {
        begin();
        a.raw.end(`${event('', finish)}data: [DONE]\n\n`);
      },
      // Whoever does not read is cut off; there is no telling it more.
      fail: (f) => {
        if (a.raw.writableNeedDrain) a.raw.destroy();
        else if (begun) a.raw.end(`event: error\ndata: ${JSON.stringify(failureBody(f, id))}\n\n`);
        else head(a, failureKinds[f.kind].status, f, id);
      },
    };
  }

  function gathered(a: FastifyReply, id: string, model: string): ResponseWriter {
    let text = '';
    return {
      chunk: (t) => {
        text += t;
      },
      end: (finish) => {
        a.raw.writeHead(200, { 'content-type': 'application/json' });
        a.raw.end(
          JSON.stringify({
            id,
            object: 'text_completion',
            model,
            choices: [{ index: 0, text, finish_reason: finish }],
          }),
        );
      },
      fail: (f) => head(a, failureKinds[f.kind].status, f, id),
    };
  }

  app.get('/vitals', async (_q, a) =>
    a.code(o.core.feed.hasLease() ? 200 : 503).send({ ok: o.core.feed.hasLease(), ...o.core.metrics() }),
  );
  app.get('/figures', async () => ({
    ...o.core.metrics(),
    workers: o.core.workerTable.snapshot(),
    parts: o.core.feed.rehearsalRecord().parts,
  }));
  app.get('/desired-state', async () => ({ version: o.core.feed.appliedVersion(), state: o.core.feed.desiredState() }));
  app.get('/metrics', async (_q, a) => a.type('text/plain; version=0.0.4').send(o.metricsText()));
  return app;
}

// Sends a request on to another router, once, if that router answers a short question first. Its refusal before any
// send lets the next one be asked; whatever else it says is the final answer, and a broken link leaves the
// outcome unknown.
export async function forwardOverHttp(
  to: string,
  r: IncomingRequest,
  reply: ResponseWriter,
  gone: AbortSignal,
  dispatcher: Agent,
): Promise<boolean> {
  let begun = false;
  let finish = 'stop';
  try {
    const v = await request(`http://${to}/vitals`, { dispatcher, signal: gone, headersTimeout: 500, bodyTimeout: 500 });
    await v.body.dump();
    if (v.statusCode !== 200) return false;
  } catch {
    return false;
  }
  try {
    const x = await request(`http://${to}/v1/completions`, {
      method: 'POST',
      dispatcher,
      signal: gone,
      headers: {
        'content-type': 'application/json',
        'x-request-id': r.id,
        'x-tansypost-tenant': r.tenant,
        'x-tansypost-kind': r.kind,
        'x-tansypost-sent-on': '1',
        'x-tansypost-spent-us': `${Math.round(r.elapsedUs ?? 0)}`,
        ...(r.idempotencyKey === undefined ? {} : { 'idempotency-key': r.idempotencyKey }),
      },
      body: JSON.stringify({ ...r.sampling, model: r.model, prompt: r.prompt, max_tokens: r.maxTokens, stream: true }),
    });
    if (x.statusCode !== 200) {
      const f = parseFailure(await x.body.text(), x.statusCode);
      if (f.kind === 'no_tenure' || f.kind === 'stopping') return false;
      reply.fail(f);
      return true;
    }
    const d = new TextDecoder();
    let held = '';
    for await (const b of x.body) {
      held += d.decode(b as Buffer, { stream: true });
      for (let i = held.indexOf('\n\n'); i >= 0; i = held.indexOf('\n\n')) {
        const line = held.slice(0, i);
        held = held.slice(i + 2);
        begun = true;
        if (line === 'data: [DONE]') {
          reply.end(finish);
          return true;
        }
        if (line.startsWith('event: error')) {
          const f = parseFailure(line.slice(line.indexOf('data: ') + 6));
          reply.fail(failureKinds[f.kind].ran === 'no' ? failure('answer_cut', f.message) : f);
          return true;
        }
        const c = (JSON.parse(line.slice(6)) as { choices: { text: string; finish_reason: string | null }[] })
          .choices[0]!;
        if (c.text !== '') await reply.chunk(c.text);
        finish = c.finish_reason ?? finish;
      }
    }
    reply.fail(failure('answer_cut', 'The router it was sent on to broke off.'));
    return true;
  } catch (e) {
    if ((e as { code?: string }).code === 'ECONNREFUSED' && !begun) return false;
    reply.fail(failure(begun ? 'answer_cut' : 'outcome_unknown', 'The router it was sent on to broke off.'));
    return true;
  }
}
