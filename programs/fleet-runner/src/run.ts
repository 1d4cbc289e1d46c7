/** Runs a fleet under load and a fault schedule, checks the outcomes, and reports what was served. */
import { Agent } from 'undici';
import {
  createTraffic,
  runLoad,
  steadyMix,
  summarizeTraffic,
  oscillatingMix,
  type Deployment,
  type Outcome,
  type TrafficSummary,
} from '@tansypost/requester-stand-in';
import { createFleet, type Fleet } from './fleet.js';
import type { PlanOptions } from './plan.js';
import type { Fault } from './schedule.js';

export interface RunOptions extends PlanOptions {
  readonly deployment: Deployment;
  readonly seconds: number;
  /** Requests per second of the whole run. */
  readonly rate: number;
  readonly seed: number;
  readonly mixPeriodSeconds: number | undefined;
  readonly faults: readonly Fault[];
  readonly log: (message: string) => void;
  readonly whileRunning?: (fleet: Fleet) => Promise<void>;
}
/** An injected fault: `at` in milliseconds from the start of the traffic, `backAfterMs` from the fault. */
export interface FaultRecord {
  readonly at: number;
  readonly fault: string;
  readonly backAfterMs: number | undefined;
}
/**
 * Printed as JSON. `ranTwice` lists the ids of non-repeatable requests of which a stage was executed more than once,
 * `ranAfterRefusal` the id and the kind of refusal of all requests, repeatable or not, that were refused and yet executed.
 */
export interface RunReport {
  readonly deployment: string;
  readonly seed: number;
  readonly served: TrafficSummary;
  readonly ranTwice: readonly string[];
  readonly ranAfterRefusal: readonly string[];
  /** The highest ratio of extra attempts to first attempts over 10 s. */
  readonly extraOverTen: number;
  readonly faults: readonly FaultRecord[];
  readonly submissions: readonly { answer: string; version?: number; ms: number }[];
  /** `whole`: whether the desired state that was read back has as many templates as the deployment has tenants. */
  readonly readBack: { version: number; whole: boolean };
  readonly placement: Record<string, number>;
  readonly rehearsals: readonly { id: string; outcome?: string; why?: string }[];
  readonly live: unknown;
}

// First attempts and extra attempts (retries and health probes) of the whole fleet up to `at`, in milliseconds of
// performance.now().
interface AttemptTotals {
  readonly at: number;
  first: number;
  extra: number;
}

// Adds the counters' increase since the last sample; a counter that fell belongs to a restarted process.
async function sampleTotals(
  fleet: Fleet,
  previous: Map<string, number>,
  accumulated: { first: number; extra: number },
): Promise<AttemptTotals> {
  function add(key: string, value: number, counter: 'first' | 'extra'): void {
    const before = previous.get(key) ?? 0;
    accumulated[counter] += value >= before ? value - before : value;
    previous.set(key, value);
  }
  await Promise.all(
    fleet.plan.members.map(async (member) => {
      if (member.program === 'request-router') {
        const metrics = await fleet.get<{ first: number; extra: number }>(member.http, '/figures');
        if (metrics !== undefined) {
          add(`${member.name}f`, metrics.first, 'first');
          add(`${member.name}e`, metrics.extra, 'extra');
        }
      } else if (member.program === 'router-agent') {
        const health = await fleet.get<{ probes: number }>(member.http, '/vitals');
        if (health !== undefined) add(member.name, health.probes, 'extra');
      }
    }),
  );
  return { at: performance.now(), ...accumulated };
}

/** Runs one fleet from start to stop and returns its report. */
export async function runFleet(options: RunOptions): Promise<RunReport> {
  const fleet = createFleet(options.deployment, options);
  const agent = new Agent({ connections: 512, pipelining: 1 });
  const submissions: { answer: string; version?: number; ms: number }[] = [];
  const injected: FaultRecord[] = [];
  let rate = options.rate;
  let isFinished = false;
  try {
    options.log(`starting ${fleet.plan.members.length} processes`);
    await fleet.startAndWait();
    options.log('the fleet is ready');
    const outcomes: Outcome[] = [];
    const previous = new Map<string, number>();
    const accumulated = { first: 0, extra: 0 };
    const samples: AttemptTotals[] = [];
    const sampling = (async () => {
      while (!isFinished) {
        samples.push(await sampleTotals(fleet, previous, accumulated));
        await new Promise((resolve) => setTimeout(resolve, 1000));
      }
    })();
    const startedAt = performance.now();
    const injecting = (async () => {
      for (const fault of options.faults) {
        const delayMs = startedAt + fault.at * 1000 - performance.now();
        if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs));
        if (isFinished) return;
        options.log(`${fault.at} s: ${fault.do} ${fault.who ?? ''}`);
        const injectedAt = performance.now();
        // `crowd` doubles the request rate until `calm`.
        if (fault.do === 'crowd') rate = options.rate * 2;
        else if (fault.do === 'calm') rate = options.rate;
        else if (fault.do === 'submit')
          void fleet.submitDesiredState(1 + submissions.length).then((submission) => {
            submissions.push(submission);
          });
        else void fleet.injectFault(fault).catch((error: unknown) => options.log(String(error)));
        injected.push({
          at: injectedAt - startedAt,
          fault: `${fault.do} ${fault.who ?? ''}`.trim(),
          backAfterMs: undefined,
        });
      }
    })();
    const traffic = createTraffic(
      options.deployment,
      options.seed,
      options.mixPeriodSeconds === undefined ? steadyMix : oscillatingMix(options.mixPeriodSeconds),
    );
    await Promise.all([
      runLoad({
        traffic,
        rate: () => rate,
        seconds: options.seconds,
        seed: options.seed,
        routers: fleet.reachableRouters,
        agent,
        onOutcome: (outcome) => outcomes.push(outcome),
      }),
      options.whileRunning?.(fleet),
    ]);
    isFinished = true;
    await Promise.all([sampling, injecting]);
    const readBackResult = await readDesiredState(fleet);
    const executions = fleet.executionCounts();
    const nonRepeatable = outcomes.filter((outcome) => !outcome.request.repeatable);
    const ranTwice = nonRepeatable
      .filter((outcome) => {
        const counts = executions.get(outcome.request.id);
        return counts !== undefined && (counts.prefill > 1 || counts.decode > 1);
      })
      .map((outcome) => outcome.request.id);
    const ranAfterRefusal = outcomes
      .filter((outcome) => outcome.ended === 'refused' && executions.has(outcome.request.id))
      .map((outcome) => `${outcome.request.id} ${outcome.kind}`);
    const placement: Record<string, number> = {};
    for (const router of fleet.plan.members.filter((member) => member.program === 'request-router')) {
      const metrics = await fleet.get<{ placement: Record<string, number> }>(router.http, '/figures');
      for (const [policy, count] of Object.entries(metrics?.placement ?? {}))
        placement[policy] = (placement[policy] ?? 0) + count;
    }
    const liveAgent = fleet.plan.members.find(
      (member) => member.program === 'router-agent' && fleet.processes.isRunning(member.name),
    )!;
    const record = await fleet.get<{
      live?: { version: unknown };
      running?: { id: string };
      ended: { id: string; outcome?: string; measured?: { why: string } }[];
    }>(liveAgent.http, '/rehearsals');
    return {
      deployment: options.deployment.name,
      seed: options.seed,
      served: summarizeTraffic(outcomes),
      ranTwice,
      ranAfterRefusal,
      extraOverTen: maxExtraRatio(samples),
      faults: injected.map((entry, index) => ({
        ...entry,
        at: Math.round(entry.at),
        backAfterMs: recoveryTimeMs(outcomes, startedAt + entry.at, startedAt + (injected[index + 1]?.at ?? Infinity)),
      })),
      submissions,
      readBack: readBackResult,
      placement,
      rehearsals: [
        ...(record?.running === undefined ? [] : [{ id: record.running.id, outcome: 'running' }]),
        ...(record?.ended ?? []).map((entry) => ({ id: entry.id, outcome: entry.outcome, why: entry.measured?.why })),
      ],
      live: record?.live?.version ?? null,
    };
  } finally {
    isFinished = true;
    await agent.destroy();
    await fleet.stop();
  }
}

// Milliseconds from a fault to the start of the last request that failed or was refused, up to the next fault and 30 s at
// most; 0 if there is none.
function recoveryTimeMs(outcomes: readonly Outcome[], injectedAt: number, nextFaultAt: number): number | undefined {
  const failed = outcomes.filter(
    (outcome) =>
      outcome.at >= injectedAt && outcome.at < Math.min(nextFaultAt, injectedAt + 30_000) && outcome.ended !== 'whole',
  );
  return failed.length === 0 ? 0 : Math.round(Math.max(...failed.map((outcome) => outcome.at)) - injectedAt);
}

// The highest ratio of extra attempts to first attempts between samples at least 10 s apart, with at least 50 first
// attempts.
function maxExtraRatio(samples: readonly AttemptTotals[]): number {
  let maxRatio = 0;
  for (const sample of samples) {
    const earlierSample = [...samples].reverse().find((earlier) => earlier.at <= sample.at - 10_000);
    if (earlierSample === undefined || sample.first - earlierSample.first < 50) continue;
    maxRatio = Math.max(maxRatio, (sample.extra - earlierSample.extra) / (sample.first - earlierSample.first));
  }
  return Math.round(maxRatio * 1000) / 1000;
}

// Reads the desired state from the first running agent that responds.
async function readDesiredState(fleet: Fleet): Promise<{ version: number; whole: boolean }> {
  for (const agent of fleet.plan.members.filter(
    (member) => member.program === 'router-agent' && fleet.processes.isRunning(member.name),
  )) {
    const current = await fleet.get<{ version: number; state: { templates: unknown[] } | null }>(
      agent.http,
      '/desired-state',
    );
    if (current !== undefined)
      return {
        version: current.version,
        whole: current.state?.templates.length === fleet.plan.deployment.tenants.length,
      };
  }
  return { version: 0, whole: false };
}
