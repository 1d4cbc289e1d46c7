/**
 * The duty of training: pools the samples of all agents, trains when enough are new, and puts the model up for
 * rehearsal. The bytes go into one of four slots that neither the live model, the one before, nor a
 * running rehearsal uses. Only a rehearsal can make it live.
 */
import { micros, type MessageOf, type World } from '@tansypost/inner-protocol';
import { decodeSamples, modelHash, featureCount, type ModelVersion, type Sample } from '@tansypost/placement';
import { beginRehearsal, decodeRehearsalRecord, type ModelRef, type RehearsalRecord } from '@tansypost/rehearsal';
import type { ControlStateClient } from './control-state-client.js';
import type { RecordWriter } from './record-writer.js';

export interface ModelTrainer {
  readonly add: (ss: readonly Sample[]) => void;
  readonly train: (v: ModelVersion) => Promise<Buffer>;
}
export interface TrainingControllerOptions {
  readonly service: string;
  readonly heldEpoch: () => number | undefined;
  readonly record: () => Buffer | undefined;
  readonly controlClient: Pick<ControlStateClient, 'request'>;
  readonly writer: RecordWriter;
  readonly trainer: ModelTrainer;
  readonly samplesPerTraining: number;
  readonly treatmentShare: number;
  readonly approval: () => 'automatic' | 'operator';
}
export interface TrainingController {
  readonly addSamples: (m: MessageOf<'Samples'>) => void;
  readonly tick: () => void;
  // There is something to train, or a model to offer.
  readonly isDue: () => boolean;
  readonly metrics: () => { fresh: number; trained: number };
}

function freeSlot(r: RehearsalRecord, service: string): string | undefined {
  const s = r.running?.subject;
  const used = new Set([r.live?.blob, r.before?.blob, s?.type === 'model' ? s.model.blob : undefined]);
  return [0, 1, 2, 3].map((n) => `blob/${service}/${n}`).find((k) => !used.has(k));
}

export function createTrainingController(w: World, o: TrainingControllerOptions): TrainingController {
  let fresh = 0;
  let trained = 0;
  let busy = false;
  let waiting: { v: ModelVersion; bytes: Buffer } | undefined;

  function samples(m: MessageOf<'Samples'>): void {
    if (m.width !== featureCount) return;
    const ss = decodeSamples(m.rows, m.count, m.width);
    o.trainer.add(ss);
    fresh += ss.length;
  }

  function tick(): void {
    const epoch = o.heldEpoch();
    if (busy || epoch === undefined) return;
    const b = o.record();
    const running = b !== undefined && decodeRehearsalRecord(b).running !== undefined;
    if (fresh >= o.samplesPerTraining) {
      busy = true;
      fresh = 0;
      trained += 1;
      const v = { epoch, n: trained };
      void o.trainer
        .train(v)
        .then((bytes) => {
          waiting = { v, bytes };
          w.log(4003, { version: v, bytes: bytes.length });
        })
        .catch((e: unknown) => w.log(4005, { version: v, why: String(e) }))
        .finally(() => {
          busy = false;
        });
    } else if (waiting !== undefined && !running) {
      busy = true;
      void offer(waiting).finally(() => {
        w.after(micros(500_000), () => {
          busy = false;
        });
      });
    }
  }

  async function offer(x: { v: ModelVersion; bytes: Buffer }): Promise<void> {
    const r = await o.controlClient.request({ op: 'read', key: `rehearsal/${o.service}`, timeoutUs: 5_000_000 });
    if (r.status !== 'value' || o.heldEpoch() === undefined) return;
    const blob = freeSlot(decodeRehearsalRecord(r.value), o.service);
    if (blob === undefined || decodeRehearsalRecord(r.value).running !== undefined) return;
    const old = await o.controlClient.request({ op: 'read', key: blob, timeoutUs: 5_000_000 });
    if (old.status !== 'value') return;
    const hash = modelHash(x.bytes);
    const put = await o.controlClient.request({
      op: 'write',
      key: blob,
      change: hash,
      base: old.version,
      value: x.bytes,
      timeoutUs: 5_000_000,
    });
    if (put.status !== 'done' || o.heldEpoch() === undefined) return;
    const model: ModelRef = { version: x.v, hash, blob };
    const done = await o.writer.update(
      (rec) =>
        rec.running === undefined && freeSlotFits(rec, blob, o.service)
          ? beginRehearsal(rec, `model-${x.v.epoch}-${x.v.n}`, { type: 'model', model }, o.treatmentShare, o.approval())
          : undefined,
      () => o.heldEpoch() !== undefined,
    );
    if (done !== undefined && waiting === x) waiting = undefined;
  }
  return {
    addSamples: samples,
    tick,
    isDue: () => busy || waiting !== undefined || fresh >= o.samplesPerTraining,
    metrics: () => ({ fresh, trained }),
  };
}

function freeSlotFits(r: RehearsalRecord, blob: string, service: string): boolean {
  return r.live?.blob !== blob && r.before?.blob !== blob && blob.startsWith(`blob/${service}/`);
}
