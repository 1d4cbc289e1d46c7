/**
 * The request router without its sockets. For each request it obtains admission, then executes the steps that
 * `decide` returns until the response is complete or the request is rejected. The program passes HTTP and the real clock,
 * the simulator passes virtual ones; the code is the same.
 */
import { appliedAllVersions, every, micros, type Address, type Message, type World } from '@tansypost/inner-protocol';
import { findKind, type KindTemplate } from '@tansypost/desired-state';
import {
  assignDecode,
  assignPrefill,
  sampleBatchSize,
  createThroughputTracker,
  createRadixTree,
  encodeSamples,
  placementDefaults,
  summarizePrompt,
  featureCount,
  type Assignment,
  type Candidate,
  type Model,
  type PlacementOptions,
  type PromptSummary,
  type Sample,
} from '@tansypost/placement';
import {
  cohortOf,
  cohortNameOf,
  countAnswer,
  createCohortCounts,
  type Cohort,
  type WorkerStage,
} from '@tansypost/rehearsal';
import type { CohortStatistics, WorkerStateEntry, WorkerId } from '@tansypost/inner-protocol';
import { createAdmission, type AdmissionRequest } from './admission.js';
import { createIdempotencyClaims } from './idempotency-claims.js';
import { decide, type DecisionStep } from './decision.js';
import { createRetryBudget } from './retry-budget.js';
import { failure, type Failure, type FailureKind } from './failure.js';
import { createConfigurationFeed, type ConfigurationFeed } from './configuration-feed.js';
import { createAttemptLedger, type Attempt, type AttemptLedger } from './attempt-ledger.js';
import {
  isHandleFor,
  type KvTransferParams,
  type Sampling,
  type WorkerRequest,
  type WorkerClient,
} from './worker-client.js';
import { createConcurrencyWindow } from './concurrency-window.js';
import { createWorkerTable, type WorkerTable } from './worker-table.js';

/** Settings of one request router. */
export interface RouterOptions {
  readonly routerId: string;
  readonly httpAddress: string;
  readonly agentAddress: Address;
  readonly service: string;
  readonly leaseDurationUs: number;
  readonly maxPromptTokens: number;
  readonly maxWorkerQueueLength: number;
  readonly placement: PlacementOptions;
}
// How long a router without a lease tries to forward a request to another router, or waits to regain its own lease.
const forwardTimeoutUs = 1_500_000;
/** Defaults of the settings that need not be given. */
export const routerDefaults = {
  leaseDurationUs: 10_000_000,
  maxPromptTokens: 32_768,
  maxWorkerQueueLength: 12,
  placement: placementDefaults,
};

/** A validated completion request of a client, or of another router that forwarded it. */
export interface IncomingRequest {
  readonly id: string;
  readonly tenant: string;
  readonly kind: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly forwarded: boolean;
  readonly idempotencyKey?: string;
  readonly sampling?: Sampling;
  // Time that the request has already spent at the router that forwarded it; it counts against the timeout.
  readonly elapsedUs?: number;
}
/**
 * Writes the response to the client. A promise returned by `chunk` signals backpressure: nothing more is read from the
 * worker until it resolves.
 */
export interface ResponseWriter {
  readonly chunk: (text: string) => void | Promise<void>;
  readonly end: (finish: string) => void;
  readonly fail: (failure: Failure) => void;
}
/** What the router needs from its surroundings. */
export interface RouterPorts {
  readonly workerClient: WorkerClient;
  readonly digestPrompt: (prompt: string) => string;
  readonly onAttempt?: (
    request: string,
    worker: string,
    phase: 'prefill' | 'decode',
    isRetry: boolean,
    desiredVersion: number,
  ) => void;
  /** Forwards a request to another router. False means that the router did not accept it and the next one may be tried. */
  readonly forward: (
    router: string,
    request: IncomingRequest,
    response: ResponseWriter,
    clientGone: AbortSignal,
  ) => Promise<boolean>;
}
/** The running router. */
export interface RouterCore {
  readonly handleRequest: (
    request: IncomingRequest,
    response: ResponseWriter,
    clientGone: AbortSignal,
  ) => Promise<void>;
  readonly receive: (message: Message) => void;
  readonly feed: ConfigurationFeed;
  readonly workerTable: WorkerTable;
  readonly metrics: () => Record<string, unknown>;
  readonly stopAccepting: () => void;
  readonly activeRequests: () => number;
  readonly stop: () => void;
}

// The state of one admitted request.
interface RequestContext {
  readonly request: IncomingRequest;
  readonly response: ResponseWriter;
  template: KindTemplate;
  readonly ledger: AttemptLedger;
  readonly facts: PromptSummary;
  readonly workerRequest: WorkerRequest;
  readonly arrivedAt: number;
  deadline: number;
  cancelDeadlineTimer: () => void;
  readonly cohort: Cohort;
  readonly triedWorkers: Set<string>;
  readonly abortController: AbortController;
  // The version of the desired state that `template` comes from.
  templateVersion: number;
  kvHandle: { params: KvTransferParams; source: WorkerStateEntry } | undefined;
  assignment: Assignment | undefined;
  prefillSentAt: number;
  firstChunkAt: number;
  chunkCount: number;
}

/** Starts a router: it reports its state to the agent at once and every 100 ms from then on. */
export function createRouterCore(world: World, options: RouterOptions, ports: RouterPorts): RouterCore {
  const feed = createConfigurationFeed({
    service: options.service,
    leaseDurationUs: options.leaseDurationUs,
    now: world.now,
    log: world.log,
  });
  const paces = createThroughputTracker();
  const workerTable = createWorkerTable(world.now, paces);
  const prefixTree = createRadixTree();
  const retryBudget = createRetryBudget(world.now);
  const prefillWindow = createConcurrencyWindow(world.now, prefillTargetUs);
  const admission = createAdmission(world, hasRoom, () => feed.hasLease());
  const idempotencyClaims = createIdempotencyClaims(world, options.agentAddress, options.routerId);
  const placementCounts = new Map<string, number>();
  const outcomeCounts = new Map<string, number>();
  const cohortStatistics = new Map<string, CohortStatistics>();
  let samples: Sample[] = [];
  let samplesFlushedAt = world.now() as number;
  let accepting = true;
  let activeCount = 0;
  let meanRequestTimeUs = 300_000;

  function increment(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }

  // The stage that requests of this cohort see a worker in: while a stage shift is rehearsed, the treatment cohort sees
  // the new stage and all others the old one.
  function stageFor(cohort: Cohort): (entry: WorkerStateEntry, reportedStage: WorkerStage | undefined) => WorkerStage {
    const record = feed.rehearsalRecord();
    const subject = record.running?.subject;
    return function stage(entry, reportedStage) {
      if (
        subject?.type === 'part' &&
        subject.shift.worker === entry.worker &&
        subject.shift.incarnation === entry.incarnation
      ) {
        return cohort === 'slice' ? subject.shift.to : subject.shift.from;
      }
      const assigned = record.parts[entry.worker];
      return assigned !== undefined && assigned.incarnation === entry.incarnation
        ? assigned.part
        : (reportedStage ?? 'both');
    };
  }

  function candidates(phase: 'prefill' | 'decode', cohort: Cohort, excluded: ReadonlySet<string>): Candidate[] {
    return workerTable.candidates(phase, stageFor(cohort), excluded);
  }

  // The target for one prefill is a fifth of the shortest timeout in force.
  function prefillTargetUs(): number {
    const timeoutsMs = (feed.desiredState()?.templates ?? []).flatMap((tenantTemplate) =>
      Object.values(tenantTemplate.kinds).map((template) => template.patienceMs),
    );
    return 200 * Math.max(2500, Math.min(10_000, ...timeoutsMs));
  }

  // There is room for one more request if the prefill window allows it and at least one prefill worker's queue is short
  // enough. Without any prefill worker it returns true, so that the request is rejected as `no_workers` at once.
  function hasRoom(grantedSlots: number): boolean {
    if (!prefillWindow.hasRoom(grantedSlots)) return false;
    if (prefillWindow.isIdle() && grantedSlots === 0) return true;
    const prefillCandidates = candidates('prefill', 'none', new Set());
    return (
      prefillCandidates.length === 0 ||
      prefillCandidates.some(
        (candidate) =>
          candidate.queued + Math.max(0, candidate.prefillTokens > 0 ? candidate.running : 0) <
          options.maxWorkerQueueLength,
      )
    );
  }

  function modelFor(cohort: Cohort): Model | undefined {
    const record = feed.rehearsalRecord();
    const subject = record.running?.subject;
    if (cohort === 'slice' && subject?.type === 'model') return feed.model(subject.model);
    // While a newly promoted model is being watched, the control cohort keeps the previous model.
    return feed.model(
      cohort === 'control' && record.running?.state === 'watched' && subject?.type === 'model'
        ? record.before
        : record.live,
    );
  }

  // Forwarded requests count as active too, since a graceful stop waits for all of them.
  async function handleRequest(
    request: IncomingRequest,
    response: ResponseWriter,
    clientGone: AbortSignal,
  ): Promise<void> {
    activeCount += 1;
    const arrivedAt = world.now() - (request.elapsedUs ?? 0);
    try {
      const rejection = await checkOrForward(request, response, clientGone, arrivedAt);
      if (rejection === undefined) await serveLocally(request, response, clientGone, arrivedAt);
      else if (rejection !== 'forwarded to peer') rejectRequest(request, response, rejection);
    } catch (error) {
      world.log(5105, { request: request.id, why: error instanceof Error ? error.message : String(error) });
      rejectRequest(request, response, failure('internal_error', 'An unexpected error occurred in this router.'));
    } finally {
      activeCount -= 1;
    }
  }

  async function serveLocally(
    request: IncomingRequest,
    response: ResponseWriter,
    clientGone: AbortSignal,
    arrivedAt: number,
  ): Promise<void> {
    const template = findKind(feed.desiredState()!, request.tenant, request.kind);
    const version = feed.appliedVersion();
    if (typeof template === 'string')
      return rejectRequest(
        request,
        response,
        failure(
          template,
          template === 'unknown_tenant'
            ? `There is no tenant ${request.tenant}.`
            : `Tenant ${request.tenant} has no kind ${request.kind}.`,
        ),
      );
    try {
      if (request.idempotencyKey === undefined)
        await admitAndRun(request, response, template, clientGone, arrivedAt, version);
      else
        await runWithIdempotencyKey(
          request,
          request.idempotencyKey,
          response,
          template,
          clientGone,
          arrivedAt,
          version,
        );
    } finally {
      admission.requestFinished();
    }
  }

  // A claim whose request was never sent to a worker is released, so that the client may retry with the same key.
  async function runWithIdempotencyKey(
    request: IncomingRequest,
    key: string,
    response: ResponseWriter,
    template: KindTemplate,
    clientGone: AbortSignal,
    arrivedAt: number,
    version: number,
  ): Promise<void> {
    const claimKey = `${request.tenant}/${key}`;
    const claimResult = await idempotencyClaims.claim(
      claimKey,
      request.id,
      Math.max(0, Math.min(3_000_000, (arrivedAt + template.patienceMs * 1000 - world.now()) / 2)),
    );
    if (claimResult.tag === 'taken')
      return rejectRequest(
        request,
        response,
        failure('claimed', `This Idempotency-Key is already in use: ${claimResult.known}`),
      );
    if (claimResult.tag === 'failed') {
      idempotencyClaims.reportResult('release', claimKey, request.id, '');
      return rejectRequest(
        request,
        response,
        failure('claim_failed', 'The control cluster did not answer the Idempotency-Key claim in time.', 2),
      );
    }
    const outcome = await admitAndRun(request, response, template, clientGone, arrivedAt, version);
    if (outcome === 'not sent') idempotencyClaims.reportResult('release', claimKey, request.id, '');
    else idempotencyClaims.reportResult('ended', claimKey, request.id, outcome);
  }

  function isReady(): boolean {
    return accepting && feed.hasLease() && feed.desiredState() !== undefined;
  }

  // Returns a failure, or undefined if this router may handle the request itself. A router that is not ready forwards the
  // request, unless it was forwarded already.
  async function checkOrForward(
    request: IncomingRequest,
    response: ResponseWriter,
    clientGone: AbortSignal,
    arrivedAt: number,
  ): Promise<Failure | 'forwarded to peer' | undefined> {
    const promptTokens = summarizePrompt(request.prompt).tokens;
    if (promptTokens > options.maxPromptTokens)
      return failure(
        'prompt_too_long',
        `The prompt has ${promptTokens} tokens; the limit is ${options.maxPromptTokens}.`,
      );
    if (isReady()) return undefined;
    if (!request.forwarded) {
      const firstRouter = Math.floor(world.random() * 64);
      const routers = feed.otherRouters();
      const forwardUntil = world.now() + forwardTimeoutUs;
      const template =
        feed.desiredState() === undefined
          ? 'unknown_kind'
          : findKind(feed.desiredState()!, request.tenant, request.kind);
      const deadline = arrivedAt + (typeof template === 'string' ? 30_000_000 : template.patienceMs * 1000);
      for (
        let i = 0;
        i < routers.length && !clientGone.aborted && world.now() < Math.min(forwardUntil, deadline);
        i += 1
      ) {
        if (
          await forwardTo(
            routers[(firstRouter + i) % routers.length]!,
            request,
            response,
            clientGone,
            arrivedAt,
            deadline,
          )
        )
          return 'forwarded to peer';
      }
      // No router accepted it. A router that is just starting, or whose agent is, usually becomes ready within this time.
      while (accepting && !isReady() && !clientGone.aborted && world.now() < Math.min(forwardUntil, deadline))
        await new Promise<void>((ok) => {
          world.after(micros(50_000), ok);
        });
      if (isReady()) return undefined;
    }
    if (!accepting) return failure('stopping', 'This router is shutting down.');
    return failure(
      'no_tenure',
      feed.hasLease()
        ? 'No desired state has been submitted yet.'
        : 'This router has no current lease from the control cluster.',
    );
  }

  // The other router gets the time that is left until the deadline; nothing it sends after the deadline is passed on.
  function forwardTo(
    router: string,
    request: IncomingRequest,
    response: ResponseWriter,
    clientGone: AbortSignal,
    arrivedAt: number,
    deadline: number,
  ): Promise<boolean> {
    return new Promise((resolve, reject) => {
      let [settled, streaming] = [false, false];
      const expired = new AbortController();
      function settle(accepted: boolean, deliver: () => void): void {
        if (settled) return;
        settled = true;
        cancelTimer();
        deliver();
        resolve(accepted);
      }
      const cancelTimer = world.after(micros(deadline - world.now()), () =>
        settle(true, () => {
          rejectRequest(
            request,
            response,
            failure(
              streaming ? 'answer_cut' : 'budget_spent',
              'The request timed out at the router it was forwarded to.',
              Math.max(1, Math.ceil(meanRequestTimeUs / 1e6)),
            ),
          );
          expired.abort();
        }),
      );
      ports
        .forward(
          router,
          { ...request, elapsedUs: world.now() - arrivedAt },
          {
            chunk: (text) => {
              if (settled) return undefined;
              streaming = true;
              return response.chunk(text);
            },
            end: (finish) => settle(true, () => response.end(finish)),
            fail: (rejection) => settle(true, () => response.fail(rejection)),
          },
          AbortSignal.any([clientGone, expired.signal]),
        )
        .then((accepted) => settle(accepted, () => undefined), reject);
    });
  }

  async function admitAndRun(
    request: IncomingRequest,
    response: ResponseWriter,
    initialTemplate: KindTemplate,
    clientGone: AbortSignal,
    arrivedAt: number,
    version: number,
  ): Promise<string> {
    const facts = summarizePrompt(request.prompt);
    // Credits charged for admission: prompt tokens plus four for each output token that is allowed.
    const cost = facts.tokens + 4 * request.maxTokens;
    const elapsedUs = world.now() - arrivedAt;
    let template = initialTemplate;
    // Uses the template in force, also if the desired state changes while the request is queued.
    function currentAdmissionRequest(): AdmissionRequest {
      const current = findKind(feed.desiredState()!, request.tenant, request.kind);
      if (typeof current !== 'string') template = current;
      return {
        fairShareKey: `${request.tenant}/${request.kind}`,
        share: template.share,
        priority: template.worth,
        cost,
        timeoutUs: template.patienceMs * 1000,
        elapsedUs,
      };
    }
    const admitted = await admission.requestSlot(currentAdmissionRequest(), currentAdmissionRequest);
    if (admitted.tag === 'unable') {
      // A router that is shutting down still serves requests that it has accepted, so only the lease can be missing. A
      // request that holds an idempotency claim is not forwarded.
      const rejection =
        request.idempotencyKey === undefined
          ? await checkOrForward(request, response, clientGone, arrivedAt)
          : undefined;
      if (rejection === undefined && feed.hasLease())
        return admitAndRun(request, response, template, clientGone, arrivedAt, feed.appliedVersion());
      if (rejection !== 'forwarded to peer')
        rejectRequest(
          request,
          response,
          rejection ?? failure('no_tenure', 'This router has no current lease from the control cluster.'),
        );
      return 'not sent';
    }
    if (admitted.tag === 'shed') {
      rejectRequest(
        request,
        response,
        failure('overloaded', 'The workers have no capacity for this request at present.', admitted.retryAfter),
      );
      return 'not sent';
    }
    const rehearsal = feed.rehearsalRecord().running;
    const context: RequestContext = {
      request,
      response,
      template,
      ledger: createAttemptLedger(),
      facts,
      arrivedAt,
      deadline: arrivedAt + template.patienceMs * 1000,
      cancelDeadlineTimer: () => undefined,
      workerRequest: {
        request: request.id,
        model: request.model,
        prompt: request.prompt,
        digest: ports.digestPrompt(request.prompt),
        maxTokens: request.maxTokens,
        sampling: request.sampling ?? {},
      },
      cohort: rehearsal === undefined ? 'none' : cohortOf(cohortNameOf(rehearsal), request.id, rehearsal.slice),
      triedWorkers: new Set(),
      abortController: new AbortController(),
      templateVersion: version,
      kvHandle: undefined,
      assignment: undefined,
      prefillSentAt: 0,
      firstChunkAt: 0,
      chunkCount: 0,
    };
    const rehearsalId = rehearsal === undefined ? undefined : cohortNameOf(rehearsal);
    startDeadlineTimer(context);
    function onClientGone(): void {
      context.abortController.abort();
    }
    clientGone.addEventListener('abort', onClientGone);
    let outcome: FailureKind | 'whole' | 'gone' = 'whole';
    try {
      outcome = await executeSteps(context, clientGone, admitted.started);
    } finally {
      admitted.started();
      context.cancelDeadlineTimer();
      clientGone.removeEventListener('abort', onClientGone);
      if (outcome === 'whole' || outcome === 'gone') increment(outcomeCounts, outcome);
      if (rehearsalId !== undefined && context.cohort !== 'none' && outcome !== 'gone')
        recordOutcome(rehearsalId, context, outcome);
    }
    return context.ledger.attempts.length === 0 ? 'not sent' : outcome;
  }

  async function executeSteps(
    context: RequestContext,
    clientGone: AbortSignal,
    onStarted: () => void,
  ): Promise<FailureKind | 'whole' | 'gone'> {
    for (;;) {
      if (clientGone.aborted) return 'gone';
      if (!refreshTemplate(context) && context.ledger.attempts.length === 0) {
        const rejection = failure(
          'unknown_kind',
          `Tenant ${context.request.tenant} no longer has a kind ${context.request.kind}.`,
        );
        rejectRequest(context.request, context.response, rejection);
        return rejection.kind;
      }
      if (context.ledger.attempts.length === 0 && !feed.hasLease()) {
        const rejection = failure('no_tenure', 'This router has no current lease from the control cluster.');
        rejectRequest(context.request, context.response, rejection);
        return rejection.kind;
      }
      const prefillWorkers = candidates('prefill', context.cohort, context.triedWorkers);
      const decodeWorkers = candidates('decode', context.cohort, context.triedWorkers);
      const step: DecisionStep = decide(context.ledger, {
        idempotent: context.template.repeatable,
        remainingUs: context.abortController.signal.aborted ? 0 : context.deadline - world.now(),
        availableRetries: retryBudget.availableRetries(),
        prefillWorkers: prefillWorkers.length,
        decodeWorkers: decodeWorkers.length,
        retryAfter: Math.max(1, Math.ceil(meanRequestTimeUs / 1e6)),
      });
      if (step.action === 'fail') {
        if (step.failure.kind === 'answer_cut')
          world.log(5104, { request: context.request.id, worker: context.ledger.attempts.at(-1)?.worker });
        rejectRequest(context.request, context.response, step.failure);
        return step.failure.kind;
      }
      // Decoding after a completed prefill needs no lease; a new prefill or a repeated decode does.
      if (!feed.hasLease() && (step.action === 'prefill' || context.ledger.attempts.at(-1)?.phase === 'decode')) {
        const rejection = failure(
          context.template.repeatable ? 'workers_failed' : 'outcome_unknown',
          'A worker failed, and this router has no current lease from the control cluster to retry.',
        );
        rejectRequest(context.request, context.response, rejection);
        return rejection.kind;
      }
      if (step.action === 'prefill') {
        const prefillDone = prefill(context, prefillWorkers);
        onStarted();
        await prefillDone;
      } else if (await decode(context, decodeWorkers)) return 'whole';
    }
  }

  function startDeadlineTimer(context: RequestContext): void {
    context.cancelDeadlineTimer();
    context.cancelDeadlineTimer = world.after(micros(Math.max(0, context.deadline - world.now())), () =>
      context.abortController.abort(),
    );
  }

  // Applies the template in force to a request. Returns false if its kind was removed: the request then counts as not
  // idempotent, so that it is not retried.
  function refreshTemplate(context: RequestContext): boolean {
    if (context.templateVersion === feed.appliedVersion()) return true;
    const template = findKind(feed.desiredState()!, context.request.tenant, context.request.kind);
    context.templateVersion = feed.appliedVersion();
    context.template = typeof template === 'string' ? { ...context.template, repeatable: false } : template;
    context.deadline = context.arrivedAt + context.template.patienceMs * 1000;
    startDeadlineTimer(context);
    return typeof template !== 'string';
  }

  function recordAttempt(context: RequestContext, phase: 'prefill' | 'decode', worker: WorkerId): Attempt {
    if (context.ledger.attempts.length === 0) retryBudget.recordFirstAttempt();
    else if (context.ledger.attempts.some((attempt) => attempt.phase === phase)) retryBudget.recordRetry();
    ports.onAttempt?.(
      context.request.id,
      worker,
      phase,
      context.ledger.attempts.some((attempt) => attempt.phase === phase),
      context.templateVersion,
    );
    const newAttempt: Attempt = { phase, worker, outcome: 'pending' };
    context.ledger.attempts.push(newAttempt);
    return newAttempt;
  }

  async function prefill(context: RequestContext, workers: Candidate[]): Promise<void> {
    const prefixHits = prefixTree.hits(context.facts.blocks);
    const assignment = assignPrefill(
      {
        prompt: context.facts,
        candidates: workers,
        hits: prefixHits,
        model: modelFor(context.cohort),
        now: world.now,
        random: world.random,
      },
      options.placement,
    )!;
    increment(placementCounts, assignment.reason);
    // Logged at the 1st, 10th, 100th, ... occurrence of each reason.
    const timesCounted = placementCounts.get(assignment.reason)!;
    if (!['scored', 'explored', 'only'].includes(assignment.reason) && Number.isInteger(Math.log10(timesCounted)))
      world.log(4001, { reason: assignment.reason, times: timesCounted });
    const entry = workerTable.workerState(assignment.worker.worker)!;
    context.assignment = assignment;
    context.prefillSentAt = world.now();
    const attempt = recordAttempt(context, 'prefill', assignment.worker.worker);
    prefixTree.insert(context.facts.blocks, assignment.worker.worker, world.now());
    const endRequest = workerTable.beginRequest(assignment.worker.worker, 'prefill', context.facts.tokens);
    const endPrefill = prefillWindow.beginPrefill();
    // Only an idempotent request is taken from an unresponsive worker before its deadline, as only it may be repeated.
    const unresponsive = new AbortController();
    const responseTimeoutUs = Math.max(2_000_000, 6_000_000 * (assignment.predictedTtft ?? 0.5));
    const cancelTimer = context.template.repeatable
      ? world.after(micros(responseTimeoutUs), () => unresponsive.abort())
      : () => undefined;
    const result = await ports.workerClient.prefill(
      entry,
      context.workerRequest,
      AbortSignal.any([context.abortController.signal, unresponsive.signal]),
    );
    cancelTimer();
    endRequest();
    endPrefill(result.tag === 'done' || context.abortController.signal.aborted);
    if (result.tag === 'done' && isHandleFor(result.handle, context.workerRequest, entry)) {
      attempt.outcome = 'done';
      context.kvHandle = { params: result.handle, source: entry };
      workerTable.recordSuccess(assignment.worker.worker);
      paces.record(
        assignment.worker.worker,
        context.facts.tokens -
          ((prefixHits.get(assignment.worker.worker) ?? 0) * context.facts.tokens) /
            Math.max(1, context.facts.blocks.length),
        world.now() - context.prefillSentAt,
        assignment.worker.running + assignment.worker.queued,
      );
      return;
    }
    attempt.outcome = result.tag === 'notStarted' ? 'notStarted' : 'unknown';
    context.triedWorkers.add(assignment.worker.worker);
    if (result.tag === 'notStarted' && (result.reason === 'queue_full' || result.reason === 'wrong_part')) return;
    if (!context.abortController.signal.aborted)
      recordWorkerFailure(
        context,
        assignment.worker.worker,
        result.tag === 'done' ? 'KV handle belongs to another request' : result.reason,
      );
  }

  function recordWorkerFailure(context: RequestContext, worker: WorkerId, reason: string): void {
    world.log(5103, { request: context.request.id, worker, why: reason });
    workerTable.recordFailure(worker);
  }

  // Returns true once the response is complete. The client sees nothing of an attempt that failed before its first byte.
  async function decode(context: RequestContext, workers: Candidate[]): Promise<boolean> {
    const worker = assignDecode(workers, world.random)!;
    const entry = workerTable.workerState(worker.worker)!;
    const attempt = recordAttempt(context, 'decode', worker.worker);
    const endRequest = workerTable.beginRequest(
      worker.worker,
      'decode',
      context.facts.tokens + context.request.maxTokens,
    );
    const unresponsive = new AbortController();
    const cancelTimer = context.template.repeatable
      ? world.after(micros(3_000_000), () => unresponsive.abort())
      : () => undefined;
    function writeChunk(text: string): void | Promise<void> {
      if (context.abortController.signal.aborted) return undefined;
      if (!context.ledger.firstByteSent) {
        context.ledger.firstByteSent = true;
        context.firstChunkAt = world.now();
        cancelTimer();
        recordSample(context);
      }
      context.chunkCount += 1;
      return context.response.chunk(text);
    }
    const result = await ports.workerClient.decode(
      entry,
      context.workerRequest,
      context.kvHandle!.params,
      writeChunk,
      AbortSignal.any([context.abortController.signal, unresponsive.signal]),
    );
    cancelTimer();
    endRequest();
    if (result.tag === 'done') {
      attempt.outcome = 'done';
      workerTable.recordSuccess(worker.worker);
      meanRequestTimeUs += 0.05 * (world.now() - context.arrivedAt - meanRequestTimeUs);
      if (!context.abortController.signal.aborted) context.response.end(result.finish);
      world.log(5101, { request: context.request.id, kind: context.request.kind, us: world.now() - context.arrivedAt });
      return true;
    }
    attempt.outcome = result.tag;
    if (result.tag === 'lapsed') return false;
    if (
      result.tag === 'notStarted' &&
      (result.reason === 'queue_full' || result.reason === 'kv_full' || result.reason === 'wrong_part')
    ) {
      context.triedWorkers.add(worker.worker);
      return false;
    }
    context.triedWorkers.add(worker.worker);
    if (!context.abortController.signal.aborted) recordWorkerFailure(context, worker.worker, result.reason);
    return false;
  }

  function recordSample(context: RequestContext): void {
    if (context.assignment === undefined || context.ledger.attempts.length !== 2) return;
    samples.push({
      features: context.assignment.featureRow,
      reward: -(context.firstChunkAt - context.prefillSentAt) / 1e6,
    });
    if (samples.length >= sampleBatchSize) flushSamples();
  }

  function flushSamples(): void {
    samplesFlushedAt = world.now();
    if (samples.length === 0) return;
    world.send(options.agentAddress, {
      kind: 'Samples',
      from: options.routerId,
      count: samples.length,
      width: featureCount,
      rows: encodeSamples(samples, featureCount),
    });
    samples = [];
  }

  function recordOutcome(rehearsalId: string, context: RequestContext, outcome: FailureKind | 'whole'): void {
    const stratum = `${context.request.tenant}/${context.request.kind}`;
    const key = `${rehearsalId}/${context.cohort}/${stratum}`;
    const statistics = cohortStatistics.get(key) ?? {
      rehearsal: rehearsalId,
      ...createCohortCounts(context.cohort, stratum),
    };
    const failed = outcome !== 'whole';
    // Measured from arrival, with the time queued here. A failed request counts with its whole timeout.
    const ttft = failed ? context.template.patienceMs * 1000 : context.firstChunkAt - context.arrivedAt;
    const tokenTime =
      failed || context.chunkCount <= 1 ? undefined : (world.now() - context.firstChunkAt) / (context.chunkCount - 1);
    countAnswer(statistics, {
      failed,
      logTtft: Math.log(Math.max(1, ttft)),
      logTokenTime: tokenTime === undefined ? undefined : Math.log(Math.max(1, tokenTime)),
    });
    cohortStatistics.set(key, statistics);
    for (const otherKey of cohortStatistics.keys())
      if (cohortStatistics.size > 64 && !otherKey.startsWith(rehearsalId)) cohortStatistics.delete(otherKey);
  }

  function rejectRequest(request: IncomingRequest, response: ResponseWriter, rejection: Failure): void {
    world.log(5102, { request: request.id, kind: rejection.kind, tenant: request.tenant, of: request.kind });
    increment(outcomeCounts, rejection.kind);
    response.fail(rejection);
  }

  function receive(message: Message): void {
    if (message.kind === 'ClaimAnswer') return idempotencyClaims.receiveAnswer(message);
    if (message.kind !== 'Feed') return;
    for (const worker of workerTable.mergeStates(message.workers)) {
      prefixTree.removeWorkers([worker]);
      paces.removeWorker(worker);
    }
    workerTable.mergeReports(message.reports);
    const previousVersion = feed.appliedVersion();
    feed.receive(message);
    if (feed.appliedVersion() !== previousVersion) sendRouterState();
  }

  // A router that stops reports every version as applied, so that no change of the desired state waits for its lease.
  function sendRouterState(applied: number = feed.appliedVersion()): void {
    if (world.now() - samplesFlushedAt > 5_000_000) flushSamples();
    const totals = retryBudget.totals();
    world.send(options.agentAddress, {
      kind: 'RouterState',
      router: options.routerId,
      http: options.httpAddress,
      asked: world.now(),
      applied,
      first: totals.first,
      extra: totals.extra,
      allowance: retryBudget.grantProbes(),
      arms: [...cohortStatistics.values()],
      have: feed.heldVersions(),
    });
  }

  sendRouterState();
  const stopStateReports = every(
    world,
    () => micros(100_000),
    () => sendRouterState(),
  );
  return {
    handleRequest,
    receive,
    feed,
    workerTable,
    metrics: () => ({
      router: options.routerId,
      tenured: feed.hasLease(),
      desiredVersion: feed.appliedVersion(),
      live: feed.rehearsalRecord().live?.version,
      running: feed.rehearsalRecord().running?.id,
      active: activeCount,
      waiting: admission.queueLength(),
      window: Math.round(prefillWindow.size()),
      ends: Object.fromEntries(outcomeCounts),
      placement: Object.fromEntries(placementCounts),
      ...retryBudget.totals(),
      probes: retryBudget.grantProbes(),
      treeBlocks: prefixTree.blockCount(),
    }),
    stopAccepting: () => {
      accepting = false;
    },
    activeRequests: () => activeCount,
    stop: () => {
      stopStateReports();
      admission.stop();
      sendRouterState(appliedAllVersions);
    },
  };
}
