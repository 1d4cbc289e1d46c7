/**
 * Makes prefill workers decode where a service has lost its last decode worker, or none answers. One control node at a
 * time does it, as holder of a role that is won by ballot when there is need, and held by a lease. It writes each order
 * into the control state, then gives it, and only while its lease has so much left that no successor can give an order
 * to the same worker within the time that must lie between two holders.
 */
import type { ControlNode } from '@tansypost/control-state';
import type { ListedWorker, StoredValue } from '@tansypost/control-feed';
import { createCandidate } from '@tansypost/duty';
import { every, micros, type Address, type Cancel, type MessageOf, type World } from '@tansypost/inner-protocol';
import * as E from 'fp-ts/lib/Either.js';
import { createDecodeSilence, type DecodeSilence } from './decode-silence.js';
import { createOrderedWorkers, type OrderedWorkers } from './ordered-workers.js';
import { orderRecordKey, decodeOrderRecord, appendOrder, type OrderRecord } from './order-record.js';
import type { WorkerStageClient, WorkerReport } from './ports.js';
import { createRecoveryNeeds, type RecoveryNeeds } from './recovery-needs.js';
import { workersOf, type ServiceWorkers } from './recovery-plan.js';

/** A service that requests are sent to. */
export interface ServedService {
  readonly name: string;
  /** How long a worker takes to change its stage, in microseconds. */
  readonly stageSwitchTime: number;
}

/** What the recovery is told when it is made. Times are microseconds. */
export interface DecodeRecoveryOptions {
  readonly self: Address;
  readonly member: string;
  readonly controlNode: () => ControlNode | undefined;
  /** The newest list of workers. */
  readonly workers: () => readonly ListedWorker[];
  /** The services of the configuration in force, as this node knows it. */
  readonly services: () => readonly ServedService[];
  /** The value of `orderRecordKey`. */
  readonly record: StoredValue;
  readonly workerClient: WorkerStageClient;
  /** The lease of the role; the same for all candidates and voters. */
  readonly leaseDuration: number;
  /** What must lie between orders of two holders to one worker. */
  readonly minTakeoverGap: number;
}

/** The recovery at one control node. */
export interface DecodeRecovery {
  /** Takes in a voter's answer. */
  readonly handleVote: (answer: MessageOf<'BallotVote'>) => void;
  readonly stop: Cancel;
}

/** The recovery with what it was told, as its steps use it. */
interface Context {
  readonly world: World;
  readonly options: DecodeRecoveryOptions;
  readonly needs: RecoveryNeeds;
  readonly silence: DecodeSilence;
  readonly ordered: OrderedWorkers;
  /** Whether the role is held for long enough to give an order. */
  readonly mayOrder: () => boolean;
}

/** A prefill worker that is to decode, and what it said of itself. */
interface ChosenWorker {
  readonly worker: ListedWorker;
  readonly report: WorkerReport;
}

const role = 'decode recovery';
const lookEvery = micros(250_000);
const pauseBetweenSteps = 300_000;
/** The longest that an order is on its way. */
const orderOnItsWay = 600_000;
/** Workers asked for a report in one step. */
const mostAsked = 4;

/** Starts the recovery at this node. */
export function createDecodeRecovery(world: World, options: DecodeRecoveryOptions): DecodeRecovery {
  const ordered = createOrderedWorkers(world, () => longestSwitch(options));
  const silence = createDecodeSilence(world, {
    workers: options.workers,
    served,
    isAsker: () => options.controlNode()?.rankAmongLive() === 0,
    report: options.workerClient.report,
  });
  const needs = createRecoveryNeeds(world, { workers: silence.answeringWorkers, served, rank, ordered });
  const candidate = createCandidate(world, {
    role,
    member: options.member,
    self: options.self,
    get slot() {
      return options.controlNode()?.replica.slot ?? 0;
    },
    leaseDuration: options.leaseDuration,
    replicas: () => options.controlNode()?.replica.membership() ?? { membershipEpoch: 0, replicas: [] },
    isWilling: () => options.controlNode()?.replica.state() === 'voting' && needs.due() !== undefined,
    onElected: () => undefined,
    onLeaseLost: () => undefined,
  });
  const least = options.minTakeoverGap + orderOnItsWay;
  function served(): string[] {
    return options.services().map((service) => service.name);
  }
  function rank(): number {
    return options.controlNode()?.rankAmongLive() ?? 0;
  }
  function mayOrder(): boolean {
    return candidate.heldEpochFor(least) !== undefined;
  }
  const stopLooking = startLooking({ world, options, needs, silence, ordered, mayOrder });
  return {
    handleVote: candidate.receiveVote,
    stop: () => {
      stopLooking();
      candidate.stop();
    },
  };
}

function longestSwitch(options: DecodeRecoveryOptions): number {
  return Math.max(0, ...options.services().map((service) => service.stageSwitchTime));
}

/** Looks at the needs again and again, and takes one step at a time where one is due. */
function startLooking(context: Context): Cancel {
  const { world, needs, silence } = context;
  let busy = false;
  let nextStepAt = 0;

  function look(): void {
    noteOwnCopy(context);
    silence.look();
    needs.look();
    const service = needs.due();
    if (service === undefined || busy || world.now() < nextStepAt || !context.mayOrder()) return;
    busy = true;
    void restore(context, service).finally(() => {
      busy = false;
      nextStepAt = world.now() + pauseBetweenSteps;
    });
  }

  return every(world, () => lookEvery, look);
}

/** Takes in what this node's replica holds of the record, so that all nodes wait for a worker that one has ordered. */
function noteOwnCopy({ options, ordered }: Context): void {
  const row = options.controlNode()?.replica.row(orderRecordKey);
  if (row === undefined || ordered.knows(row.version)) return;
  const record = decodeOrderRecord(row.value);
  if (E.isRight(record)) ordered.noteRecord(row.version, record.right);
}

/** One step: writes down an order to one prefill worker of the service, and gives it. */
async function restore(context: Context, service: string): Promise<void> {
  const { world, options, needs, silence, ordered } = context;
  const stored = await options.record.read();
  if (stored === undefined) return;
  const record = decodeOrderRecord(stored.value);
  if (E.isLeft(record)) return world.log(4106, { why: record.left });
  ordered.noteRecord(stored.version, record.right);
  const workers = workersOf(silence.answeringWorkers(), service);
  if (!needs.isMissing(service) || !(await isProven(options, workers))) return;
  const chosen = await choosePrefillWorker(context, workers);
  if (chosen !== undefined) await giveOrder(context, record.right, stored.version, chosen);
}

/** Where a worker decodes already, it was made to: more follow only when it has been seen to run requests. */
async function isProven(
  { workerClient: workerOrders }: DecodeRecoveryOptions,
  { decode }: ServiceWorkers,
): Promise<boolean> {
  if (decode.length === 0) return true;
  const reports = await Promise.all(decode.slice(0, mostAsked).map(workerOrders.report));
  return reports.some((report) => report !== undefined && report.stage === 'decode' && report.load > 0);
}

/** The prefill worker with the least to do. Where one is changing already, it is waited for instead. */
async function choosePrefillWorker(
  { options, ordered }: Context,
  { prefill }: ServiceWorkers,
): Promise<ChosenWorker | undefined> {
  const free = prefill.filter((worker) => !ordered.isWaitedFor(worker.id) && !ordered.isPassedOver(worker.id));
  const asked = free.slice(0, mostAsked);
  const reports = await Promise.all(asked.map(options.workerClient.report));
  const answered: ChosenWorker[] = [];
  let isChanging = false;
  for (const [index, worker] of asked.entries()) {
    const report = reports[index];
    if (report === undefined) ordered.passOver(worker.id);
    else if (report.changing || report.stage === 'decode') {
      ordered.waitFor(worker.id);
      isChanging = true;
    } else answered.push({ worker, report });
  }
  return isChanging ? undefined : answered.sort((a, b) => a.report.load - b.report.load)[0];
}

/** The order is in the record, on a majority of the disks, before it is given; the version of that write is its fence. */
async function giveOrder(
  { world, options, ordered, mayOrder }: Context,
  record: OrderRecord,
  version: number,
  { worker, report }: ChosenWorker,
): Promise<void> {
  const { member: holder } = options;
  const stage = 'decode';
  const next = appendOrder(record, { worker: worker.id, service: worker.service, stage, holder });
  const fence = await options.record.write(version, next.bytes);
  if (fence === undefined || !mayOrder()) return;
  ordered.noteRecord(fence, next.record);
  const { ordersTaken } = report;
  const outcome = await options.workerClient.order({ worker, stage, holder, fence, ordersTaken });
  world.log(4103, { service: worker.service, worker: worker.id, stage, fence, outcome });
  ordered.noteOutcome(worker.id, outcome);
}
