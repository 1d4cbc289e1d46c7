/**
 * Rehearsals in whole simulated fleets: models and part shifts go live only by measurement, survive the loss of
 * whoever keeps them, and are rolled back by an operator's word.
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

it('lets a model go live after its rehearsal, and an operator reject it and so roll it back', async () => {
  const sim = createSim({ ...base, shiftParts: false, span: 90 });
  const words: string[] = [];
  let live: string | undefined;
  sim.engine.at(92_000_000, () => {
    const a = sim.agents[0]!.core!;
    const now = a.rehearsalRecord();
    const last = now.running?.state === 'watched' ? now.running : now.ended.find((e) => e.outcome === 'live');
    live = a.rehearsalRecord().live?.hash;
    if (last === undefined) return;
    void a.decideRehearsal(last.id, 'reject').then((k) => words.push(k));
    void a.decideRehearsal('no-such', 'approve').then((k) => words.push(k));
  });
  const h = await sim.run();
  expect(checkAll(h, { faultless: true, overloaded: false })).toEqual([]);
  expect(live).toBeDefined();
  expect(words.sort()).toEqual(['taken', 'unknown_rehearsal']);
  const end = sim.agents[1]!.core!.rehearsalRecord();
  expect(
    end.ended.some((e) => e.outcome === 'rolled back' && e.subject.type === 'model' && e.subject.model.hash === live),
  ).toBe(true);
  expect(end.live?.hash).not.toBe(live);
});

it('waits for an approve where the template asks for one, and takes it only beside a pass', async () => {
  const sim = createSim({ ...base, shiftParts: false, approval: 'operator', trainEvery: 300, span: 90 });
  const seen: string[] = [];
  let early = false;
  function look(): void {
    const a = sim.agents[0]!.core!;
    const r = a.rehearsalRecord();
    if (r.running !== undefined) seen.push(`${r.running.state} ${r.live === undefined ? 'nothing live' : 'live'}`);
    if (r.running?.state === 'running' && !early) {
      early = true;
      void a.decideRehearsal(r.running.id, 'approve');
    }
    if (sim.engine.now() < 90e6) sim.engine.at(sim.engine.now() + 500_000, look);
  }
  sim.engine.at(10e6, look);
  const h = await sim.run();
  expect(checkAll(h, { faultless: true, overloaded: false })).toEqual([]);
  expect(seen).toContain('running nothing live');
  const first = h.records.at(-1)!.record.ended.at(-1)!;
  expect(first.asked).toBe('approve');
  expect(first.outcome === 'live' ? first.measured!.slice.count : 40).toBeGreaterThanOrEqual(40);
  const later = h.records.at(-1)!.record.running;
  if (later?.state === 'passed') expect(later.asked).toBe('none');
});

it('never lets a model that prefers the worst worker go live', async () => {
  const h = await createSim({ ...base, shiftParts: false, sabotage: 'turned', rate: 34, trainEvery: 400 }).run();
  const ended = h.records.at(-1)!.record.ended;
  expect(h.records.every((r) => r.record.live === undefined)).toBe(true);
  expect(ended.map((e) => e.outcome)).toContain('harmful');
  const first = ended.filter((e) => e.outcome === 'harmful').at(-1)!;
  console.log(`stopped after ${first.measured!.slice.count} requests in the slice: ${first.measured!.why}`);
});

it('goes on with a rehearsal through the loss of its keeper, and no restart makes it live', async () => {
  const faults: SimFault[] = [10, 18, 26, 34, 42].flatMap((at, i) =>
    [0, 1, 2, 3, 4]
      .filter((a) => a !== i)
      .slice(0, 2)
      .map((a) => ({ at, do: 'kill', who: `agent${a}`, for: 3 }) as SimFault),
  );
  const h = await createSim({ ...base, shiftParts: false, faults, span: 80 }).run();
  expect(checkAll(h, { faultless: false, overloaded: false })).toEqual([]);
  expect(h.records.at(-1)!.record.ended.length).toBeGreaterThan(0);
});

it('shifts a part when prompts pile up: proposes, rehearses on a slice, ends by measurement, and orders accordingly', async () => {
  const sim = createSim({ ...base, seed: 4, span: 80, rate: 16, paces: [2600], trainEvery: 1e9 });
  const h = await sim.run();
  expect(checkAll(h, { faultless: false, overloaded: true })).toEqual([]);
  const rec = h.records.at(-1)!.record;
  const shifts = [...rec.ended, ...(rec.running === undefined ? [] : [rec.running])].flatMap((e) =>
    e.subject.type === 'part' ? [{ e, s: e.subject.shift }] : [],
  );
  expect(shifts.length).toBeGreaterThan(0);
  for (const { e, s } of shifts) {
    expect(['live', 'harmful', 'inconclusive', 'rejected', 'rolled back', 'superseded', undefined]).toContain(
      e.outcome,
    );
    if (e.outcome === 'live') expect(e.measured!.slice.count).toBeGreaterThanOrEqual(40);
    expect(h.orders.some((o) => o.obeyed && o.worker.startsWith(`${s.worker}/`) && o.part === 'both')).toBe(true);
    if (e.outcome !== undefined)
      expect(
        h.orders.some(
          (o) => o.obeyed && o.worker.startsWith(`${s.worker}/`) && o.part === (e.outcome === 'live' ? s.to : s.from),
        ),
      ).toBe(true);
  }
  console.log(
    shifts
      .map(({ e, s }) => `${s.worker} ${s.from} to ${s.to}: ${e.outcome ?? 'running'} (${e.measured?.why ?? ''})`)
      .join('; '),
  );
});

// Whether stage 0 lets such a model pass hangs on the draw (it did for about two seeds in five), so seeds are played
// until one shows it widened and then stopped. In none of them may it go live.
it('stops a model that is good for a few requests and bad for all when it is widened', async () => {
  let stopped = false;
  for (const seed of [6, 9, 10, 11]) {
    const h = await createSim({
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
    const seen = h.records.flatMap((r) => (r.record.running === undefined ? [] : [r.record.running.stage]));
    const ended = h.records.at(-1)!.record.ended;
    console.log(`seed ${seed}: ${ended.map((e) => `stage ${e.stage} ${e.outcome}: ${e.measured?.why}`).join('; ')}`);
    expect(h.records.every((r) => r.record.live === undefined)).toBe(true);
    stopped = seen.includes(1) && ended.some((e) => e.stage === 1 && e.outcome === 'harmful');
    if (stopped) break;
  }
  expect(stopped).toBe(true);
});

it('keeps every point while all workers are released under a rehearsal', async () => {
  const faults = Array.from({ length: 12 }, (_, i): SimFault => ({
    at: 8 + 4 * i,
    do: 'worker-release',
    who: `worker${i % 6}`,
    for: 4,
  }));
  const h = await createSim({ ...base, shiftParts: false, faults }).run();
  expect(checkAll(h, { faultless: false, overloaded: false })).toEqual([]);
  expect(h.records.some((r) => r.record.running !== undefined)).toBe(true);
  expect(h.requests.filter((q) => !['whole', 'claimed'].includes(q.ended)).map((q) => `${q.id} ${q.ended}`)).toEqual(
    [],
  );
});
