/**
 * A worker crashes in the middle of a stream whose answer states its length. The router takes the stream up at another
 * worker, as the route allows; the client, which keeps its connection, must get one whole answer and nothing else.
 */
import net from 'node:net';
import { configuration, createRecord, createWorld, folderOf, instance, now, report, sleep } from '../lib-2/world.mjs';

const trouble = process.env.TROUBLE !== '0';
const record = createRecord(folderOf(import.meta.url));
/** One of seven crashes, 0.14 of the service. */
const workerCount = 7;
const events = 6;
const eventGapMs = 150;
const world = await createWorld({ keepers: 3, routers: 1, extraHosts: workerCount + 1, record });
const edge = world.machines.get('edge-1');
const workers = Array.from({ length: workerCount }, (_, index) => ({
  id: `i-${index + 1}`,
  host: world.hostOf(6 + index),
  server: undefined,
}));
/** What each run of a request has answered, by request. */
const runs = new Map();
let crashed = false;

/** Another run of a prompt makes other words; these are longer. */
function eventText(id, run) {
  return `id: ${id}\ndata: word${'-and-more'.repeat(run)}-${id}\n\n`;
}

function crash(worker) {
  crashed = true;
  record.add(`${worker.id} crashes`);
  worker.server.close();
  worker.server.closeAllConnections();
}

function serveWorker(worker, request, response) {
  if (request.method === 'GET') return void response.end(JSON.stringify(report('decode')));
  request.resume();
  request.on('end', () => {
    const id = request.headers['x-attempt-id'];
    const after = Number(request.headers['last-event-id'] ?? 0);
    const run = runs.get(id) ?? 0;
    runs.set(id, run + 1);
    record.add(`${worker.id} runs ${id} after event ${after}`);
    const pieces = Array.from({ length: events - after }, (_, index) => eventText(after + 1 + index, run));
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Content-Length': pieces.join('').length,
      'X-Attempt-Id': id,
      'X-Server-Seal': `seal.${worker.id}.${id}`,
    });
    const mayCrash = trouble && !crashed && id === 'request-1';
    function send(index) {
      if (response.destroyed) return;
      if (mayCrash && index === 2) return crash(worker);
      response.write(pieces[index]);
      if (index + 1 < pieces.length) setTimeout(send, eventGapMs, index + 1);
      else response.end();
    }
    send(0);
  });
}

/** A client that keeps one connection and reads answers as HTTP/1.1 frames them: by their length, or in chunks. */
function openClient() {
  const socket = net.connect(world.ports.front, edge.ip);
  let unread = '';
  let closed = false;
  socket.on('data', (bytes) => {
    unread += bytes.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    closed = true;
  });
  function takeChunks(body) {
    let at = 0;
    let text = '';
    for (;;) {
      const end = body.indexOf('\r\n', at);
      if (end < 0) return undefined;
      const size = parseInt(body.slice(at, end), 16);
      if (body.length < end + 2 + size + 2) return undefined;
      text += body.slice(end + 2, end + 2 + size);
      at = end + 2 + size + 2;
      if (size === 0) return { text, length: at };
    }
  }
  function takeAnswer() {
    const headEnd = unread.indexOf('\r\n\r\n');
    if (headEnd < 0) return undefined;
    const head = unread.slice(0, headEnd);
    const rest = unread.slice(headEnd + 4);
    if (!/^HTTP\/1\.1 \d{3} /.test(head)) return { notAnAnswer: head };
    const length = /content-length: (\d+)/i.exec(head)?.[1];
    const body =
      length === undefined
        ? takeChunks(rest)
        : rest.length < Number(length)
          ? undefined
          : { text: rest.slice(0, Number(length)), length: Number(length) };
    if (body === undefined) return undefined;
    unread = rest.slice(body.length);
    return { status: Number(head.slice(9, 12)), id: /x-attempt-id: (\S+)/i.exec(head)?.[1], body: body.text };
  }
  return {
    ask: async (id) => {
      record.add(`client sends ${id}`);
      socket.write(
        `POST /r1/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: ${id}\r\nX-Model: m\r\nX-Token-Counts: 10,6\r\n` +
          'X-Deadline-Ms: 8000\r\nContent-Length: 6\r\n\r\nprompt',
      );
      const until = now() + 8000;
      for (;;) {
        const answer = takeAnswer();
        if (answer !== undefined) return answer;
        if (closed || now() > until) return { cut: true };
        await sleep(5);
      }
    },
    /** Bytes that came while no request was waiting. */
    surplus: async () => {
      await sleep(500);
      return unread;
    },
    close: () => socket.destroy(),
  };
}

/** Whether the body is a series of whole events from the first to the last one. */
function isWholeStream(body) {
  const ids = body.split('\n\n').map((event) => /^id: (\d+)\ndata: [^\n]+$/.exec(event)?.[1] ?? event);
  return ids.join() === [...Array.from({ length: events }, (_, index) => index + 1), ''].join();
}

async function play() {
  for (const worker of workers)
    worker.server = await world.serve(worker.host, world.ports.worker, (request, response) =>
      serveWorker(worker, request, response),
    );
  // A crashed worker stays on the list for some seconds.
  const instances = workers.map(({ id, host }) => instance(id, `${host}:${world.ports.worker}`));
  const list = JSON.stringify({ instances, next_token: null });
  await world.serve(world.platformHost, world.ports.list, (_request, response) => void response.end(list));
  for (const name of world.machines.keys()) world.start(name);
  const route = { name: 'r1', path_prefix: '/r1/', resumable: true, max_tries: 2 };
  if ((await world.putConfig(configuration(3, [route]), 0)).status !== 200) return 2;
  const readyUntil = now() + 20_000;
  for (let tries = 0; ; tries += 1) {
    const warm = openClient();
    const { status } = await warm.ask(`warm-${tries}`);
    warm.close();
    if (status === 200) break;
    if (now() > readyUntil) return 2;
    await sleep(100);
  }
  await sleep(4000);

  let broken = 0;
  const client = openClient();
  const first = await client.ask('request-1');
  record.add(`answer to request-1: ${JSON.stringify(first)}`);
  if (trouble && !crashed) return 2;
  // A cut is allowed: the answer then does not appear complete.
  if (first.cut !== true && !(first.status === 200 && isWholeStream(first.body))) {
    record.add('the answer appears complete and is not the whole stream');
    broken += 1;
  }
  const surplus = await client.surplus();
  if (surplus !== '') {
    record.add(`bytes while no request is waiting: ${JSON.stringify(surplus)}`);
    broken += 1;
  }
  const second = first.cut === true ? undefined : await client.ask('request-2');
  record.add(`answer to request-2: ${JSON.stringify(second)}`);
  if (second?.notAnAnswer !== undefined) {
    record.add('what comes where the answer to request-2 is due is no answer');
    broken += 1;
  }
  client.close();
  return broken > 0 ? 1 : 0;
}

let result = 2;
try {
  result = await play();
} catch (error) {
  record.add(`the case could not run: ${error.stack}`);
} finally {
  await world.close();
  record.add(`result ${result}`);
  record.write();
}
process.exit(result);
