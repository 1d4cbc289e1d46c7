/**
 * Steady traffic on a calm deployment. With trouble, three of its five workers are in trouble three times for five
 * seconds: they spoil up to three of a hundred answers. The spoilt answers are reports, in which one count has run below
 * zero in an unsigned counter (`"queued":18446744073709551615`). Everything else that they do is sound.
 */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, createRecord, putConfiguration, sleep } from '../lib/calls.mjs';
import { configurationOf, startDeployment } from '../lib/deployment.mjs';
import { startPlatform } from '../lib/platform.mjs';
import { startWorker } from '../lib/worker.mjs';

const trouble = process.env.TROUBLE !== '0';
/** The largest dose of `garble` in the site file: share 0.6, x 0.03, for_s 5. */
const dose = { share: 0.6, x: 0.03, forMs: 5000 };
const episodesAtMs = [5000, 20_000, 35_000];
const endMs = 50_000;
const requestIntervalMs = 10;

const record = createRecord(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
record(trouble ? 'with trouble' : 'without trouble');
const deployment = await startDeployment({ record });
const workers = [];
let platform;
let exitCode = 2;

async function addWorker(index, stage) {
  const host = `${deployment.block}.${100 + index}`;
  const worker = await startWorker({
    id: `i-${stage}-${index}`,
    host,
    port: deployment.ports.worker,
    stage,
    record: () => undefined,
  });
  workers.push(worker);
}

function instances() {
  return workers.map((worker) => ({
    backend: 'llm',
    address: worker.address,
    zone: 'a',
    revision: 'v1',
    slots: 64,
    state: 'ready',
    cold_left_ms: 0,
    stage: worker.state.stage,
    models: [{ name: 'm', revision: 1, adapters: [] }],
    id: worker.id,
  }));
}

const tally = {};
let sent = 0;
async function send() {
  sent += 1;
  const id = `req${sent}.${Math.random().toString(16).slice(2, 10)}`;
  const router = deployment.routers[sent % deployment.routers.length];
  const answer = await call({
    host: router.ip,
    port: deployment.ports.front,
    method: 'POST',
    path: '/ask/1',
    headers: {
      host: 'desk.example',
      'x-attempt-id': id,
      'x-deadline-ms': '8000',
      'x-model': 'm',
      'x-token-counts': '828,24',
      'x-prompt-prefix': `5c1e07a2:198,${sent.toString(16)}:630`,
    },
    body: 'fare?',
    timeoutMs: 8000,
  });
  const end = answer.end === 'whole' ? `${answer.status}` : answer.end;
  tally[end] = (tally[end] ?? 0) + 1;
}

async function sendUntil(until) {
  const pending = [];
  while (Date.now() < until) {
    pending.push(send());
    await sleep(requestIntervalMs);
  }
  await Promise.all(pending);
}

const reads = { calm: {}, episodes: {} };
let inEpisode = false;
/** Reads the configuration as an operator does, at one control node after the other. */
async function readUntil(until) {
  for (let turn = 0; Date.now() < until; turn += 1) {
    const phase = inEpisode ? reads.episodes : reads.calm;
    const control = deployment.controls[turn % deployment.controls.length];
    const answer = await call({ ...control, path: '/config', timeoutMs: 1000 });
    const end = answer.end === 'whole' ? `${answer.status}` : answer.end;
    phase[end] = (phase[end] ?? 0) + 1;
    await sleep(200);
  }
}

/** One episode of trouble at the first workers of the list. */
async function playEpisode(number) {
  const sick = workers.slice(0, Math.floor(dose.share * workers.length));
  record(`episode ${number}: ${sick.map(({ id }) => id).join(', ')} are in trouble`);
  for (const worker of sick)
    worker.state.trouble = {
      share: dose.x,
      answers: 0,
      spoilt: 0,
      body: (sound) => JSON.stringify(sound).replace(/"queued":\d+/, '"queued":18446744073709551615'),
    };
  inEpisode = true;
  await sleep(dose.forMs);
  inEpisode = false;
  for (const worker of sick) {
    const { answers, spoilt } = worker.state.trouble;
    record(`episode ${number}: ${worker.id} spoilt ${spoilt} of ${answers} answers`);
    worker.state.trouble = undefined;
  }
}

try {
  platform = await startPlatform({ ...deployment.platform, instances });
  await addWorker(1, 'decode');
  await addWorker(2, 'decode');
  await addWorker(3, 'prefill');
  await addWorker(4, 'prefill');
  await addWorker(5, 'decode');
  const acknowledged = await putConfiguration(deployment.controls, configurationOf(1), 0, record);
  if (acknowledged && (await deployment.waitUntilReady(10_000))) {
    const startedAt = Date.now();
    const traffic = Promise.all([sendUntil(startedAt + endMs), readUntil(startedAt + endMs)]);
    for (const [index, at] of episodesAtMs.entries()) {
      await sleep(startedAt + at - Date.now());
      if (trouble) await playEpisode(index + 1);
    }
    await traffic;
    const core = deployment.machines.filter(({ role }) => role === 'keeper');
    const ending = core.filter(({ ownEnds }) => ownEnds >= 3);
    const broken = ending.length >= core.length / 2;
    record(`ends by themselves: ${deployment.machines.map(({ name, ownEnds }) => `${name} ${ownEnds}`).join(', ')}`);
    record(`answers to ${sent} requests: ${JSON.stringify(tally)}`);
    record(
      `reads of the configuration in calm: ${JSON.stringify(reads.calm)}, in episodes: ${JSON.stringify(reads.episodes)}`,
    );
    record(
      broken
        ? `BROKEN: processes ended by themselves three times on ${ending.length} of ${core.length} core machines`
        : 'held',
    );
    exitCode = broken ? 1 : 0;
  } else record('the deployment did not become ready');
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  for (const worker of workers) worker.stop();
  platform?.stop();
  await deployment.stop();
}
process.exit(exitCode);
