/**
 * A fault schedule: a JSON line for each fault, with the second it happens at, what it is, and whom it hits. A
 * line that names an unknown kind or member is refused with its number before anything starts.
 */
import * as E from 'fp-ts/lib/Either.js';
import { BadScheduleError } from '@tansypost/inner-protocol';

export const faultKinds = [
  'kill',
  'freeze',
  'wake',
  'restart',
  'empty',
  'drain',
  'release',
  'dark',
  'light',
  'lapse',
  'submit',
  'crowd',
  'calm',
  'leave',
  'isolate',
  'one-way',
  'rejoin',
  'slow',
  'fast',
] as const;
export type FaultKind = (typeof faultKinds)[number];
export interface Fault {
  readonly at: number;
  readonly do: FaultKind;
  readonly who?: string;
}
const lone = new Set<FaultKind>(['submit', 'crowd', 'calm']);

export function parseFaultSchedule(text: string, members: readonly string[]): E.Either<Error, readonly Fault[]> {
  const out: Fault[] = [];
  const lines = text.split('\n');
  for (let i = 0; i < lines.length; i += 1) {
    const l = lines[i]!.trim();
    if (l === '' || l.startsWith('#')) continue;
    let f: Partial<Fault>;
    try {
      f = JSON.parse(l) as Partial<Fault>;
    } catch {
      return E.left(new BadScheduleError(`line ${i + 1}: not JSON; write {"at":5,"do":"kill","who":"router1"}`));
    }
    if (typeof f.at !== 'number' || f.at < 0)
      return E.left(new BadScheduleError(`line ${i + 1}: at must be a second from 0`));
    if (!faultKinds.includes(f.do as FaultKind))
      return E.left(
        new BadScheduleError(`line ${i + 1}: unknown kind ${String(f.do)}; use one of ${faultKinds.join(', ')}`),
      );
    if (!lone.has(f.do as FaultKind) && !members.includes(f.who ?? ''))
      return E.left(new BadScheduleError(`line ${i + 1}: unknown member ${String(f.who)}`));
    out.push(f as Fault);
  }
  return E.right(out.sort((a, b) => a.at - b.at));
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('refuses an unknown kind or member with its line', () => {
    const ok = '# a night\n{"at":2,"do":"kill","who":"router0"}\n{"at":1,"do":"submit"}';
    const r = parseFaultSchedule(ok, ['router0']);
    expect(E.isRight(r) && r.right.map((f) => f.do)).toEqual(['submit', 'kill']);
    for (const [bad, line] of [
      ['{"at":1,"do":"burn","who":"router0"}', 'line 1: unknown kind'],
      ['\n{"at":1,"do":"kill","who":"router9"}', 'line 2: unknown member'],
      ['{', 'line 1: not JSON'],
      ['{"do":"submit"}', 'line 1: at'],
    ] as const) {
      const x = parseFaultSchedule(bad, ['router0']);
      expect(E.isLeft(x) && x.left.message).toContain(line);
    }
  });
}
