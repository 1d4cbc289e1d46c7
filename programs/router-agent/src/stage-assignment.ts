/**
 * The singleton role that assigns a stage (prefill, decode or both) to each worker. A worker seen for the first time gets
 * the stage with fewer workers. After that a stage changes only through a rehearsal: the worker runs both stages, the
 * treatment cohort uses the new one, and the worker moves to it if the measurement shows no harm. Every order carries the
 * epoch of the role. A new leader first fences every worker, so that orders of earlier leaders still in flight are refused.
 */
import {
  micros,
  runInBackground,
  type WorkerStateEntry,
  type WorkerReport,
  type World,
} from '@tansypost/inner-protocol';
import {
  beginRehearsal,
  endRehearsal,
  decodeRehearsalRecord,
  type WorkerStage,
  type StageEntry,
  type RehearsalRecord,
} from '@tansypost/rehearsal';
import type { RecordWriter } from '@tansypost/learning';

/** Settings of the role. */
export interface StageAssignmentOptions {
  readonly heldEpoch: () => number | undefined;
  readonly record: () => Buffer | undefined;
  readonly workers: () => WorkerStateEntry[];
  readonly reports: () => WorkerReport[];
  readonly writer: RecordWriter;
  readonly orderStage: (
    worker: WorkerStateEntry,
    epoch: number,
    stage: WorkerStage | '',
  ) => Promise<boolean | undefined>;
  readonly shiftStages: boolean;
  readonly treatmentShare: number;
  readonly approval: () => 'automatic' | 'operator';
  readonly shiftHoldUs?: number;
  readonly shiftCooldownUs?: number;
}
/** The role at this agent; it acts only while the agent leads it. */
export interface StageAssignment {
  readonly onElected: () => void;
  readonly tick: () => void;
  readonly orderCount: () => number;
}

/** The stage that a worker is to have by the record. */
export function assignedStage(record: RehearsalRecord, worker: WorkerStateEntry): WorkerStage | undefined {
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

/**
 * Assigns stages to workers that have none yet; a worker with a new incarnation keeps the stage it had. Returns undefined if
 * nothing changes.
 */
export function assignNewWorkers(
  record: RehearsalRecord,
  workers: readonly WorkerStateEntry[],
): RehearsalRecord | undefined {
  const parts: Record<string, StageEntry> = { ...record.parts };
  let changed = false;
  function countOfStage(stage: WorkerStage): number {
    return workers.filter((worker) => parts[worker.worker]?.part === stage).length;
  }
  for (const worker of [...workers].sort((a, b) => (a.worker < b.worker ? -1 : 1))) {
    const assigned = parts[worker.worker];
    if (assigned?.incarnation === worker.incarnation) continue;
    changed = true;
    parts[worker.worker] = {
      incarnation: worker.incarnation,
      part:
        workers.length === 1
          ? 'both'
          : (assigned?.part ?? (countOfStage('prefill') <= countOfStage('decode') ? 'prefill' : 'decode')),
    };
  }
  for (const stage of ['prefill', 'decode'] as const) {
    if (workers.length > 0 && countOfStage(stage) + countOfStage('both') === 0) {
      const worker = [...workers].sort((a, b) => (a.worker < b.worker ? -1 : 1))[0]!;
      parts[worker.worker] = { incarnation: worker.incarnation, part: 'both' };
      changed = true;
    }
  }
  if (!changed) return undefined;
  // A worker that restarted has left its rehearsal. The rehearsal ends, and the worker's stage is rolled back.
  const subject = record.running?.subject;
  const hasLeftRehearsal =
    subject?.type === 'part' && parts[subject.shift.worker]?.incarnation !== subject.shift.incarnation;
  if (!hasLeftRehearsal) return { ...record, parts };
  const ended = endRehearsal({ ...record, parts }, 'superseded');
  return {
    ...ended,
    parts: {
      ...parts,
      [subject.shift.worker]: { incarnation: parts[subject.shift.worker]!.incarnation, part: subject.shift.from },
    },
  };
}

/** The mean load of the workers of each stage. */
export interface StageLoad {
  readonly prefill: number;
  readonly decode: number;
}
/** The mean load by recent reports; undefined if a stage has no recent report. */
export function stageLoad(
  record: RehearsalRecord,
  workers: readonly WorkerStateEntry[],
  reports: readonly WorkerReport[],
): StageLoad | undefined {
  const reportByWorker = new Map(
    reports
      .filter((report) => report.age < 5_000_000)
      .map((report) => [`${report.worker}/${report.incarnation}`, report]),
  );
  function mean(stage: WorkerStage, loadOf: (report: WorkerReport) => number): number | undefined {
    const stageReports = workers
      .filter((worker) => assignedStage(record, worker) === stage)
      .map((worker) => reportByWorker.get(`${worker.worker}/${worker.incarnation}`))
      .filter((report) => report !== undefined);
    return stageReports.length === 0
      ? undefined
      : stageReports.reduce((sum, report) => sum + loadOf(report), 0) / stageReports.length;
  }
  const prefill = mean('prefill', (report) => report.queued + report.active);
  const decode = mean('decode', (report) => Math.max(report.active / 12, 2 * report.kvUsed));
  return prefill === undefined || decode === undefined ? undefined : { prefill, decode };
}

/** Creates the role; `tick` is to be called regularly. */
export function createStageAssignment(world: World, options: StageAssignmentOptions): StageAssignment {
  const confirmedOrders = new Map<string, { epoch: number; part: WorkerStage | '' }>();
  let working = false;
  let fencingEpoch: number | undefined;
  let orderCount = 0;
  let imbalance: { to: WorkerStage; since: number } | undefined;
  let cooldownUntil = 0;

  async function sendOrder(worker: WorkerStateEntry, epoch: number, part: WorkerStage | ''): Promise<void> {
    if (options.heldEpoch() !== epoch) return;
    orderCount += 1;
    // A broken link may hold an order back and deliver it long after this leader's term, to a worker that no later leader
    // could reach. A stage is therefore ordered only right after the worker has answered a fence, which changes nothing if
    // it arrives late.
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
    const sent = Promise.all(options.workers().map((worker) => sendOrder(worker, epoch, ''))).finally(() => {
      if (fencingEpoch === epoch) fencingEpoch = undefined;
    });
    runInBackground(world.log, 'orders of a new leader', sent);
  }

  function tick(): void {
    const epoch = options.heldEpoch();
    const value = options.record();
    if (epoch === undefined || value === undefined || working || fencingEpoch === epoch) return;
    const record = decodeRehearsalRecord(value);
    const workers = options.workers();
    working = true;
    const applied = applyAssignments(record, workers, epoch).finally(() => {
      world.after(micros(200_000), () => {
        working = false;
      });
    });
    runInBackground(world.log, 'assignment of stages', applied);
  }

  async function applyAssignments(record: RehearsalRecord, workers: WorkerStateEntry[], epoch: number): Promise<void> {
    if (workers.length > 0 && assignNewWorkers(record, workers) !== undefined) {
      await options.writer.update(
        (current) => assignNewWorkers(current, workers),
        () => options.heldEpoch() === epoch,
      );
      return;
    }
    await Promise.all(
      workers.map(async (worker) => {
        const wanted = assignedStage(record, worker) ?? '';
        const confirmed = confirmedOrders.get(`${worker.worker}/${worker.incarnation}`);
        if (confirmed === undefined || confirmed.epoch !== epoch || (wanted !== '' && confirmed.part !== wanted))
          await sendOrder(worker, epoch, wanted);
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
    const toStage: WorkerStage | undefined =
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
    const fromStage: WorkerStage = toStage === 'prefill' ? 'decode' : 'prefill';
    const donors = workers.filter((worker) => assignedStage(record, worker) === fromStage);
    if (donors.length < 2) return;
    const donor = donors[0]!;
    cooldownUntil = world.now() + (options.shiftCooldownUs ?? 60_000_000);
    const shift = { worker: donor.worker, incarnation: donor.incarnation, from: fromStage, to: toStage };
    await options.writer.update(
      (current) =>
        current.running === undefined && assignedStage(current, donor) === fromStage
          ? beginRehearsal(
              current,
              `part-${epoch}-${donor.worker}-${Math.floor(world.random() * 1e6)}`,
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
