/**
 * The clients of a simulated run. They connect through the platform, which distributes them over the routers of their
 * zone that pass its health probe. They retry only where that is safe; some retry sooner and more often than advised.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import type { IncomingRequest } from '@tansypost/pass-through';
import { digestOfKey } from '@tansypost/paths';
import type { Ground } from './ground.js';
import { hostOf, targetOf } from './paths-drawn.js';
import { drawLogNormal, defaultEngine } from './engine-shape.js';
import { mainService, type KindDraw, type PassedKind } from './passed-deployment.js';
import type { AttemptRecord } from './passed-history.js';
import { eventCountOf } from './virtual-worker.js';
import type { ClientConnection, VirtualRouter } from './virtual-router.js';

export interface VirtualClients {
  readonly start: (until: number) => void;
  // Multiplies the request rate.
  rateFactor: number;
}
/** Prompt and response sizes of a request, as stated in its headers. */
interface Prompt {
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly eventCount: number;
  readonly segments: { readonly id: string; readonly tokens: number }[];
}
/** Weight of an output token relative to a prompt token. */
const outputTokenWeight = 10;
/** Above 1, so that some shared segments are more popular than others. */
const popularityExponent = 1.3;
const probeIntervalUs = 1_000_000;
const connectTimeoutUs = 1_000_000;
/** Number of clients per zone. Each may reuse the connection of its last response. */
const defaultClientsPerZone = 12;
const clientSeed = 9001;

/** Outcomes after which no client retries. */
function isFinal(outcome: AttemptRecord['ended']): boolean {
  return outcome === 'whole' || outcome === 'unknown_path' || outcome === 'unknown_key' || outcome === 'left';
}

/** `connectionReuseShare`: probability, from 0 to 1, that a client reuses its open connection. */
export function createVirtualClients(
  ground: Ground,
  routers: readonly VirtualRouter[],
  connectionReuseShare: number,
): VirtualClients {
  const { engine, network, random, h: history, d: deployment } = ground;
  const missedProbes = new Map<string, number>();
  // A separate generator, so that the other draws of a run do not depend on connection reuse.
  const drawClient = createSeededRandom(clientSeed);
  const keptConnections = new Map<string, ClientConnection>();
  const segmentTokens = new Map<string, number>();
  let tasks = 0;

  function probe(): void {
    for (const router of routers) {
      const ok =
        router.ready() && !network.isBlocked('clients', router.name) && !network.isBlocked(router.name, 'clients');
      missedProbes.set(router.name, ok ? 0 : (missedProbes.get(router.name) ?? 2) + 1);
    }
    engine.at(engine.now() + probeIntervalUs, probe);
  }
  function pick(zone: string): VirtualRouter {
    const zoneRouters = routers.filter((router) => router.zone === zone);
    const healthyInZone = zoneRouters.filter((router) => (missedProbes.get(router.name) ?? 0) < 2);
    const allHealthy = routers.filter((router) => (missedProbes.get(router.name) ?? 0) < 2);
    const from =
      healthyInZone.length * 2 >= zoneRouters.length
        ? healthyInZone
        : healthyInZone.length > 0 || allHealthy.length === 0
          ? zoneRouters
          : allHealthy;
    return from[Math.floor(random() * from.length)]!;
  }

  // The client's kept connection, or a new one to a router chosen by the platform.
  function connectionOf(client: string, zone: string): ClientConnection {
    const existing = keptConnections.get(client);
    if (existing !== undefined && existing.open && !existing.busy && drawClient() < connectionReuseShare)
      return existing;
    return pick(zone).connect();
  }

  function drawDefaultPrompt(kind: PassedKind, task: number): Prompt {
    const group = Math.floor(random() * 4);
    const own = Math.round(kind.own * (0.5 + random()));
    return {
      promptTokens: kind.shared + own,
      answerTokens: kind.answer,
      eventCount: eventCountOf(kind.answer, strideFor(kind)),
      segments: [
        { id: `${kind.name}${group}`, tokens: kind.shared },
        { id: `own${task}`, tokens: own },
      ],
    };
  }

  /** A shared segment has the same length in all prompts, and some are more popular than others. */
  function drawPrompt(kind: PassedKind, draw: KindDraw, task: number): Prompt {
    const parts = draw.shared.map((shared, n) => {
      const index = Math.floor(shared.things * random() ** popularityExponent);
      const id = `${kind.name}.${n}.${index}`;
      const tokens = segmentTokens.get(id) ?? Math.max(1, Math.round(drawLogNormal(shared.tokens, random)));
      segmentTokens.set(id, tokens);
      return { id, tokens };
    });
    const own = draw.own.mean === 0 ? 0 : Math.max(1, Math.round(drawLogNormal(draw.own, random)));
    const pieces = Math.max(1, Math.round(drawLogNormal(draw.pieces, random)));
    return {
      promptTokens: parts.reduce((sum, part) => sum + part.tokens, own),
      answerTokens: pieces * strideFor(kind),
      eventCount: pieces,
      segments: own === 0 ? [] : [...parts, { id: `own${task}`, tokens: own }],
    };
  }

  function strideFor(kind: PassedKind): number {
    const shape = deployment.services?.find((each) => each.name === (kind.service ?? mainService));
    return (shape?.engine ?? defaultEngine(deployment.kvTokens)).stride;
  }

  function startTask(kind: PassedKind): void {
    tasks += 1;
    const task = tasks;
    const startedAt = engine.now();
    const zone = deployment.zones[Math.floor(random() * deployment.zones.length)]!;
    const client = `${zone}/${Math.floor(drawClient() * (deployment.clientsPerZone ?? defaultClientsPerZone))}`;
    const retriesEagerly = random() < 0.1;
    const maxTries = retriesEagerly ? 4 : 1 + kind.furtherTries;
    const { tenant, key } = ground.tenants.credentialsFor(client, kind.public === true);
    const keyDigest = key === undefined ? undefined : digestOfKey(key);
    const prompt = kind.draw === undefined ? drawDefaultPrompt(kind, task) : drawPrompt(kind, kind.draw, task);
    let tries = 0;
    let receivedEvents = 0;

    function sendAttempt(): void {
      tries += 1;
      const id = `q${task}.${tries}`;
      const left = startedAt + kind.budget - engine.now();
      if (left <= 0) return;
      const connection = tries === 1 ? connectionOf(client, zone) : pick(zone).connect();
      const { router } = connection;
      const lastEvent = kind.resumable && receivedEvents > 0 ? receivedEvents : undefined;
      const attempt: AttemptRecord = {
        id,
        task,
        kind: kind.name,
        target: targetOf(kind.name, task),
        at: engine.now(),
        lastEvent,
        streaming: kind.streaming,
        resumable: kind.resumable,
        repeatable: kind.repeatable,
        pieces: prompt.eventCount,
        router: router.name,
        readAt: undefined,
        end: undefined,
        ended: 'open',
        why: '',
        firstByteAt: undefined,
        maxGapUs: 0,
        costTokens: prompt.promptTokens + outputTokenWeight * prompt.answerTokens,
        tenant,
        keyDigest,
        body: [],
      };
      history.tries.push(attempt);
      const request: IncomingRequest = {
        id,
        method: 'POST',
        target: attempt.target,
        host: hostOf(kind.name),
        headers: [],
        ...(key === undefined ? {} : { credentialHeaders: ['Authorization', `Bearer ${key}`], keyDigest }),
        body: kind.bodyBytes === undefined ? Buffer.from(`${task}`) : Buffer.alloc(kind.bodyBytes),
        promptTokens: prompt.promptTokens,
        maxOutputTokens: prompt.answerTokens,
        promptSegments: prompt.segments,
        timeout: left,
        lastEventId: lastEvent,
      };
      let lastBytesAt = engine.now();
      let isEnded = false;
      const exchange: { abort?: () => void } = {};
      function endAttempt(outcome: AttemptRecord['ended'], why: string, retryAfter = 0): void {
        if (isEnded) return;
        isEnded = true;
        attempt.end = engine.now();
        attempt.ended = outcome;
        attempt.why = why;
        if (outcome === 'left') connection.open = false;
        if (connection.open) keptConnections.set(client, connection);
        const remaining = startedAt + kind.budget - engine.now();
        const mayRetry = kind.repeatable || kind.resumable || outcome === 'refused' || outcome === 'unread';
        if (outcome === 'unknown_key' && key !== undefined) ground.tenants.recordRefusal(client, key);
        if (isFinal(outcome) || !mayRetry || tries >= maxTries) return;
        if (kind.resumable) {
          const ids = [
            ...Buffer.concat(attempt.body)
              .toString()
              .matchAll(/id: (\d+)\n[^\n]*\n\n/g),
          ].map((m) => Number(m[1]));
          receivedEvents = Math.max(receivedEvents, ...ids);
          if (receivedEvents >= attempt.pieces) return;
        }
        const wait = retriesEagerly ? 0 : Math.min(retryAfter * 1e6 || 50_000 + random() * 100_000, remaining / 3);
        engine.at(engine.now() + wait, sendAttempt);
      }
      const maxSilenceUs = Math.max(2_000_000, 4 * kind.aim, 8 * kind.pause);
      function checkTimeouts(): void {
        if (isEnded) return;
        if (
          attempt.readAt === undefined &&
          (kind.repeatable || kind.resumable) &&
          engine.now() - attempt.at >= Math.min(connectTimeoutUs, left / 3)
        ) {
          exchange.abort?.();
          return endAttempt('unread', 'request not read in time');
        }
        if (engine.now() - lastBytesAt >= maxSilenceUs || engine.now() >= startedAt + kind.budget) {
          exchange.abort?.();
          return endAttempt('left', 'silence');
        }
        engine.at(engine.now() + 250_000, checkTimeouts);
      }
      // Partitioned or without power: connecting times out.
      if (
        network.isBlocked('clients', router.name) ||
        network.isBlocked(router.name, 'clients') ||
        ground.silent.has(router.name)
      )
        return engine.at(engine.now() + Math.min(connectTimeoutUs, left / 3), () =>
          endAttempt('unread', 'connect timeout'),
        );
      if (!router.proc.alive) return engine.at(engine.now() + 1000, () => endAttempt('unread', 'connection refused'));
      exchange.abort = router.receiveRequest(
        attempt,
        request,
        {
          onHead: () => {
            lastBytesAt = engine.now();
          },
          onBytes: (b) => {
            if (isEnded) return;
            if (attempt.firstByteAt !== undefined)
              attempt.maxGapUs = Math.max(attempt.maxGapUs, engine.now() - lastBytesAt);
            lastBytesAt = engine.now();
            attempt.firstByteAt ??= engine.now();
            attempt.body.push(b);
          },
          onEnd: endAttempt,
        },
        connection,
      );
      checkTimeouts();
    }
    sendAttempt();
  }

  const meanBatchSize = deployment.clump ?? 1;
  /** Geometrically distributed with mean `meanBatchSize`. */
  function drawBatchSize(): number {
    let count = 1;
    while (meanBatchSize > 1 && random() < 1 - 1 / meanBatchSize) count += 1;
    return count;
  }

  const self: VirtualClients = {
    rateFactor: 1,
    start: (until) => {
      probe();
      for (const kind of deployment.kinds) scheduleNext(kind);
      function scheduleNext(kind: PassedKind): void {
        engine.at(
          engine.now() - ((1e6 * meanBatchSize) / (kind.rate * self.rateFactor)) * Math.log(1 - random()),
          () => {
            if (engine.now() > until) return;
            for (let n = drawBatchSize(); n > 0; n -= 1) startTask(kind);
            scheduleNext(kind);
          },
        );
      }
    },
  };
  return self;
}
