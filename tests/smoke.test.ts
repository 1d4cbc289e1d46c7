/**
 * An end-to-end run of a small fleet of real processes: discovery, workers, a desired state accepted and distributed,
 * traffic checked token by token, invalid input rejected, a router killed and a control node's disk emptied under
 * traffic, and the state read back. It waits for conditions and measures no durations.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { execFile } from 'node:child_process';
import { Agent, request } from 'undici';
import { expect, it } from 'vitest';
import { createFleet, programFile } from '../programs/fleet-runner/src/index.js';
import {
  coldStorage,
  createTraffic,
  sendRequest,
  runLoad,
  type Deployment,
  type Outcome,
} from '../programs/requester-stand-in/src/index.js';

const small: Deployment = { ...coldStorage, zones: 3, machines: 4, workers: 4 };

function runCli(args: string[]): Promise<{ code: number; out: string }> {
  return new Promise((resolve) => {
    execFile(process.execPath, [programFile('tansypost'), ...args], (error, stdout) =>
      resolve({ code: error === null ? 0 : Number(error.code), out: stdout }),
    );
  });
}

it('serves end to end in separate processes, through a killed router and an emptied control node', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'fleet-'));
  const fleet = createFleet(small, { octet: 10 + (process.pid % 200), folder, logLevel: 3, feedTenureMs: 3000 });
  const agent = new Agent({ connections: 64, pipelining: 1 });
  const agentHttp = fleet.member('agent0').http;
  const router = fleet.member('router1').http;
  async function post(
    body: unknown,
    headers: Record<string, string> = {},
  ): Promise<{ status: number; kind: string; retry: unknown }> {
    const response = await request(`http://${router}/v1/completions`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'x-tansypost-tenant': 'clerks',
        'x-tansypost-kind': 'bay_answer',
        ...headers,
      },
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });
    const responseBody = (await response.body.json()) as { error?: { kind: string } };
    // On a busy machine a router may lose its lease for a moment, which is not what this test checks.
    if (responseBody.error?.kind === 'no_tenure') return post(body, headers);
    return {
      status: response.statusCode,
      kind: responseBody.error?.kind ?? '',
      retry: response.headers['retry-after'],
    };
  }
  async function traffic(seed: number, count: number): Promise<Outcome[]> {
    let remaining = count;
    return runLoad({
      traffic: createTraffic(small, seed),
      rate: 25,
      seconds: 120,
      seed,
      routers: fleet.reachableRouters,
      agent,
      shouldStop: () => (remaining -= 1) < 0,
    });
  }
  try {
    await fleet.startAndWait();

    const first = await traffic(11, 60);
    expect(first.filter((outcome) => outcome.ended === 'WRONG')).toEqual([]);
    for (const kind of small.kinds)
      expect(first.some((outcome) => outcome.request.kind === kind.kind && outcome.ended === 'whole')).toBe(true);

    const validBody = { model: 'm', prompt: 'one two three', max_tokens: 4 };
    expect((await post(validBody)).status).toBe(200);
    expect(await post({ ...validBody, colour: 1 })).toMatchObject({ status: 400, kind: 'bad_request' });
    expect(await post({ ...validBody, max_tokens: 'x' })).toMatchObject({ status: 400, kind: 'bad_request' });
    expect(await post('{"model":')).toMatchObject({ status: 400, kind: 'bad_request' });
    expect(await post(validBody, { 'x-tansypost-tenant': 'nobody' })).toMatchObject({
      status: 404,
      kind: 'unknown_tenant',
    });
    expect(await post(validBody, { 'x-tansypost-kind': 'nothing' })).toMatchObject({
      status: 404,
      kind: 'unknown_kind',
    });
    expect(await post({ ...validBody, prompt: 'a '.repeat(40_000) })).toMatchObject({
      status: 413,
      kind: 'prompt_too_long',
    });
    expect(await post({ ...validBody, prompt: 'a'.repeat(2_000_000) })).toMatchObject({
      status: 413,
      kind: 'body_too_large',
    });

    const read = await runCli(['desired', 'read', '--agent', agentHttp]);
    expect(read.code).toBe(0);
    const now = JSON.parse(read.out) as { version: number; state: { templates: object[] } };
    expect(now).toMatchObject({ version: 1 });
    const refused = await fleet.post(agentHttp, '/desired-state', {
      base: 1,
      change: 'bad',
      state: { templates: [{ tenant: 'x', kinds: { k: { worth: -1 } } }] },
    });
    expect(refused).toMatchObject({ status: 422, body: { answer: 'refused' } });
    expect((refused!.body as { faults: unknown[] }).faults.length).toBeGreaterThan(1);
    const race = await Promise.all(
      ['a', 'b'].map((operator) =>
        fleet.post(fleet.member(operator === 'a' ? 'agent1' : 'agent2').http, '/desired-state', {
          base: 1,
          change: `race-${operator}`,
          state: now.state,
        }),
      ),
    );
    expect(race.map((result) => result!.status).sort()).toEqual([200, 409]);
    expect(
      (await runCli(['change', 'race-a', '--agent', agentHttp])).out +
        (await runCli(['change', 'race-b', '--agent', agentHttp])).out,
    ).toMatch(/not in force/);
    expect((await runCli(['rehearsal', 'approve', 'no-such', '--agent', agentHttp])).code).toBe(3);

    // An operator session: fill in a template, check it, submit it twice concurrently, read it back, list rehearsals.
    const agentOption = ['--agent', agentHttp];
    const filled = JSON.parse((await runCli(['template'])).out) as {
      templates: { tenant: string; kinds: Record<string, { worth: number }> }[];
    };
    const desiredState = {
      templates: [...(now.state.templates as typeof filled.templates), { ...filled.templates[0]!, tenant: 'evening' }],
    };
    const file = join(folder, 'evening.json');
    writeFileSync(file, JSON.stringify({ templates: [{ ...desiredState.templates[0]!, colour: 'red' }] }));
    expect(await runCli(['desired', 'check', file])).toMatchObject({
      code: 3,
      out: expect.stringContaining('/templates/0/colour'),
    });
    writeFileSync(file, JSON.stringify(desiredState));
    expect(await runCli(['desired', 'check', file])).toMatchObject({ code: 0, out: 'sound\n' });
    const submissions = await Promise.all([
      runCli(['desired', 'submit', file, '--base', '2', '--change', 'evening-a', ...agentOption]),
      runCli(['desired', 'submit', file, '--base', '2', '--change', 'evening-b', ...agentOption]),
    ]);
    expect(submissions.map((result) => result.code).sort()).toEqual([0, 4]);
    expect(
      (await runCli(['change', submissions[0]!.code === 0 ? 'evening-a' : 'evening-b', ...agentOption])).out,
    ).toMatch(/acknowledged/);
    expect(JSON.parse((await runCli(['desired', 'read', ...agentOption])).out)).toMatchObject({
      version: 3,
      state: desiredState,
    });
    const used = submissions[0]!.code === 0 ? 'evening-a' : 'evening-b';
    const reused = await fleet.post(agentHttp, '/desired-state', { base: 3, change: used, state: now.state });
    expect(reused).toMatchObject({ status: 422, body: { answer: 'refused', faults: [{ at: '/change' }] } });
    expect(await runCli(['rehearsals', ...agentOption])).toMatchObject({
      code: 0,
      out: expect.stringMatching(/No model is live[^]*Worker stages: /),
    });
    expect(JSON.parse((await runCli(['rehearsals', '--json', ...agentOption])).out)).toHaveProperty('parts');
    expect((await runCli(['desired', 'submit', join(folder, 'none.json'), ...agentOption])).code).toBe(2);
    expect((await runCli(['desired', 'read', '--agent', '127.0.0.1:1'])).code).toBe(5);

    const during = traffic(12, 120);
    fleet.processes.signal('router3', 'SIGKILL');
    await fleet.injectFault({ at: 0, do: 'empty', who: 'keeper1' });
    await fleet.injectFault({ at: 0, do: 'restart', who: 'router3' });
    const second = await during;
    expect(second.filter((outcome) => outcome.ended === 'WRONG')).toEqual([]);
    await fleet.waitUntil(
      'the emptied control node votes again',
      async () => (await fleet.get<{ ok: boolean }>(fleet.member('keeper1').http, '/vitals'))?.ok === true,
    );
    await fleet.waitUntil(
      'the restarted router serves',
      async () => (await fleet.get(fleet.member('router3').http, '/vitals')) !== undefined,
    );

    for (const worker of ['worker0', 'worker1', 'worker3'])
      await fleet.post(fleet.member(worker).http, '/fault', { nonsense: true, badReport: true });
    const duringFaults = await traffic(15, 60);
    for (const worker of ['worker0', 'worker1', 'worker3'])
      await fleet.post(fleet.member(worker).http, '/fault', { nonsense: false, badReport: false });
    expect(duringFaults.filter((outcome) => outcome.ended === 'WRONG')).toEqual([]);
    const counted = await Promise.all(
      fleet.reachableRouters().map((address) => fleet.get<{ workers: { failures: number }[] }>(address, '/figures')),
    );
    expect(counted.some((figures) => figures?.workers.some((worker) => worker.failures > 0))).toBe(true);

    const duringDrain = traffic(14, 150);
    await fleet.injectFault({ at: 0, do: 'drain', who: 'router2' });
    await fleet.injectFault({ at: 0, do: 'release', who: 'worker2' });
    const third = await duringDrain;
    expect(
      third
        .filter((outcome) => ['WRONG', 'cut, and said so'].includes(outcome.ended))
        .map((outcome) => `${outcome.ended} ${outcome.kind}`),
    ).toEqual([]);

    const changed = await fleet.submitDesiredState(1);
    expect(changed.answer).toBe('acknowledged');
    for (const address of fleet.reachableRouters())
      expect((await fleet.get<{ version: number }>(address, '/desired-state'))!.version).toBe(changed.version);
    const task = createTraffic(small, 13).next(0);
    await fleet.waitUntil(
      'the restarted router answers',
      async () =>
        (await sendRequest(fleet.member('router3').http, { ...task, id: `${task.id}-${Math.random()}` }, agent))
          .ended === 'whole',
    );

    const runs = fleet.executionCounts();
    const unrepeatable = [...first, ...second, ...third].filter((outcome) => !outcome.request.repeatable);
    expect(
      unrepeatable.filter(
        (outcome) =>
          (runs.get(outcome.request.id)?.prefill ?? 0) > 1 || (runs.get(outcome.request.id)?.decode ?? 0) > 1,
      ),
    ).toEqual([]);
    expect(
      [...first, ...second].filter((outcome) => outcome.ended === 'refused' && runs.has(outcome.request.id)),
    ).toEqual([]);
    const trace = await new Promise<string>((done) => {
      execFile(
        process.execPath,
        [
          programFile('change-tracer'),
          '--of',
          `${changed.version}`,
          ...['agent0', 'agent1', 'agent2', 'agent3'].flatMap((agentName) => ['--agent', fleet.member(agentName).http]),
          ...['keeper0', 'keeper1', 'keeper2'].flatMap((keeperName) => ['--keeper', fleet.member(keeperName).http]),
        ],
        (_error, stdout) => done(stdout),
      );
    });
    expect(trace.match(/applied/g)?.length).toBe(4);
    expect(trace).toMatch(/committed/);
    expect(trace).toMatch(/acknowledged/);
    const invalidSettings = await new Promise<{ code: unknown; err: string }>((done) => {
      execFile(process.execPath, [programFile('request-router'), '--set', 'member=x'], (error, _stdout, stderr) =>
        done({ code: error?.code, err: stderr }),
      );
    });
    expect(invalidSettings.code).toBe(2);
    expect(invalidSettings.err).toMatch(/^request-router: settings field zone/);
    expect(invalidSettings.err.trim().split('\n').length).toBe(1);
  } finally {
    await agent.destroy();
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  }
});
