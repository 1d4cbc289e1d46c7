/**
 * Handling of an operator's change at a control endpoint. An invalid change is refused, a change is accepted on top of
 * the revision it names, and a repeated submission gets the same answer.
 */
import { createHash } from 'node:crypto';
import { configurationKey, type ControlResponse, type ControlRequest } from '@tansypost/control-feed';
import { validateRouteTable, type RouteTable } from '@tansypost/paths';

export type SubmitAnswer = 'taken' | 'refused' | 'not now';
export interface SubmitOptions {
  readonly ask: (q: ControlRequest) => Promise<ControlResponse>;
  readonly now: () => number;
  // Skips validation, so that a test can see a check fail.
  readonly blind?: boolean;
}
const timeoutUs = 850_000;

export function parseRouteTable(text: string): RouteTable | undefined {
  try {
    return JSON.parse(text) as RouteTable;
  } catch {
    return undefined;
  }
}

export async function submit(options: SubmitOptions, text: string, base: number): Promise<SubmitAnswer> {
  const deadline = options.now() + timeoutUs;
  const table = parseRouteTable(text);
  if (table === undefined || (options.blind !== true && validateRouteTable(table).length > 0)) return 'refused';
  const change = createHash('sha256').update(text).digest('hex').slice(0, 24);
  const key = configurationKey;
  for (let n = 0; n < 4; n += 1) {
    const current = await options.ask({ op: 'read', key, deadline });
    if (current.status !== 'value') return 'not now';
    if (current.value.toString() === text) return 'taken';
    const revision = parseRouteTable(current.value.toString())?.revision ?? 0;
    if (revision >= table.revision) {
      const earlier = await options.ask({ op: 'lookup', key, change, deadline });
      if (earlier.status === 'done') return 'taken';
      if (earlier.status !== 'none') return 'not now';
    }
    if (base !== revision || table.revision <= revision) return 'refused';
    const result = await options.ask({
      op: 'write',
      key,
      change,
      base: current.version,
      value: Buffer.from(text),
      deadline,
    });
    if (result.status === 'done') return 'taken';
    if (result.status !== 'lost') return 'not now';
  }
  return 'not now';
}
