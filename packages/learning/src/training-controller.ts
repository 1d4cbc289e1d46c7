/**
 * The leader of the training role: pools the samples of all routers, trains a model when there are enough new ones, and
 * starts its rehearsal. The model's bytes go into one of four slots that neither the live model, the previous one nor a
 * running rehearsal uses. A model goes live only through a rehearsal.
 */
import { micros, runInBackground, type MessageOf, type World } from '@tansypost/inner-protocol';
import { decodeSamples, modelHash, featureCount, type ModelVersion, type Sample } from '@tansypost/placement';
import { beginRehearsal, decodeRehearsalRecord, type ModelRef, type RehearsalRecord } from '@tansypost/rehearsal';
import type { ControlStateClient } from './control-state-client.js';
import type { RecordWriter } from './record-writer.js';

/** Trains models; see `createTrainer` of the placement package. */
export interface ModelTrainer {
  readonly add: (samples: readonly Sample[]) => void;
  /** Resolves to the encoded model. */
  readonly train: (version: ModelVersion) => Promise<Buffer>;
}
/** What a training controller works with. */
export interface TrainingControllerOptions {
  readonly service: string;
  /** The epoch under which this process leads the training role; undefined while it does not. */
  readonly heldEpoch: () => number | undefined;
  /** The rehearsal record as this process knows it. */
  readonly record: () => Buffer | undefined;
  readonly controlClient: Pick<ControlStateClient, 'request'>;
  readonly writer: RecordWriter;
  readonly trainer: ModelTrainer;
  readonly samplesPerTraining: number;
  /** Share of the requests that take a new model at first. */
  readonly treatmentShare: number;
  readonly approval: () => 'automatic' | 'operator';
}
/** Trains models and starts their rehearsals. */
export interface TrainingController {
  readonly addSamples: (message: MessageOf<'Samples'>) => void;
  /** Starts what is due; to be called often. */
  readonly tick: () => void;
  /** Whether there are samples to train on, or a model to rehearse. */
  readonly isDue: () => boolean;
  readonly metrics: () => { fresh: number; trained: number };
}

/** Key of a slot whose bytes are not in use. */
function freeSlot(record: RehearsalRecord, service: string): string | undefined {
  const subject = record.running?.subject;
  const used = new Set([
    record.live?.blob,
    record.before?.blob,
    subject?.type === 'model' ? subject.model.blob : undefined,
  ]);
  return [0, 1, 2, 3].map((slot) => `blob/${service}/${slot}`).find((key) => !used.has(key));
}

/** Creates a controller without samples. */
export function createTrainingController(world: World, options: TrainingControllerOptions): TrainingController {
  let fresh = 0;
  let trained = 0;
  let busy = false;
  let waiting: { version: ModelVersion; bytes: Buffer } | undefined;

  function addSamples(message: MessageOf<'Samples'>): void {
    if (message.width !== featureCount) return;
    const samples = decodeSamples(message.rows, message.count, message.width);
    options.trainer.add(samples);
    fresh += samples.length;
  }

  function tick(): void {
    const epoch = options.heldEpoch();
    if (busy || epoch === undefined) return;
    const record = options.record();
    const isRehearsing = record !== undefined && decodeRehearsalRecord(record).running !== undefined;
    if (fresh >= options.samplesPerTraining) {
      busy = true;
      fresh = 0;
      trained += 1;
      const version = { epoch, n: trained };
      void options.trainer
        .train(version)
        .then((bytes) => {
          waiting = { version, bytes };
          world.log(4003, { version, bytes: bytes.length });
        })
        .catch((error: unknown) => world.log(4005, { version, why: String(error) }))
        .finally(() => {
          busy = false;
        });
    } else if (waiting !== undefined && !isRehearsing) {
      busy = true;
      const begun = startRehearsal(waiting).finally(() => {
        world.after(micros(500_000), () => {
          busy = false;
        });
      });
      runInBackground(world.log, 'start of a rehearsal', begun);
    }
  }

  /** Stores the model in a free slot and begins its rehearsal; leaves it waiting where either fails. */
  async function startRehearsal(trainedModel: { version: ModelVersion; bytes: Buffer }): Promise<void> {
    const read = await options.controlClient.request({
      op: 'read',
      key: `rehearsal/${options.service}`,
      timeoutUs: 5_000_000,
    });
    if (read.status !== 'value' || options.heldEpoch() === undefined) return;
    const blob = freeSlot(decodeRehearsalRecord(read.value), options.service);
    if (blob === undefined || decodeRehearsalRecord(read.value).running !== undefined) return;
    const previous = await options.controlClient.request({ op: 'read', key: blob, timeoutUs: 5_000_000 });
    if (previous.status !== 'value') return;
    const hash = modelHash(trainedModel.bytes);
    const written = await options.controlClient.request({
      op: 'write',
      key: blob,
      change: hash,
      base: previous.version,
      value: trainedModel.bytes,
      timeoutUs: 5_000_000,
    });
    if (written.status !== 'done' || options.heldEpoch() === undefined) return;
    const model: ModelRef = { version: trainedModel.version, hash, blob };
    const begun = await options.writer.update(
      (record) =>
        record.running === undefined && isSlotUnused(record, blob, options.service)
          ? beginRehearsal(
              record,
              `model-${trainedModel.version.epoch}-${trainedModel.version.n}`,
              { type: 'model', model },
              options.treatmentShare,
              options.approval(),
            )
          : undefined,
      () => options.heldEpoch() !== undefined,
    );
    if (begun !== undefined && waiting === trainedModel) waiting = undefined;
  }
  return {
    addSamples,
    tick,
    isDue: () => busy || waiting !== undefined || fresh >= options.samplesPerTraining,
    metrics: () => ({ fresh, trained }),
  };
}

function isSlotUnused(record: RehearsalRecord, blob: string, service: string): boolean {
  return record.live?.blob !== blob && record.before?.blob !== blob && blob.startsWith(`blob/${service}/`);
}
