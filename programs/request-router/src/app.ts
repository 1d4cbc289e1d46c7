/**
 * The HTTP API of the router: OpenAI's /v1/completions with server-sent events. Bodies are validated by TypeBox first.
 * `[DONE]` follows only a complete response. A failure before the first byte is an HTTP status with a body and Retry-After,
 * a later one is a typed error event.
 */
import { randomUUID } from 'node:crypto';
import { Type, type Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import { createGuardedApp, noRoomCode } from '@tansypost/guarded-app';
import type { ConnectionGuard } from '@tansypost/peer-limits';
import type { FastifyInstance, FastifyReply } from 'fastify';
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

/** What the API serves. */
export interface AppOptions {
  readonly core: RouterCore;
  /** Bounds what clients make this process hold. */
  readonly guard: ConnectionGuard;
  readonly bodyLimit: number;
  readonly metricsText: () => string;
}

function header(headers: Record<string, string | string[] | undefined>, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}

function samplingOf(body: Static<typeof Body>): Sampling {
  return {
    ...(body.temperature === undefined ? {} : { temperature: body.temperature }),
    ...(body.top_p === undefined ? {} : { top_p: body.top_p }),
    ...(body.seed === undefined ? {} : { seed: body.seed }),
    ...(body.user === undefined ? {} : { user: body.user }),
  };
}

/** Creates the API; it does not listen yet. */
export function createApp(options: AppOptions): FastifyInstance {
  const app = createGuardedApp({
    guard: options.guard,
    maxBodyBytes: options.bodyLimit,
    bodies: 'json',
    fastify: { forceCloseConnections: 'idle', return503OnClosing: false },
  });
  const requestIdPattern = /^[A-Za-z0-9._:-]{1,128}$/;

  function sendFailure(reply: FastifyReply, failureToSend: Failure, id: string): FastifyReply {
    if (failureToSend.retryAfter !== undefined) reply.header('retry-after', `${failureToSend.retryAfter}`);
    return reply.code(failureKinds[failureToSend.kind].status).send(failureBody(failureToSend, id));
  }

  app.setErrorHandler((error: { code?: string; message: string; statusCode?: number }, _request, reply) => {
    if (error.code === 'FST_ERR_CTP_BODY_TOO_LARGE')
      return sendFailure(reply, failure('body_too_large', error.message), '');
    if (error.code === noRoomCode) return sendFailure(reply, failure('overloaded', error.message), '');
    if (error.statusCode !== undefined && error.statusCode < 500)
      return sendFailure(reply, failure('bad_request', error.message), '');
    return sendFailure(reply, failure('internal_error', 'An unexpected error occurred in this router.'), '');
  });
  app.setNotFoundHandler((httpRequest, reply) =>
    reply.code(404).send({
      error: {
        kind: 'bad_request',
        message: `There is no ${httpRequest.method} ${httpRequest.url}.`,
        remedy: 'POST /v1/completions.',
      },
    }),
  );

  app.post('/v1/completions', async (httpRequest, reply) => {
    const id = header(httpRequest.headers, 'x-request-id') ?? randomUUID();
    if (!requestIdPattern.test(id))
      return sendFailure(
        reply,
        failure('bad_request', 'x-request-id must have 1 to 128 letters, digits or ._:- characters.'),
        '',
      );
    const fault = [...Value.Errors(Body, httpRequest.body)][0];
    if (fault !== undefined)
      return sendFailure(
        reply,
        failure('bad_request', `${fault.path === '' ? '/' : fault.path}: ${fault.message}`),
        id,
      );
    const body = httpRequest.body as Static<typeof Body>;
    const tenant = header(httpRequest.headers, 'x-tansypost-tenant');
    const kind = header(httpRequest.headers, 'x-tansypost-kind');
    if (tenant === undefined || kind === undefined)
      return sendFailure(
        reply,
        failure('bad_request', 'The headers x-tansypost-tenant and x-tansypost-kind are required.'),
        id,
      );
    const incoming: IncomingRequest = {
      id,
      tenant,
      kind,
      model: body.model,
      prompt: body.prompt,
      maxTokens: body.max_tokens ?? 16,
      forwarded: header(httpRequest.headers, 'x-tansypost-sent-on') !== undefined,
      idempotencyKey: header(httpRequest.headers, 'idempotency-key'),
      elapsedUs: Math.max(0, Number(header(httpRequest.headers, 'x-tansypost-spent-us') ?? 0) || 0),
      sampling: samplingOf(body),
    };
    const clientGone = new AbortController();
    reply.hijack();
    reply.raw.on('error', () => undefined);
    reply.raw.on('close', () => {
      if (!reply.raw.writableEnded) clientGone.abort();
    });
    const response =
      body.stream === true
        ? createStreamingResponse(reply, id, body.model)
        : createBufferedResponse(reply, id, body.model);
    try {
      await options.core.handleRequest(incoming, response, clientGone.signal);
    } catch {
      response.fail(failure('internal_error', 'An unexpected error occurred in this router.'));
    }
    return undefined;
  });

  function writeFailure(reply: FastifyReply, status: number, failureToSend: Failure, id: string): void {
    const body = JSON.stringify(failureBody(failureToSend, id));
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      'content-length': `${Buffer.byteLength(body)}`,
    };
    if (failureToSend.retryAfter !== undefined) headers['retry-after'] = `${failureToSend.retryAfter}`;
    reply.raw.writeHead(status, headers);
    reply.raw.end(body);
  }

  function createStreamingResponse(reply: FastifyReply, id: string, model: string): ResponseWriter {
    let started = false;
    function formatEvent(text: string, end: string | null): string {
      return `data: ${JSON.stringify({ id, object: 'text_completion', model, choices: [{ index: 0, text, finish_reason: end }] })}\n\n`;
    }
    function writeHeadersOnce(): void {
      if (!started) reply.raw.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
      started = true;
    }
    return {
      chunk: (text) => {
        writeHeadersOnce();
        if (reply.raw.write(formatEvent(text, null)) || reply.raw.destroyed) return undefined;
        return new Promise((resolve) => {
          function onWritable(): void {
            reply.raw.off('drain', onWritable).off('close', onWritable);
            resolve();
          }
          reply.raw.on('drain', onWritable).on('close', onWritable);
        });
      },
      end: (finish) => {
        writeHeadersOnce();
        reply.raw.end(`${formatEvent('', finish)}data: [DONE]\n\n`);
      },
      // A client that does not read is disconnected, as no error event would reach it.
      fail: (rejection) => {
        if (reply.raw.writableNeedDrain) reply.raw.destroy();
        else if (started) reply.raw.end(`event: error\ndata: ${JSON.stringify(failureBody(rejection, id))}\n\n`);
        else writeFailure(reply, failureKinds[rejection.kind].status, rejection, id);
      },
    };
  }

  function createBufferedResponse(reply: FastifyReply, id: string, model: string): ResponseWriter {
    let text = '';
    return {
      chunk: (chunk) => {
        text += chunk;
      },
      end: (finish) => {
        reply.raw.writeHead(200, { 'content-type': 'application/json' });
        reply.raw.end(
          JSON.stringify({
            id,
            object: 'text_completion',
            model,
            choices: [{ index: 0, text, finish_reason: finish }],
          }),
        );
      },
      fail: (rejection) => writeFailure(reply, failureKinds[rejection.kind].status, rejection, id),
    };
  }

  app.get('/vitals', async (_request, reply) =>
    reply
      .code(options.core.feed.hasLease() ? 200 : 503)
      .send({ ok: options.core.feed.hasLease(), ...options.core.metrics() }),
  );
  app.get('/figures', async () => ({
    ...options.core.metrics(),
    workers: options.core.workerTable.snapshot(),
    parts: options.core.feed.rehearsalRecord().parts,
  }));
  app.get('/desired-state', async () => ({
    version: options.core.feed.appliedVersion(),
    state: options.core.feed.desiredState(),
  }));
  app.get('/metrics', async (_request, reply) => reply.type('text/plain; version=0.0.4').send(options.metricsText()));
  return app;
}

/**
 * Forwards a request to another router, once, if that router's health check succeeds. Returns false, so that the next
 * router may be tried, if the router refused the request before any attempt; any other answer is final. A broken
 * connection leaves the outcome unknown.
 */
export async function forwardOverHttp(
  router: string,
  forwarded: IncomingRequest,
  response: ResponseWriter,
  clientGone: AbortSignal,
  dispatcher: Agent,
): Promise<boolean> {
  let streaming = false;
  let finish = 'stop';
  try {
    const health = await request(`http://${router}/vitals`, {
      dispatcher,
      signal: clientGone,
      headersTimeout: 500,
      bodyTimeout: 500,
    });
    await health.body.dump();
    if (health.statusCode !== 200) return false;
  } catch {
    return false;
  }
  try {
    const upstream = await request(`http://${router}/v1/completions`, {
      method: 'POST',
      dispatcher,
      signal: clientGone,
      headers: {
        'content-type': 'application/json',
        'x-request-id': forwarded.id,
        'x-tansypost-tenant': forwarded.tenant,
        'x-tansypost-kind': forwarded.kind,
        'x-tansypost-sent-on': '1',
        'x-tansypost-spent-us': `${Math.round(forwarded.elapsedUs ?? 0)}`,
        ...(forwarded.idempotencyKey === undefined ? {} : { 'idempotency-key': forwarded.idempotencyKey }),
      },
      body: JSON.stringify({
        ...forwarded.sampling,
        model: forwarded.model,
        prompt: forwarded.prompt,
        max_tokens: forwarded.maxTokens,
        stream: true,
      }),
    });
    if (upstream.statusCode !== 200) {
      const upstreamFailure = parseFailure(await upstream.body.text(), upstream.statusCode);
      if (upstreamFailure.kind === 'no_tenure' || upstreamFailure.kind === 'stopping') return false;
      response.fail(upstreamFailure);
      return true;
    }
    const decoder = new TextDecoder();
    let buffered = '';
    for await (const part of upstream.body) {
      buffered += decoder.decode(part as Buffer, { stream: true });
      for (let i = buffered.indexOf('\n\n'); i >= 0; i = buffered.indexOf('\n\n')) {
        const frame = buffered.slice(0, i);
        buffered = buffered.slice(i + 2);
        streaming = true;
        if (frame === 'data: [DONE]') {
          response.end(finish);
          return true;
        }
        if (frame.startsWith('event: error')) {
          const upstreamFailure = parseFailure(frame.slice(frame.indexOf('data: ') + 6));
          response.fail(
            failureKinds[upstreamFailure.kind].ran === 'no'
              ? failure('answer_cut', upstreamFailure.message)
              : upstreamFailure,
          );
          return true;
        }
        const choice = (JSON.parse(frame.slice(6)) as { choices: { text: string; finish_reason: string | null }[] })
          .choices[0]!;
        if (choice.text !== '') await response.chunk(choice.text);
        finish = choice.finish_reason ?? finish;
      }
    }
    response.fail(failure('answer_cut', 'The connection to the router that the request was forwarded to broke.'));
    return true;
  } catch (error) {
    if ((error as { code?: string }).code === 'ECONNREFUSED' && !streaming) return false;
    response.fail(
      failure(
        streaming ? 'answer_cut' : 'outcome_unknown',
        'The connection to the router that the request was forwarded to broke.',
      ),
    );
    return true;
  }
}
