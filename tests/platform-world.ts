/**
 * What tests of the platform's programs as real processes share: calls over HTTP, a configuration, and a worker and a
 * list of workers that the test plays on loopback.
 */
import http from 'node:http';

export interface Answer {
  readonly status: number;
  readonly body: string;
  readonly complete: boolean;
  readonly seal: string | undefined;
  readonly location: string | undefined;
}
export interface Asked {
  /** Once the first bytes of the answer's body are there. */
  readonly begun: Promise<void>;
  readonly answer: Promise<Answer>;
}

export function call(
  at: { host: string; port: number; path: string; method?: string },
  headers: Record<string, string> = {},
  body = '',
): Asked {
  const kept: { begin?: () => void } = {};
  const begun = new Promise<void>((begin) => {
    kept.begin = begin;
  });
  const answer = new Promise<Answer>((done, failed) => {
    const request = http.request({ ...at, headers, agent: false }, (a) => {
      let text = '';
      a.setEncoding('utf8');
      a.on('data', (part: string) => {
        text += part;
        kept.begin!();
      });
      a.on('error', () => undefined);
      a.on('close', () =>
        done({
          status: a.statusCode!,
          body: text,
          complete: a.complete,
          seal: a.headers['x-server-seal'] as string | undefined,
          location: a.headers.location,
        }),
      );
    });
    request.on('error', failed);
    request.end(body);
  });
  answer.catch(() => undefined);
  return { begun, answer };
}

/** Asks until the answer is the one that is waited for. The test's own time limit ends what never comes. */
export async function until(ask: () => Promise<Answer>, wanted: (a: Answer) => boolean): Promise<Answer> {
  for (;;) {
    const answer = await ask().catch(() => undefined);
    if (answer !== undefined && wanted(answer)) return answer;
    await new Promise((again) => setTimeout(again, 50));
  }
}

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

/** What a whole answer of the played worker looks like to a client. */
export const whole = { status: 200, body: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n', complete: true };

/** A worker that makes tokens: it streams two events, the second of a held request only when the test releases it. */
export function playWorker(held: http.ServerResponse[], q: http.IncomingMessage, a: http.ServerResponse): void {
  if (q.method === 'GET') {
    const report = { stage: 'decode', models: [], utilization: false, call_seq: 0, queued: 0, active: 0, kv_used: 0 };
    return void a.end(JSON.stringify({ ...report, kv_total: 1000, prefill_handles: 0 }));
  }
  q.resume();
  q.on('end', () => {
    a.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Attempt-Id': q.headers['x-attempt-id'],
      'X-Server-Seal': `seal of ${q.headers['x-attempt-id'] as string}`,
    });
    a.write('id: 1\ndata: one\n\n');
    if (q.headers['x-hold'] === undefined) a.end('id: 2\ndata: two\n\n');
    else held.push(a);
  });
}
/** Lets the worker end the answers that it held back. */
export function releaseAnswers(held: http.ServerResponse[]): void {
  for (const a of held.splice(0)) a.end('id: 2\ndata: two\n\n');
}
/** Answers with a list of one decode worker at `address`. */
export function playList(address: string, a: http.ServerResponse): void {
  const worker = { id: 'i-1', backend: 's', address, zone: 'a', revision: 'v1' };
  const more = { slots: 32, state: 'ready', cold_left_ms: 0, stage: 'decode', models: [] };
  a.end(JSON.stringify({ instances: [{ ...worker, ...more }], next_token: null }));
}
