/**
 * One long session: each request adds a part of ten tokens to the prompt of the one before, and all go through one
 * router, over kept connections. Then sixteen other clients ask through the same router, each over a kept connection. With
 * trouble, one of the four workers is replaced meanwhile: a new one starts, the old one drains and leaves the list.
 */
import http from 'node:http';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createRecord, putConfiguration, sleep } from '../lib/calls.mjs';
import { configurationOf, startDeployment } from '../lib/deployment.mjs';
import { startPlatform } from '../lib/platform.mjs';
import { startWorker } from '../lib/worker.mjs';

const trouble = process.env.TROUBLE !== '0';
const turns = Number(process.env.TURNS ?? 6500);
const tokensPerPart = 10;
const concurrency = 8;
const maxSessionMs = 95_000;
const bystanders = 16;
/** How long a worker works on a bystander's request before its first bytes. */
const bystanderFirstMs = 1200;
/** `drain_ms` of the settings and somewhat longer. */
const drainMs = 4000;

const record = createRecord(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
record(trouble ? 'with trouble' : 'without trouble');
const deployment = await startDeployment({ record });
const workers = [];
const states = new Map();
/** Which worker ran which request. */
const startedAt = new Map();
let platform;
let exitCode = 2;

async function addWorker(index, stage) {
  const host = `${deployment.block}.${100 + index}`;
  const worker = await startWorker({
    id: `i-${stage}-${index}`,
    host,
    port: deployment.ports.worker,
    stage,
    record: (line) => {
      const run = /^worker (\S+): runs (\S+)$/.exec(line);
      if (run !== null) startedAt.set(run[2], run[1]);
    },
    events: 2,
    gapMs: 5,
    firstMsOf: (path) => (path === '/ask/bystander' ? bystanderFirstMs : 0),
  });
  workers.push(worker);
  states.set(worker.id, 'ready');
}

function instances() {
  return workers
    .filter(({ id }) => states.get(id) !== 'gone')
    .map((worker) => ({
      backend: 'llm',
      address: worker.address,
      zone: 'a',
      revision: 'v1',
      slots: 64,
      state: states.get(worker.id),
      cold_left_ms: 0,
      stage: worker.state.stage,
      models: [{ name: 'm', revision: 1, adapters: [] }],
      id: worker.id,
    }));
}

const sessionAgent = new http.Agent({ keepAlive: true, maxSockets: concurrency });
const router = deployment.routers[0];
const tally = {};
let sent = 0;
/** Answers that ended without one byte although the connection was a kept one and a worker had the request. */
const unanswered = [];

/** Sends one request and resolves to its end. */
function ask({ agent, path, prefix, tokens }) {
  sent += 1;
  const id = `req${sent}.${Math.random().toString(16).slice(2, 10)}`;
  return new Promise((resolve) => {
    const request = http.request({
      host: router.ip,
      port: deployment.ports.front,
      method: 'POST',
      path,
      agent,
      headers: {
        host: 'desk.example',
        'x-attempt-id': id,
        'x-deadline-ms': '8000',
        'x-model': 'm',
        'x-token-counts': `${tokens},24`,
        'x-prompt-prefix': prefix,
      },
    });
    function settle(end) {
      tally[end] = (tally[end] ?? 0) + 1;
      resolve({ id, end });
    }
    request.on('response', (response) => {
      response.resume();
      response.on('end', () => settle(`${response.statusCode}`));
      response.on('error', () => settle('cut in the answer'));
    });
    request.on('error', (error) => {
      const kept = request.reusedSocket === true;
      const running = startedAt.get(id);
      record(
        `client: ${id} on a ${kept ? 'kept' : 'new'} connection ended without an answer (${error.code}); a worker ${running === undefined ? 'did not have it' : `ran it: ${running}`}`,
      );
      if (kept && running !== undefined) unanswered.push(id);
      settle(`no answer: ${error.code}`);
    });
    request.end('question');
  });
}

function prefixOf(parts) {
  const prefix = [];
  for (let part = 1; part <= parts; part += 1) prefix.push(`${part.toString(16)}:${tokensPerPart}`);
  return prefix.join(',');
}

/** The session: `concurrency` requests are under way at a time. Returns whether it came to its end in time. */
async function playSession() {
  const until = Date.now() + maxSessionMs;
  let next = 1;
  async function lane() {
    while (next <= turns && Date.now() < until) {
      const parts = next;
      next += 1;
      await ask({ agent: sessionAgent, path: '/ask/session', prefix: prefixOf(parts), tokens: parts * tokensPerPart });
      if (parts % 500 === 0) record(`session: ${parts} parts; answers so far ${JSON.stringify(tally)}`);
    }
  }
  await Promise.all(Array.from({ length: concurrency }, lane));
  return next > turns;
}

/** One bystander: asks again and again over its kept connection. */
async function playBystander(number, until) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  while (Date.now() < until) {
    const prefix = `a${number}:198,${(sent + 1).toString(16)}:630`;
    const { end } = await ask({ agent, path: '/ask/bystander', prefix, tokens: 828 });
    if (end !== '200') await sleep(300);
  }
  agent.destroy();
}

/** One worker is replaced: the new one starts first, the old one drains. */
async function replaceWorker() {
  const [old] = workers;
  await addWorker(5, old.state.stage);
  await sleep(1000);
  states.set(old.id, 'draining');
  record(`platform: ${old.id} is draining`);
  await sleep(drainMs);
  states.set(old.id, 'gone');
  old.stop();
  record(`platform: ${old.id} is gone`);
}

try {
  platform = await startPlatform({ ...deployment.platform, instances });
  await addWorker(1, 'decode');
  await addWorker(2, 'decode');
  await addWorker(3, 'prefill');
  await addWorker(4, 'prefill');
  const configuration = configurationOf(1, { maxHeaderBytes: 65_536 });
  const acknowledged = await putConfiguration(deployment.controls, configuration, 0, record);
  if (acknowledged && (await deployment.waitUntilReady(10_000)) && (await playSession())) {
    const until = Date.now() + 12_000;
    const others = Array.from({ length: bystanders }, (_, number) => playBystander(number, until));
    await sleep(3000);
    if (trouble) await replaceWorker();
    await Promise.all(others);
    record(`ends by themselves: ${deployment.machines.map(({ name, ownEnds }) => `${name} ${ownEnds}`).join(', ')}`);
    record(`answers to ${sent} requests: ${JSON.stringify(tally)}`);
    const broken = unanswered.length > 3;
    record(
      `${broken ? 'BROKEN' : 'held'}: ${unanswered.length} requests from kept connections were passed on to a sound worker and ended without an answer (more than three break LOST)`,
    );
    exitCode = broken ? 1 : 0;
  } else record('the deployment did not become ready, or the session did not end in time');
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  for (const worker of workers) worker.stop();
  platform?.stop();
  await deployment.stop();
}
process.exit(exitCode);
