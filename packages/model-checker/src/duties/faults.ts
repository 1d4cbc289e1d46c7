/** Random faults of nodes and the platform, injected between any two steps of a duty and at random other times. */
import type { DutyCluster, DutyNode } from './duty-node.js';
import { startNode, startVoter } from './duty-node.js';
import type { PlatformModel, PlatformCondition } from './platform-model.js';
import { orderDuty, reportDuty } from './sample-duties.js';
import { scheduleTimes, type DutyScope } from './scope.js';

/** The parts of a run that fault injection uses. */
export interface FaultInjectionRun {
  readonly scope: DutyScope;
  readonly cluster: DutyCluster;
  readonly nodes: readonly DutyNode[];
  readonly platform: PlatformModel;
  /** Called when a slot's disk was lost and replaced. */
  readonly membershipChanged: () => void;
}

type FaultInjector = (run: FaultInjectionRun, node: DutyNode) => void;

const secondUs = 1_000_000;
const minFaultUs = 0.1 * secondUs;
const maxFaultUs = 9 * secondUs;
const faultyConditions: readonly PlatformCondition[] = ['busy', 'slow', 'down', 'deaf'];
const diskLossProbability = 0.4;
const memberReplacedProbability = 0.5;
const voterForgetsProbability = 0.7;
const forgetIntervalUs = { min: 0.2 * secondUs, max: 1.5 * secondUs } as const;
const faultProbabilityPerStep = 0.04;
const faultIntervalUs = { min: 0.2 * secondUs, max: 5 * secondUs } as const;

/** Schedules random faults until the fault phase is over; each fault ends by then. */
export function scheduleFaults(run: FaultInjectionRun): void {
  const { scheduler, draw } = run.cluster;
  function next(): void {
    if (scheduler.now() >= scheduleTimes.faultsEndAt) return;
    injectRandomFault(run, draw.oneOf(run.nodes));
    scheduler.after(draw.between(faultIntervalUs.min, faultIntervalUs.max), next);
  }
  scheduler.after(draw.between(faultIntervalUs.min, faultIntervalUs.max), next);
}

/** Called after a step of a duty at a node; may inject a fault right now. */
export function maybeInjectFault(run: FaultInjectionRun, node: DutyNode): void {
  const { scheduler, draw } = run.cluster;
  if (scheduler.now() < scheduleTimes.faultsEndAt && draw.chance(faultProbabilityPerStep)) injectRandomFault(run, node);
}

function injectRandomFault(run: FaultInjectionRun, node: DutyNode): void {
  const injectors: FaultInjector[] = [
    kill,
    freeze,
    cutFromControlCluster,
    cutFromVoters,
    cutFromAll,
    changePlatformCondition,
  ];
  if (run.scope.leasesOverlap) injectors.push(forgetVotes, forgetVotes);
  run.cluster.draw.oneOf(injectors)(run, node);
}

/** Records a fault of the node and ends it after a random time, at the latest when the fault phase ends. */
function startFault({ cluster }: FaultInjectionRun, node: DutyNode, end: () => void): void {
  const { scheduler, draw } = cluster;
  const durationUs = Math.min(draw.between(minFaultUs, maxFaultUs), scheduleTimes.faultsEndAt - scheduler.now());
  const span = { from: scheduler.now(), until: Infinity };
  node.faults.push(span);
  scheduler.after(durationUs, () => {
    span.until = scheduler.now();
    end();
  });
}

function kill(run: FaultInjectionRun, node: DutyNode): void {
  if (!node.alive) return;
  node.alive = false;
  node.incarnation += 1;
  node.runner?.stop();
  startFault(run, node, () => {
    const { scheduler, draw } = run.cluster;
    if (draw.chance(diskLossProbability)) loseDisk(run, node);
    startNode(run.cluster, node, scheduler.now());
  });
}

/** Gives the slot an empty disk, and with some probability a new member. */
function loseDisk(run: FaultInjectionRun, node: DutyNode): void {
  const id = `node${node.slot}/${node.incarnation + 1}`;
  if (run.cluster.draw.chance(memberReplacedProbability)) node.name = id;
  node.disk = { id, epochs: new Map() };
  run.membershipChanged();
}

function freeze(run: FaultInjectionRun, node: DutyNode): void {
  if (!node.alive || node.frozen) return;
  const { incarnation } = node;
  node.frozen = true;
  startFault(run, node, () => {
    if (node.incarnation === incarnation) thaw(run, node);
  });
}

/** Runs the held callbacks in order, each after the promise callbacks of the one before. */
function thaw({ cluster }: FaultInjectionRun, node: DutyNode): void {
  const { incarnation } = node;
  node.frozen = false;
  for (const run of node.heldCallbacks.splice(0)) {
    cluster.scheduler.after(0, () => {
      if (node.incarnation === incarnation) run();
    });
  }
}

function cutFromControlCluster(run: FaultInjectionRun, node: DutyNode): void {
  if (node.cutFromControlCluster) return;
  node.cutFromControlCluster = true;
  startFault(run, node, () => {
    node.cutFromControlCluster = false;
  });
}

function cutFromVoters(run: FaultInjectionRun, node: DutyNode): void {
  if (node.cutFromVoters) return;
  node.cutFromVoters = true;
  startFault(run, node, () => {
    node.cutFromVoters = false;
  });
}

function cutFromAll(run: FaultInjectionRun, node: DutyNode): void {
  cutFromControlCluster(run, node);
  if (node.cutFromPlatform) return;
  node.cutFromPlatform = true;
  startFault(run, node, () => {
    node.cutFromPlatform = false;
  });
}

function changePlatformCondition({ cluster, platform }: FaultInjectionRun): void {
  const { scheduler, draw } = cluster;
  const duty = draw.oneOf([reportDuty, orderDuty]);
  platform.conditions.set(duty, draw.oneOf(faultyConditions));
  const durationUs = Math.min(draw.between(minFaultUs, maxFaultUs), scheduleTimes.faultsEndAt - scheduler.now());
  scheduler.after(durationUs, () => void platform.conditions.set(duty, 'well'));
}

/** For some time, most voters lose their disks and vote again at once, which no fault within the fault budget causes. */
function forgetVotes(run: FaultInjectionRun): void {
  const { scheduler, draw } = run.cluster;
  const until = Math.min(scheduler.now() + draw.between(minFaultUs, maxFaultUs), scheduleTimes.faultsEndAt);
  function forgetAndRepeat(): void {
    if (scheduler.now() >= until) return;
    forgetOnce(run);
    scheduler.after(draw.between(forgetIntervalUs.min, forgetIntervalUs.max), forgetAndRepeat);
  }
  forgetAndRepeat();
}

function forgetOnce({ cluster, nodes }: FaultInjectionRun): void {
  const world = { now: () => cluster.scheduler.now() as never };
  for (const node of nodes) {
    if (!node.alive || !cluster.draw.chance(voterForgetsProbability)) continue;
    node.disk.epochs.clear();
    startVoter(cluster, node, world, -scheduleTimes.leaseDuration);
  }
}
