/**
 * The duty of assigning parts. A worker seen for the first time gets the part that has fewer; from then on a
 * part changes only by a rehearsal: the worker plays both for the slice's sake, and goes over when the
 * measurement shows no harm. Every order carries the duty's epoch. The first thing a new holder does is to fence
 * every worker, so that whatever an earlier holder still has in hand is refused.
 */
import { micros, type WorkerStateEntry, type WorkerReport, type World } from '@tansypost/inner-protocol';
import {
  beginRehearsal,
  endRehearsal,
  decodeRehearsalRecord,
  type WorkerStage,
  type StageEntry,
  type RehearsalRecord,
} from '@tansypost/rehearsal';
import type { RecordWriter } from '@tansypost/learning';

export interface PartsDutyOptions {
  readonly holds: () => number | undefined;
  readonly record: () => Buffer | undefined;
  readonly workers: () => WorkerStateEntry[];
  readonly reports: () => WorkerReport[];
  readonly writer: RecordWriter;
  readonly order: (m: WorkerStateEntry, epoch: number, part: WorkerStage | '') => Promise<boolean | undefined>;
  readonly shift: boolean;
  readonly slice: number;
  readonly approval: () => 'automatic' | 'operator';
  readonly hold?: number;
  readonly rest?: number;
}
export interface PartsDuty {
  readonly won: () => void;
  readonly tick: () => void;
  readonly orders: () => number;
}

export function partOf(r: RehearsalRecord, m: WorkerStateEntry): WorkerStage | undefined {
  const s = r.running?.subject;
  if (s?.type === 'part' && s.shift.worker === m.worker && s.shift.incarnation === m.incarnation) return 'both';
  const e = r.parts[m.worker];
  return e !== undefined && e.incarnation === m.incarnation ? e.part : undefined;
}

// Parts for workers that have none yet; a worker back under a new incarnation keeps the part it had.
export function assignNew(r: RehearsalRecord, ms: readonly WorkerStateEntry[]): RehearsalRecord | undefined {
  const parts: Record<string, StageEntry> = { ...r.parts };
  let changed = false;
  function n(p: WorkerStage): number {
    return ms.filter((m) => parts[m.worker]?.part === p).length;
  }
  for (const m of [...ms].sort((a, b) => (a.worker < b.worker ? -1 : 1))) {
    const e = parts[m.worker];
    if (e?.incarnation === m.incarnation) continue;
    changed = true;
    parts[m.worker] = {
      incarnation: m.incarnation,
      part: ms.length === 1 ? 'both' : (e?.part ?? (n('prefill') <= n('decode') ? 'prefill' : 'decode')),
    };
  }
  for (const p of ['prefill', 'decode'] as const) {
    if (ms.length > 0 && n(p) + n('both') === 0) {
      const m = [...ms].sort((a, b) => (a.worker < b.worker ? -1 : 1))[0]!;
      parts[m.worker] = { incarnation: m.incarnation, part: 'both' };
      changed = true;
    }
  }
  if (!changed) return undefined;
  // A worker that came back anew has left its rehearsal; what it had gone over to live is rolled back with it.
  const s = r.running?.subject;
  const left = s?.type === 'part' && parts[s.shift.worker]?.incarnation !== s.shift.incarnation;
  if (!left) return { ...r, parts };
  const ended = endRehearsal({ ...r, parts }, 'superseded');
  return {
    ...ended,
    parts: { ...parts, [s.shift.worker]: { incarnation: parts[s.shift.worker]!.incarnation, part: s.shift.from } },
  };
}

export interface Pressure {
  readonly prefill: number;
  readonly decode: number;
}
export function pressure(
  r: RehearsalRecord,
  ms: readonly WorkerStateEntry[],
  rs: readonly WorkerReport[],
): Pressure | undefined {
  const at = new Map(rs.filter((x) => x.age < 5_000_000).map((x) => [`${x.worker}/${x.incarnation}`, x]));
  function mean(p: WorkerStage, f: (x: WorkerReport) => number): number | undefined {
    const xs = ms
      .filter((m) => partOf(r, m) === p)
      .map((m) => at.get(`${m.worker}/${m.incarnation}`))
      .filter((x) => x !== undefined);
    return xs.length === 0 ? undefined : xs.reduce((a, x) => a + f(x), 0) / xs.length;
  }
  const p = mean('prefill', (x) => x.queued + x.active);
  const d = mean('decode', (x) => Math.max(x.active / 12, 2 * x.kvUsed));
  return p === undefined || d === undefined ? undefined : { prefill: p, decode: d };
}

export function createPartsDuty(w: World, o: PartsDutyOptions): PartsDuty {
  const ordered = new Map<string, { epoch: number; part: WorkerStage | '' }>();
  let busy = false;
  let fencing: number | undefined;
  let orders = 0;
  let lean: { to: WorkerStage; since: number } | undefined;
  let restUntil = 0;

  async function send(m: WorkerStateEntry, epoch: number, part: WorkerStage | ''): Promise<void> {
    if (o.holds() !== epoch) return;
    orders += 1;
    // A cut link may hold an order and deliver it long after this tenure, to a worker that no later holder could reach. So
    // a part is ordered only right after the worker has answered a fence, which changes nothing when it comes late.
    if (part !== '' && ((await o.order(m, epoch, '')) !== true || o.holds() !== epoch)) return;
    const ok = await o.order(m, epoch, part);
    if (ok === true) {
      ordered.set(`${m.worker}/${m.incarnation}`, { epoch, part });
      w.log(4103, { worker: m.worker, part, epoch });
    }
  }

  function won(): void {
    ordered.clear();
    lean = undefined;
    restUntil = w.now() + 10_000_000;
    const e = o.holds();
    if (e === undefined) return;
    fencing = e;
    void Promise.all(o.workers().map((m) => send(m, e, ''))).finally(() => {
      if (fencing === e) fencing = undefined;
    });
  }

  function tick(): void {
    const epoch = o.holds();
    const b = o.record();
    if (epoch === undefined || b === undefined || busy || fencing === epoch) return;
    const r = decodeRehearsalRecord(b);
    const ms = o.workers();
    busy = true;
    void work(r, ms, epoch).finally(() => {
      w.after(micros(200_000), () => {
        busy = false;
      });
    });
  }

  async function work(r: RehearsalRecord, ms: WorkerStateEntry[], epoch: number): Promise<void> {
    if (ms.length > 0 && assignNew(r, ms) !== undefined) {
      await o.writer.update(
        (x) => assignNew(x, ms),
        () => o.holds() === epoch,
      );
      return;
    }
    await Promise.all(
      ms.map(async (m) => {
        const want = partOf(r, m) ?? '';
        const had = ordered.get(`${m.worker}/${m.incarnation}`);
        if (had === undefined || had.epoch !== epoch || (want !== '' && had.part !== want)) await send(m, epoch, want);
      }),
    );
    await propose(r, ms, epoch);
  }

  async function propose(r: RehearsalRecord, ms: WorkerStateEntry[], epoch: number): Promise<void> {
    const p = pressure(r, ms, o.reports());
    if (!o.shift || r.running !== undefined || p === undefined || w.now() < restUntil) {
      lean = undefined;
      return;
    }
    const to: WorkerStage | undefined =
      p.prefill > 2 && p.prefill > 2.5 * p.decode
        ? 'prefill'
        : p.decode > 1 && p.decode > 2.5 * p.prefill
          ? 'decode'
          : undefined;
    if (to === undefined) {
      lean = undefined;
      return;
    }
    if (lean?.to !== to) lean = { to, since: w.now() };
    if (w.now() - lean.since < (o.hold ?? 8_000_000)) return;
    const from: WorkerStage = to === 'prefill' ? 'decode' : 'prefill';
    const give = ms.filter((m) => partOf(r, m) === from);
    if (give.length < 2) return;
    const m = give[0]!;
    restUntil = w.now() + (o.rest ?? 60_000_000);
    const shift = { worker: m.worker, incarnation: m.incarnation, from, to };
    await o.writer.update(
      (x) =>
        x.running === undefined && partOf(x, m) === from
          ? beginRehearsal(
              x,
              `part-${epoch}-${m.worker}-${Math.floor(w.random() * 1e6)}`,
              { type: 'part', shift },
              o.slice,
              o.approval(),
            )
          : undefined,
      () => o.holds() === epoch,
    );
  }
  return { won, tick, orders: () => orders };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { emptyRecord } = await import('@tansypost/rehearsal');
  function mark(worker: string, incarnation = 1): WorkerStateEntry {
    return { worker, incarnation, state: 1, address: 'x' };
  }
  it('splits new workers evenly, keeps the part over a new incarnation, and never leaves a part empty', () => {
    const ms = ['a', 'b', 'c', 'd', 'e'].map((x) => mark(x));
    const r = assignNew(emptyRecord, ms)!;
    expect(Object.values(r.parts).filter((p) => p.part === 'prefill').length).toBe(3);
    expect(assignNew(r, ms)).toBeUndefined();
    expect(assignNew(r, [mark('b', 2), ...ms.filter((m) => m.worker !== 'b')])!.parts['b']).toEqual({
      incarnation: 2,
      part: 'decode',
    });
    const left = ms.filter((m) => r.parts[m.worker]!.part === 'decode');
    expect(Object.values(assignNew(r, left)!.parts).some((p) => p.part === 'both')).toBe(true);
  });
  it('orders a part only of a worker that has just answered a fence', async () => {
    const asked: string[] = [];
    const record = Buffer.from(
      JSON.stringify({
        ...emptyRecord,
        parts: { a: { part: 'prefill', incarnation: 1 }, b: { part: 'decode', incarnation: 1 } },
      }),
    );
    const d = createPartsDuty(
      {
        now: () => micros(0),
        random: () => 0,
        after: () => () => undefined,
        send: () => undefined,
        log: () => undefined,
      },
      {
        holds: () => 64,
        record: () => record,
        workers: () => [mark('a'), mark('b')],
        reports: () => [],
        writer: { update: async () => undefined },
        order: async (m, _epoch, part) => {
          asked.push(`${m.worker} ${part === '' ? 'fence' : part}`);
          return m.worker === 'a' ? true : undefined;
        },
        shift: false,
        slice: 0.1,
        approval: () => 'automatic',
      },
    );
    d.tick();
    for (let i = 0; i < 20; i += 1) await Promise.resolve();
    expect(asked.sort()).toEqual(['a fence', 'a prefill', 'b fence']);
  });
}
