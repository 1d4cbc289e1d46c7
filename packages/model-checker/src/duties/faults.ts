/** What befalls the nodes and the platform in a run, drawn between any two steps of a duty and at any other time. */
import type { DutyCluster, DutyNode } from './duty-node.js';
import { startNode, startVoter } from './duty-node.js';
import type { PlatformModel, PlatformCondition } from './platform-model.js';
import { orderDuty, reportDuty } from './sample-duties.js';
import { times, type DutyScope } from './scope.js';

/** The run that troubles come over. */
export interface FaultInjectionRun {
  readonly scope: DutyScope;
  readonly cluster: DutyCluster;
  readonly nodes: readonly DutyNode[];
  readonly platform: PlatformModel;
  /** A disk was lost: its slot has a new one. */
  readonly membershipChanged: () => void;
}

type Trouble = (run: FaultInjectionRun, node: DutyNode) => void;

const second = 1_000_000;
const shortest = 0.1 * second;
const longest = 9 * second;
const moods: readonly PlatformCondition[] = ['busy', 'slow', 'down', 'deaf'];
const diskLost = 0.4;
const memberReplaced = 0.5;
const forgets = 0.7;
const forgetEvery = { least: 0.2 * second, most: 1.5 * second } as const;
const troublePerStep = 0.04;
const quietBetween = { least: 0.2 * second, most: 5 * second } as const;

/** Lets troubles come until the calm, each ended by then. */
export function scheduleFaults(run: FaultInjectionRun): void {
  const { scheduler, draw } = run.cluster;
  function next(): void {
    if (scheduler.now() >= times.faultsEndAt) return;
    drawTrouble(run, draw.oneOf(run.nodes));
    scheduler.after(draw.between(quietBetween.least, quietBetween.most), next);
  }
  scheduler.after(draw.between(quietBetween.least, quietBetween.most), next);
}

/** A step of a duty was done at the node: something may befall it right now. */
export function maybeInjectFault(run: FaultInjectionRun, node: DutyNode): void {
  const { scheduler, draw } = run.cluster;
  if (scheduler.now() < times.faultsEndAt && draw.chance(troublePerStep)) drawTrouble(run, node);
}

function drawTrouble(run: FaultInjectionRun, node: DutyNode): void {
  const troubles: Trouble[] = [kill, freeze, cutCore, cutVoters, cutAll, upsetPlatform];
  if (run.scope.leasesOverlap) troubles.push(forgetVotes, forgetVotes);
  run.cluster.draw.oneOf(troubles)(run, node);
}

/** Notes that something befalls the node, and ends it after a drawn time, in the calm at the latest. */
function forSomeTime({ cluster }: FaultInjectionRun, node: DutyNode, end: () => void): void {
  const { scheduler, draw } = cluster;
  const lasts = Math.min(draw.between(shortest, longest), times.faultsEndAt - scheduler.now());
  const span = { from: scheduler.now(), until: Infinity };
  node.faults.push(span);
  scheduler.after(lasts, () => {
    span.until = scheduler.now();
    end();
  });
}

function kill(run: FaultInjectionRun, node: DutyNode): void {
  if (!node.alive) return;
  node.alive = false;
  node.incarnation += 1;
  node.runner?.stop();
  forSomeTime(run, node, () => {
    const { scheduler, draw } = run.cluster;
    if (draw.chance(diskLost)) loseDisk(run, node);
    startNode(run.cluster, node, scheduler.now());
  });
}

/** The slot gets a blank disk, and perhaps another member. */
function loseDisk(run: FaultInjectionRun, node: DutyNode): void {
  const id = `node${node.slot}/${node.incarnation + 1}`;
  if (run.cluster.draw.chance(memberReplaced)) node.name = id;
  node.disk = { id, epochs: new Map() };
  run.membershipChanged();
}

function freeze(run: FaultInjectionRun, node: DutyNode): void {
  if (!node.alive || node.frozen) return;
  const { incarnation } = node;
  node.frozen = true;
  forSomeTime(run, node, () => {
    if (node.incarnation === incarnation) thaw(run, node);
  });
}

/** What waited runs in its order, each after what the promises of the one before do. */
function thaw({ cluster }: FaultInjectionRun, node: DutyNode): void {
  const { incarnation } = node;
  node.frozen = false;
  for (const run of node.heldCallbacks.splice(0)) {
    cluster.scheduler.after(0, () => {
      if (node.incarnation === incarnation) run();
    });
  }
}

function cutCore(run: FaultInjectionRun, node: DutyNode): void {
  if (node.cutFromControlCluster) return;
  node.cutFromControlCluster = true;
  forSomeTime(run, node, () => {
    node.cutFromControlCluster = false;
  });
}

function cutVoters(run: FaultInjectionRun, node: DutyNode): void {
  if (node.cutFromVoters) return;
  node.cutFromVoters = true;
  forSomeTime(run, node, () => {
    node.cutFromVoters = false;
  });
}

function cutAll(run: FaultInjectionRun, node: DutyNode): void {
  cutCore(run, node);
  if (node.cutFromPlatform) return;
  node.cutFromPlatform = true;
  forSomeTime(run, node, () => {
    node.cutFromPlatform = false;
  });
}

function upsetPlatform({ cluster, platform }: FaultInjectionRun): void {
  const { scheduler, draw } = cluster;
  const duty = draw.oneOf([reportDuty, orderDuty]);
  platform.conditions.set(duty, draw.oneOf(moods));
  const lasts = Math.min(draw.between(shortest, longest), times.faultsEndAt - scheduler.now());
  scheduler.after(lasts, () => void platform.conditions.set(duty, 'well'));
}

/** For some time, most voters lose their disks and vote again at once, as no fault within the budget makes them. */
function forgetVotes(run: FaultInjectionRun): void {
  const { scheduler, draw } = run.cluster;
  const until = Math.min(scheduler.now() + draw.between(shortest, longest), times.faultsEndAt);
  function again(): void {
    if (scheduler.now() >= until) return;
    forgetOnce(run);
    scheduler.after(draw.between(forgetEvery.least, forgetEvery.most), again);
  }
  again();
}

function forgetOnce({ cluster, nodes }: FaultInjectionRun): void {
  const world = { now: () => cluster.scheduler.now() as never };
  for (const node of nodes) {
    if (!node.alive || !cluster.draw.chance(forgets)) continue;
    node.disk.epochs.clear();
    startVoter(cluster, node, world, -times.leaseDuration);
  }
}
