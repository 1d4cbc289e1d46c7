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
    const shares = new Map(queue.map((queued) => [queued.request.fairShareKey, queued.request.share]));
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
    const overShare = new Map(queue.map((queued) => [queued, isOverShare(queued.request) ? 1 : 0]));
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
