/**
 * The agent's HTTP side: the platform's calls about workers, the operators' desired state and rehearsals, and
 * what tools ask. Bodies are checked before anything happens.
 */
import { randomUUID } from 'node:crypto';
import { Type, type Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import fastify, { type FastifyInstance, type FastifyReply } from 'fastify';
import { workerStates } from '@tansypost/membership';
import type { AgentCore } from './agent-core.js';
import { cloudEvent, type EventSink } from './event-sink.js';

const WorkerCall = Type.Object(
  {
    worker: Type.String({ minLength: 1, maxLength: 64 }),
    incarnation: Type.Integer({ minimum: 1 }),
    state: Type.Union(workerStates.map((s) => Type.Literal(s))),
    address: Type.String({ pattern: '^\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}$' }),
  },
  { additionalProperties: false },
);
const Submission = Type.Object(
  {
    base: Type.Integer({ minimum: 0 }),
    change: Type.Optional(Type.String({ pattern: '^[A-Za-z0-9._:-]{1,64}$' })),
    state: Type.Unknown(),
  },
  { additionalProperties: false },
);

export interface AgentAppOptions {
  readonly core: AgentCore;
  readonly service: string;
  readonly sinkStatistics?: EventSink['statistics'];
}

export function createAgentApp(options: AgentAppOptions): FastifyInstance {
  const app = fastify({ bodyLimit: 4 * 1024 * 1024, forceCloseConnections: true });
  const { core } = options;
  const desiredKey = `desired/${options.service}`;

  function sendBadRequest(a: FastifyReply, message: string, remedy: string): FastifyReply {
    return (a.statusCode >= 400 ? a : a.code(400)).send({ error: { kind: 'bad_request', message, remedy } });
  }
  app.setErrorHandler((e: { message: string; statusCode?: number }, _q, a) => {
    if (e.statusCode !== undefined && e.statusCode < 500)
      return sendBadRequest(a.code(e.statusCode), e.message, 'Correct the call.');
    return a.code(500).send({
      error: {
        kind: 'internal_error',
        message: 'Something unforeseen went wrong inside this agent.',
        remedy: 'Read the outcome back before trying again.',
      },
    });
  });

  app.post('/platform/workers', async (q, a) => {
    const e = [...Value.Errors(WorkerCall, q.body)][0];
    if (e !== undefined) return sendBadRequest(a, `${e.path}: ${e.message}`, 'Correct the field named.');
    const b = q.body as Static<typeof WorkerCall>;
    const r = await core.applyPlatformStates([
      { worker: b.worker, incarnation: b.incarnation, state: workerStates.indexOf(b.state), address: b.address },
    ]);
    if (r.confirmed || core.members().length === 0) return { taken: r.newEntries.length > 0 };
    return a
      .code(503)
      .header('retry-after', '1')
      .send({
        error: {
          kind: 'not_confirmed',
          message: 'The mark is kept here, but no neighbour has confirmed it yet.',
          remedy: 'Tell another agent too; telling twice is harmless.',
        },
      });
  });
  app.get('/platform/workers', async () => core.workerStates().map((m) => ({ ...m, state: workerStates[m.state] })));

  app.post('/desired-state', async (q, a) => {
    const e = [...Value.Errors(Submission, q.body)][0];
    if (e !== undefined)
      return sendBadRequest(a, `${e.path}: ${e.message}`, 'Send {base, change, state}; base is the version you read.');
    const b = q.body as Static<typeof Submission>;
    const r = await core.submit(b.base, b.change ?? randomUUID(), b.state);
    const code = { acknowledged: 200, refused: 422, 'lost the race': 409, 'outcome unknown': 504 }[r.answer];
    if (code === 504) a.header('retry-after', '5');
    return a.code(code).send(r);
  });
  app.get('/desired-state', async (_q, a) => {
    const r = await core.readDesiredState();
    if (r.status !== 'value')
      return a
        .code(504)
        .header('retry-after', '2')
        .send({
          error: { kind: 'outcome_unknown', message: 'The core did not answer in time.', remedy: 'Ask again.' },
        });
    return { version: r.version, state: r.version === 0 ? null : (JSON.parse(r.value.toString()) as unknown) };
  });
  app.get<{ Params: { id: string } }>('/changes/:id', async (q, a) => {
    const r = await core.lookUpChange(q.params.id);
    if (r.status === 'done') return { change: q.params.id, answer: 'acknowledged', version: r.version };
    if (r.status === 'none') return { change: q.params.id, answer: 'not in force', version: r.version };
    return a.code(504).header('retry-after', '2').send({ change: q.params.id, answer: 'outcome unknown' });
  });

  app.get('/rehearsals', async () => core.rehearsalRecord());
  app.post<{ Params: { id: string; word: string } }>('/rehearsals/:id/:word', async (q, a) => {
    const { id, word } = q.params;
    if (word !== 'approve' && word !== 'reject')
      return sendBadRequest(a, `There is no word ${word}.`, 'Use approve or reject.');
    const kind = await core.decideRehearsal(id, word);
    return a
      .code(
        { taken: 200, unknown_rehearsal: 404, ended_rehearsal: 409, superseded_rehearsal: 409, outcome_unknown: 504 }[
          kind
        ],
      )
      .send({ rehearsal: id, answer: kind });
  });

  app.get('/vitals', async (_q, a) => {
    const f = core.metrics();
    return a.code(f['routerHeard'] === true ? 200 : 503).send({ ok: f['routerHeard'], ...f });
  });
  app.get('/members', async () => core.members());
  app.get<{ Params: { version: string } }>('/trace/:version', async (q) =>
    core.trace(desiredKey, Number(q.params.version)),
  );
  app.get<{ Params: { version: string } }>('/cloudevents/:version', async (q, a) => {
    const es = core
      .trace(desiredKey, Number(q.params.version))
      .map((t) => cloudEvent(String(core.metrics()['member']), t));
    return a.type('application/cloudevents-batch+json').send(JSON.stringify(es));
  });
  app.get('/metrics', async (_q, a) => {
    const f = {
      ...core.metrics(),
      ...(options.sinkStatistics === undefined
        ? {}
        : {
            eventsSent: options.sinkStatistics().sent,
            eventsLost: options.sinkStatistics().lost,
            eventsWaiting: options.sinkStatistics().waiting,
          }),
    };
    const lines = Object.entries(f).flatMap(([k, v]) =>
      typeof v === 'number'
        ? [`tansypost_agent_${k} ${v}`]
        : typeof v === 'boolean'
          ? [`tansypost_agent_${k} ${v ? 1 : 0}`]
          : [],
    );
    return a.type('text/plain; version=0.0.4').send(`${lines.join('\n')}\n`);
  });
  return app;
}
