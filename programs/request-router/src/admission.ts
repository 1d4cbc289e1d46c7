/**
 * Decides who goes on to the workers when there are more requests than they can take. With room, a
 * request goes at once and nothing here is felt. Under overload it waits: kinds that used less than
 * their share of credits first (so a share that is not used is lent out, and only then), by worth within
 * that. Whoever cannot be reached within half of its patience is given up on at once.
 */
import { every, micros, type Cancel, type World } from '@tansypost/inner-protocol';

export interface AdmissionRequest {
  readonly fairShareKey: string;
  readonly share: number;
  readonly priority: number;
  readonly cost: number;
  readonly timeoutUs: number;
  // What of the patience went by before it came here.
  readonly elapsedUs: number;
}
export type AdmissionResult =
  | { readonly tag: 'go'; readonly started: () => void }
  | { readonly tag: 'shed'; readonly retryAfter: number }
  | { readonly tag: 'unable' };
export interface Admission {
  // `renew` gives the terms in force, as these may change while it waits.
  readonly requestSlot: (c: AdmissionRequest, renew?: () => AdmissionRequest) => Promise<AdmissionResult>;
  readonly queueLength: () => number;
  readonly requestFinished: () => void;
  readonly stop: Cancel;
}
interface Waiting {
  c: AdmissionRequest;
  readonly renew: () => AdmissionRequest;
  readonly since: number;
  readonly done: (a: AdmissionResult) => void;
}
const half = 10_000_000;

function allAble(): boolean {
  return true;
}

// While the router is not able to decide nothing waits here.
export function createAdmission(
  w: Pick<World, 'now' | 'after'>,
  room: (granted: number) => boolean,
  able: () => boolean = allAble,
): Admission {
  const used = new Map<string, { n: number; at: number; share: number }>();
  let queue: Waiting[] = [];
  let granted = 0;
  let pace = 0;
  let paceAt = w.now() as number;

  function spent(p: string): number {
    const u = used.get(p);
    return u === undefined ? 0 : u.n * 2 ** (-(w.now() - u.at) / half);
  }
  function charge(c: AdmissionRequest): void {
    used.set(c.fairShareKey, { n: spent(c.fairShareKey) + c.cost, at: w.now(), share: c.share });
  }
  function over(c: AdmissionRequest): boolean {
    const shares = new Map(queue.map((x) => [x.c.fairShareKey, x.c.share]));
    let all = 0;
    for (const [p, u] of used) {
      all += spent(p);
      shares.set(p, u.share);
    }
    const whole = [...shares.values()].reduce((a, b) => a + b, 0);
    return all > 0 && spent(c.fairShareKey) / all > c.share / Math.max(1e-9, whole);
  }
  function order(): void {
    const rank = new Map(queue.map((x) => [x, over(x.c) ? 1 : 0]));
    queue.sort((a, b) => rank.get(a)! - rank.get(b)! || b.c.priority - a.c.priority || a.since - b.since);
  }
  function rate(): number {
    return pace * 2 ** (-(w.now() - paceAt) / 2_000_000);
  }
  function left(): void {
    pace = rate() + Math.LN2 / 2;
    paceAt = w.now();
    drain();
  }
  function retryAfter(n: number): number {
    return Math.min(30, Math.max(1, Math.ceil(n / Math.max(0.2, rate()))));
  }

  // A place that was given away is taken until its holder has begun, else a whole crowd would go on one free place.
  function go(c: AdmissionRequest): AdmissionResult {
    charge(c);
    granted += 1;
    let over = false;
    return {
      tag: 'go',
      started: () => {
        if (!over) granted -= 1;
        over = true;
      },
    };
  }

  function drain(): void {
    if (queue.length === 0) return;
    if (!able()) {
      const xs = queue;
      queue = [];
      for (const x of xs) x.done({ tag: 'unable' });
      return;
    }
    for (const x of queue) x.c = x.renew();
    order();
    while (queue.length > 0 && room(granted)) {
      const x = queue.shift()!;
      x.done(go(x.c));
    }
    const r = rate();
    const keep: Waiting[] = [];
    for (const x of queue) {
      const waited = x.c.elapsedUs + w.now() - x.since;
      const wait = r > 0.2 ? ((keep.length + 1) / r) * 1e6 : 500_000;
      if (waited + wait > x.c.timeoutUs / 2) x.done({ tag: 'shed', retryAfter: retryAfter(queue.length) });
      else keep.push(x);
    }
    queue = keep;
  }

  function enter(c: AdmissionRequest, renew = (): AdmissionRequest => c): Promise<AdmissionResult> {
    if (queue.length === 0 && room(granted)) return Promise.resolve(go(c));
    return new Promise((done) => {
      queue.push({ c, renew, since: w.now(), done });
      drain();
    });
  }
  const stop = every(w, () => micros(20_000), drain);
  return { requestSlot: enter, queueLength: () => queue.length, requestFinished: left, stop };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  function bench(): { a: Admission; step: (us: number) => void; free: (n: number) => void } {
    let [t, slots] = [0, 0];
    let timers: { at: number; f: () => void }[] = [];
    const a = createAdmission(
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
      a,
      step,
      free: (n) => {
        slots += n;
      },
    };
  }
  function kind(purse: string, x: Partial<AdmissionRequest> = {}): AdmissionRequest {
    return { fairShareKey: purse, share: 1, priority: 1, cost: 1, timeoutUs: 4_000_000, elapsedUs: 0, ...x };
  }
  it('gives up at once on what it cannot reach, far before its patience ends, and says when to come back', async () => {
    const b = bench();
    const r = b.a.requestSlot(kind('p', { timeoutUs: 800_000 }));
    expect(await r).toMatchObject({ tag: 'shed' });
    expect(((await r) as { retryAfter: number }).retryAfter).toBeGreaterThanOrEqual(1);
  });
  it('lets nothing wait where the router may not decide any more', async () => {
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
    const x = a.requestSlot(kind('p'));
    for (const f of ticks.splice(0)) f();
    expect(a.queueLength()).toBe(1);
    able = false;
    for (const f of ticks.splice(0)) f();
    expect(await x).toEqual({ tag: 'unable' });
    expect(a.queueLength()).toBe(0);
  });
  it('goes by the terms in force, which may change while a request waits', async () => {
    const b = bench();
    let worth = 1;
    const went: string[] = [];
    const all = [
      b.a.requestSlot(kind('p', { priority: 2 })).then(() => went.push('same')),
      b.a
        .requestSlot(kind('p', { priority: worth }), () => kind('p', { priority: worth }))
        .then(() => went.push('raised')),
    ];
    worth = 3;
    b.free(1);
    b.step(20_000);
    await Promise.race(all);
    b.free(1);
    b.step(20_000);
    await Promise.all(all);
    expect(went).toEqual(['raised', 'same']);
  });
  it('lets the one under its share go first, then the worthier', async () => {
    const b = bench();
    b.free(8);
    for (let i = 0; i < 8; i += 1) {
      const x = await b.a.requestSlot(kind('greedy'));
      if (x.tag === 'go') x.started();
    }
    const went: string[] = [];
    const all = [kind('greedy', { priority: 9 }), kind('modest', { priority: 1 }), kind('modest', { priority: 5 })].map(
      async (c, i) => {
        const x = await b.a.requestSlot(c);
        if (x.tag === 'go') went.push(`${c.fairShareKey}${i}`);
      },
    );
    for (let i = 0; i < 3; i += 1) {
      b.free(1);
      b.step(20_000);
      await Promise.resolve();
      await Promise.resolve();
    }
    await Promise.all(all);
    expect(went).toEqual(['modest2', 'modest1', 'greedy0']);
  });
}
