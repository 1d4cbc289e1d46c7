#!/usr/bin/env node
// The simulated worker as a process: an HTTP/1.1 API for the worker core, with the KV transfer of vLLM's
// kv_transfer_params. No KV data is transferred: a decode worker claims the handle of the KV cache at the prefill worker
// named there, and both workers validate the handle.
import { appendFileSync } from 'node:fs';
import { Type } from '@sinclair/typebox';
import fastify from 'fastify';
import { request } from 'undici';
import { runProgram } from '@tansypost/boot';
import { startTimer, monotonicNow, splitAddress } from '@tansypost/inner-protocol';
import { nonsenseFor } from './nonsense.js';
import { createWorkerCore, workerDefaults, type KvHandle, type WorkerStage } from './worker-core.js';

const addressSchema = Type.String({ pattern: '^\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}$' });
const settingsSchema = Type.Object(
  {
    member: Type.String({ minLength: 1 }),
    listen: addressSchema,
    advertise: Type.Optional(addressSchema),
    incarnation: Type.Integer({ minimum: 1 }),
    prefillPace: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
    stepUs: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
    kvTokens: Type.Optional(Type.Integer({ minimum: 100 })),
    holdUs: Type.Optional(Type.Integer({ minimum: 1000 })),
    logLevel: Type.Optional(Type.Integer()),
    // Gets one line per execution.
    runsFile: Type.Optional(Type.String()),
  },
  { additionalProperties: false },
);

interface CompletionRequestBody {
  readonly prompt: string;
  readonly max_tokens: number;
  readonly kv_transfer_params?: {
    readonly do_remote_decode?: boolean;
    readonly do_remote_prefill?: boolean;
    readonly remote_engine_id?: string;
    readonly remote_block_ids?: readonly string[];
    readonly remote_host?: string;
    readonly remote_port?: number;
    readonly request_id?: string;
    readonly prompt_digest?: string;
    readonly incarnation?: number;
  };
}

await runProgram({
  name: 'worker-stand-in',
  description: 'A simulated inference worker with separate prefill and decode stages.',
  schema: settingsSchema,
  flags: Object.keys(settingsSchema.properties),
  start: async (settings, log) => {
    const { logLevel: _l, advertise, listen, member, incarnation, runsFile, ...rest } = settings;
    const core = createWorkerCore(
      { now: monotonicNow, after: startTimer, log },
      {
        ...workerDefaults,
        ...rest,
        worker: member,
        incarnation,
        onRun: (requestId, stage) => {
          if (runsFile !== undefined) appendFileSync(runsFile, `${requestId} ${stage}\n`);
        },
      },
    );
    const { host, port } = splitAddress(listen);
    const advertised = splitAddress(advertise ?? listen);
    const app = fastify({ bodyLimit: 8 * 1024 * 1024, forceCloseConnections: true });
    let isUnresponsive = false;

    // The error of a request that was not executed.
    function notStartedError(kind: string): object {
      return { error: { kind, started: false } };
    }
    app.addHook('onRequest', async (incoming) => {
      if (isUnresponsive && !incoming.url.startsWith('/fault')) await new Promise(() => undefined);
    });

    app.post<{ Body: CompletionRequestBody; Headers: { 'x-request-id'?: string; 'x-worker-incarnation'?: string } }>(
      '/v1/completions',
      async (incoming, reply) => {
        const id = incoming.headers['x-request-id'] ?? '';
        const expectedIncarnation = Number(incoming.headers['x-worker-incarnation'] ?? incarnation);
        if (expectedIncarnation !== incarnation) return reply.code(503).send(notStartedError('other_incarnation'));
        const job = { request: id, prompt: incoming.body.prompt, maxTokens: incoming.body.max_tokens };
        const kvTransferParams = incoming.body.kv_transfer_params ?? {};
        if (kvTransferParams.do_remote_decode === true) {
          const outcome = await new Promise<Parameters<Parameters<typeof core.prefill>[1]>[0]>((resolve) => {
            const cancel = core.prefill(job, resolve);
            reply.raw.on('close', () => {
              if (!reply.raw.writableEnded) cancel();
            });
          });
          if (outcome.tag === 'refused') return reply.code(503).send(notStartedError(outcome.why));
          const handle = outcome.handle;
          return reply.send({
            id,
            object: 'text_completion',
            choices: [{ index: 0, text: '', finish_reason: 'length' }],
            usage: { prompt_tokens_details: { cached_tokens: outcome.cached } },
            kv_transfer_params: {
              do_remote_prefill: true,
              remote_engine_id: handle.worker,
              remote_block_ids: [handle.id],
              remote_host: advertised.host,
              remote_port: advertised.port,
              request_id: handle.request,
              prompt_digest: handle.digest,
              incarnation: handle.incarnation,
            },
          });
        }
        // Without parameters the handle is empty and is rejected.
        const handle: KvHandle = {
          id: kvTransferParams.remote_block_ids?.[0] ?? '',
          worker: kvTransferParams.remote_engine_id ?? '',
          incarnation: kvTransferParams.incarnation ?? 0,
          request: kvTransferParams.request_id ?? '',
          digest: kvTransferParams.prompt_digest ?? '',
        };
        const rejection = core.admitDecode(job, handle);
        if (rejection !== undefined)
          return reply.code(rejection === 'memory_foreign' ? 409 : 503).send(notStartedError(rejection));
        const kvError = await consumeRemoteHandle(
          `${kvTransferParams.remote_host}:${kvTransferParams.remote_port}`,
          handle,
        );
        if (kvError !== undefined) return reply.code(409).send(notStartedError(kvError));
        reply.hijack();
        reply.raw.writeHead(200, { 'content-type': 'text/event-stream' });
        reply.raw.on('error', () => undefined);
        const cancel = core.decode(job, handle, {
          chunk: (text) =>
            reply.raw.write(
              core.faults.nonsense === true
                ? nonsenseFor(id)
                : `data: ${JSON.stringify({ id, object: 'text_completion', choices: [{ index: 0, text, finish_reason: null }] })}\n\n`,
            ),
          end: (finish) =>
            reply.raw.end(
              `data: ${JSON.stringify({ id, object: 'text_completion', choices: [{ index: 0, text: '', finish_reason: finish }] })}\n\ndata: [DONE]\n\n`,
            ),
          abort: () => reply.raw.destroy(),
        });
        reply.raw.on('close', cancel);
        return undefined;
      },
    );

    // Consumes the handle at its owner: in this process if that is this worker, otherwise with a call to /kv/take.
    async function consumeRemoteHandle(address: string, handle: KvHandle): Promise<string | undefined> {
      if (address === (advertise ?? listen)) return core.consumeHandle(handle);
      try {
        const response = await request(`http://${address}/kv/take`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(handle),
          headersTimeout: 2000,
          bodyTimeout: 2000,
        });
        const body = (await response.body.json()) as { why?: string };
        return response.statusCode === 200 ? undefined : (body.why ?? 'memory_lapsed');
      } catch {
        return 'memory_lapsed';
      }
    }

    app.post<{ Body: KvHandle }>('/kv/take', async (incoming, reply) => {
      const rejection = core.consumeHandle(incoming.body);
      return reply.code(rejection === undefined ? 200 : 409).send(rejection === undefined ? {} : { why: rejection });
    });
    app.get('/report', async () => core.report());
    app.post<{ Body: { epoch: number; part?: WorkerStage | '' } }>('/part', async (incoming, reply) => {
      const isAccepted = core.setStage(incoming.body.epoch, incoming.body.part ?? '');
      return reply.code(isAccepted ? 200 : 409).send({ fence: core.report().fence, part: core.part() });
    });
    // `dark` makes the worker leave calls unanswered, `lapse` expires its KV handles.
    app.post<{ Body: { dark?: boolean; lapse?: boolean } & typeof core.faults }>('/fault', async (incoming) => {
      const { dark: setUnresponsive, lapse, ...faults } = incoming.body;
      if (setUnresponsive !== undefined) isUnresponsive = setUnresponsive;
      if (lapse === true) core.expireHandles();
      Object.assign(core.faults, faults);
      return {};
    });
    app.get('/idle', async () => core.idle());
    app.get('/runs', async () => Object.fromEntries(core.runs()));
    await app.listen({ host, port });
    return { stop: () => app.close() };
  },
});
