/**
 * Drives traffic at a mean rate with random gaps, bounded in rate and time, and waits for every outcome. The
 * deployment's requesters ask a router of their own zone; one that cannot be reached is left alone for a while.
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
  readonly onOutcome?: (o: Outcome) => void;
}

export async function runLoad(o: LoadOptions): Promise<Outcome[]> {
  const r = createSeededRandom(o.seed ^ 0x5bd1e995);
  const out: Outcome[] = [];
  const open = new Set<Promise<void>>();
  const resting = new Map<string, number>();
  const from = performance.now();
  async function one(): Promise<void> {
    const at = (performance.now() - from) / 1000;
    const rs = o.routers();
    const well = rs.filter((x) => (resting.get(x) ?? 0) < performance.now());
    const from2 = well.length > 0 ? well : rs;
    const router = from2[Math.floor(r() * from2.length)]!;
    const x = await sendRequest(router, o.traffic.next(at), o.agent);
    if (x.ended === 'unreachable') resting.set(router, performance.now() + 2000);
    out.push(x);
    o.onOutcome?.(x);
  }
  let due = 0;
  for (;;) {
    const at = (performance.now() - from) / 1000;
    if (at > o.seconds || o.shouldStop?.() === true) break;
    while (due <= at) {
      const p: Promise<void> = one().finally(() => open.delete(p));
      open.add(p);
      const rate = typeof o.rate === 'number' ? o.rate : o.rate(due);
      due += -Math.log(1 - r()) / Math.max(0.1, rate);
    }
    await new Promise((ok) => setTimeout(ok, Math.max(1, Math.min(20, (due - at) * 1000))));
  }
  await Promise.all(open);
  return out;
}
