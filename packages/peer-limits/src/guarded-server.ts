/**
 * An HTTP server whose connections are kept within a budget in each of their phases. Requests that a client sends without
 * waiting for answers are limited for each connection.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionGuard, GuardedSocket } from './connection-guard.js';
import { StrictResponse } from './strict-response.js';

/** One connection of a guarded server. */
export interface HttpConnection {
  readonly guarded: GuardedSocket;
  /** The longest head that its parser accepts, in bytes. */
  readonly maxHeadBytes: number;
  /** Whether a request on it was served before the present one. */
  readonly hasServed: () => boolean;
  /**
   * Counts a request as in progress until its response is closed. False where it does not fit: nothing of it may run, and
   * it must be refused.
   */
  readonly beginRequest: (response: http.ServerResponse, bytes: number) => boolean;
}

/** Handles one request. */
export type GuardedHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  connection: HttpConnection,
) => void;

/** Options of a guarded server. */
export interface GuardedServerOptions {
  readonly guard: ConnectionGuard;
  readonly http?: http.ServerOptions;
  readonly handle: GuardedHandler;
}

/** The time for the head of a request, where the caller sets none. */
const defaultHeadTimeoutMs = 10_000;
const defaultMaxHeadBytes = 16 * 1024;
/** Requests whose answers have not been read, on one connection. */
const maxOpenRequests = 8;
const maxListenBacklog = 511;

const longHeadBody = `${JSON.stringify({ error: 'The request headers are longer than allowed; shorten them.' })}\n`;
const longHeadResponse =
  'HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: application/json\r\n' +
  `Content-Length: ${longHeadBody.length}\r\nConnection: close\r\n\r\n${longHeadBody}`;

interface ConnectionState extends HttpConnection {
  readonly socket: Socket;
  readonly responses: Set<http.ServerResponse>;
  /** The request that arrived last. */
  newest: http.IncomingMessage | undefined;
  served: boolean;
  /** Of the socket's bytes read, those that belong to requests that are over. */
  readBefore: number;
  readAtInspection: number;
  sentAtInspection: number;
}

/** How many connections may wait to be accepted, so that a burst stays within the descriptors of the process. */
export function listenBacklog(guard: ConnectionGuard): number {
  return Math.min(maxListenBacklog, Math.max(1, Math.floor(guard.limits.maxConnections / 2)));
}

function unreadBytes({ socket, responses }: ConnectionState): number {
  let unread = socket.writableLength;
  for (const response of responses) unread += response.writableLength;
  return unread;
}

/** Looks up what only the socket knows: input of a head that the parser holds, and output that waits. */
function inspect(state: ConnectionState): void {
  const { socket, guarded } = state;
  const moved = socket.bytesRead - state.readAtInspection;
  state.readAtInspection = socket.bytesRead;
  if (state.responses.size > 0) return inspectOutput(state);
  const headBytes = socket.bytesRead - state.readBefore;
  guarded.enter(headBytes > 0 ? 'head' : 'idle');
  guarded.report(headBytes, moved);
}

function inspectOutput(state: ConnectionState): void {
  const { socket, guarded } = state;
  // A handler that does not read a body never sees its end.
  if (guarded.phase() === 'body' && state.newest?.complete !== true) return;
  const unread = unreadBytes(state);
  const sent = socket.bytesWritten - socket.writableLength;
  guarded.enter(unread > 0 ? 'answer' : 'request');
  guarded.report(unread, sent - state.sentAtInspection);
  state.sentAtInspection = sent;
}

function createState(socket: Socket, guard: ConnectionGuard, maxHeadBytes: number): ConnectionState {
  const responses = new Set<http.ServerResponse>();
  const state: ConnectionState = {
    socket,
    responses,
    guarded: guard.accept(socket, () => inspect(state)),
    maxHeadBytes,
    newest: undefined,
    served: false,
    readBefore: 0,
    readAtInspection: 0,
    sentAtInspection: 0,
    hasServed: () => state.served,
    beginRequest: (response, bytes) => {
      if (response.destroyed || !state.guarded.beginRequest(bytes)) return false;
      response.once('close', () => state.guarded.endRequest(bytes));
      return true;
    },
  };
  return state;
}

/** Follows one request on its connection; false where the connection has too many of them and is closed. */
function followRequest(state: ConnectionState, request: http.IncomingMessage, response: http.ServerResponse): boolean {
  const { guarded, responses, socket } = state;
  if (responses.size >= maxOpenRequests) {
    socket.destroy();
    return false;
  }
  responses.add(response);
  state.newest = request;
  guarded.enter('body');
  request.once('end', () => {
    if (guarded.phase() === 'body') guarded.enter('request');
    guarded.report(0, 0);
  });
  response.once('close', () => {
    responses.delete(response);
    if (responses.size > 0 || socket.destroyed) return;
    state.served = true;
    state.readBefore = socket.bytesRead;
    guarded.markServed();
    guarded.enter('idle');
    guarded.report(0, 0);
  });
  return true;
}

/**
 * Node.js emits no `close` for a response that waited behind another one when its connection was closed; without it the
 * request would count as in progress for ever.
 */
function closeQueued({ responses }: ConnectionState): void {
  for (const response of [...responses]) response.emit('close');
}

/** Answers a head that is too long; closes the connection after any other error. */
function closeAfterError(error: NodeJS.ErrnoException, socket: Socket, state: ConnectionState | undefined): void {
  const isLongHead = error.code === 'HPE_HEADER_OVERFLOW' && state?.responses.size === 0;
  if (isLongHead && socket.writable) socket.end(longHeadResponse, () => socket.destroy());
  else socket.destroy();
}

/** Creates the server; it does not listen yet. Its `maxHeaderSize` may be changed, for connections opened later. */
export function createGuardedServer(options: GuardedServerOptions): http.Server & { maxHeaderSize: number } {
  const { guard } = options;
  const states = new WeakMap<Socket, ConnectionState>();
  const server = http.createServer({
    maxHeaderSize: defaultMaxHeadBytes,
    requestTimeout: guard.bodyTimeoutMs,
    headersTimeout: Math.min(guard.bodyTimeoutMs, defaultHeadTimeoutMs),
    connectionsCheckingInterval: 1000,
    ServerResponse: StrictResponse,
    ...options.http,
  }) as http.Server & { maxHeaderSize: number };
  server.maxConnections = guard.limits.maxConnections + listenBacklog(guard);

  function onRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const state = states.get(request.socket);
    if (state === undefined || !followRequest(state, request, response)) return;
    options.handle(request, response, state);
  }
  server.on('connection', (socket: Socket) => {
    const state = createState(socket, guard, server.maxHeaderSize);
    states.set(socket, state);
    socket.once('close', () => setImmediate(closeQueued, state));
  });
  server.on('request', onRequest);
  server.on('checkContinue', (request: http.IncomingMessage, response: http.ServerResponse) => {
    response.writeContinue();
    onRequest(request, response);
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
    closeAfterError(error, socket as Socket, states.get(socket as Socket)),
  );
  return server;
}
