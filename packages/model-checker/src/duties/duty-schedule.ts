/** Plays one schedule: control nodes with the shipped code, the control state, the platform, and troubles. */
import type { CallOutcome, DutyCall } from '@tansypost/duty-log';
import type { Address, Message } from '@tansypost/inner-protocol';
import { createDraw, type Draw } from './draw.js';
import { createDutyNode, inProcess, startNode, type DutyCluster, type DutyNode } from './duty-node.js';
import { createPlatformModel, type PlatformModel } from './platform-model.js';
import { orderSubjects } from './played-duties.js';
import { createRuleWatch, type BrokenRule, type RuleWatch } from './rules.js';
import { createScheduler, type Scheduler } from './scheduler.js';
import { times, type DutyScope } from './scope.js';
import { createStoredRecords } from './stored-record.js';
import { letTroublesCome, troubleAfterStep, type TroubledRun } from './troubles.js';

/** What became of a schedule. */
export interface DutyVerdict {
  readonly broken: BrokenRule | undefined;
  readonly steps: number;
  readonly calls: number;
  /** Calls refused for their fence. */
  readonly fenced: number;
  /** How often the calls of one duty came from another holder than the ones before. */
  readonly takeovers: number;
}

interface Run extends TroubledRun {
  readonly scheduler: Scheduler;
  readonly draw: Draw;
  readonly watch: RuleWatch;
  readonly platform: PlatformModel;
}

const second = 1_000_000;
const seedStride = 7919;
const messageLost = 0.02;
const oneWay = { least: 300, most: 25_000 } as const;
const callOneWay = { least: 1_000, most: 60_000, late: 500_000, lateChance: 0.08 } as const;
const heldByFreeze = 0.5;
const largestOrder = 9;
/** Reports that may be open before no more are planned, drawn for each schedule. */
const openReports = [1, 4, 30] as const;
const ordersChange = { least: 0.5 * second, most: 12 * second } as const;

/** Plays a schedule to its end, or to the first broken rule. */
export async function playDuties(scope: DutyScope): Promise<DutyVerdict> {
  const wanted = new Map<string, number>(orderSubjects.map((subject) => [subject, 1]));
  const run = createRun(scope, wanted);
  for (const node of run.nodes) startNode(run.cluster, node, -times.leaseDuration);
  letTroublesCome(run);
  letOrdersChange(run, wanted);
  await run.scheduler.runUntil(times.end, () => run.watch.broken() !== undefined);
  if (run.watch.broken() === undefined) run.watch.end(times.end, wanted);
  for (const node of run.nodes) node.runner?.stop();
  return verdictOf(run);
}

function verdictOf({ watch, scheduler, platform }: Run): DutyVerdict {
  const { calls } = platform;
  const changes = calls.filter((call, index) => {
    const before = calls
      .slice(0, index)
      .filter((other) => other.duty === call.duty)
      .at(-1);
    return before !== undefined && before.holder !== call.holder;
  });
  return {
    broken: watch.broken(),
    steps: scheduler.steps(),
    calls: calls.length,
    fenced: calls.filter((call) => !call.isAccepted).length,
    takeovers: changes.length,
  };
}

function createRun(scope: DutyScope, wanted: ReadonlyMap<string, number>): Run {
  const scheduler = createScheduler();
  const draw = createDraw(scope.seed * seedStride, () => scheduler.now() >= times.calmFrom);
  const nodes = Array.from({ length: scope.nodes }).map((_empty, slot) => createDutyNode(slot));
  const watch = createRuleWatch(scope, (holder, from, until) => wasInTouch(nodes, holder, from, until));
  const platform = createPlatformModel(scheduler, draw, scope.fenceChecked, watch.arrived);
  const records = createStoredRecords(scheduler, draw, watch.written, watch.read);
  let membershipEpoch = 1;
  const cluster: DutyCluster = {
    scheduler,
    draw,
    records,
    wanted,
    mostOpenReports: draw.oneOf(openReports),
    membership: () => ({
      membershipEpoch,
      replicas: nodes.map(({ slot, address, disk }) => ({ slot, address, disk: disk.id })),
    }),
    send: (from, to, message) => send(run, from, to, message),
    call: (from, call, answer) => makeCall(run, from, call, answer),
    stepped: (node) => troubleAfterStep(run, node),
  };
  function membershipChanged(): void {
    membershipEpoch += 1;
  }
  const run: Run = { scope, scheduler, draw, watch, platform, cluster, nodes, membershipChanged };
  return run;
}

function wasInTouch(nodes: readonly DutyNode[], holder: string, from: number, until: number): boolean {
  const node = nodes.find((each) => each.name === holder);
  return node !== undefined && node.troubles.every((span) => span.until < from || span.from > until);
}

function send({ nodes, scheduler, draw }: Run, from: DutyNode, to: Address, message: Message): void {
  const target = nodes.find((node) => node.address === to);
  const isCut = target !== from && [from, target].some((node) => node?.cutFromCore || node?.cutFromVoters);
  if (target === undefined || !from.alive || isCut || draw.mishap(messageLost)) return;
  scheduler.after(draw.between(oneWay.least, oneWay.most), () => {
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

/** A call goes on its way; what befalls its sender meanwhile may hold it. */
function makeCall(run: Run, from: DutyNode, call: DutyCall, answer: (outcome: CallOutcome) => void): void {
  const { scheduler, draw, watch, platform } = run;
  const sentAt = scheduler.now();
  watch.sent(call, sentAt, `${from.name}/${from.incarnation}`);
  const most = draw.mishap(callOneWay.lateChance) ? callOneWay.late : callOneWay.most;
  const deliver = inProcess(from);
  const mayBeHeld = draw.chance(heldByFreeze);
  scheduler.after(draw.between(callOneWay.least, most), arrive);
  troubleAfterStep(run, from);

  function arrive(): void {
    const isHeld = (from.frozen && mayBeHeld) || from.cutFromPlatform;
    if (isHeld) return void scheduler.after(draw.between(callOneWay.least, callOneWay.late), arrive);
    const wasHeld = scheduler.now() - sentAt > callOneWay.late;
    platform.arrive(call, sentAt, wasHeld, (outcome) => {
      if (!from.cutFromPlatform) deliver(() => receiveAnswer(outcome));
    });
    troubleAfterStep(run, from);
  }

  function receiveAnswer(outcome: CallOutcome): void {
    if (outcome === 'fenced') watch.fenced(call);
    answer(outcome);
    troubleAfterStep(run, from);
  }
}

function letOrdersChange({ scheduler, draw }: Run, wanted: Map<string, number>): void {
  function change(): void {
    if (scheduler.now() >= times.calmFrom) return;
    wanted.set(draw.oneOf(orderSubjects), 1 + Math.floor(draw.number() * largestOrder));
    scheduler.after(draw.between(ordersChange.least, ordersChange.most), change);
  }
  scheduler.after(draw.between(ordersChange.least, ordersChange.most), change);
}
