/**
 * Orders prefill workers to decode when a service has lost its last decode worker or none of them answers. One control node
 * at a time does this: the leader for this role, who is elected when there is a need and holds a lease. It writes each order
 * to the control state before sending it, and sends it only while enough of its lease is left that no successor can order
 * the same worker within the minimum takeover gap.
 */
import type { ControlNode } from '@tansypost/control-state';
import type { ListedWorker, StoredValue } from '@tansypost/control-feed';
import { createCandidate } from '@tansypost/duty';
import {
  every,
  micros,
  runInBackground,
  type Address,
  type Cancel,
  type MessageOf,
  type World,
} from '@tansypost/inner-protocol';
import * as E from 'fp-ts/lib/Either.js';
import { createDecodeLiveness, type DecodeLiveness } from './decode-liveness.js';
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

/** Dependencies and settings of the recovery. Times are in microseconds. */
export interface DecodeRecoveryOptions {
  readonly self: Address;
  readonly member: string;
  readonly controlNode: () => ControlNode | undefined;
  /** The newest list of workers. */
  readonly workers: () => readonly ListedWorker[];
  /** The services of the current configuration, as this node knows it. */
  readonly services: () => readonly ServedService[];
  /** The stored value at `orderRecordKey`. */
  readonly record: StoredValue;
  readonly workerClient: WorkerStageClient;
  /** Duration of the leader's lease; the same for all candidates and voters. */
  readonly leaseDuration: number;
  /** Minimum time between orders of two successive leaders to the same worker. */
  readonly minTakeoverGap: number;
}

/** The recovery at one control node. */
export interface DecodeRecovery {
  /** Handles a voter's answer to a vote request of this node. */
  readonly receiveVote: (answer: MessageOf<'BallotVote'>) => void;
  readonly stop: Cancel;
}

/** The parts of the recovery that its steps use. */
interface Context {
  readonly world: World;
  readonly options: DecodeRecoveryOptions;
  readonly needs: RecoveryNeeds;
  readonly liveness: DecodeLiveness;
  readonly ordered: OrderedWorkers;
  /** Whether the lease lasts long enough to send an order now. */
  readonly canOrder: () => boolean;
}

/** A prefill worker that is to decode, and its report. */
interface ChosenWorker {
  readonly worker: ListedWorker;
  readonly report: WorkerReport;
}

const role = 'decode recovery';
const pollInterval = micros(250_000);
const stepDelayUs = 300_000;
/** Longest time that an order may spend in transit. */
const maxOrderTransitUs = 600_000;
/** Number of workers asked for a report in one step. */
const maxReportsPerStep = 4;

/** Starts the candidacy and the recovery at this node. */
export function createDecodeRecovery(world: World, options: DecodeRecoveryOptions): DecodeRecovery {
  const ordered = createOrderedWorkers(world, () => longestSwitch(options));
  const liveness = createDecodeLiveness(world, {
    workers: options.workers,
    served,
    isProber: () => options.controlNode()?.rankAmongLive() === 0,
    report: options.workerClient.report,
  });
  const needs = createRecoveryNeeds(world, { workers: liveness.responsiveWorkers, served, rank, ordered });
  const candidate = createCandidate(world, {
    role,
    member: options.member,
    self: options.self,
    get slot() {
      return options.controlNode()?.replica.slot ?? 0;
    },
    leaseDuration: options.leaseDuration,
    replicas: () => options.controlNode()?.replica.membership() ?? { membershipEpoch: 0, replicas: [] },
    isWilling: () => options.controlNode()?.replica.state() === 'voting' && needs.dueService() !== undefined,
    onElected: () => undefined,
    onLeaseLost: () => undefined,
  });
  const minLeaseLeft = options.minTakeoverGap + maxOrderTransitUs;
  function served(): string[] {
    return options.services().map((service) => service.name);
  }
  function rank(): number {
    return options.controlNode()?.rankAmongLive() ?? 0;
  }
  function canOrder(): boolean {
    return candidate.heldEpochFor(minLeaseLeft) !== undefined;
  }
  const stopPolling = startPolling({ world, options, needs, liveness, ordered, canOrder });
  return {
    receiveVote: candidate.receiveVote,
    stop: () => {
      stopPolling();
      candidate.stop();
    },
  };
}

function longestSwitch(options: DecodeRecoveryOptions): number {
  return Math.max(0, ...options.services().map((service) => service.stageSwitchTime));
}

/** Polls the needs at a fixed interval, and does one step at a time when one is due. */
function startPolling(context: Context): Cancel {
  const { world, needs, liveness } = context;
  let isStepping = false;
  let nextStepAt = 0;

  function poll(): void {
    applyReplicaRecord(context);
    liveness.poll();
    needs.poll();
    const service = needs.dueService();
    if (service === undefined || isStepping || world.now() < nextStepAt || !context.canOrder()) return;
    isStepping = true;
    const step = orderNextWorker(context, service).finally(() => {
      isStepping = false;
      nextStepAt = world.now() + stepDelayUs;
    });
    runInBackground(world.log, 'decode recovery', step);
  }

  return every(world, () => pollInterval, poll);
}

/** Applies the record in this node's replica, so that a worker ordered by any node is pending on all nodes. */
function applyReplicaRecord({ options, ordered }: Context): void {
  const row = options.controlNode()?.replica.row(orderRecordKey);
  if (row === undefined || ordered.hasSeen(row.version)) return;
  const record = decodeOrderRecord(row.value);
  if (E.isRight(record)) ordered.updateRecord(row.version, record.right);
}

/** One step: records an order to one prefill worker of the service, and sends it. */
async function orderNextWorker(context: Context, service: string): Promise<void> {
  const { world, options, needs, liveness, ordered } = context;
  const stored = await options.record.read();
  if (stored === undefined) return;
  const record = decodeOrderRecord(stored.value);
  if (E.isLeft(record)) return world.log(4106, { why: record.left });
  ordered.updateRecord(stored.version, record.right);
  const workers = workersOf(liveness.responsiveWorkers(), service);
  if (!needs.needsMoreOrders(service) || !(await isDecodeProven(options, workers))) return;
  const chosen = await choosePrefillWorker(context, workers);
  if (chosen !== undefined) await recordAndSendOrder(context, record.right, stored.version, chosen);
}

/** The report of each worker; a request that fails counts as unanswered, so that it does not hold up the others. */
function fetchReports(
  workerClient: WorkerStageClient,
  workers: readonly ListedWorker[],
): Promise<(WorkerReport | undefined)[]> {
  return Promise.all(workers.map((worker) => workerClient.report(worker).catch(() => undefined)));
}

/** Whether more workers may follow. Existing decode workers were ordered before, and one of them must run requests first. */
async function isDecodeProven({ workerClient }: DecodeRecoveryOptions, { decode }: ServiceWorkers): Promise<boolean> {
  if (decode.length === 0) return true;
  const reports = await fetchReports(workerClient, decode.slice(0, maxReportsPerStep));
  return reports.some((report) => report !== undefined && report.stage === 'decode' && report.load > 0);
}

/** The prefill worker with the lowest load; none if a worker is already changing its stage, which is then pending. */
async function choosePrefillWorker(
  { options, ordered }: Context,
  { prefill }: ServiceWorkers,
): Promise<ChosenWorker | undefined> {
  const eligible = prefill.filter((worker) => !ordered.isPending(worker.id) && !ordered.isExcluded(worker.id));
  const asked = eligible.slice(0, maxReportsPerStep);
  const reports = await fetchReports(options.workerClient, asked);
  const answered: ChosenWorker[] = [];
  let isChanging = false;
  for (const [index, worker] of asked.entries()) {
    const report = reports[index];
    if (report === undefined) ordered.exclude(worker.id);
    else if (report.changing || report.stage === 'decode') {
      ordered.markPending(worker.id);
      isChanging = true;
    } else answered.push({ worker, report });
  }
  return isChanging ? undefined : answered.sort((a, b) => a.report.load - b.report.load)[0];
}

/** Commits the order to the record on a majority of disks, then sends it; the version of that write is its fence. */
async function recordAndSendOrder(
  { world, options, ordered, canOrder }: Context,
  record: OrderRecord,
  version: number,
  { worker, report }: ChosenWorker,
): Promise<void> {
  const { member: holder } = options;
  const stage = 'decode';
  const next = appendOrder(record, { worker: worker.id, service: worker.service, stage, holder });
  const fence = await options.record.write(version, next.bytes);
  if (fence === undefined || !canOrder()) return;
  ordered.updateRecord(fence, next.record);
  const { ordersTaken } = report;
  const outcome = await options.workerClient.order({ worker, stage, holder, fence, ordersTaken });
  world.log(4103, { service: worker.service, worker: worker.id, stage, fence, outcome });
  ordered.handleOutcome(worker.id, outcome);
}
