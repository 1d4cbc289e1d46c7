/**
 * What a machine that serves control does with an operator's change: refuses what is invalid, takes a change on top of
 * the revision it names, and gives the same answer when it is sent again.
 */
import { createHash } from 'node:crypto';
import { configurationKey, type ControlResponse, type ControlRequest } from '@tansypost/control-feed';
import { validateRouteTable, type RouteTable } from '@tansypost/paths';

export type SubmitAnswer = 'taken' | 'refused' | 'not now';
export interface SubmitOptions {
  readonly ask: (q: ControlRequest) => Promise<ControlResponse>;
  readonly now: () => number;
  // Lets what is invalid through, to see a check fail.
  readonly blind?: boolean;
}
const patience = 850_000;

export function tableOf(text: string): RouteTable | undefined {
  try {
    return JSON.parse(text) as RouteTable;
  } catch {
    return undefined;
  }
}

export async function submit(o: SubmitOptions, text: string, base: number): Promise<SubmitAnswer> {
  const limit = o.now() + patience;
  const t = tableOf(text);
  if (t === undefined || (o.blind !== true && validateRouteTable(t).length > 0)) return 'refused';
  const change = createHash('sha256').update(text).digest('hex').slice(0, 24);
  const key = configurationKey;
  for (let n = 0; n < 4; n += 1) {
    const was = await o.ask({ op: 'read', key, deadline: limit });
    if (was.status !== 'value') return 'not now';
    if (was.value.toString() === text) return 'taken';
    const revision = tableOf(was.value.toString())?.revision ?? 0;
    if (revision >= t.revision) {
      const had = await o.ask({ op: 'lookup', key, change, deadline: limit });
      if (had.status === 'done') return 'taken';
      if (had.status !== 'none') return 'not now';
    }
    if (base !== revision || t.revision <= revision) return 'refused';
    const a = await o.ask({ op: 'write', key, change, base: was.version, value: Buffer.from(text), deadline: limit });
    if (a.status === 'done') return 'taken';
    if (a.status !== 'lost') return 'not now';
  }
  return 'not now';
}
