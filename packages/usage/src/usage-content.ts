/** What is reported of one window. */

/**
 * The requests that began to run within a window, by tenant. Tenants without any are left out; the others are in the
 * order of their names.
 */
export interface UsageContent {
  readonly window: number;
  readonly counts: { readonly [tenant: string]: number };
}

function byName([a]: readonly [string, number], [b]: readonly [string, number]): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** The content of a window; the same counts give the same content, in whichever order they came. */
export function createUsageContent(window: number, counts: ReadonlyMap<string, number>): UsageContent {
  const counted = [...counts].filter(([, count]) => count > 0);
  return { window, counts: Object.fromEntries(counted.sort(byName)) };
}

/** The content as JSON; equal contents give equal texts. */
export function encodeUsageContent(content: UsageContent): string {
  return JSON.stringify({ window: content.window, counts: content.counts });
}
