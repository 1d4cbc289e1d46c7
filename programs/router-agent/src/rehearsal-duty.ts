// The duty of keeping rehearsals: sums the arms that all routers report as running totals, asks for the
// verdict, and ends the rehearsal or lets it go live by one conditional write. Since the totals live at
// the routers, a new holder has them again within a second.
import { micros, type ArmCount, type MessageOf, type World } from '@tansypost/inner-protocol';
import { end, passed, readRecord, verdict, verdictDefaults, type RehearsalRecord, type VerdictOptions } from '@tansypost/rehearsal';
import type { RecordWriter } from './record-writer.js';

export interface RehearsalDutyOptions {
  readonly holds: () => number | undefined;
  readonly record: () => Buffer | undefined;
  readonly writer: RecordWriter;
  readonly timeLimit: number;
  readonly verdict?: VerdictOptions;
}
export interface RehearsalDuty {
  readonly arms: (m: MessageOf<'Arms'>) => void;
  readonly tick: () => void;
}

export function createRehearsalDuty(w: World, o: RehearsalDutyOptions): RehearsalDuty {
  const byRouter = new Map<string, { at: number; arms: ArmCount[] }>();
  let busy = false;
  let watched: { id: string; since: number } | undefined;
  let asked = '';

  function arms(m: MessageOf<'Arms'>): void {
    byRouter.set(m.from, { at: w.now(), arms: m.arms });
    for (const [r, x] of byRouter) if (w.now() - x.at > 600_000_000) byRouter.delete(r);
  }

  function act(id: string, f: (r: RehearsalRecord) => RehearsalRecord): void {
    busy = true;
    void o.writer
      .change((r) => (r.running?.id === id ? f(r) : undefined), () => o.holds() !== undefined)
      .then((r) => {
        const done = r?.ended.find((e) => e.id === id);
        if (done !== undefined) w.log(4102, { rehearsal: id, outcome: done.outcome, why: done.measured?.why });
      })
      .finally(() => { w.after(micros(200_000), () => { busy = false; }); });
  }

  function tick(): void {
    if (busy || o.holds() === undefined) return;
    const b = o.record();
    const run = b === undefined ? undefined : readRecord(b).running;
    if (run === undefined) return;
    if (watched?.id !== run.id) {
      watched = { id: run.id, since: w.now() };
      w.log(4101, { rehearsal: run.id, subject: run.subject });
    }
    if (run.asked === 'reject') return act(run.id, (r) => end(r, 'rejected'));
    if (run.state === 'passed') {
      if (run.approval === 'automatic' || run.asked === 'approve') act(run.id, (r) => (r.running!.asked === 'reject' ? end(r, 'rejected') : end(r, 'live')));
      return;
    }
    const all = [...byRouter.values()].flatMap((x) => x.arms.filter((a) => a.rehearsal === run.id));
    const v = verdict(all, o.verdict ?? verdictDefaults);
    asked = v.measured.why;
    if (v.verdict === 'pass') act(run.id, (r) => (r.running!.asked === 'reject' ? end(r, 'rejected', v.measured) : passed(r, v.measured)));
    else if (v.verdict === 'harmful') act(run.id, (r) => end(r, 'harmful', v.measured));
    else if (w.now() - watched.since > o.timeLimit) act(run.id, (r) => end(r, 'inconclusive', { ...v.measured, why: `time is up: ${asked}` }));
  }
  return { arms, tick };
}
