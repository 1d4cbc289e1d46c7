/**
 * Admission control. While there is capacity a request is admitted at once. Under overload requests are queued: those of
 * kinds that used less than their fair share of credits come first, so that an unused share is lent to others and only
 * then; among equals the higher priority comes first. A request that cannot be admitted within half of its timeout is shed
 * at once.
 */
import { every, micros, type Cancel, type World } from '@tansypost/inner-protocol';

/** What admission needs to know of a request; kinds with the same `fairShareKey` share their credits. */
export interface AdmissionRequest {
  readonly fairShareKey: string;
  readonly share: number;
  readonly priority: number;
  readonly cost: number;
  readonly timeoutUs: number;
  // The part of the timeout that passed before the request arrived here.
  readonly elapsedUs: number;
}
/**
 * `go`: admitted; `started` must be called once the first attempt has begun. `shed`: rejected because of overload; retry
 * after so many seconds. `unable`: the router may not handle requests at present.
 */
export type AdmissionResult =
  | { readonly tag: 'go'; readonly started: () => void }
  | { readonly tag: 'shed'; readonly retryAfter: number }
  | { readonly tag: 'unable' };
/** The admission queue. */
export interface Admission {
  /** `refresh` returns the request by the template in force, which may change while the request is queued. */
  readonly requestSlot: (request: AdmissionRequest, refresh?: () => AdmissionRequest) => Promise<AdmissionResult>;
  readonly queueLength: () => number;
  /** Tells that an admitted or rejected request has ended, which the drain rate is estimated from. */
  readonly requestFinished: () => void;
  readonly stop: Cancel;
}
interface QueuedRequest {
  request: AdmissionRequest;
  readonly refresh: () => AdmissionRequest;
  readonly queuedAt: number;
  readonly resolve: (result: AdmissionResult) => void;
}
// Used credits decay with this half-life.
const creditHalfLifeUs = 10_000_000;

function alwaysAble(): boolean {
  return true;
}

/** Creates the admission queue; while `isAble` is false no request stays queued. */
export function createAdmission(
  world: Pick<World, 'now' | 'after'>,
  hasRoom: (grantedSlots: number) => boolean,
  isAble: () => boolean = alwaysAble,
): Admission {
  const creditsUsed = new Map<string, { credits: number; at: number; share: number }>();
  let queue: QueuedRequest[] = [];
  let granted = 0;
  let finishRate = 0;
  let finishRateAt = world.now() as number;

  function decayedCredits(key: string): number {
    const usage = creditsUsed.get(key);
    return usage === undefined ? 0 : usage.credits * 2 ** (-(world.now() - usage.at) / creditHalfLifeUs);
  }
  function charge(request: AdmissionRequest): void {
    creditsUsed.set(request.fairShareKey, {
      credits: decayedCredits(request.fairShareKey) + request.cost,
      at: world.now(),
      share: request.share,
    });
  }
  function isOverShare(request: AdmissionRequest): boolean {
    const shares = new Map(queue.map((x) => [x.request.fairShareKey, x.request.share]));
    let totalUsed = 0;
    for (const [key, usage] of creditsUsed) {
      totalUsed += decayedCredits(key);
      shares.set(key, usage.share);
    }
    const totalShare = [...shares.values()].reduce((a, b) => a + b, 0);
    return (
      totalUsed > 0 && decayedCredits(request.fairShareKey) / totalUsed > request.share / Math.max(1e-9, totalShare)
    );
  }
  function sortQueue(): void {
    const overShare = new Map(queue.map((x) => [x, isOverShare(x.request) ? 1 : 0]));
    queue.sort(
      (a, b) =>
        overShare.get(a)! - overShare.get(b)! || b.request.priority - a.request.priority || a.queuedAt - b.queuedAt,
    );
  }
  // Finished requests per second, as a decaying average with a half-life of 2 s.
  function currentRate(): number {
    return finishRate * 2 ** (-(world.now() - finishRateAt) / 2_000_000);
  }
  function requestFinished(): void {
    finishRate = currentRate() + Math.LN2 / 2;
    finishRateAt = world.now();
    drain();
  }
  function retryAfter(position: number): number {
    return Math.min(30, Math.max(1, Math.ceil(position / Math.max(0.2, currentRate()))));
  }

  // A granted slot counts as taken until its request has started; otherwise many queued requests would be admitted to one
  // free slot at the same time.
  function grantSlot(request: AdmissionRequest): AdmissionResult {
    charge(request);
    granted += 1;
    let released = false;
    return {
      tag: 'go',
      started: () => {
        if (!released) granted -= 1;
        released = true;
      },
    };
  }

  function drain(): void {
    if (queue.length === 0) return;
    if (!isAble()) {
      const pending = queue;
      queue = [];
      for (const waiting of pending) waiting.resolve({ tag: 'unable' });
      return;
    }
    for (const waiting of queue) waiting.request = waiting.refresh();
    sortQueue();
    while (queue.length > 0 && hasRoom(granted)) {
      const next = queue.shift()!;
      next.resolve(grantSlot(next.request));
    }
    const drainRate = currentRate();
    const remaining: QueuedRequest[] = [];
    for (const waiting of queue) {
      const elapsedUs = waiting.request.elapsedUs + world.now() - waiting.queuedAt;
      const expectedWaitUs = drainRate > 0.2 ? ((remaining.length + 1) / drainRate) * 1e6 : 500_000;
      if (elapsedUs + expectedWaitUs > waiting.request.timeoutUs / 2)
        waiting.resolve({ tag: 'shed', retryAfter: retryAfter(queue.length) });
      else remaining.push(waiting);
    }
    queue = remaining;
  }

  function requestSlot(request: AdmissionRequest, refresh = (): AdmissionRequest => request): Promise<AdmissionResult> {
    if (queue.length === 0 && hasRoom(granted)) return Promise.resolve(grantSlot(request));
    return new Promise((resolve) => {
      queue.push({ request, refresh, queuedAt: world.now(), resolve });
      drain();
    });
  }
  const stop = every(world, () => micros(20_000), drain);
  return { requestSlot, queueLength: () => queue.length, requestFinished, stop };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  function createFixture(): { admission: Admission; step: (us: number) => void; freeSlots: (n: number) => void } {
    let [t, slots] = [0, 0];
    let timers: { at: number; f: () => void }[] = [];
    const admission = createAdmission(
      {
        now: () => micros(t),
        after: (d, f) => {
          const x = { at: t + d, f };
          timers.push(x);
          return () => {
            timers = timers.filter((y) => y !== x);
          };
        },
      },
      () => slots > 0 && ((slots -= 1), true),
    );
    function step(us: number): void {
      const end = t + us;
      for (;;) {
        const n = timers.filter((x) => x.at <= end).sort((p, q) => p.at - q.at)[0];
        if (n === undefined) break;
        timers = timers.filter((x) => x !== n);
        t = n.at;
        n.f();
      }
      t = end;
    }
    return {
      admission,
      step,
      freeSlots: (count) => {
        slots += count;
      },
    };
  }
  function admissionRequest(purse: string, x: Partial<AdmissionRequest> = {}): AdmissionRequest {
    return { fairShareKey: purse, share: 1, priority: 1, cost: 1, timeoutUs: 4_000_000, elapsedUs: 0, ...x };
  }
  it('sheds a request that it cannot admit in time, long before its timeout, and says when to retry', async () => {
    const fixture = createFixture();
    const r = fixture.admission.requestSlot(admissionRequest('p', { timeoutUs: 800_000 }));
    expect(await r).toMatchObject({ tag: 'shed' });
    expect(((await r) as { retryAfter: number }).retryAfter).toBeGreaterThanOrEqual(1);
  });
  it('keeps no request queued when the router may no longer handle requests', async () => {
    let able = true;
    const ticks: (() => void)[] = [];
    const a = createAdmission(
      {
        now: () => micros(0),
        after: (_d, f) => {
          ticks.push(f);
          return () => undefined;
        },
      },
      () => false,
      () => able,
    );
    const x = a.requestSlot(admissionRequest('p'));
    for (const f of ticks.splice(0)) f();
    expect(a.queueLength()).toBe(1);
    able = false;
    for (const f of ticks.splice(0)) f();
    expect(await x).toEqual({ tag: 'unable' });
    expect(a.queueLength()).toBe(0);
  });
  it('uses the template in force, which may change while a request is queued', async () => {
    const fixture = createFixture();
    let priority = 1;
    const admitted: string[] = [];
    const all = [
      fixture.admission.requestSlot(admissionRequest('p', { priority: 2 })).then(() => admitted.push('same')),
      fixture.admission
        .requestSlot(admissionRequest('p', { priority }), () => admissionRequest('p', { priority }))
        .then(() => admitted.push('raised')),
    ];
    priority = 3;
    fixture.freeSlots(1);
    fixture.step(20_000);
    await Promise.race(all);
    fixture.freeSlots(1);
    fixture.step(20_000);
    await Promise.all(all);
    expect(admitted).toEqual(['raised', 'same']);
  });
  it('admits requests under their fair share first, then by priority', async () => {
    const fixture = createFixture();
    fixture.freeSlots(8);
    for (let i = 0; i < 8; i += 1) {
      const x = await fixture.admission.requestSlot(admissionRequest('greedy'));
      if (x.tag === 'go') x.started();
    }
    const admitted: string[] = [];
    const all = [
      admissionRequest('greedy', { priority: 9 }),
      admissionRequest('modest', { priority: 1 }),
      admissionRequest('modest', { priority: 5 }),
    ].map(async (c, i) => {
      const x = await fixture.admission.requestSlot(c);
      if (x.tag === 'go') admitted.push(`${c.fairShareKey}${i}`);
    });
    for (let i = 0; i < 3; i += 1) {
      fixture.freeSlots(1);
      fixture.step(20_000);
      await Promise.resolve();
      await Promise.resolve();
    }
    await Promise.all(all);
    expect(admitted).toEqual(['modest2', 'modest1', 'greedy0']);
  });
}
