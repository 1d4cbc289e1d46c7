/**
 * A model worker as PROTOCOL.md describes it: two stages, handles that are taken once, orders of a stage, reports, and
 * 421 for requests that name another worker or need the other stage.
 */
import http from 'node:http';

/** Handles of all workers of the process, by `ip:port/handle`. */
const handles = new Map();

/**
 * Starts a worker; `record` is told what it runs. `events` and `gapMs` describe its streams, and
 * `firstMsOf(path)` says how long a run works before its first bytes. While `state.trouble` is
 * set, the worker spoils some of its answers: `GET /report` gets the bytes that `trouble.body` gives, as long as no more
 * than the share `trouble.share` of all answers since the trouble began is spoilt.
 */
export async function startWorker({
  id,
  host,
  port,
  stage,
  record,
  stageSwitchMs = 1800,
  events = 4,
  gapMs = 20,
  firstMsOf = () => 0,
}) {
  const address = `${host}:${port}`;
  const state = { stage, orders: 0, changing: false, active: 0, fence: 0, trouble: undefined };
  let handleCount = 0;

  function answer(request, response, status, headers, body) {
    if (state.trouble !== undefined) state.trouble.answers += 1;
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    const attempt = request.headers['x-attempt-id'];
    const echoed = attempt === undefined ? {} : { 'X-Attempt-Id': attempt };
    response.writeHead(status, { ...echoed, ...headers, 'Content-Length': Buffer.byteLength(text) });
    response.end(text);
  }

  function report(request, response) {
    const sound = {
      stage: state.stage,
      models: [{ name: 'm', revision: 1, adapters: [] }],
      utilization: state.changing,
      call_seq: state.orders,
      queued: 0,
      active: state.active,
      kv_used: 0,
      kv_total: 400_000,
      prefill_handles: 0,
    };
    const { trouble } = state;
    const spoils = trouble !== undefined && trouble.spoilt + 1 <= trouble.share * (trouble.answers + 1);
    if (spoils) {
      trouble.spoilt += 1;
      record(`worker ${id}: spoils a report (${trouble.spoilt} of ${trouble.answers + 1} answers of this trouble)`);
    }
    const body = spoils ? trouble.body(sound) : sound;
    answer(request, response, 200, { 'Content-Type': 'application/json' }, body);
  }

  function order(request, response, text) {
    const {
      operation,
      stage: next,
      holder_id: holder,
      fence_token: fence,
      expected_count: expected,
    } = JSON.parse(text);
    record(`worker ${id}: order ${operation} ${next} from ${holder} under fence ${fence}`);
    if (operation !== 'stage' || holder === undefined || fence === undefined)
      return answer(request, response, 400, {}, { error: 'no such order' });
    if (fence < state.fence) return answer(request, response, 412, {}, { error: 'a higher fence was seen' });
    state.fence = fence;
    if (state.changing || (expected !== undefined && expected !== state.orders))
      return answer(request, response, 409, {}, { error: 'another order is under way or was taken' });
    if (next === state.stage) return answer(request, response, 200, {}, {});
    state.orders += 1;
    state.changing = true;
    setTimeout(() => {
      state.stage = next;
      state.changing = false;
      record(`worker ${id}: now serves ${next}`);
    }, stageSwitchMs).unref();
    answer(request, response, 202, {}, {});
  }

  function read(request, response) {
    handleCount += 1;
    const handle = `${id.replace(/\W/g, '')}.${handleCount}.${Math.random().toString(16).slice(2, 10)}`;
    handles.set(`${address}/${handle}`, request.headers['x-attempt-id']);
    setTimeout(() => handles.delete(`${address}/${handle}`), 5000).unref();
    const tokens = Number((request.headers['x-token-counts'] ?? '0').split(',')[0]);
    const body = { prefill_handle: handle, token_count: tokens, revision: 1 };
    setTimeout(() => answer(request, response, 200, { 'Content-Type': 'application/json' }, body), 15);
  }

  function run(request, response) {
    const attempt = request.headers['x-attempt-id'];
    const source = request.headers['x-kv-source'];
    if (source !== undefined) {
      if (!handles.delete(source))
        return answer(request, response, 503, { 'X-Not-Executed': '1' }, { error: 'no handle' });
    }
    state.active += 1;
    record(`worker ${id}: runs ${attempt}`);
    if (state.trouble !== undefined) state.trouble.answers += 1;
    const first = setTimeout(() => stream(response, attempt), firstMsOf(request.url));
    response.on('close', () => {
      clearTimeout(first);
      state.active -= 1;
    });
  }

  function stream(response, attempt) {
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Attempt-Id': attempt,
      'X-Server-Seal': `seal.${id}.${attempt}`,
      'X-Weight-Versions': '1',
    });
    let next = 1;
    const timer = setInterval(() => {
      response.write(`id: ${next}\ndata: piece ${next} of ${attempt}\n\n`);
      next += 1;
      if (next <= events) return;
      clearInterval(timer);
      response.end();
    }, gapMs);
    response.on('close', () => clearInterval(timer));
  }

  function dispatch(request, response, text) {
    const path = request.url.split('?')[0];
    const target = request.headers['x-target-instance'];
    if (target !== undefined && target !== id) return answer(request, response, 421, {}, { error: 'another worker' });
    if (path === '/report') return report(request, response);
    if (path === '/order' && request.method === 'POST') return order(request, response, text);
    if (path === '/health') return answer(request, response, 200, { 'X-Instance-Id': id }, {});
    if (path.startsWith('/kv-handle/') && request.method === 'DELETE') {
      handles.delete(`${address}/${path.slice('/kv-handle/'.length)}`);
      return answer(request, response, 200, {}, {});
    }
    if (request.headers['x-attempt-id'] === undefined)
      return answer(request, response, 400, { 'X-Not-Executed': '1' }, { error: 'no id' });
    if (state.changing)
      return answer(request, response, 503, { 'X-Not-Executed': '1' }, { error: 'an order is under way' });
    const wanted = request.headers['x-stage'] === 'prefill' ? 'prefill' : 'decode';
    if (wanted !== state.stage)
      return answer(request, response, 421, { 'X-Not-Executed': '1' }, { error: 'wrong stage' });
    if (wanted === 'prefill') return read(request, response);
    run(request, response);
  }

  const server = http.createServer({ maxHeaderSize: 1024 * 1024 }, (request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => dispatch(request, response, Buffer.concat(chunks).toString()));
    request.on('error', () => undefined);
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port }, resolve);
  });
  return {
    id,
    address,
    state,
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
