/**
 * Rehearsals in complete simulated fleets: models and stage shifts go live only after a successful measurement, survive
 * the loss of the process that runs the rehearsal, and are rolled back when an operator rejects them.
 */
import { expect, it } from 'vitest';
import { checkAll, createSim, type SimFault, type SimOptions } from '../packages/simulator/src/index.js';
import { coldStorage } from '../programs/requester-stand-in/src/index.js';

const base: SimOptions = {
  deployment: { ...coldStorage, machines: 5 },
  seed: 3,
  span: 60,
  calm: 10,
  rate: 20,
  faults: [],
  plain: true,
  trainEvery: 200,
};

it('makes a model live after its rehearsal, and rolls it back when an operator rejects it', async () => {
  const sim = createSim({ ...base, shiftParts: false, span: 90 });
  const decisions: string[] = [];
  let live: string | undefined;
  sim.engine.at(92_000_000, () => {
    const agentCore = sim.agents[0]!.core!;
    const rehearsals = agentCore.rehearsals();
    const last =
      rehearsals.running?.state === 'watched'
        ? rehearsals.running
        : rehearsals.ended.find((rehearsal) => rehearsal.outcome === 'live');
    live = agentCore.rehearsals().live?.hash;
    if (last === undefined) return;
    void agentCore.decide(last.id, 'reject').then((answer) => decisions.push(answer));
    void agentCore.decide('no-such', 'approve').then((answer) => decisions.push(answer));
  });
  const history = await sim.run();
  expect(checkAll(history, { faultless: true, overloaded: false })).toEqual([]);
  expect(live).toBeDefined();
  expect(decisions.sort()).toEqual(['taken', 'unknown_rehearsal']);
  const finalRehearsals = sim.agents[1]!.core!.rehearsals();
  expect(
    finalRehearsals.ended.some(
      (rehearsal) =>
        rehearsal.outcome === 'rolled back' &&
        rehearsal.subject.type === 'model' &&
        rehearsal.subject.model.hash === live,
    ),
  ).toBe(true);
  expect(finalRehearsals.live?.hash).not.toBe(live);
});

it('waits for an approval if the template requires one, and applies it only to a passed rehearsal', async () => {
  const sim = createSim({ ...base, shiftParts: false, approval: 'operator', trainEvery: 300, span: 90 });
  const observed: string[] = [];
  let decidedEarly = false;
  function poll(): void {
    const agentCore = sim.agents[0]!.core!;
    const rehearsals = agentCore.rehearsals();
    if (rehearsals.running !== undefined)
      observed.push(`${rehearsals.running.state} ${rehearsals.live === undefined ? 'nothing live' : 'live'}`);
    if (rehearsals.running?.state === 'running' && !decidedEarly) {
      decidedEarly = true;
      void agentCore.decide(rehearsals.running.id, 'approve');
    }
    if (sim.engine.now() < 90e6) sim.engine.at(sim.engine.now() + 500_000, poll);
  }
  sim.engine.at(10e6, poll);
  const history = await sim.run();
  expect(checkAll(history, { faultless: true, overloaded: false })).toEqual([]);
  expect(observed).toContain('running nothing live');
  const first = history.records.at(-1)!.record.ended.at(-1)!;
  expect(first.asked).toBe('approve');
  expect(first.outcome === 'live' ? first.measured!.slice.count : 40).toBeGreaterThanOrEqual(40);
  const later = history.records.at(-1)!.record.running;
  if (later?.state === 'passed') expect(later.asked).toBe('none');
});

it('never lets a model that prefers the worst worker go live', async () => {
  const history = await createSim({ ...base, shiftParts: false, sabotage: 'turned', rate: 34, trainEvery: 400 }).run();
  const ended = history.records.at(-1)!.record.ended;
  expect(history.records.every((entry) => entry.record.live === undefined)).toBe(true);
  expect(ended.map((rehearsal) => rehearsal.outcome)).toContain('harmful');
  const first = ended.filter((rehearsal) => rehearsal.outcome === 'harmful').at(-1)!;
  console.log(`stopped after ${first.measured!.slice.count} treatment requests: ${first.measured!.why}`);
});

it('continues a rehearsal after the loss of its leader, and no restart makes the model live', async () => {
  const faults: SimFault[] = [10, 18, 26, 34, 42].flatMap((at, i) =>
    [0, 1, 2, 3, 4]
      .filter((agent) => agent !== i)
      .slice(0, 2)
      .map((agent) => ({ at, do: 'kill', who: `agent${agent}`, for: 3 }) as SimFault),
  );
  const history = await createSim({ ...base, shiftParts: false, faults, span: 80 }).run();
  expect(checkAll(history, { faultless: false, overloaded: false })).toEqual([]);
  expect(history.records.at(-1)!.record.ended.length).toBeGreaterThan(0);
});

it('shifts a worker to another stage under load: proposes, rehearses, decides by measurement, and orders accordingly', async () => {
  const sim = createSim({ ...base, seed: 4, span: 80, rate: 16, paces: [2600], trainEvery: 1e9 });
  const history = await sim.run();
  expect(checkAll(history, { faultless: false, overloaded: true })).toEqual([]);
  const record = history.records.at(-1)!.record;
  const shifts = [...record.ended, ...(record.running === undefined ? [] : [record.running])].flatMap((rehearsal) =>
    rehearsal.subject.type === 'part' ? [{ rehearsal, shift: rehearsal.subject.shift }] : [],
  );
  expect(shifts.length).toBeGreaterThan(0);
  for (const { rehearsal, shift } of shifts) {
    expect(['live', 'harmful', 'inconclusive', 'rejected', 'rolled back', 'superseded', undefined]).toContain(
      rehearsal.outcome,
    );
    if (rehearsal.outcome === 'live') expect(rehearsal.measured!.slice.count).toBeGreaterThanOrEqual(40);
    expect(
      history.orders.some(
        (order) => order.obeyed && order.worker.startsWith(`${shift.worker}/`) && order.part === 'both',
      ),
    ).toBe(true);
    if (rehearsal.outcome !== undefined)
      expect(
        history.orders.some(
          (order) =>
            order.obeyed &&
            order.worker.startsWith(`${shift.worker}/`) &&
            order.part === (rehearsal.outcome === 'live' ? shift.to : shift.from),
        ),
      ).toBe(true);
  }
  console.log(
    shifts
      .map(
        ({ rehearsal, shift }) =>
          `${shift.worker} ${shift.from} to ${shift.to}: ${rehearsal.outcome ?? 'running'} (${rehearsal.measured?.why ?? ''})`,
      )
      .join('; '),
  );
});

// Whether such a model passes stage 0 depends on the seed (it did for about two seeds in five), so seeds are played
// until it is widened and then stopped in one of them. It must not go live in any of them.
it('stops a model that is good for a few requests and bad for all of them once it is widened', async () => {
  let stopped = false;
  for (const seed of [6, 9, 10, 11]) {
    const history = await createSim({
      ...base,
      seed,
      shiftParts: false,
      sabotage: 'herd',
      span: 110,
      rate: 50,
      trainEvery: 400,
      rehearsalLimit: 60_000_000,
      paces: [16_000, 9000, 5000, 9000, 5000, 9000],
    }).run();
    const seen = history.records.flatMap((row) => (row.record.running === undefined ? [] : [row.record.running.stage]));
    const ended = history.records.at(-1)!.record.ended;
    console.log(
      `seed ${seed}: ${ended.map((rehearsal) => `stage ${rehearsal.stage} ${rehearsal.outcome}: ${rehearsal.measured?.why}`).join('; ')}`,
    );
    expect(history.records.every((entry) => entry.record.live === undefined)).toBe(true);
    stopped = seen.includes(1) && ended.some((rehearsal) => rehearsal.stage === 1 && rehearsal.outcome === 'harmful');
    if (stopped) break;
  }
  expect(stopped).toBe(true);
});

it('violates no invariant while all workers are released during a rehearsal', async () => {
  const faults = Array.from({ length: 12 }, (_, i): SimFault => ({
    at: 8 + 4 * i,
    do: 'worker-release',
    who: `worker${i % 6}`,
    for: 4,
  }));
  const history = await createSim({ ...base, shiftParts: false, faults }).run();
  expect(checkAll(history, { faultless: false, overloaded: false })).toEqual([]);
  expect(history.records.some((entry) => entry.record.running !== undefined)).toBe(true);
  expect(
    history.requests
      .filter((request) => !['whole', 'claimed'].includes(request.ended))
      .map((request) => `${request.id} ${request.ended}`),
  ).toEqual([]);
});
