/** Counts lost requests by what they were lost to. */
import type { MissedRequest } from './parse-missed-requests.js';

/** A row of a table of losses. */
export interface CauseRow {
  readonly key: readonly string[];
  readonly count: number;
  /** The mean excess over the aim until the first piece, in milliseconds; undefined where none had one. */
  readonly meanExcessMs: number | undefined;
  readonly meanPromptTokens: number;
}

/** Bounds of the sizes of prompts that are counted apart, in tokens. */
const sizeBounds = [512, 2048, 8192, 16_384, 32_768];

/** The size of a prompt as a range. */
export function sizeRange(tokens: number): string {
  const above = sizeBounds.filter((bound) => tokens >= bound);
  const low = above.at(-1) ?? 0;
  const high = sizeBounds[above.length];
  return high === undefined ? `${low}+` : `${low}-${high - 1}`;
}

/** Whether the prompt was read apart from its run, at the runner, or not at all. */
export function placementOf(loss: MissedRequest): 'apart' | 'alone' | 'no prompt' {
  if (loss.prompt === 0) return 'no prompt';
  return loss.reads > 0 ? 'apart' : 'alone';
}

function mean(values: readonly number[]): number | undefined {
  return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length;
}

function rowOf(key: readonly string[], losses: readonly MissedRequest[]): CauseRow {
  const excess = losses.filter((loss) => loss.firstMs >= 0).map((loss) => loss.firstMs - loss.aimMs);
  return {
    key,
    count: losses.length,
    meanExcessMs: mean(excess),
    meanPromptTokens: mean(losses.map((loss) => loss.prompt)) ?? 0,
  };
}

/** Groups losses by the texts that `keyOf` gives, the largest group first. */
export function groupMissedRequests(
  losses: readonly MissedRequest[],
  keyOf: (loss: MissedRequest) => readonly string[],
): CauseRow[] {
  const groups = new Map<string, { key: readonly string[]; of: MissedRequest[] }>();
  for (const loss of losses) {
    const key = keyOf(loss);
    const name = key.join('\n');
    const group = groups.get(name) ?? { key, of: [] };
    group.of.push(loss);
    groups.set(name, group);
  }
  return [...groups.values()].map((group) => rowOf(group.key, group.of)).sort((a, b) => b.count - a.count);
}

/** How many requests were lost to each cause in each second. */
export function countCausesBySecond(losses: readonly MissedRequest[]): Map<number, Map<string, number>> {
  const seconds = new Map<number, Map<string, number>>();
  for (const loss of losses) {
    const second = Math.floor(loss.second);
    const causes = seconds.get(second) ?? new Map<string, number>();
    const name = causeName(loss);
    causes.set(name, (causes.get(name) ?? 0) + 1);
    seconds.set(second, causes);
  }
  return seconds;
}

/** The cause of a late request, or how it ended where it had no whole answer. */
export function causeName(loss: MissedRequest): string {
  return loss.outcome.startsWith('late') ? loss.cause : `${loss.outcome}: ${loss.cause}`;
}
