/**
 * Detects services whose decode workers are all unresponsive. The worker list includes unresponsive workers until the
 * platform considers them crashed; a service with only such decode workers serves nothing. One control node probes one
 * decode worker of each service at a long interval, and several at a short interval if that one did not answer. Only
 * services with prefill workers are probed, as the others could not be recovered.
 */
import type { ListedWorker } from '@tansypost/control-feed';
import { runInBackground, type World } from '@tansypost/inner-protocol';
import type { WorkerStageClient } from './ports.js';
import { workersOf } from './recovery-plan.js';

/** Dependencies of the liveness monitor. */
export interface DecodeLivenessOptions {
  /** The newest list of workers. */
  readonly workers: () => readonly ListedWorker[];
  /** Names of the services that requests are sent to. */
  readonly served: () => readonly string[];
  /** Whether this node is the one that probes. */
  readonly isProber: () => boolean;
  readonly report: WorkerStageClient['report'];
}

/** The liveness of decode workers, as one control node sees it. */
export interface DecodeLiveness {
  /** Sends the probes that are due. */
  readonly poll: () => void;
  /** The newest worker list, without the decode workers of services in which none of them answers. */
  readonly responsiveWorkers: () => readonly ListedWorker[];
}

/** The probing state of one service. */
interface ServiceProbe {
  /** When a decode worker last answered, or a new one was listed, or the service was first probed. */
  lastResponseAt: number;
  nextProbeAt: number;
  isProbing: boolean;
  /** Whether none of the workers probed last answered. */
  isSuspect: boolean;
  /** Index of the next worker in round-robin order. */
  nextIndex: number;
  /** Id of the worker that is always probed: the one that answered last or was listed last. */
  preferredWorker: string;
  /** Ids of the decode workers that have been listed. */
  readonly knownWorkers: Set<string>;
}

type Clock = Pick<World, 'now' | 'log'>;

/** Time without any answer after which the decode workers of a service count as unresponsive. */
const unresponsiveTimeoutUs = 3_000_000;
const probeIntervalUs = 2_000_000;
const suspectProbeIntervalUs = 300_000;
/** Number of workers probed at once in round-robin order if the preferred worker did not answer. */
const maxSuspectProbes = 4;

/** Creates the monitor of decode workers, which have not been probed yet. */
export function createDecodeLiveness(world: Clock, options: DecodeLivenessOptions): DecodeLiveness {
  const probes = new Map<string, ServiceProbe>();

  function poll(): void {
    if (!options.isProber()) return probes.clear();
    const list = options.workers();
    const services = new Set(list.map((worker) => worker.service));
    for (const service of probes.keys()) if (!services.has(service)) probes.delete(service);
    for (const service of services) probeIfDue(service, list);
  }

  function probeIfDue(service: string, list: readonly ListedWorker[]): void {
    const { prefill, decode } = workersOf(list, service);
    if (prefill.length === 0 || decode.length === 0) return void probes.delete(service);
    const state = probes.get(service) ?? createServiceProbe(world);
    probes.set(service, state);
    admitNewWorkers(world, state, decode);
    if (state.isProbing || world.now() < state.nextProbeAt) return;
    if (options.served().includes(service))
      runInBackground(world.log, 'probe of decode workers', probe(world, options.report, state, decode));
    else probes.set(service, createServiceProbe(world));
  }

  function isUnresponsive({ isSuspect, lastResponseAt }: ServiceProbe): boolean {
    return isSuspect && world.now() - lastResponseAt >= unresponsiveTimeoutUs;
  }

  function responsiveWorkers(): readonly ListedWorker[] {
    const list = options.workers();
    const unresponsive = new Set<string>();
    for (const [service, state] of probes) if (isUnresponsive(state)) unresponsive.add(service);
    if (unresponsive.size === 0) return list;
    return list.filter((worker) => worker.part !== 'decode' || worker.leaving || !unresponsive.has(worker.service));
  }

  return { poll, responsiveWorkers };
}

function createServiceProbe(world: Clock): ServiceProbe {
  const now = world.now();
  return {
    lastResponseAt: now,
    nextProbeAt: now + probeIntervalUs,
    isProbing: false,
    isSuspect: false,
    nextIndex: 0,
    preferredWorker: '',
    knownWorkers: new Set(),
  };
}

/** Gives newly listed workers time to answer, so that one that was just ordered to decode does not count as unresponsive. */
function admitNewWorkers(world: Clock, state: ServiceProbe, decode: readonly ListedWorker[]): void {
  for (const { id } of decode) {
    if (state.knownWorkers.has(id)) continue;
    state.knownWorkers.add(id);
    state.preferredWorker = id;
    state.lastResponseAt = world.now();
  }
}

async function probe(
  world: Clock,
  report: WorkerStageClient['report'],
  state: ServiceProbe,
  decode: readonly ListedWorker[],
): Promise<void> {
  state.isProbing = true;
  const targets = nextProbeTargets(state, decode);
  const reports = await Promise.all(targets.map((worker) => report(worker).catch(() => undefined)));
  const answered = targets.find((_worker, index) => reports[index] !== undefined);
  state.isSuspect = answered === undefined;
  if (answered !== undefined) Object.assign(state, { lastResponseAt: world.now(), preferredWorker: answered.id });
  state.nextProbeAt = world.now() + (state.isSuspect ? suspectProbeIntervalUs : probeIntervalUs);
  state.isProbing = false;
}

function nextProbeTargets(state: ServiceProbe, decode: readonly ListedWorker[]): ListedWorker[] {
  const preferred = decode.find((worker) => worker.id === state.preferredWorker);
  if (preferred !== undefined && !state.isSuspect) return [preferred];
  const targets = new Set(preferred === undefined ? [] : [preferred]);
  const count = Math.min(decode.length, maxSuspectProbes);
  for (let index = 0; index < count; index += 1) targets.add(decode[(state.nextIndex + index) % decode.length]!);
  state.nextIndex += count;
  return [...targets];
}
