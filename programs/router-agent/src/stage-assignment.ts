/**
 * The duty of assigning parts. A worker seen for the first time gets the part that has fewer; from then on a
 * part changes only by a rehearsal: the worker plays both for the slice's sake, and goes over when the
 * measurement shows no harm. Every order carries the duty's epoch. The first thing a new holder does is to fence
 * every worker, so that whatever an earlier holder still has in hand is refused.
 */
import { micros, type WorkerStateEntry, type WorkerReport, type World } from '@tansypost/inner-protocol';
import { begin, end, readRecord, type Part, type PartEntry, type RehearsalRecord } from '@tansypost/rehearsal';
import type { RecordWriter } from '@tansypost/learning';

export interface StageAssignmentOptions {
  readonly heldEpoch: () => number | undefined;
  readonly record: () => Buffer | undefined;
  readonly workers: () => WorkerStateEntry[];
  readonly reports: () => WorkerReport[];
  readonly writer: RecordWriter;
  readonly orderStage: (m: WorkerStateEntry, epoch: number, part: Part | '') => Promise<boolean | undefined>;
  readonly shiftStages: boolean;
  readonly treatmentShare: number;
  readonly approval: () => 'automatic' | 'operator';
  readonly shiftHoldUs?: number;
  readonly shiftCooldownUs?: number;
}
export interface StageAssignment {
  readonly onElected: () => void;
  readonly tick: () => void;
  readonly orderCount: () => number;
}

export function assignedStage(record: RehearsalRecord, worker: WorkerStateEntry): Part | undefined {
  const subject = record.running?.subject;
  if (
    subject?.type === 'part' &&
    subject.shift.worker === worker.worker &&
    subject.shift.incarnation === worker.incarnation
  )
    return 'both';
  const assigned = record.parts[worker.worker];
  return assigned !== undefined && assigned.incarnation === worker.incarnation ? assigned.part : undefined;
}

// Parts for workers that have none yet; a worker back under a new incarnation keeps the part it had.
export function assignNewWorkers(
  record: RehearsalRecord,
  workers: readonly WorkerStateEntry[],
): RehearsalRecord | undefined {
  const parts: Record<string, PartEntry> = { ...record.parts };
  let changed = false;
  function countOfStage(stage: Part): number {
    return workers.filter((worker) => parts[worker.worker]?.part === stage).length;
  }
  for (const m of [...workers].sort((a, b) => (a.worker < b.worker ? -1 : 1))) {
    const assigned = parts[m.worker];
    if (assigned?.incarnation === m.incarnation) continue;
    changed = true;
    parts[m.worker] = {
      incarnation: m.incarnation,
      part:
        workers.length === 1
          ? 'both'
          : (assigned?.part ?? (countOfStage('prefill') <= countOfStage('decode') ? 'prefill' : 'decode')),
    };
  }
  for (const p of ['prefill', 'decode'] as const) {
    if (workers.length > 0 && countOfStage(p) + countOfStage('both') === 0) {
      const m = [...workers].sort((a, b) => (a.worker < b.worker ? -1 : 1))[0]!;
      parts[m.worker] = { incarnation: m.incarnation, part: 'both' };
      changed = true;
    }
  }
  if (!changed) return undefined;
  // A worker that came back anew has left its rehearsal; what it had gone over to live is rolled back with it.
  const subject = record.running?.subject;
  const hasLeftRehearsal =
    subject?.type === 'part' && parts[subject.shift.worker]?.incarnation !== subject.shift.incarnation;
  if (!hasLeftRehearsal) return { ...record, parts };
  const ended = end({ ...record, parts }, 'superseded');
  return {
    ...ended,
    parts: {
      ...parts,
      [subject.shift.worker]: { incarnation: parts[subject.shift.worker]!.incarnation, part: subject.shift.from },
    },
  };
}

export interface StageLoad {
  readonly prefill: number;
  readonly decode: number;
}
export function stageLoad(
  record: RehearsalRecord,
  workers: readonly WorkerStateEntry[],
  reports: readonly WorkerReport[],
): StageLoad | undefined {
  const reportByWorker = new Map(
    reports.filter((x) => x.age < 5_000_000).map((x) => [`${x.worker}/${x.incarnation}`, x]),
  );
  function mean(prefill: Part, loadOf: (x: WorkerReport) => number): number | undefined {
    const stageReports = workers
      .filter((m) => assignedStage(record, m) === prefill)
      .map((m) => reportByWorker.get(`${m.worker}/${m.incarnation}`))
      .filter((x) => x !== undefined);
    return stageReports.length === 0
      ? undefined
      : stageReports.reduce((a, x) => a + loadOf(x), 0) / stageReports.length;
  }
  const p = mean('prefill', (x) => x.queued + x.active);
  const decode = mean('decode', (x) => Math.max(x.active / 12, 2 * x.kvUsed));
  return p === undefined || decode === undefined ? undefined : { prefill: p, decode };
}

export function createStageAssignment(world: World, options: StageAssignmentOptions): StageAssignment {
  const confirmedOrders = new Map<string, { epoch: number; part: Part | '' }>();
  let working = false;
  let fencingEpoch: number | undefined;
  let orderCount = 0;
  let imbalance: { to: Part; since: number } | undefined;
  let cooldownUntil = 0;

  async function sendOrder(worker: WorkerStateEntry, epoch: number, part: Part | ''): Promise<void> {
    if (options.heldEpoch() !== epoch) return;
    orderCount += 1;
    // A cut link may hold an order and deliver it long after this tenure, to a worker that no later holder could reach. So
    // a part is ordered only right after the worker has answered a fence, which changes nothing when it comes late.
    if (part !== '' && ((await options.orderStage(worker, epoch, '')) !== true || options.heldEpoch() !== epoch))
      return;
    const accepted = await options.orderStage(worker, epoch, part);
    if (accepted === true) {
      confirmedOrders.set(`${worker.worker}/${worker.incarnation}`, { epoch, part });
      world.log(4103, { worker: worker.worker, part, epoch });
    }
  }

  function onElected(): void {
    confirmedOrders.clear();
    imbalance = undefined;
    cooldownUntil = world.now() + 10_000_000;
    const epoch = options.heldEpoch();
    if (epoch === undefined) return;
    fencingEpoch = epoch;
    void Promise.all(options.workers().map((m) => sendOrder(m, epoch, ''))).finally(() => {
      if (fencingEpoch === epoch) fencingEpoch = undefined;
    });
  }

  function tick(): void {
    const epoch = options.heldEpoch();
    const value = options.record();
    if (epoch === undefined || value === undefined || working || fencingEpoch === epoch) return;
    const record = readRecord(value);
    const workers = options.workers();
    working = true;
    void applyAssignments(record, workers, epoch).finally(() => {
      world.after(micros(200_000), () => {
        working = false;
      });
    });
  }

  async function applyAssignments(record: RehearsalRecord, workers: WorkerStateEntry[], epoch: number): Promise<void> {
    if (workers.length > 0 && assignNewWorkers(record, workers) !== undefined) {
      await options.writer.change(
        (x) => assignNewWorkers(x, workers),
        () => options.heldEpoch() === epoch,
      );
      return;
    }
    await Promise.all(
      workers.map(async (m) => {
        const want = assignedStage(record, m) ?? '';
        const had = confirmedOrders.get(`${m.worker}/${m.incarnation}`);
        if (had === undefined || had.epoch !== epoch || (want !== '' && had.part !== want))
          await sendOrder(m, epoch, want);
      }),
    );
    await proposeShift(record, workers, epoch);
  }

  async function proposeShift(record: RehearsalRecord, workers: WorkerStateEntry[], epoch: number): Promise<void> {
    const load = stageLoad(record, workers, options.reports());
    if (!options.shiftStages || record.running !== undefined || load === undefined || world.now() < cooldownUntil) {
      imbalance = undefined;
      return;
    }
    const toStage: Part | undefined =
      load.prefill > 2 && load.prefill > 2.5 * load.decode
        ? 'prefill'
        : load.decode > 1 && load.decode > 2.5 * load.prefill
          ? 'decode'
          : undefined;
    if (toStage === undefined) {
      imbalance = undefined;
      return;
    }
    if (imbalance?.to !== toStage) imbalance = { to: toStage, since: world.now() };
    if (world.now() - imbalance.since < (options.shiftHoldUs ?? 8_000_000)) return;
    const fromStage: Part = toStage === 'prefill' ? 'decode' : 'prefill';
    const donors = workers.filter((worker) => assignedStage(record, worker) === fromStage);
    if (donors.length < 2) return;
    const m = donors[0]!;
    cooldownUntil = world.now() + (options.shiftCooldownUs ?? 60_000_000);
    const shift = { worker: m.worker, incarnation: m.incarnation, from: fromStage, to: toStage };
    await options.writer.change(
      (x) =>
        x.running === undefined && assignedStage(x, m) === fromStage
          ? begin(
              x,
              `part-${epoch}-${m.worker}-${Math.floor(world.random() * 1e6)}`,
              { type: 'part', shift },
              options.treatmentShare,
              options.approval(),
            )
          : undefined,
      () => options.heldEpoch() === epoch,
    );
  }
  return { onElected, tick, orderCount: () => orderCount };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { emptyRecord } = await import('@tansypost/rehearsal');
  function mark(worker: string, incarnation = 1): WorkerStateEntry {
    return { worker, incarnation, state: 1, address: 'x' };
  }
  it('splits new workers evenly, keeps the part over a new incarnation, and never leaves a part empty', () => {
    const ms = ['a', 'b', 'c', 'd', 'e'].map((x) => mark(x));
    const r = assignNewWorkers(emptyRecord, ms)!;
    expect(Object.values(r.parts).filter((p) => p.part === 'prefill').length).toBe(3);
    expect(assignNewWorkers(r, ms)).toBeUndefined();
    expect(assignNewWorkers(r, [mark('b', 2), ...ms.filter((m) => m.worker !== 'b')])!.parts['b']).toEqual({
      incarnation: 2,
      part: 'decode',
    });
    const left = ms.filter((m) => r.parts[m.worker]!.part === 'decode');
    expect(Object.values(assignNewWorkers(r, left)!.parts).some((p) => p.part === 'both')).toBe(true);
  });
  it('orders a part only of a worker that has just answered a fence', async () => {
    const asked: string[] = [];
    const record = Buffer.from(
      JSON.stringify({
        ...emptyRecord,
        parts: { a: { part: 'prefill', incarnation: 1 }, b: { part: 'decode', incarnation: 1 } },
      }),
    );
    const d = createStageAssignment(
      {
        now: () => micros(0),
        random: () => 0,
        after: () => () => undefined,
        send: () => undefined,
        log: () => undefined,
      },
      {
        heldEpoch: () => 64,
        record: () => record,
        workers: () => [mark('a'), mark('b')],
        reports: () => [],
        writer: { change: async () => undefined },
        orderStage: async (m, _epoch, part) => {
          asked.push(`${m.worker} ${part === '' ? 'fence' : part}`);
          return m.worker === 'a' ? true : undefined;
        },
        shiftStages: false,
        treatmentShare: 0.1,
        approval: () => 'automatic',
      },
    );
    d.tick();
    for (let i = 0; i < 20; i += 1) await Promise.resolve();
    expect(asked.sort()).toEqual(['a fence', 'a prefill', 'b fence']);
  });
}
