/** Plays one duty schedule: control nodes with the production code, models of the control state and the platform, and faults. */
import type { CallOutcome, DutyCall } from '@tansypost/duty-log';
import type { Address, Message } from '@tansypost/inner-protocol';
import { createDraw, type Draw } from './draw.js';
import { createDutyNode, inProcess, startNode, type DutyCluster, type DutyNode } from './duty-node.js';
import { createPlatformModel, type PlatformModel } from './platform-model.js';
import { orderSubjects } from './sample-duties.js';
import { createRuleChecker, type BrokenRule, type RuleChecker } from './rules.js';
import { createScheduler, type Scheduler } from './scheduler.js';
import { scheduleTimes, type DutyScope } from './scope.js';
import { createStoredRecords } from './stored-record.js';
import { scheduleFaults, maybeInjectFault, type FaultInjectionRun } from './faults.js';

/** The result of a schedule. */
export interface DutyScheduleResult {
  readonly brokenRule: BrokenRule | undefined;
  readonly steps: number;
  readonly calls: number;
  /** The number of calls that the platform did not accept. */
  readonly notAccepted: number;
  /** How often a call of a duty came from another leader than the call of that duty before it. */
  readonly takeovers: number;
}

interface Run extends FaultInjectionRun {
  readonly scheduler: Scheduler;
  readonly draw: Draw;
  readonly ruleChecker: RuleChecker;
  readonly platform: PlatformModel;
}

const secondUs = 1_000_000;
const seedStride = 7919;
const messageLossProbability = 0.02;
const messageDelayUs = { min: 300, max: 25_000 } as const;
const callDelayUs = { min: 1_000, max: 60_000, late: 500_000, lateChance: 0.08 } as const;
const heldByFreezeProbability = 0.5;
const maxOrderedNumber = 9;
/** The choices, one for each schedule, for how many reports may be open before no more are planned. */
const maxOpenReportChoices = [1, 4, 30] as const;
const orderChangeIntervalUs = { min: 0.5 * secondUs, max: 12 * secondUs } as const;

/** Plays a schedule to its end or to the first broken rule. */
export async function playDutySchedule(scope: DutyScope): Promise<DutyScheduleResult> {
  const desiredNumbers = new Map<string, number>(orderSubjects.map((subject) => [subject, 1]));
  const run = createRun(scope, desiredNumbers);
  for (const node of run.nodes) startNode(run.cluster, node, -scheduleTimes.leaseDuration);
  scheduleFaults(run);
  scheduleOrderChanges(run, desiredNumbers);
  await run.scheduler.runUntil(scheduleTimes.end, () => run.ruleChecker.broken() !== undefined);
  if (run.ruleChecker.broken() === undefined) run.ruleChecker.checkAtEnd(scheduleTimes.end, desiredNumbers);
  for (const node of run.nodes) node.runner?.stop();
  return resultOf(run);
}

function resultOf({ ruleChecker, scheduler, platform }: Run): DutyScheduleResult {
  const { calls } = platform;
  const takeovers = calls.filter((call, index) => {
    const before = calls
      .slice(0, index)
      .filter((other) => other.duty === call.duty)
      .at(-1);
    return before !== undefined && before.holder !== call.holder;
  });
  return {
    brokenRule: ruleChecker.broken(),
    steps: scheduler.steps(),
    calls: calls.length,
    notAccepted: calls.filter((call) => !call.isAccepted).length,
    takeovers: takeovers.length,
  };
}

function createRun(scope: DutyScope, desiredNumbers: ReadonlyMap<string, number>): Run {
  const scheduler = createScheduler();
  const draw = createDraw(scope.seed * seedStride, () => scheduler.now() >= scheduleTimes.faultsEndAt);
  const nodes = Array.from({ length: scope.nodes }).map((_empty, slot) => createDutyNode(slot));
  const ruleChecker = createRuleChecker(scope, (leader, from, until) => wasReachable(nodes, leader, from, until));
  const platform = createPlatformModel(scheduler, draw, scope.fenceChecked, ruleChecker.observeArrival);
  const records = createStoredRecords(scheduler, draw, ruleChecker.observeWrite, ruleChecker.observeRead);
  let membershipEpoch = 1;
  const cluster: DutyCluster = {
    scheduler,
    draw,
    records,
    desiredNumbers,
    maxOpenReports: draw.oneOf(maxOpenReportChoices),
    membership: () => ({
      membershipEpoch,
      replicas: nodes.map(({ slot, address, disk }) => ({ slot, address, disk: disk.id })),
    }),
    send: (from, to, message) => send(run, from, to, message),
    call: (from, call, answer) => makeCall(run, from, call, answer),
    onStep: (node) => maybeInjectFault(run, node),
  };
  function membershipChanged(): void {
    membershipEpoch += 1;
  }
  const run: Run = { scope, scheduler, draw, ruleChecker, platform, cluster, nodes, membershipChanged };
  return run;
}

function wasReachable(nodes: readonly DutyNode[], leader: string, from: number, until: number): boolean {
  const node = nodes.find((each) => each.name === leader);
  return node !== undefined && node.faults.every((span) => span.until < from || span.from > until);
}

function send({ nodes, scheduler, draw }: Run, from: DutyNode, to: Address, message: Message): void {
  const target = nodes.find((node) => node.address === to);
  const isCut = target !== from && [from, target].some((node) => node?.cutFromControlCluster || node?.cutFromVoters);
  if (target === undefined || !from.alive || isCut || draw.faultChance(messageLossProbability)) return;
  scheduler.after(draw.between(messageDelayUs.min, messageDelayUs.max), () => {
    if (target.alive) inProcess(target)(() => receive(target, message));
  });

  function receive(node: DutyNode, received: Message): void {
    if (received.kind === 'Ballot')
      node.voter?.requestVote(received, (vote) => node.runner && replyTo(received.from as Address, vote, node));
    if (received.kind === 'BallotVote') node.runner?.receiveVote(received);
  }

  function replyTo(address: Address, vote: Message, node: DutyNode): void {
    send({ nodes, scheduler, draw } as Run, node, address, vote);
  }
}

/** Sends a call to the platform; a fault of the sender may hold the call in transit. */
function makeCall(run: Run, from: DutyNode, call: DutyCall, answer: (outcome: CallOutcome) => void): void {
  const { scheduler, draw, ruleChecker, platform } = run;
  const sentAt = scheduler.now();
  ruleChecker.observeSend(call, sentAt, `${from.name}/${from.incarnation}`);
  const max = draw.faultChance(callDelayUs.lateChance) ? callDelayUs.late : callDelayUs.max;
  const deliver = inProcess(from);
  const mayBeHeld = draw.chance(heldByFreezeProbability);
  scheduler.after(draw.between(callDelayUs.min, max), arrive);
  maybeInjectFault(run, from);

  function arrive(): void {
    const isHeld = (from.frozen && mayBeHeld) || from.cutFromPlatform;
    if (isHeld) return void scheduler.after(draw.between(callDelayUs.min, callDelayUs.late), arrive);
    const wasHeld = scheduler.now() - sentAt > callDelayUs.late;
    platform.arrive(call, sentAt, wasHeld, (outcome) => {
      if (!from.cutFromPlatform) deliver(() => receiveAnswer(outcome));
    });
    maybeInjectFault(run, from);
  }

  function receiveAnswer(outcome: CallOutcome): void {
    if (outcome === 'fenced') ruleChecker.observeFenced(call);
    answer(outcome);
    maybeInjectFault(run, from);
  }
}

function scheduleOrderChanges({ scheduler, draw }: Run, desiredNumbers: Map<string, number>): void {
  function change(): void {
    if (scheduler.now() >= scheduleTimes.faultsEndAt) return;
    desiredNumbers.set(draw.oneOf(orderSubjects), 1 + Math.floor(draw.number() * maxOrderedNumber));
    scheduler.after(draw.between(orderChangeIntervalUs.min, orderChangeIntervalUs.max), change);
  }
  scheduler.after(draw.between(orderChangeIntervalUs.min, orderChangeIntervalUs.max), change);
}
