/**
 * The speed class of each worker, read from the pace that this router has seen: prefill tokens that were
 * not expected in its cache, a second, when the worker had little else to do. Workers state no
 * hardware type. Class 0 is unknown; 1 to 3 are slow, middle and fast against the fleet's median.
 */

export interface ThroughputTracker {
  readonly record: (worker: string, missTokens: number, us: number, load: number) => void;
  readonly speedClass: (worker: string) => number;
  readonly removeWorker: (worker: string) => void;
}

export function createThroughputTracker(): ThroughputTracker {
  const table = new Map<string, { pace: number; n: number }>();
  function saw(worker: string, miss: number, us: number, load: number): void {
    if (miss < 32 || us <= 0 || load > 2) return;
    const p = (miss * 1e6) / us;
    const t = table.get(worker) ?? { pace: p, n: 0 };
    table.set(worker, { pace: t.pace + 0.1 * (p - t.pace), n: t.n + 1 });
  }
  function speedClass(worker: string): number {
    const t = table.get(worker);
    if (t === undefined || t.n < 5) return 0;
    const ps = [...table.values()]
      .filter((x) => x.n >= 5)
      .map((x) => x.pace)
      .sort((a, b) => a - b);
    const mid = ps[Math.floor(ps.length / 2)]!;
    if (t.pace < 0.75 * mid) return 1;
    return t.pace > 1.33 * mid ? 3 : 2;
  }
  return { record: saw, speedClass, removeWorker: (w) => table.delete(w) };
}
