/**
 * The HTTP API of the agent: worker states from the platform, desired state and rehearsals for operators, and diagnostics
 * for tools. Bodies are validated first.
 */
import { randomUUID } from 'node:crypto';
import { Type, type Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import { createGuardedApp, noRoomCode } from '@tansypost/guarded-app';
import type { ConnectionGuard } from '@tansypost/peer-limits';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { workerStates } from '@tansypost/membership';
import type { AgentCore } from './agent-core.js';
import { cloudEvent, type EventSink } from './event-sink.js';

const WorkerCall = Type.Object(
  {
    worker: Type.String({ minLength: 1, maxLength: 64 }),
    incarnation: Type.Integer({ minimum: 1 }),
    state: Type.Union(workerStates.map((state) => Type.Literal(state))),
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

const maxBodyBytes = 4 * 1024 * 1024;

/** What the API serves. */
export interface AgentAppOptions {
  /** Bounds what callers make this process hold. */
  readonly guard: ConnectionGuard;
  readonly core: AgentCore;
  readonly service: string;
  readonly sinkStatistics?: EventSink['statistics'];
}

/** Creates the API; it does not listen yet. */
export function createAgentApp(options: AgentAppOptions): FastifyInstance {
  const app = createGuardedApp({
    guard: options.guard,
    maxBodyBytes,
    bodies: 'json',
    fastify: { forceCloseConnections: true },
  });
  const { core } = options;
  const desiredKey = `desired/${options.service}`;

  function sendBadRequest(reply: FastifyReply, message: string, remedy: string): FastifyReply {
    return (reply.statusCode >= 400 ? reply : reply.code(400)).send({
      error: { kind: 'bad_request', message, remedy },
    });
  }
  app.setErrorHandler((error: { code?: string; message: string; statusCode?: number }, _request, reply) => {
    if (error.code === noRoomCode)
      return reply
        .code(503)
        .send({ error: { kind: 'overloaded', message: error.message, remedy: 'Come back after the time given.' } });
    if (error.statusCode !== undefined && error.statusCode < 500)
      return sendBadRequest(reply.code(error.statusCode), error.message, 'Correct the request.');
    return reply.code(500).send({
      error: {
        kind: 'internal_error',
        message: 'An unexpected error occurred in this agent.',
        remedy: 'Check the outcome before you retry.',
      },
    });
  });

  app.post('/platform/workers', async (request, reply) => {
    const fault = [...Value.Errors(WorkerCall, request.body)][0];
    if (fault !== undefined)
      return sendBadRequest(reply, `${fault.path}: ${fault.message}`, 'Correct the field named.');
    const body = request.body as Static<typeof WorkerCall>;
    const result = await core.applyPlatformStates([
      {
        worker: body.worker,
        incarnation: body.incarnation,
        state: workerStates.indexOf(body.state),
        address: body.address,
      },
    ]);
    if (result.confirmed || core.members().length === 0) return { taken: result.newEntries.length > 0 };
    return reply
      .code(503)
      .header('retry-after', '1')
      .send({
        error: {
          kind: 'not_confirmed',
          message: 'The worker state is stored at this agent but not confirmed by other members yet.',
          remedy: 'Send it to another agent too; sending it twice is harmless.',
        },
      });
  });
  app.get('/platform/workers', async () =>
    core.workerStates().map((entry) => ({ ...entry, state: workerStates[entry.state] })),
  );

  app.post('/desired-state', async (request, reply) => {
    const fault = [...Value.Errors(Submission, request.body)][0];
    if (fault !== undefined)
      return sendBadRequest(
        reply,
        `${fault.path}: ${fault.message}`,
        'Send {base, change, state}; base is the version you read.',
      );
    const body = request.body as Static<typeof Submission>;
    const result = await core.submit(body.base, body.change ?? randomUUID(), body.state);
    const code = { acknowledged: 200, refused: 422, 'lost the race': 409, 'outcome unknown': 504 }[result.answer];
    if (code === 504) reply.header('retry-after', '5');
    return reply.code(code).send(result);
  });
  app.get('/desired-state', async (_request, reply) => {
    const result = await core.readDesiredState();
    if (result.status !== 'value')
      return reply
        .code(504)
        .header('retry-after', '2')
        .send({
          error: {
            kind: 'outcome_unknown',
            message: 'The control cluster did not answer in time.',
            remedy: 'Retry the request.',
          },
        });
    return {
      version: result.version,
      state: result.version === 0 ? null : (JSON.parse(result.value.toString()) as unknown),
    };
  });
  app.get<{ Params: { id: string } }>('/changes/:id', async (request, reply) => {
    const result = await core.lookUpChange(request.params.id);
    if (result.status === 'done') return { change: request.params.id, answer: 'acknowledged', version: result.version };
    if (result.status === 'none') return { change: request.params.id, answer: 'not in force', version: result.version };
    return reply.code(504).header('retry-after', '2').send({ change: request.params.id, answer: 'outcome unknown' });
  });

  app.get('/rehearsals', async () => core.rehearsalRecord());
  app.post<{ Params: { id: string; word: string } }>('/rehearsals/:id/:word', async (request, reply) => {
    const { id, word } = request.params;
    if (word !== 'approve' && word !== 'reject')
      return sendBadRequest(reply, `Unknown decision ${word}.`, 'Use approve or reject.');
    const kind = await core.decideRehearsal(id, word);
    return reply
      .code(
        { taken: 200, unknown_rehearsal: 404, ended_rehearsal: 409, superseded_rehearsal: 409, outcome_unknown: 504 }[
          kind
        ],
      )
      .send({ rehearsal: id, answer: kind });
  });

  app.get('/vitals', async (_request, reply) => {
    const metrics = core.metrics();
    return reply.code(metrics['routerHeard'] === true ? 200 : 503).send({ ok: metrics['routerHeard'], ...metrics });
  });
  app.get('/members', async () => core.members());
  app.get<{ Params: { version: string } }>('/trace/:version', async (request) =>
    core.trace(desiredKey, Number(request.params.version)),
  );
  app.get<{ Params: { version: string } }>('/cloudevents/:version', async (request, reply) => {
    const events = core
      .trace(desiredKey, Number(request.params.version))
      .map((event) => cloudEvent(String(core.metrics()['member']), event));
    return reply.type('application/cloudevents-batch+json').send(JSON.stringify(events));
  });
  app.get('/metrics', async (_request, reply) => {
    const metrics = {
      ...core.metrics(),
      ...(options.sinkStatistics === undefined
        ? {}
        : {
            eventsSent: options.sinkStatistics().sent,
            eventsLost: options.sinkStatistics().lost,
            eventsWaiting: options.sinkStatistics().waiting,
          }),
    };
    const lines = Object.entries(metrics).flatMap(([name, value]) =>
      typeof value === 'number'
        ? [`tansypost_agent_${name} ${value}`]
        : typeof value === 'boolean'
          ? [`tansypost_agent_${name} ${value ? 1 : 0}`]
          : [],
    );
    return reply.type('text/plain; version=0.0.4').send(`${lines.join('\n')}\n`);
  });
  return app;
}
