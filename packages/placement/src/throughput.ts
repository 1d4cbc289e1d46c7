/**
 * The speed class of each worker, derived from its prefill throughput as this router has observed it: tokens a second that
 * were not expected to be cached, measured while the worker had little else to do. Workers report no hardware type.
 * Class 0 is unknown; 1, 2 and 3 are slow, middle and fast, relative to the median of the fleet.
 */

/** Tracks the prefill throughput of workers. */
export interface ThroughputTracker {
  /** Records a prefill: tokens not expected to be cached, how long it took in microseconds, and the worker's load. */
  readonly record: (worker: string, missTokens: number, us: number, load: number) => void;
  /** 0 (unknown) to 3 (fast). */
  readonly speedClass: (worker: string) => number;
  readonly removeWorker: (worker: string) => void;
}

/** Creates a tracker that has observed nothing. */
export function createThroughputTracker(): ThroughputTracker {
  const observed = new Map<string, { tokensPerSecond: number; samples: number }>();
  // Prefills of fewer than 32 tokens, and those at a worker with more than two requests, say little about its speed.
  function record(worker: string, missTokens: number, us: number, load: number): void {
    if (missTokens < 32 || us <= 0 || load > 2) return;
    const latest = (missTokens * 1e6) / us;
    const average = observed.get(worker) ?? { tokensPerSecond: latest, samples: 0 };
    observed.set(worker, {
      tokensPerSecond: average.tokensPerSecond + 0.1 * (latest - average.tokensPerSecond),
      samples: average.samples + 1,
    });
  }
  function speedClass(worker: string): number {
    const average = observed.get(worker);
    if (average === undefined || average.samples < 5) return 0;
    const sorted = [...observed.values()]
      .filter((other) => other.samples >= 5)
      .map((other) => other.tokensPerSecond)
      .sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)]!;
    if (average.tokensPerSecond < 0.75 * median) return 1;
    return average.tokensPerSecond > 1.33 * median ? 3 : 2;
  }
  return { record, speedClass, removeWorker: (worker) => observed.delete(worker) };
}
