/**
 * Open-loop load generator: sends requests as a Poisson process with the given mean rate for a bounded time, and waits for
 * all outcomes. Each request goes to a random router; a router that could not be reached is avoided for 2 s.
 */
import type { Agent } from 'undici';
import { createSeededRandom } from '@tansypost/inner-protocol';
import { sendRequest, type Outcome } from './requester.js';
import type { TrafficSource } from './traffic.js';

export interface LoadOptions {
  readonly traffic: TrafficSource;
  readonly rate: number | ((at: number) => number);
  readonly seconds: number;
  readonly seed: number;
  readonly routers: () => readonly string[];
  readonly agent: Agent;
  readonly shouldStop?: () => boolean;
  readonly onOutcome?: (outcome: Outcome) => void;
}

export async function runLoad(options: LoadOptions): Promise<Outcome[]> {
  const random = createSeededRandom(options.seed ^ 0x5bd1e995);
  const outcomes: Outcome[] = [];
  const pending = new Set<Promise<void>>();
  const avoidedUntil = new Map<string, number>();
  const startedAt = performance.now();
  // Sends one request and records its outcome; without a reachable router it tries any.
  async function sendNext(): Promise<void> {
    const at = (performance.now() - startedAt) / 1000;
    const routers = options.routers();
    const reachable = routers.filter((router) => (avoidedUntil.get(router) ?? 0) < performance.now());
    const candidates = reachable.length > 0 ? reachable : routers;
    const router = candidates[Math.floor(random() * candidates.length)]!;
    const outcome = await sendRequest(router, options.traffic.next(at), options.agent);
    if (outcome.ended === 'unreachable') avoidedUntil.set(router, performance.now() + 2000);
    outcomes.push(outcome);
    options.onOutcome?.(outcome);
  }
  let nextSendAt = 0;
  for (;;) {
    const at = (performance.now() - startedAt) / 1000;
    if (at > options.seconds || options.shouldStop?.() === true) break;
    while (nextSendAt <= at) {
      const request: Promise<void> = sendNext().finally(() => pending.delete(request));
      pending.add(request);
      const rate = typeof options.rate === 'number' ? options.rate : options.rate(nextSendAt);
      nextSendAt += -Math.log(1 - random()) / Math.max(0.1, rate);
    }
    await new Promise((resolve) => setTimeout(resolve, Math.max(1, Math.min(20, (nextSendAt - at) * 1000))));
  }
  await Promise.all(pending);
  return outcomes;
}
