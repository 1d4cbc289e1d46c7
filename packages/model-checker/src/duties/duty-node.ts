/**
 * A control node with the production voter and duty runner, whose process can be killed, frozen and cut off. Callbacks
 * of a frozen process run when it thaws; those of a killed process never run.
 */
import { createVoter, type EpochStore, type Voter, type VoterGroup } from '@tansypost/duty';
import { createDutyRunner, type CallOutcome, type DutyCall, type DutyRunner } from '@tansypost/duty-log';
import type { Address, Cancel, Message, Micros, World } from '@tansypost/inner-protocol';
import type { Draw } from './draw.js';
import { createOrders, createReports } from './sample-duties.js';
import type { Scheduler } from './scheduler.js';
import { callsPerSecond, scheduleTimes } from './scope.js';
import type { StoredRecords } from './stored-record.js';

/** The environment that all nodes of a run share. */
export interface DutyCluster {
  readonly scheduler: Scheduler;
  readonly draw: Draw;
  readonly records: StoredRecords;
  readonly desiredNumbers: ReadonlyMap<string, number>;
  readonly maxOpenReports: number;
  readonly membership: () => VoterGroup;
  readonly send: (from: DutyNode, to: Address, message: Message) => void;
  /** Called after each step of a duty at the node. */
  readonly onStep: (node: DutyNode) => void;
  readonly call: (from: DutyNode, call: DutyCall, answer: (outcome: CallOutcome) => void) => void;
}

/** The state of a node that survives the end of its process. */
export interface NodeDisk {
  readonly id: string;
  readonly epochs: Map<string, number>;
}

/** The time span of a fault at a node. */
export interface FaultSpan {
  readonly from: number;
  until: number;
}

/** A control node. */
export interface DutyNode {
  /** Changes when another member replaces the node. */
  name: string;
  readonly slot: number;
  readonly address: Address;
  disk: NodeDisk;
  alive: boolean;
  frozen: boolean;
  cutFromControlCluster: boolean;
  cutFromPlatform: boolean;
  /** Its ballots and votes are lost, though it may still reach the control state. */
  cutFromVoters: boolean;
  /** Increases each time its process ends. */
  incarnation: number;
  /** Callbacks that run when the process thaws. */
  readonly heldCallbacks: (() => void)[];
  readonly faults: FaultSpan[];
  voter: Voter | undefined;
  runner: DutyRunner | undefined;
}

/** A node that is not running yet. */
export function createDutyNode(slot: number): DutyNode {
  const name = `node${slot}`;
  return {
    name,
    slot,
    address: `${name}:1` as Address,
    disk: { id: `${name}/1`, epochs: new Map() },
    alive: false,
    frozen: false,
    cutFromControlCluster: false,
    cutFromPlatform: false,
    cutFromVoters: false,
    incarnation: 0,
    heldCallbacks: [],
    faults: [],
    voter: undefined,
    runner: undefined,
  };
}

/** Returns a function that runs callbacks in the current process: never once it has ended, and after the thaw if frozen. */
export function inProcess(node: DutyNode): (run: () => void) => void {
  const { incarnation } = node;
  return function deliver(run) {
    if (!node.alive || node.incarnation !== incarnation) return;
    if (node.frozen) node.heldCallbacks.push(run);
    else run();
  };
}

/** Starts the node's process. `votingSince` is the time at which its voter began to vote. */
export function startNode(cluster: DutyCluster, node: DutyNode, votingSince: number): void {
  node.alive = true;
  node.frozen = false;
  node.heldCallbacks.length = 0;
  const { scheduler, draw } = cluster;
  const deliver = inProcess(node);
  function after(delay: number, run: () => void): Cancel {
    let cancelled = false;
    const cancel = scheduler.after(delay, () => deliver(() => void (cancelled || run())));
    return () => {
      cancelled = true;
      cancel();
    };
  }
  const world: World = {
    now: () => scheduler.now() as Micros,
    random: draw.number,
    after,
    send: (to, message) => cluster.send(node, to, message),
    log: () => undefined,
  };
  const caller = {
    name: node.name,
    isConnected: () => !node.cutFromControlCluster,
    inProcess: deliver,
    after,
    onStep: () => cluster.onStep(node),
  };
  startVoter(cluster, node, world, votingSince);
  node.runner = createDutyRunner(world, {
    member: node.name,
    self: node.address,
    slot: () => node.slot,
    replicas: cluster.membership,
    isEligible: () => true,
    leaseDuration: scheduleTimes.leaseDuration,
    minTakeoverGap: scheduleTimes.minTakeoverGap,
    callsPerSecond,
    callTimeout: scheduleTimes.callTimeout,
    duties: [createReports(scheduler.now, draw, cluster.maxOpenReports), createOrders(cluster.desiredNumbers)],
    record: (key) => cluster.records.value(key, caller),
    port: { call: (call) => new Promise((done) => cluster.call(node, call, done)) },
  });
}

/** Gives the node a new voter without any known grant. */
export function startVoter(cluster: DutyCluster, node: DutyNode, world: Pick<World, 'now'>, votingSince: number): void {
  const { epochs, id } = node.disk;
  const store: EpochStore = {
    epoch: (duty) => epochs.get(duty) ?? 0,
    save: (duty, epoch, done) => {
      epochs.set(duty, epoch);
      done(true);
    },
  };
  node.voter = createVoter(world as World, {
    slot: () => node.slot,
    diskId: () => id,
    isVoting: () => true,
    votingSince: () => votingSince,
    membershipEpoch: () => cluster.membership().membershipEpoch,
    leaseDuration: scheduleTimes.leaseDuration,
    store,
  });
}
