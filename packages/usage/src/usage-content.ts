/** The content of the usage report for one window. */

/**
 * The number of requests that started to run within a window, by tenant. Tenants without requests are omitted; the others
 * are sorted by name.
 */
export interface UsageContent {
  readonly window: number;
  readonly counts: { readonly [tenant: string]: number };
}

function byName([a]: readonly [string, number], [b]: readonly [string, number]): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** Creates the content of a window. The same counts give the same content, regardless of their order. */
export function createUsageContent(window: number, counts: ReadonlyMap<string, number>): UsageContent {
  const nonZero = [...counts].filter(([, count]) => count > 0);
  return { window, counts: Object.fromEntries(nonZero.sort(byName)) };
}

/** Encodes the content as JSON; equal contents give equal strings. */
export function encodeUsageContent(content: UsageContent): string {
  return JSON.stringify({ window: content.window, counts: content.counts });
}
