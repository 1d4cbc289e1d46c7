/**
 * Shared by the tests that run the platform's programs as real processes: HTTP calls, a configuration, and a worker and a
 * worker list on loopback.
 */
import { constants, openSync } from 'node:fs';
import http from 'node:http';

/** The response to a call; `complete` is false if it was cut off. */
export interface Answer {
  readonly status: number;
  readonly body: string;
  readonly complete: boolean;
  readonly seal: string | undefined;
  readonly location: string | undefined;
}
/** A call in progress. */
export interface PendingCall {
  /** Resolves when the first bytes of the response body arrive. */
  readonly begun: Promise<void>;
  readonly answer: Promise<Answer>;
}

/** Sends a request on its own connection. */
export function call(
  target: { host: string; port: number; path: string; method?: string },
  headers: Record<string, string> = {},
  body: string | Buffer = '',
): PendingCall {
  const resolver: { markBegun?: () => void } = {};
  const begun = new Promise<void>((markBegun) => {
    resolver.markBegun = markBegun;
  });
  const answer = new Promise<Answer>((resolve, reject) => {
    const request = http.request({ ...target, headers, agent: false }, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (part: string) => {
        text += part;
        resolver.markBegun!();
      });
      response.on('error', () => undefined);
      response.on('close', () =>
        resolve({
          status: response.statusCode!,
          body: text,
          complete: response.complete,
          seal: response.headers['x-server-seal'] as string | undefined,
          location: response.headers.location,
        }),
      );
    });
    request.on('error', reject);
    request.end(body);
  });
  answer.catch(() => undefined);
  return { begun, answer };
}

/**
 * Repeats a call until its answer is the expected one; otherwise the test's own timeout ends it, or `check`, which is
 * called before each attempt and may throw.
 */
export async function callUntil(
  attempt: () => Promise<Answer>,
  isExpected: (answer: Answer) => boolean,
  check: () => void = () => undefined,
): Promise<Answer> {
  for (;;) {
    check();
    const answer = await attempt().catch(() => undefined);
    if (answer !== undefined && isExpected(answer)) return answer;
    await new Promise((retry) => setTimeout(retry, 50));
  }
}

/** A configuration with a route for each of the names. */
export function configuration(revision: number, routes: readonly string[]): string {
  return JSON.stringify({
    revision,
    routes: routes.map((name) => ({
      name,
      hostname: 'h.example',
      path_prefix: `/${name}/`,
      route_kind: 'streaming',
      deadline_ms: 60_000,
      target_ms: 800,
      gap_target_ms: 60_000,
      priority: 0,
      backend: 's',
      max_tries: 1,
    })),
    backends: [{ name: 's', health_path: '/health', max_conns: 64, runtime: { slots: 32 } }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
  });
}

/** A complete answer of the test worker, as a client receives it. */
export const completeAnswer = { status: 200, body: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n', complete: true };

/** A worker that streams two events; the second event of a held request is sent only when the test releases it. */
export function serveWorkerRequest(
  heldResponses: http.ServerResponse[],
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  if (request.method === 'GET') {
    const report = { stage: 'decode', models: [], utilization: false, call_seq: 0, queued: 0, active: 0, kv_used: 0 };
    return void response.end(JSON.stringify({ ...report, kv_total: 1000, prefill_handles: 0 }));
  }
  request.resume();
  request.on('end', () => {
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Attempt-Id': request.headers['x-attempt-id'],
      'X-Server-Seal': `seal of ${request.headers['x-attempt-id'] as string}`,
    });
    response.write('id: 1\ndata: one\n\n');
    if (request.headers['x-hold'] === undefined) response.end('id: 2\ndata: two\n\n');
    else heldResponses.push(response);
  });
}
/** Completes the held answers. */
export function completeHeldAnswers(heldResponses: http.ServerResponse[]): void {
  for (const response of heldResponses.splice(0)) response.end('id: 2\ndata: two\n\n');
}
/** Responds with a list of one decode worker at `address`. */
export function serveWorkerList(address: string, response: http.ServerResponse): void {
  const worker = { id: 'i-1', backend: 's', address, zone: 'a', revision: 'v1' };
  const commonFields = { slots: 32, state: 'ready', cold_left_ms: 0, stage: 'decode', models: [] };
  response.end(JSON.stringify({ instances: [{ ...worker, ...commonFields }], next_token: null }));
}

/** Opens a pipe for writing as soon as it has a reader. */
export async function openWhenRead(pipe: string): Promise<number> {
  for (;;) {
    try {
      return openSync(pipe, constants.O_WRONLY | constants.O_NONBLOCK);
    } catch {
      await new Promise((again) => setImmediate(again));
    }
  }
}
