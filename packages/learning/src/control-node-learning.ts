/**
 * What a keeper does for learning. Routers send their samples to the first keeper they hear; once it has enough, it
 * stands for the duty of training, and while a rehearsal is told of, for the duty of keeping it. Before that and between,
 * nobody stands and nothing is sent. Both go to another keeper when this one dies: samples are lost and come anew, the
 * totals of a rehearsal are at the routers.
 */
import { every, micros, type Address, type Message, type World } from '@tansypost/inner-protocol';
import type { ControlNode } from '@tansypost/control-state';
import { createCandidate } from '@tansypost/duty';
import { encodeSamples, featureCount } from '@tansypost/placement';
import { decodeRehearsalRecord, type VerdictOptions } from '@tansypost/rehearsal';
import type { ControlStateClient } from './control-state-client.js';
import { createRecordWriter } from './record-writer.js';
import { createRehearsalController } from './rehearsal-controller.js';
import { learnedService, rehearsalRecordKey } from './router-learning.js';
import { unpackSamples } from './sample-batch.js';
import { createTrainingController, type ModelTrainer } from './training-controller.js';

export interface ControlNodeLearningOptions {
  readonly self: Address;
  readonly member: string;
  readonly controlNode: () => ControlNode | undefined;
  readonly controlClient: Pick<ControlStateClient, 'request'>;
  readonly trainer: ModelTrainer;
  // No longer than voters lend their votes.
  readonly roleLeaseUs: number;
  readonly samplesPerTraining?: number;
  readonly treatmentShare?: number;
  readonly rehearsalTimeLimitUs?: number;
  readonly verdict?: VerdictOptions;
}
export interface ControlNodeLearning {
  // True when it was for learning.
  readonly receive: (m: Message, from: Address) => boolean;
  readonly metrics: () => Record<string, unknown>;
  readonly stop: () => void;
}
// Ours: a round needs 2000 new samples, so that a model isn't made of one burst, and twice as many after each model in turn
// that did not go live, up to eight times.
export const learningDefaults = { samplesPerTraining: 2000, treatmentShare: 0.2, rehearsalTimeLimitUs: 600_000_000 };
const mostDoublings = 3;
const tickEvery = 250_000;
const armsFresh = 6_000_000;

export function createControlNodeLearning(w: World, o: ControlNodeLearningOptions): ControlNodeLearning {
  const duties = {
    training: candidate('training', wantsTraining),
    rehearsals: candidate('rehearsals', wantsRehearsal),
  };
  const samplesPerTraining = o.samplesPerTraining ?? learningDefaults.samplesPerTraining;
  const writer = createRecordWriter(w, learnedService, o.controlClient, () => undefined);
  const training = createTrainingController(w, {
    service: learnedService,
    heldEpoch: duties.training.heldEpoch,
    record,
    controlClient: o.controlClient,
    writer,
    trainer: o.trainer,
    samplesPerTraining: samplesPerTraining,
    treatmentShare: o.treatmentShare ?? learningDefaults.treatmentShare,
    approval: () => 'automatic',
  });
  const keeping = createRehearsalController(w, {
    heldEpoch: duties.rehearsals.heldEpoch,
    record,
    writer,
    timeLimitUs: o.rehearsalTimeLimitUs ?? learningDefaults.rehearsalTimeLimitUs,
    ...(o.verdict === undefined ? {} : { verdict: o.verdict }),
  });
  let armsAt = -Infinity;

  function candidate(duty: string, willing: () => boolean): ReturnType<typeof createCandidate> {
    return createCandidate(w, {
      role: duty,
      member: o.member,
      self: o.self,
      get slot() {
        return o.controlNode()?.replica.slot ?? 0;
      },
      leaseDuration: o.roleLeaseUs,
      replicas: () => o.controlNode()?.replica.membership() ?? { membershipEpoch: 0, replicas: [] },
      isWilling: () => o.controlNode()?.replica.state() === 'voting' && willing(),
      onElected: () => undefined,
      onLeaseLost: () => undefined,
    });
  }
  // As this place holds it: good enough to begin with, as each write is on the version read.
  function record(): Buffer | undefined {
    const r = o.controlNode()?.replica.row(rehearsalRecordKey);
    return r === undefined || r.version === 0 ? undefined : r.value;
  }
  function running(): boolean {
    const b = record();
    return b !== undefined && decodeRehearsalRecord(b).running !== undefined;
  }
  // Enough new samples after what became of the models before.
  function enough(): boolean {
    const ended = decodeRehearsalRecord(record() ?? Buffer.alloc(0)).ended;
    const live = ended.findIndex((x) => x.outcome === 'live');
    return (
      training.metrics().fresh >= samplesPerTraining * 2 ** Math.min(mostDoublings, live < 0 ? ended.length : live)
    );
  }
  // Nothing is trained while something is rehearsed: only one at a time can be. What has been begun is ended.
  function wantsTraining(): boolean {
    return training.isDue() && !running() && (training.metrics().fresh < samplesPerTraining || enough());
  }
  function wantsRehearsal(): boolean {
    return w.now() - armsAt < armsFresh && running();
  }

  function onSamples(m: Extract<Message, { kind: 'Samples' }>, from: Address): void {
    if (m.width !== featureCount) return;
    const holder = duties.training.leader();
    const routed =
      o
        .controlNode()
        ?.replica.membership()
        .replicas.every((p) => p.address !== from) === true;
    if (routed && holder !== undefined && holder.address !== o.self) return w.send(holder.address as Address, m);
    const ss = unpackSamples(m.rows, m.count);
    if (ss.length > 0) training.addSamples({ ...m, rows: encodeSamples(ss, featureCount) });
  }

  function receive(m: Message, from: Address): boolean {
    if (m.kind === 'Samples') onSamples(m, from);
    else if (m.kind === 'Arms') {
      armsAt = w.now();
      keeping.recordCohorts(m);
    } else if (m.kind === 'BallotVote') {
      duties.training.receiveVote(m);
      duties.rehearsals.receiveVote(m);
    } else return false;
    return true;
  }

  function tick(): void {
    if (duties.training.heldEpoch() !== undefined && wantsTraining()) training.tick();
    if (duties.rehearsals.heldEpoch() !== undefined) keeping.tick();
  }
  const stop = every(w, () => micros(tickEvery), tick);
  return {
    receive,
    metrics: () => ({
      ...training.metrics(),
      holds: Object.entries(duties).flatMap(([k, d]) => (d.heldEpoch() === undefined ? [] : [k])),
    }),
    stop: () => {
      stop();
      duties.training.stop();
      duties.rehearsals.stop();
    },
  };
}
