/** A fastify application whose connections and bodies are kept within the budget of its port. */
import type http from 'node:http';
import fastify, { type FastifyInstance, type FastifyServerOptions } from 'fastify';
import {
  createGuardedServer,
  readRequestBody,
  type ConnectionGuard,
  type HttpConnection,
} from '@tansypost/peer-limits';

/** Options of a guarded application. */
export interface GuardedAppOptions {
  readonly guard: ConnectionGuard;
  readonly maxBodyBytes: number;
  readonly fastify?: FastifyServerOptions;
  /** What handlers get as the body of a request: its bytes, or the value of its JSON text. */
  readonly bodies: 'bytes' | 'json';
}

/** The code of the error with status 503 for a body that does not fit beside the calls in progress. */
export const noRoomCode = 'TANSYPOST_NO_ROOM';

/** An error with the status that fastify answers it with. */
class BodyError extends Error {
  constructor(
    readonly statusCode: number,
    readonly code: string,
    message: string,
  ) {
    super(message);
  }
}

interface Exchange {
  readonly response: http.ServerResponse;
  readonly connection: HttpConnection;
}
/** A request that was injected into the application has no connection. */
const injected = { response: undefined, connection: undefined } as const;
const retryAfterSeconds = '1';
/** As fastify sets it for a server of its own; callers keep their connections. */
const keepAliveTimeoutMs = 72_000;

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new BodyError(400, 'FST_ERR_CTP_INVALID_JSON_BODY', 'The body is not valid JSON.');
  }
}

/** Creates an application without routes; it does not listen yet. */
export function createGuardedApp({ guard, maxBodyBytes, bodies, ...options }: GuardedAppOptions): FastifyInstance {
  const exchanges = new WeakMap<http.IncomingMessage, Exchange>();
  const app: FastifyInstance = fastify({
    ...options.fastify,
    serverFactory: (handler) =>
      createGuardedServer({
        guard,
        http: { keepAliveTimeout: keepAliveTimeoutMs },
        handle: (request, response, connection) => {
          exchanges.set(request, { response, connection });
          handler(request, response);
        },
      }),
  });

  async function readBody(request: http.IncomingMessage): Promise<Buffer> {
    const { connection, response } = exchanges.get(request) ?? injected;
    const body = await readRequestBody(
      request,
      maxBodyBytes,
      connection?.guarded,
      (bytes) => response === undefined || connection.beginRequest(response, bytes),
    );
    if (body.tag === 'whole') return body.bytes;
    if (body.tag === 'refused') {
      response?.setHeader('Retry-After', retryAfterSeconds);
      response?.setHeader('Connection', 'close');
      throw new BodyError(503, noRoomCode, 'The calls in progress take all the memory for calls; retry.');
    }
    if (body.tag === 'cut') throw new BodyError(400, 'FST_ERR_CTP_INVALID_CONTENT_LENGTH', 'The body is incomplete.');
    response?.setHeader('Connection', 'close');
    throw new BodyError(
      413,
      'FST_ERR_CTP_BODY_TOO_LARGE',
      `The body has more than ${maxBodyBytes} bytes; send a shorter one.`,
    );
  }

  app.removeAllContentTypeParsers();
  app.addContentTypeParser(
    bodies === 'bytes' ? '*' : 'application/json',
    async (_request: unknown, payload: http.IncomingMessage) => {
      const bytes = await readBody(payload);
      return bodies === 'bytes' ? bytes : parseJson(bytes.toString('utf8'));
    },
  );
  return app;
}
