/**
 * A router's side of learning. It sends samples of the TTFT that its placements led to, holds the models that the rehearsal
 * record names (decoded before a request needs them), assigns each request to a cohort of the running rehearsal, and
 * reports the statistics of the cohorts as running totals. Without a running rehearsal in the record it
 * assigns no cohort; without a control node in contact, samples are dropped and statistics are not sent.
 */
import * as E from 'fp-ts/lib/Either.js';
import {
  micros,
  runInBackground,
  type Address,
  type CohortStatistics,
  type KeyUpdate,
  type World,
} from '@tansypost/inner-protocol';
import type { CompletedRequest, CohortAssignment } from '@tansypost/pass-through';
import { sampleBatchSize, decodeModel, predictTtft, featureCount, type Model, type Sample } from '@tansypost/placement';
import {
  cohortOf,
  cohortNameOf,
  countAnswer,
  createCohortCounts,
  emptyRecord,
  decodeRehearsalRecord,
  type ModelRef,
  type RehearsalRecord,
} from '@tansypost/rehearsal';
import type { ControlStateClient } from './control-state-client.js';
import { packSamples } from './sample-batch.js';

/** The service whose placement is learned. */
export const learnedService = 'main';
/** Key of its rehearsal record. */
export const rehearsalRecordKey = `rehearsal/${learnedService}`;

/** What a router's learning works with. */
export interface RouterLearningOptions {
  readonly member: string;
  /** Control nodes in contact; the first receives samples and statistics. */
  readonly controlNodes: () => readonly Address[];
  readonly controlClient: Pick<ControlStateClient, 'request'>;
}
/** A router's side of learning. */
export interface RouterLearning {
  /** Takes the update of a key; keys other than the record and the models are ignored. */
  readonly applyUpdate: (update: KeyUpdate) => void;
  /** Version of the rehearsal record that this router holds. */
  readonly recordVersion: () => number;
  /** Records the features of a placement and the TTFT that it led to, in microseconds. */
  readonly recordSample: (featureRow: Float32Array, ttftUs: number) => void;
  readonly assignCohort: (request: string) => CohortAssignment;
  readonly metrics: () => Record<string, unknown>;
}
const sampleFlushDelayUs = 5_000_000;
const reportIntervalUs = 2_000_000;
/** The delay between two fetches; the first fetch of a model is delayed by a random 25 to 75 % of it. */
const fetchRetryDelayUs = 2_000_000;
const maxCohortStatistics = 64;
const maxModelUpdates = 2;

/** Creates the learning of a router that holds no record yet. */
export function createRouterLearning(world: World, options: RouterLearningOptions): RouterLearning {
  const models = new Map<string, Model>();
  // Updates with the bytes of models, the latest of each key.
  const modelUpdates = new Map<string, KeyUpdate>();
  const statistics = new Map<string, CohortStatistics>();
  let record: RehearsalRecord = emptyRecord;
  let recordAt: { version: number; epoch: number } = { version: 0, epoch: 0 };
  let samples: Sample[] = [];
  let isReportScheduled = false;
  let isFetching = false;

  function referencedModels(): ModelRef[] {
    const subject = record.running?.subject;
    return [record.live, subject?.type === 'model' ? subject.model : undefined, record.before].flatMap(
      (model) => model ?? [],
    );
  }

  function applyUpdate(update: KeyUpdate): void {
    if (update.key.startsWith(`blob/${learnedService}/`)) {
      const known = modelUpdates.get(update.key);
      if (known !== undefined && known.version >= update.version) return;
      modelUpdates.delete(update.key);
      modelUpdates.set(update.key, update);
      for (const key of modelUpdates.keys()) if (modelUpdates.size > maxModelUpdates) modelUpdates.delete(key);
    } else if (update.key === rehearsalRecordKey) {
      if (update.version < recordAt.version || (update.version === recordAt.version && update.epoch <= recordAt.epoch))
        return;
      recordAt = { version: update.version, epoch: update.epoch };
      record = decodeRehearsalRecord(update.value);
      const hashes = new Set(referencedModels().map((model) => model.hash));
      for (const hash of models.keys()) if (!hashes.has(hash)) models.delete(hash);
    } else return;
    loadModels();
    if (update.key === rehearsalRecordKey && !isFetching) modelUpdates.clear();
    if (record.running !== undefined) scheduleReport();
  }

  /**
   * Decodes or fetches missing models; the previous model is fetched only while a live change is watched, for the control
   * cohort.
   */
  function loadModels(): void {
    const missing = referencedModels().filter(
      (model) => !models.has(model.hash) && !decode(model, modelUpdates.get(model.blob)?.value),
    );
    const first = missing.find((model) => model !== record.before || record.running?.state === 'watched');
    if (first !== undefined) fetch(first);
  }

  /** Decodes a model and runs it a few times, so that the code is compiled before a request needs it. */
  function decode(model: ModelRef, bytes: Buffer | undefined): boolean {
    const decoded = bytes === undefined ? undefined : decodeModel(bytes, model.hash);
    if (decoded === undefined) return false;
    if (E.isLeft(decoded)) {
      modelUpdates.delete(model.blob);
      world.log(4004, { version: model.version, hash: model.hash, blob: model.blob });
      return false;
    }
    models.set(model.hash, decoded.right);
    const rows = Array.from({ length: 12 }, () => new Float32Array(decoded.right.predictor.sizes[0]!));
    for (let run = 0; run < 3; run += 1) predictTtft(decoded.right, rows);
    world.log(4002, { version: model.version, hash: model.hash });
    return true;
  }

  function fetch(model: ModelRef): void {
    if (isFetching) return;
    isFetching = true;
    // A model that has just been written is being sent to all routers; the delay gives that update time to arrive.
    world.after(micros(fetchRetryDelayUs * (0.25 + 0.5 * world.random())), () => {
      if (models.has(model.hash) || !referencedModels().some((other) => other.hash === model.hash)) return finish();
      const fetched = options.controlClient
        .request({ op: 'read', key: model.blob, timeoutUs: 4_000_000 })
        .then((response) => {
          if (response.status === 'value' && referencedModels().some((other) => other.hash === model.hash))
            decode(model, response.value);
        })
        .finally(() => world.after(micros(fetchRetryDelayUs), finish));
      runInBackground(world.log, 'fetch of a model', fetched);
    });
    function finish(): void {
      isFetching = false;
      loadModels();
    }
  }

  function recordSample(featureRow: Float32Array, ttftUs: number): void {
    // The reward is minus the TTFT in seconds.
    samples.push({ features: featureRow, reward: -ttftUs / 1e6 });
    if (samples.length >= sampleBatchSize) flush();
    else if (samples.length === 1) world.after(micros(sampleFlushDelayUs), flush);
  }
  function flush(): void {
    const to = options.controlNodes()[0];
    const batch = samples;
    if (batch.length === 0) return;
    samples = [];
    if (to !== undefined)
      world.send(to, {
        kind: 'Samples',
        from: options.member,
        count: batch.length,
        width: featureCount,
        rows: packSamples(batch),
      });
  }

  /** Reports the cohorts of the current stage regularly for as long as a rehearsal runs. */
  function scheduleReport(): void {
    if (isReportScheduled) return;
    isReportScheduled = true;
    world.after(micros(reportIntervalUs), () => {
      isReportScheduled = false;
      const to = options.controlNodes()[0];
      if (record.running === undefined) return statistics.clear();
      // The name of the rehearsal's stage.
      const current = cohortNameOf(record.running);
      if (to !== undefined)
        world.send(to, {
          kind: 'Arms',
          from: options.member,
          arms: [...statistics.values()].filter((cohort) => cohort.rehearsal === current),
        });
      scheduleReport();
    });
  }

  /**
   * A router that lacks the rehearsed model, or the previous one while a change is watched, counts requests in neither
   * cohort, so that missing data favours neither. The live model is not required: while it is missing, requests of the
   * control cohort run without a model and are counted. Nothing is counted while a worker's stage is rehearsed, since
   * there is no rehearsed model then.
   */
  function assignCohort(request: string): CohortAssignment {
    const running = record.running;
    const subject = running?.subject.type === 'model' ? running.subject : undefined;
    const live = record.live === undefined ? undefined : models.get(record.live.hash);
    const previous = record.before === undefined ? undefined : models.get(record.before.hash);
    const rehearsed = subject === undefined ? undefined : models.get(subject.model.hash);
    const isReady =
      rehearsed !== undefined &&
      (running!.state !== 'watched' || record.before === undefined || previous !== undefined);
    if (running === undefined || !isReady) return { model: live, completed: () => undefined };
    // The name of the rehearsal's stage.
    const rehearsal = cohortNameOf(running);
    const cohort = cohortOf(rehearsal, request, running.slice);
    // 'slice' is the stored name of the treatment cohort.
    // While a model that went live is watched, the control cohort stays with the previous model.
    const control = running.state === 'watched' ? previous : live;
    return {
      model: cohort === 'slice' ? rehearsed : cohort === 'control' ? control : live,
      completed: (result) => {
        if (cohort !== 'none' && result.end !== 'left') countResult(rehearsal, cohort, result);
      },
    };
  }

  function countResult(rehearsal: string, cohort: string, result: CompletedRequest): void {
    const key = `${rehearsal}/${cohort}/${result.route}`;
    const isComplete = result.end === 'whole';
    // TTFT counts from arrival and includes time queued here; a request that failed counts with its whole timeout.
    const logTtft = Math.log(Math.max(1, isComplete ? result.timeToFirstChunk : result.timeout));
    // The logarithm of the time per chunk, not per token.
    const logTokenTime =
      isComplete && result.timePerChunk !== undefined ? Math.log(Math.max(1, result.timePerChunk)) : undefined;
    const counts = { ...(statistics.get(key) ?? { rehearsal, ...createCohortCounts(cohort, result.route) }) };
    countAnswer(counts, { failed: !isComplete, logTtft, logTokenTime });
    statistics.set(key, counts);
    for (const other of statistics.keys())
      if (statistics.size > maxCohortStatistics && !other.startsWith(rehearsal)) statistics.delete(other);
  }

  return {
    applyUpdate,
    recordVersion: () => recordAt.version,
    recordSample,
    assignCohort,
    metrics: () => ({
      record: recordAt.version,
      live: record.live !== undefined && models.has(record.live.hash) ? record.live.hash.slice(0, 8) : '',
      rehearsal: record.running === undefined ? '' : `${cohortNameOf(record.running)} ${record.running.state}`,
    }),
  };
}
