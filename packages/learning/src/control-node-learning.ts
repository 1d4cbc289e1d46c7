/**
 * A control node's side of learning. Routers send their samples to the first control node that they are in contact with;
 * once it has enough, it is a candidate for the training role, and while it receives statistics of a rehearsal, for the
 * rehearsals role. At other times nobody is a candidate and nothing is sent. Both roles move to another control node when
 * this one fails: its samples are lost and replaced by new ones, the totals of a rehearsal are kept by the routers.
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

/** What a control node's learning works with. */
export interface ControlNodeLearningOptions {
  readonly self: Address;
  readonly member: string;
  readonly controlNode: () => ControlNode | undefined;
  readonly controlClient: Pick<ControlStateClient, 'request'>;
  readonly trainer: ModelTrainer;
  /** Lease of the roles, in microseconds; at most as long as a granted vote is binding. */
  readonly roleLeaseUs: number;
  readonly samplesPerTraining?: number;
  readonly treatmentShare?: number;
  readonly rehearsalTimeLimitUs?: number;
  readonly verdict?: VerdictOptions;
}
/** A control node's side of learning. */
export interface ControlNodeLearning {
  /** Handles a message; returns whether it was meant for learning. */
  readonly receive: (message: Message, from: Address) => boolean;
  readonly metrics: () => Record<string, unknown>;
  readonly stop: () => void;
}
/**
 * Default parameters. A round needs 2000 new samples, so that a model is not trained on a single burst. The number
 * doubles, up to three times, with each model in turn that did not go live.
 */
export const learningDefaults = {
  samplesPerTraining: 2000,
  treatmentShare: 0.2,
  rehearsalTimeLimitUs: 600_000_000,
};
const maxDoublings = 3;
const tickIntervalUs = 250_000;
/** How long after the last statistics a rehearsal counts as reported. */
const statisticsFreshUs = 6_000_000;

/** Creates the learning of a control node and starts its timer. */
export function createControlNodeLearning(world: World, options: ControlNodeLearningOptions): ControlNodeLearning {
  const roles = {
    training: createRole('training', isTrainingWanted),
    rehearsals: createRole('rehearsals', isRehearsalWanted),
  };
  const samplesPerTraining = options.samplesPerTraining ?? learningDefaults.samplesPerTraining;
  const writer = createRecordWriter(world, learnedService, options.controlClient, () => undefined);
  const training = createTrainingController(world, {
    service: learnedService,
    heldEpoch: roles.training.heldEpoch,
    record: localRecord,
    controlClient: options.controlClient,
    writer,
    trainer: options.trainer,
    samplesPerTraining,
    treatmentShare: options.treatmentShare ?? learningDefaults.treatmentShare,
    approval: () => 'automatic',
  });
  const rehearsals = createRehearsalController(world, {
    heldEpoch: roles.rehearsals.heldEpoch,
    record: localRecord,
    writer,
    timeLimitUs: options.rehearsalTimeLimitUs ?? learningDefaults.rehearsalTimeLimitUs,
    ...(options.verdict === undefined ? {} : { verdict: options.verdict }),
  });
  let statisticsAt = -Infinity;

  function createRole(role: string, isWanted: () => boolean): ReturnType<typeof createCandidate> {
    return createCandidate(world, {
      role,
      member: options.member,
      self: options.self,
      get slot() {
        return options.controlNode()?.replica.slot ?? 0;
      },
      leaseDuration: options.roleLeaseUs,
      replicas: () => options.controlNode()?.replica.membership() ?? { membershipEpoch: 0, replicas: [] },
      isWilling: () => options.controlNode()?.replica.state() === 'voting' && isWanted(),
      onElected: () => undefined,
      onLeaseLost: () => undefined,
    });
  }
  /** The record as the local replica holds it. It may be stale, which is safe: a write is conditional on its version. */
  function localRecord(): Buffer | undefined {
    const row = options.controlNode()?.replica.row(rehearsalRecordKey);
    return row === undefined || row.version === 0 ? undefined : row.value;
  }
  function isRehearsing(): boolean {
    const record = localRecord();
    return record !== undefined && decodeRehearsalRecord(record).running !== undefined;
  }
  /** Whether there are enough new samples, given how many models in turn have not gone live. */
  function hasEnoughSamples(): boolean {
    const ended = decodeRehearsalRecord(localRecord() ?? Buffer.alloc(0)).ended;
    const lastLive = ended.findIndex((rehearsal) => rehearsal.outcome === 'live');
    return (
      training.metrics().fresh >=
      samplesPerTraining * 2 ** Math.min(maxDoublings, lastLive < 0 ? ended.length : lastLive)
    );
  }
  /** Nothing is trained during a rehearsal, as only one can run at a time. What has been begun is finished. */
  function isTrainingWanted(): boolean {
    return training.isDue() && !isRehearsing() && (training.metrics().fresh < samplesPerTraining || hasEnoughSamples());
  }
  function isRehearsalWanted(): boolean {
    return world.now() - statisticsAt < statisticsFreshUs && isRehearsing();
  }

  function onSamples(message: Extract<Message, { kind: 'Samples' }>, from: Address): void {
    if (message.width !== featureCount) return;
    const leader = roles.training.leader();
    const isFromRouter =
      options
        .controlNode()
        ?.replica.membership()
        .replicas.every((replica) => replica.address !== from) === true;
    if (isFromRouter && leader !== undefined && leader.address !== options.self)
      return world.send(leader.address as Address, message);
    const samples = unpackSamples(message.rows, message.count);
    if (samples.length > 0) training.addSamples({ ...message, rows: encodeSamples(samples, featureCount) });
  }

  function receive(message: Message, from: Address): boolean {
    if (message.kind === 'Samples') onSamples(message, from);
    else if (message.kind === 'Arms') {
      statisticsAt = world.now();
      rehearsals.recordCohorts(message);
    } else if (message.kind === 'BallotVote') {
      roles.training.receiveVote(message);
      roles.rehearsals.receiveVote(message);
    } else return false;
    return true;
  }

  function tick(): void {
    if (roles.training.heldEpoch() !== undefined && isTrainingWanted()) training.tick();
    if (roles.rehearsals.heldEpoch() !== undefined) rehearsals.tick();
  }
  const stopTimer = every(world, () => micros(tickIntervalUs), tick);
  return {
    receive,
    metrics: () => ({
      ...training.metrics(),
      holds: Object.entries(roles).flatMap(([name, role]) => (role.heldEpoch() === undefined ? [] : [name])),
    }),
    stop: () => {
      stopTimer();
      roles.training.stop();
      roles.rehearsals.stop();
    },
  };
}
