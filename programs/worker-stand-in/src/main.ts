#!/usr/bin/env node
// The worker stand-in as a process: HTTP/1.1 in front of the worker core, with the hand-over that vLLM's
// kv_transfer_params describe. A decode worker reads the memory from the prefill worker it is
// named, and both check the handle.
import { appendFileSync } from 'node:fs';
import { Type } from '@sinclair/typebox';
import fastify from 'fastify';
import { request } from 'undici';
import { runProgram } from '@tansypost/boot';
import { startTimer, monotonicNow, splitAddress } from '@tansypost/inner-protocol';
import { createWorkerCore, workerDefaults, type KvHandle, type WorkerStage } from './worker-core.js';

const Addr = Type.String({ pattern: '^\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}$' });
const Boot = Type.Object(
  {
    member: Type.String({ minLength: 1 }),
    listen: Addr,
    advertise: Type.Optional(Addr),
    incarnation: Type.Integer({ minimum: 1 }),
    prefillPace: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
    stepUs: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
    kvTokens: Type.Optional(Type.Integer({ minimum: 100 })),
    holdUs: Type.Optional(Type.Integer({ minimum: 1000 })),
    logLevel: Type.Optional(Type.Integer()),
    runsFile: Type.Optional(Type.String()),
  },
  { additionalProperties: false },
);

interface Body {
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
  about: 'A stand-in for a model worker with split prefill and decode.',
  schema: Boot,
  flags: Object.keys(Boot.properties),
  start: async (b, log) => {
    const { logLevel: _l, advertise, listen, member, incarnation, runsFile, ...rest } = b;
    const core = createWorkerCore(
      { now: monotonicNow, after: startTimer, log },
      {
        ...workerDefaults,
        ...rest,
        worker: member,
        incarnation,
        onRun: (q, what) => {
          if (runsFile !== undefined) appendFileSync(runsFile, `${q} ${what}\n`);
        },
      },
    );
    const { host, port } = splitAddress(listen);
    const shown = splitAddress(advertise ?? listen);
    const app = fastify({ bodyLimit: 8 * 1024 * 1024, forceCloseConnections: true });
    let dark = false;

    function not(why: string): object {
      return { error: { kind: why, started: false } };
    }
    app.addHook('onRequest', async (q) => {
      if (dark && !q.url.startsWith('/fault')) await new Promise(() => undefined);
    });

    app.post<{ Body: Body; Headers: { 'x-request-id'?: string; 'x-worker-incarnation'?: string } }>(
      '/v1/completions',
      async (q, a) => {
        const id = q.headers['x-request-id'] ?? '';
        const want = Number(q.headers['x-worker-incarnation'] ?? incarnation);
        if (want !== incarnation) return a.code(503).send(not('other_incarnation'));
        const job = { request: id, prompt: q.body.prompt, maxTokens: q.body.max_tokens };
        const kv = q.body.kv_transfer_params ?? {};
        if (kv.do_remote_decode === true) {
          const got = await new Promise<Parameters<Parameters<typeof core.prefill>[1]>[0]>((ok) => {
            const off = core.prefill(job, ok);
            a.raw.on('close', () => {
              if (!a.raw.writableEnded) off();
            });
          });
          if (got.tag === 'refused') return a.code(503).send(not(got.why));
          const h = got.handle;
          return a.send({
            id,
            object: 'text_completion',
            choices: [{ index: 0, text: '', finish_reason: 'length' }],
            usage: { prompt_tokens_details: { cached_tokens: got.cached } },
            kv_transfer_params: {
              do_remote_prefill: true,
              remote_engine_id: h.worker,
              remote_block_ids: [h.id],
              remote_host: shown.host,
              remote_port: shown.port,
              request_id: h.request,
              prompt_digest: h.digest,
              incarnation: h.incarnation,
            },
          });
        }
        const h: KvHandle = {
          id: kv.remote_block_ids?.[0] ?? '',
          worker: kv.remote_engine_id ?? '',
          incarnation: kv.incarnation ?? 0,
          request: kv.request_id ?? '',
          digest: kv.prompt_digest ?? '',
        };
        const no = core.admitDecode(job, h);
        if (no !== undefined) return a.code(no === 'memory_foreign' ? 409 : 503).send(not(no));
        const taken = await takeFrom(`${kv.remote_host}:${kv.remote_port}`, h);
        if (taken !== undefined) return a.code(409).send(not(taken));
        a.hijack();
        a.raw.writeHead(200, { 'content-type': 'text/event-stream' });
        a.raw.on('error', () => undefined);
        const off = core.decode(job, h, {
          chunk: (text) =>
            a.raw.write(
              core.faults.nonsense === true
                ? 'garbage\n\n'
                : `data: ${JSON.stringify({ id, object: 'text_completion', choices: [{ index: 0, text, finish_reason: null }] })}\n\n`,
            ),
          end: (finish) =>
            a.raw.end(
              `data: ${JSON.stringify({ id, object: 'text_completion', choices: [{ index: 0, text: '', finish_reason: finish }] })}\n\ndata: [DONE]\n\n`,
            ),
          abort: () => a.raw.destroy(),
        });
        a.raw.on('close', off);
        return undefined;
      },
    );

    async function takeFrom(at: string, h: KvHandle): Promise<string | undefined> {
      if (at === (advertise ?? listen)) return core.consumeHandle(h);
      try {
        const r = await request(`http://${at}/kv/take`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(h),
          headersTimeout: 2000,
          bodyTimeout: 2000,
        });
        const x = (await r.body.json()) as { why?: string };
        return r.statusCode === 200 ? undefined : (x.why ?? 'memory_lapsed');
      } catch {
        return 'memory_lapsed';
      }
    }

    app.post<{ Body: KvHandle }>('/kv/take', async (q, a) => {
      const why = core.consumeHandle(q.body);
      return a.code(why === undefined ? 200 : 409).send(why === undefined ? {} : { why });
    });
    app.get('/report', async () => core.report());
    app.post<{ Body: { epoch: number; part?: WorkerStage | '' } }>('/part', async (q, a) => {
      const ok = core.setStage(q.body.epoch, q.body.part ?? '');
      return a.code(ok ? 200 : 409).send({ fence: core.report().fence, part: core.part() });
    });
    app.post<{ Body: { dark?: boolean; lapse?: boolean } & typeof core.faults }>('/fault', async (q) => {
      const { dark: d, lapse, ...f } = q.body;
      if (d !== undefined) dark = d;
      if (lapse === true) core.expireHandles();
      Object.assign(core.faults, f);
      return {};
    });
    app.get('/idle', async () => core.idle());
    app.get('/runs', async () => Object.fromEntries(core.runs()));
    await app.listen({ host, port });
    return { stop: () => app.close() };
  },
});
