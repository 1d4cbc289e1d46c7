/**
 * The router agent without its sockets: gossip membership, worker states, key updates, load reports and singleton roles.
 * It feeds the router on its machine and talks to the control cluster on the router's behalf.
 */
import {
  appliedAllVersions,
  every,
  micros,
  rendezvous,
  type Address,
  type SingletonRoleEntry,
  type MemberEntry,
  type WorkerStateEntry,
  type Message,
  type MessageOf,
  type ReplicaEntry,
  type World,
} from '@tansypost/inner-protocol';
import { checkDesiredState, needsApproval, type DesiredState, type ConfigurationFault } from '@tansypost/desired-state';
import { claimBucketKey } from '@tansypost/control-state';
import { createCandidate, type Candidate } from '@tansypost/duty';
import {
  createRecordWriter,
  createRehearsalController,
  createTrainingController,
  type ControlStateResponse,
  type ModelTrainer,
} from '@tansypost/learning';
import { createWorkerStateTable, createGossipMembership, workerStates } from '@tansypost/membership';
import {
  applyOperatorDecision,
  decodeRehearsalRecord,
  emptyRecord,
  type OperatorDecisionKind,
  type WorkerStage,
  type RehearsalRecord,
  type VerdictOptions,
} from '@tansypost/rehearsal';
import * as E from 'fp-ts/lib/Either.js';
import { createAgentControlClient } from './control-client.js';
import { createKeyUpdateRelay, type KeyUpdateRelay } from './key-update-relay.js';
import { createStageAssignment } from './stage-assignment.js';
import type { FetchedReport } from './fetched-report.js';
import { createLoadReports } from './load-reports.js';

/** Settings of one agent; `persisted` is what it stored before a restart. */
export interface AgentOptions {
  readonly member: string;
  readonly self: Address;
  readonly zone: string;
  readonly routerAddress: Address;
  readonly routerHttpAddress: string;
  readonly service: string;
  readonly seeds: readonly Address[];
  readonly slot: number;
  readonly incarnation: number;
  readonly roleLeaseUs: number;
  readonly samplesPerTraining: number;
  readonly shiftStages: boolean;
  readonly treatmentShare: number;
  readonly rehearsalTimeLimitUs: number;
  readonly persisted: {
    readonly entries: readonly MemberEntry[];
    readonly marks: readonly WorkerStateEntry[];
    readonly membershipEpoch: number;
    readonly replicas: readonly ReplicaEntry[];
  };
  readonly verdict?: VerdictOptions;
  readonly submitTimeoutUs?: number;
  readonly shiftHoldUs?: number;
  readonly shiftCooldownUs?: number;
}
/** Defaults of the settings that need not be given. */
export const agentDefaults = {
  roleLeaseUs: 3_000_000,
  samplesPerTraining: 1000,
  shiftStages: true,
  treatmentShare: 0.1,
  rehearsalTimeLimitUs: 600_000_000,
  persisted: { entries: [], marks: [], membershipEpoch: 0, replicas: [] },
};
/** What the agent needs from its surroundings. */
export interface AgentPorts {
  readonly fetchReport: (worker: WorkerStateEntry) => Promise<FetchedReport | undefined>;
  /** Orders a stage, or only fences the worker if the stage is empty; undefined if the worker did not answer. */
  readonly orderStage: (
    worker: WorkerStateEntry,
    epoch: number,
    part: WorkerStage | '',
  ) => Promise<boolean | undefined>;
  readonly trainer: ModelTrainer;
  readonly save: (persisted: AgentOptions['persisted']) => void;
  readonly wallClockUs: () => number;
  /** Called for each change of a key that this agent sees. */
  readonly onTraceEvent?: (event: TraceEvent) => void;
}
/** A change of a key that was received from the control cluster or applied by the router. */
export interface TraceEvent {
  readonly at: number;
  readonly what: string;
  readonly key: string;
  readonly version: number;
}
/** The answer to a submitted desired state. */
export type SubmitResult =
  | { readonly answer: 'acknowledged'; readonly version: number; readonly change: string }
  | { readonly answer: 'refused'; readonly faults: readonly ConfigurationFault[]; readonly change: string }
  | { readonly answer: 'lost the race'; readonly version: number; readonly change: string }
  | { readonly answer: 'outcome unknown'; readonly change: string };

/** The running agent. */
export interface AgentCore {
  readonly receive: (message: Message, from: Address) => void;
  readonly applyPlatformStates: (
    entries: readonly WorkerStateEntry[],
  ) => Promise<{ readonly newEntries: WorkerStateEntry[]; readonly confirmed: boolean }>;
  readonly submit: (expectedVersion: number, change: string, state: unknown) => Promise<SubmitResult>;
  readonly readDesiredState: () => Promise<ControlStateResponse>;
  readonly lookUpChange: (change: string) => Promise<ControlStateResponse>;
  readonly rehearsalRecord: () => RehearsalRecord;
  readonly decideRehearsal: (
    id: string,
    word: 'approve' | 'reject',
  ) => Promise<OperatorDecisionKind | 'outcome_unknown'>;
  readonly members: () => MemberEntry[];
  readonly workerStates: () => WorkerStateEntry[];
  readonly trace: (key: string, version: number) => TraceEvent[];
  readonly keyUpdates: KeyUpdateRelay;
  readonly heldEpoch: (role: string) => number | undefined;
  readonly metrics: () => Record<string, unknown>;
  readonly stop: () => void;
}
/** The roles that one agent of the fleet holds at a time. */
export const singletonRoles = ['parts', 'training', 'rehearsals'] as const;

/** Starts an agent. */
export function createAgentCore(world: World, options: AgentOptions, ports: AgentPorts): AgentCore {
  let controlMembership: { membershipEpoch: number; replicas: readonly ReplicaEntry[] } = {
    membershipEpoch: options.persisted.membershipEpoch,
    replicas: options.persisted.replicas,
  };
  let router: MessageOf<'RouterState'> | undefined;
  let routerStateAt = -Infinity;
  let grants: { asked: number; version: number }[] = [];
  let leaseGrantedAt = -Infinity;
  // Worker states from disk may have become outdated while the agent was stopped. The router therefore gets no lease until
  // this agent has compared its worker states with a member that is itself current, or, if all agents have just started,
  // with half of the live members.
  let isWarm = false;
  const comparedMembers = new Set<string>();
  const confirmations = new Set<(from: string) => void>();
  let traces: TraceEvent[] = [];
  const workerTable = createWorkerStateTable();
  workerTable.merge(options.persisted.marks);

  function onControlMembership(membershipEpoch: number, replicas: readonly ReplicaEntry[]): void {
    if (membershipEpoch > controlMembership.membershipEpoch && replicas.length === 3)
      controlMembership = { membershipEpoch, replicas };
  }
  function holdsFeedLease(): boolean {
    return world.now() - leaseGrantedAt < 5_000_000 && world.now() - routerStateAt < 2_000_000;
  }

  const roleCandidates = new Map<string, Candidate>(
    singletonRoles.map((role) => [
      role,
      createCandidate(world, {
        role,
        member: options.member,
        self: options.self,
        slot: options.slot,
        leaseDuration: options.roleLeaseUs,
        replicas: () => controlMembership,
        isWilling: () => world.now() - startedAt > 1_000_000,
        onElected: () => {
          if (role === 'parts') stageAssignment.onElected();
        },
        onLeaseLost: () => undefined,
      }),
    ]),
  );
  const startedAt = world.now();

  function heldRoles(): SingletonRoleEntry[] {
    return [...roleCandidates].flatMap(([role, candidate]) => {
      const epoch = candidate.heldEpoch();
      return epoch === undefined ? [] : [{ duty: role, holder: options.member, address: options.self, epoch }];
    });
  }

  const membership = createGossipMembership(world, {
    member: options.member,
    self: options.self,
    zone: options.zone,
    routerHttpAddress: options.routerHttpAddress,
    incarnation: options.incarnation,
    seeds: options.seeds,
    persisted: options.persisted.entries,
    viewSize: 8,
    exchangeInterval: 300_000,
    failureTimeout: 2_500_000,
    holdsFeedLease,
    controlMembership: () => controlMembership,
    heldSingletonRoles: heldRoles,
    onControlMembership,
    onSingletonRole: (entry) => roleCandidates.get(entry.duty)?.observeLeader(entry),
    save,
  });
  function save(entries: readonly MemberEntry[]): void {
    ports.save({
      entries,
      marks: workerTable.all(),
      membershipEpoch: controlMembership.membershipEpoch,
      replicas: controlMembership.replicas,
    });
  }
  const controlClient = createAgentControlClient(world, options.self, () => controlMembership.replicas);
  const keyUpdates = createKeyUpdateRelay(world, {
    self: options.self,
    member: options.member,
    service: options.service,
    zoneMembers: membership.zoneMembers,
    replicas: () => controlMembership.replicas,
    onControlMembership,
    onUpdate: (update) => {
      recordTrace('news', update.key, update.version);
      sendFeed();
    },
    onLeaseGrant: (grant) => {
      grants = [grant];
      leaseGrantedAt = world.now();
      sendFeed();
    },
  });
  const loadReports = createLoadReports(world, {
    self: options.self,
    isZoneLeader: keyUpdates.isZoneLeader,
    zoneLeader: keyUpdates.zoneLeader,
    zoneLeaders,
    subscribers: keyUpdates.subscribers,
    workers: readyWorkers,
    fetchReport: ports.fetchReport,
    onChange: () => undefined,
  });
  function rehearsalRecord(): Buffer | undefined {
    return keyUpdates.get(`rehearsal/${options.service}`)?.value;
  }
  const recordWriter = createRecordWriter(world, options.service, controlClient, (version, epoch, value) =>
    keyUpdates.mergeUpdate({ key: `rehearsal/${options.service}`, epoch, version, value }),
  );
  const stageAssignment = createStageAssignment(world, {
    heldEpoch: () => heldEpoch('parts'),
    record: () => rehearsalRecord() ?? Buffer.alloc(0),
    workers: readyWorkers,
    reports: () => loadReports.all().filter((report) => report.active >= 0),
    writer: recordWriter,
    orderStage: ports.orderStage,
    shiftStages: options.shiftStages,
    treatmentShare: options.treatmentShare,
    approval: approvalMode,
    shiftHoldUs: options.shiftHoldUs,
    shiftCooldownUs: options.shiftCooldownUs,
  });
  const trainingRole = createTrainingController(world, {
    service: options.service,
    heldEpoch: () => heldEpoch('training'),
    record: rehearsalRecord,
    controlClient,
    writer: recordWriter,
    trainer: ports.trainer,
    samplesPerTraining: options.samplesPerTraining,
    treatmentShare: options.treatmentShare,
    approval: approvalMode,
  });
  const rehearsalRole = createRehearsalController(world, {
    heldEpoch: () => heldEpoch('rehearsals'),
    record: rehearsalRecord,
    writer: recordWriter,
    timeLimitUs: options.rehearsalTimeLimitUs,
    verdict: options.verdict,
  });

  function heldEpoch(role: string): number | undefined {
    return roleCandidates.get(role)?.heldEpoch();
  }
  function approvalMode(): 'automatic' | 'operator' {
    const update = keyUpdates.get(`desired/${options.service}`);
    return needsApproval(update === undefined ? undefined : (JSON.parse(update.value.toString()) as DesiredState))
      ? 'operator'
      : 'automatic';
  }
  function readyWorkers(): WorkerStateEntry[] {
    return workerTable.all().filter((entry) => entry.state === 1);
  }
  function zoneLeaders(): Address[] {
    const membersByZone = new Map<string, MemberEntry[]>();
    for (const entry of [...membership.liveMembers(), ...membership.zoneMembers()])
      membersByZone.set(entry.zone, [...(membersByZone.get(entry.zone) ?? []), entry]);
    return [...membersByZone.values()].map(
      (members) => rendezvous(options.service, members, (entry) => entry.member)[0]!.address as Address,
    );
  }
  function recordTrace(what: string, key: string, version: number): void {
    traces.push({ at: ports.wallClockUs(), what, key, version });
    if (!key.startsWith('blob/')) ports.onTraceEvent?.(traces.at(-1)!);
    if (traces.length > 500) traces = traces.slice(-400);
  }

  // Sends the router the whole worker state and those key updates that it does not hold yet.
  function sendFeed(): void {
    if (router === undefined) return;
    const held = new Map(router.have.map((version) => [version.key, version]));
    const updates = keyUpdates.all().filter((update) => {
      const old = held.get(update.key);
      return (
        old === undefined ||
        update.version > old.version ||
        (update.version === old.version && update.epoch > old.epoch)
      );
    });
    world.send(options.routerAddress, {
      kind: 'Feed',
      workers: workerTable.all(),
      reports: loadReports.all(),
      news: updates,
      grants: isWarm ? grants : [],
      contact: membership.isInContact(),
      others: membership
        .liveMembers()
        .filter((entry) => entry.tenured && entry.http !== options.routerHttpAddress)
        .map((entry) => entry.http),
    });
  }

  function onRouterState(state: MessageOf<'RouterState'>): void {
    if (router?.router !== state.router) grants = [];
    if (state.applied !== appliedAllVersions && router?.applied !== state.applied)
      recordTrace('applied', `desired/${options.service}`, state.applied);
    router = state;
    routerStateAt = world.now();
    keyUpdates.requestRouterLease(state.router, state.asked, state.applied);
    loadReports.setProbeAllowance(state.router, state.first, state.extra, state.allowance);
    sendFeed();
  }

  function spreadStates(entries: WorkerStateEntry[], except?: Address): void {
    if (entries.length === 0) return;
    for (const entry of entries)
      world.log(3003, { worker: entry.worker, incarnation: entry.incarnation, state: workerStates[entry.state] });
    for (const neighbour of membership.neighbours())
      if (neighbour !== except) world.send(neighbour, { kind: 'Marks', marks: entries, whole: false, warm: false });
    save(membership.liveMembers());
    sendFeed();
  }

  function isCurrent(): boolean {
    return isWarm && membership.isInContact();
  }
  function createDigest(answer: boolean): MessageOf<'MarksDigest'> {
    return { kind: 'MarksDigest', from: options.self, digest: workerTable.digest(), answer, warm: isCurrent() };
  }
  function onCompared(from: string, isPeerCurrent: boolean): void {
    if (isWarm) return;
    comparedMembers.add(from);
    const liveMembers = membership.liveMembers();
    if (
      isPeerCurrent ||
      (world.now() - startedAt > 1_500_000 &&
        2 * liveMembers.filter((entry) => comparedMembers.has(entry.address)).length >= liveMembers.length)
    )
      isWarm = true;
    if (isWarm) sendFeed();
  }
  // Until its worker states are current, the agent asks all its neighbours for a comparison. The only agent of a fleet has
  // nobody to compare with and counts as current after 3 s.
  function requestComparisons(): void {
    if (isWarm) return;
    for (const neighbour of membership.neighbours()) world.send(neighbour, createDigest(true));
    if (
      world.now() - startedAt > 3_000_000 &&
      membership.liveMembers().length === 0 &&
      options.persisted.entries.length === 0 &&
      workerTable.all().length > 0
    )
      isWarm = true;
  }

  function sendToRoleLeader(role: string, message: Message, handleLocally: () => void): void {
    const leader = roleCandidates.get(role)?.leader();
    if (leader === undefined) return;
    if (leader.address === options.self) handleLocally();
    else world.send(leader.address as Address, message);
  }

  function sendCohortStatistics(): void {
    if (router === undefined || router.arms.length === 0) return;
    const message: MessageOf<'Arms'> = { kind: 'Arms', from: router.router, arms: router.arms };
    sendToRoleLeader('rehearsals', message, () => rehearsalRole.recordCohorts(message));
  }

  function receive(message: Message, from: Address): void {
    switch (message.kind) {
      case 'Shuffle':
        return membership.receive(message);
      case 'Marks': {
        spreadStates(workerTable.merge(message.marks), from);
        if (message.whole) onCompared(from, message.warm);
        return world.send(from, createDigest(false));
      }
      case 'MarksDigest':
        return onStatesDigest(message);
      case 'Answer':
        return controlClient.handleAnswer(message);
      case 'News':
        return keyUpdates.receiveUpdates(message);
      case 'Subscribe':
        return keyUpdates.receiveSubscription(message);
      case 'Leases':
        return keyUpdates.receiveLeases(message);
      case 'BallotVote':
        return roleCandidates.get(message.duty)?.receiveVote(message);
      case 'Reports':
        return loadReports.receive(message);
      case 'Demand':
        return loadReports.receiveDemand(message);
      case 'RouterState':
        return onRouterState(message);
      case 'Samples': {
        if (from === options.routerAddress)
          return sendToRoleLeader('training', message, () => trainingRole.addSamples(message));
        if (heldEpoch('training') !== undefined) trainingRole.addSamples(message);
        return undefined;
      }
      case 'Claim':
        return onClaim(message);
      case 'Arms':
        return rehearsalRole.recordCohorts(message);
      default:
        return undefined;
    }
  }

  function onStatesDigest(message: MessageOf<'MarksDigest'>): void {
    if (message.digest === workerTable.digest()) {
      onCompared(message.from, message.warm);
      for (const confirm of [...confirmations]) confirm(message.from);
      if (message.answer) world.send(message.from as Address, createDigest(false));
      return;
    }
    world.send(message.from as Address, { kind: 'Marks', marks: workerTable.all(), whole: true, warm: isCurrent() });
    if (message.answer) world.send(message.from as Address, createDigest(true));
  }

  // The claim is repeated until it is answered or times out; a repeat by the same holder does not conflict with itself.
  function onClaim(claim: MessageOf<'Claim'>): void {
    const value = Buffer.from(
      JSON.stringify({
        op: claim.op,
        key: claim.key,
        holder: claim.holder,
        request: claim.request,
        ended: claim.ended,
      }),
    );
    void controlClient
      .request({ op: 'claim', key: claimBucketKey(claim.key), value, timeoutUs: 2_500_000 })
      .then((result) => {
        const known = result.value.toString();
        const status = result.status !== 'done' ? 'failed' : known === 'won' ? 'won' : 'taken';
        world.send(options.routerAddress, { kind: 'ClaimAnswer', id: claim.id, status, known });
      });
  }

  // Merges worker states from the platform. They are confirmed once half of all members have said that they hold them and a
  // majority of the control cluster has answered. During a network partition a router can go on serving only if it is in
  // contact with one of the two, so a side that has both reaches every router that still serves. A side that lacks one keeps
  // the states and passes them on, but the platform should tell another agent too.
  function applyPlatformStates(
    entries: readonly WorkerStateEntry[],
  ): Promise<{ newEntries: WorkerStateEntry[]; confirmed: boolean }> {
    const newEntries = workerTable.merge(entries);
    spreadStates(newEntries);
    for (const member of membership.liveMembers()) world.send(member.address as Address, createDigest(true));
    return new Promise((resolve) => {
      const confirmingMembers = new Set<string>();
      let hasControlQuorum = false;
      const cancelTimeout = world.after(micros(600_000), () => finish(false));
      function finish(isConfirmed: boolean): void {
        cancelTimeout();
        confirmations.delete(onConfirmation);
        resolve({ newEntries, confirmed: isConfirmed });
      }
      function checkConfirmed(): void {
        if (hasControlQuorum && 2 * (confirmingMembers.size + 1) > membership.recentCount()) finish(true);
      }
      function onConfirmation(from: string): void {
        confirmingMembers.add(from);
        checkConfirmed();
      }
      confirmations.add(onConfirmation);
      void controlClient
        .request({ op: 'read', key: `desired/${options.service}`, timeoutUs: 550_000 })
        .then((result) => {
          hasControlQuorum = result.status === 'value';
          checkConfirmed();
        });
    });
  }

  async function submit(expectedVersion: number, change: string, state: unknown): Promise<SubmitResult> {
    const checked = checkDesiredState(state);
    if (E.isLeft(checked)) return { answer: 'refused', faults: checked.left, change };
    const result = await controlClient.request({
      op: 'write',
      key: `desired/${options.service}`,
      change,
      base: expectedVersion,
      value: Buffer.from(JSON.stringify(checked.right)),
      timeoutUs: options.submitTimeoutUs ?? 25_000_000,
    });
    if (result.status === 'done') return { answer: 'acknowledged', version: result.version, change };
    if (result.status === 'lost') return { answer: 'lost the race', version: result.version, change };
    if (result.status === 'reused') {
      const reason = `this change id belongs to version ${result.version}, which has another content; submit with a new change id`;
      return { answer: 'refused', faults: [{ at: '/change', why: reason }], change };
    }
    return { answer: 'outcome unknown', change };
  }

  async function decideRehearsal(
    id: string,
    word: 'approve' | 'reject',
  ): Promise<OperatorDecisionKind | 'outcome_unknown'> {
    let answerKind = 'outcome_unknown' as OperatorDecisionKind | 'outcome_unknown';
    const written = await recordWriter.update(
      (record) => {
        const answer = applyOperatorDecision(record, id, word);
        answerKind = answer.kind;
        return answer.kind === 'taken' ? answer.record : undefined;
      },
      () => true,
    );
    return written === undefined && answerKind === 'taken' ? 'outcome_unknown' : answerKind;
  }

  const stops = [
    every(
      world,
      () => micros(500_000),
      () => {
        const neighbour = membership.neighbours()[0];
        if (neighbour !== undefined) world.send(neighbour, createDigest(true));
      },
    ),
    every(world, () => micros(100_000), requestComparisons),
    every(
      world,
      () => micros(500_000),
      () => {
        sendCohortStatistics();
        stageAssignment.tick();
        trainingRole.tick();
        rehearsalRole.tick();
      },
    ),
  ];
  return {
    receive,
    applyPlatformStates,
    submit,
    decideRehearsal,
    keyUpdates,
    heldEpoch,
    readDesiredState: () =>
      controlClient.request({ op: 'read', key: `desired/${options.service}`, timeoutUs: 8_000_000 }),
    lookUpChange: (change) =>
      controlClient.request({ op: 'lookup', key: `desired/${options.service}`, change, timeoutUs: 8_000_000 }),
    rehearsalRecord: () => {
      const value = rehearsalRecord();
      return value === undefined ? emptyRecord : decodeRehearsalRecord(value);
    },
    members: () => [...membership.liveMembers()],
    workerStates: () => workerTable.all(),
    trace: (key, version) => traces.filter((event) => event.key === key && event.version === version),
    metrics: () => ({
      member: options.member,
      zone: options.zone,
      home: keyUpdates.zoneLeader(),
      isHome: keyUpdates.isZoneLeader(),
      core: controlMembership,
      members: membership.liveMembers().length,
      duties: heldRoles(),
      training: trainingRole.metrics(),
      orders: stageAssignment.orderCount(),
      probes: loadReports.probes(),
      routerHeard: world.now() - routerStateAt < 2_000_000,
    }),
    stop: () => {
      stops.forEach((stop) => stop());
      membership.stop();
      keyUpdates.stop();
      loadReports.stop();
      for (const candidate of roleCandidates.values()) candidate.stop();
    },
  };
}
