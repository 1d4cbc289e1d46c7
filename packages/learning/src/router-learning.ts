/**
 * What a router does for learning: it sends samples of how long its choices took, holds the models that the rehearsal's
 * record names, decoded before a request needs them, draws for each request whether a rehearsal takes it, and tells how
 * those went as running totals. Without samples, a record or a keeper it does nothing.
 */
import * as E from 'fp-ts/lib/Either.js';
import { micros, type Address, type CohortStatistics, type KeyUpdate, type World } from '@tansypost/inner-protocol';
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

export const learnedService = 'main';
export const rehearsalRecordKey = `rehearsal/${learnedService}`;

export interface RouterLearningOptions {
  readonly member: string;
  // The first is the one that learns.
  readonly controlNodes: () => readonly Address[];
  readonly controlClient: Pick<ControlStateClient, 'request'>;
}
export interface RouterLearning {
  readonly applyUpdate: (n: KeyUpdate) => void;
  readonly recordVersion: () => number;
  readonly recordSample: (row: Float32Array, firstTime: number) => void;
  readonly assignCohort: (request: string) => CohortAssignment;
  readonly metrics: () => Record<string, unknown>;
}
const flushAfter = 5_000_000;
const armsEvery = 2_000_000;
const askAgain = 2_000_000;
const armsKept = 64;
const bytesKept = 2;

export function createRouterLearning(w: World, o: RouterLearningOptions): RouterLearning {
  const models = new Map<string, Model>();
  // Model bytes that were told of, the newest of each key.
  const bytes = new Map<string, KeyUpdate>();
  const arms = new Map<string, CohortStatistics>();
  let record: RehearsalRecord = emptyRecord;
  let at: { version: number; epoch: number } = { version: 0, epoch: 0 };
  let samples: Sample[] = [];
  let telling = false;
  let asking = false;

  function named(): ModelRef[] {
    const s = record.running?.subject;
    return [record.live, s?.type === 'model' ? s.model : undefined, record.before].flatMap((x) => x ?? []);
  }

  function take(n: KeyUpdate): void {
    if (n.key.startsWith(`blob/${learnedService}/`)) {
      const had = bytes.get(n.key);
      if (had !== undefined && had.version >= n.version) return;
      bytes.delete(n.key);
      bytes.set(n.key, n);
      for (const k of bytes.keys()) if (bytes.size > bytesKept) bytes.delete(k);
    } else if (n.key === rehearsalRecordKey) {
      if (n.version < at.version || (n.version === at.version && n.epoch <= at.epoch)) return;
      at = { version: n.version, epoch: n.epoch };
      record = decodeRehearsalRecord(n.value);
      const hashes = new Set(named().map((r) => r.hash));
      for (const h of models.keys()) if (!hashes.has(h)) models.delete(h);
    } else return;
    prepare();
    if (n.key === rehearsalRecordKey && !asking) bytes.clear();
    if (record.running !== undefined) tell();
  }

  // Of the model before, only what a watched rehearsal holds back for its control is needed.
  function prepare(): void {
    const missing = named().filter((r) => !models.has(r.hash) && !learned(r, bytes.get(r.blob)?.value));
    const first = missing.find((r) => r !== record.before || record.running?.state === 'watched');
    if (first !== undefined) fetch(first);
  }

  // Runs it a few times so that it is quick by the time a request needs it.
  function learned(r: ModelRef, b: Buffer | undefined): boolean {
    const d = b === undefined ? undefined : decodeModel(b, r.hash);
    if (d === undefined) return false;
    if (E.isLeft(d)) {
      bytes.delete(r.blob);
      w.log(4004, { version: r.version, hash: r.hash, blob: r.blob });
      return false;
    }
    models.set(r.hash, d.right);
    const rows = Array.from({ length: 12 }, () => new Float32Array(d.right.predictor.sizes[0]!));
    for (let n = 0; n < 3; n += 1) predictTtft(d.right, rows);
    w.log(4002, { version: r.version, hash: r.hash });
    return true;
  }

  function fetch(r: ModelRef): void {
    if (asking) return;
    asking = true;
    // What was written just now is being told to all.
    w.after(micros(askAgain * (0.25 + 0.5 * w.random())), () => {
      if (models.has(r.hash) || !named().some((x) => x.hash === r.hash)) return over();
      void o.controlClient.request({ op: 'read', key: r.blob, timeoutUs: 4_000_000 }).then((a) => {
        if (a.status === 'value' && named().some((x) => x.hash === r.hash)) learned(r, a.value);
        w.after(micros(askAgain), over);
      });
    });
    function over(): void {
      asking = false;
      prepare();
    }
  }

  function sample(row: Float32Array, firstTime: number): void {
    samples.push({ features: row, reward: -firstTime / 1e6 });
    if (samples.length >= sampleBatchSize) flush();
    else if (samples.length === 1) w.after(micros(flushAfter), flush);
  }
  function flush(): void {
    const to = o.controlNodes()[0];
    const ss = samples;
    if (ss.length === 0) return;
    samples = [];
    if (to !== undefined)
      w.send(to, { kind: 'Samples', from: o.member, count: ss.length, width: featureCount, rows: packSamples(ss) });
  }

  function tell(): void {
    if (telling) return;
    telling = true;
    w.after(micros(armsEvery), () => {
      telling = false;
      const to = o.controlNodes()[0];
      if (record.running === undefined) return arms.clear();
      const now = cohortNameOf(record.running);
      if (to !== undefined)
        w.send(to, { kind: 'Arms', from: o.member, arms: [...arms.values()].filter((a) => a.rehearsal === now) });
      tell();
    });
  }

  // A router that lacks the model takes no part, in either arm, so that what is missing favours neither.
  function lot(request: string): CohortAssignment {
    const run = record.running;
    const s = run?.subject.type === 'model' ? run.subject : undefined;
    const live = record.live === undefined ? undefined : models.get(record.live.hash);
    const before = record.before === undefined ? undefined : models.get(record.before.hash);
    const rehearsed = s === undefined ? undefined : models.get(s.model.hash);
    const ready =
      rehearsed !== undefined && (run!.state !== 'watched' || record.before === undefined || before !== undefined);
    if (run === undefined || !ready) return { model: live, completed: () => undefined };
    const rehearsal = cohortNameOf(run);
    const arm = cohortOf(rehearsal, request, run.slice);
    // While a model that went live is watched, the control stays with the one before.
    const control = run.state === 'watched' ? before : live;
    return {
      model: arm === 'slice' ? rehearsed : arm === 'control' ? control : live,
      completed: (x) => {
        if (arm !== 'none' && x.end !== 'left') count(rehearsal, arm, x);
      },
    };
  }

  function count(rehearsal: string, arm: string, x: CompletedRequest): void {
    const k = `${rehearsal}/${arm}/${x.route}`;
    const whole = x.end === 'whole';
    // From arrival, with the waiting here; whoever failed has waited its whole patience.
    const l = Math.log(Math.max(1, whole ? x.timeToFirstChunk : x.timeout));
    const t = whole && x.timePerChunk !== undefined ? Math.log(Math.max(1, x.timePerChunk)) : undefined;
    const counts = { ...(arms.get(k) ?? { rehearsal, ...createCohortCounts(arm, x.route) }) };
    countAnswer(counts, { failed: !whole, logTtft: l, logTokenTime: t });
    arms.set(k, counts);
    for (const old of arms.keys()) if (arms.size > armsKept && !old.startsWith(rehearsal)) arms.delete(old);
  }

  return {
    applyUpdate: take,
    recordVersion: () => at.version,
    recordSample: sample,
    assignCohort: lot,
    metrics: () => ({
      record: at.version,
      live: record.live !== undefined && models.has(record.live.hash) ? record.live.hash.slice(0, 8) : '',
      rehearsal: record.running === undefined ? '' : `${cohortNameOf(record.running)} ${record.running.state}`,
    }),
  };
}
