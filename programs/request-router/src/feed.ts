/**
 * What the agent feeds the router, held as the router applies it: desired state and rehearsal record only ever
 * move to a higher version, models are taken by hash, and the feed tenure says whether this router may
 * decide at all. A tenure counts from when this router asked, by this router's clock.
 */
import * as E from 'fp-ts/lib/Either.js';
import type { Micros, MessageOf, KeyUpdate } from '@tansypost/inner-protocol';
import { checkDesiredState, type DesiredState } from '@tansypost/desired-state';
import { decodeModel, predictTtft, type Model } from '@tansypost/placement';
import { emptyRecord, decodeRehearsalRecord, type ModelRef, type RehearsalRecord } from '@tansypost/rehearsal';

export interface FeedOptions {
  readonly service: string;
  readonly tenure: number;
  readonly now: () => Micros;
  readonly log: (event: number, fields: Record<string, unknown>) => void;
}
export interface Feed {
  readonly take: (m: MessageOf<'Feed'>) => void;
  readonly tenured: () => boolean;
  readonly applied: () => number;
  readonly desired: () => DesiredState | undefined;
  readonly record: () => RehearsalRecord;
  readonly model: (r: ModelRef | undefined) => Model | undefined;
  readonly have: () => { key: string; epoch: number; version: number }[];
  readonly others: () => readonly string[];
}

export function createFeed(o: FeedOptions): Feed {
  const held = new Map<string, KeyUpdate>();
  const models = new Map<string, Model>();
  let until = -Infinity;
  let askedLast = -Infinity;
  let fedAt = -Infinity;
  let contact = false;
  let had = false;
  let refused = '';
  let desired: DesiredState | undefined;
  let version = 0;
  let record = emptyRecord;
  let others: readonly string[] = [];
  const desiredKey = `desired/${o.service}`;

  function take(m: MessageOf<'Feed'>): void {
    for (const n of m.news) {
      if (n.version <= 0) continue;
      const old = held.get(n.key);
      if (old !== undefined && (n.version < old.version || (n.version === old.version && n.epoch <= old.epoch)))
        continue;
      const same = old !== undefined && old.version === n.version;
      held.set(n.key, n);
      if (!same) apply(n);
    }
    for (const g of m.grants) {
      if (g.version !== version) continue;
      until = Math.max(until, g.asked + o.tenure);
      askedLast = Math.max(askedLast, g.asked);
    }
    fedAt = o.now();
    contact = m.contact;
    if (m.others.length > 0) others = m.others;
    prepare();
    tenured();
  }

  // Decodes what the record names before a request needs it, and runs it a few times so that it is quick by then.
  function prepare(): void {
    const s = record.running?.subject;
    for (const r of [record.live, s?.type === 'model' ? s.model : undefined]) {
      if (r === undefined || models.has(r.hash)) continue;
      const x = model(r);
      if (x === undefined) continue;
      const rows = Array.from({ length: 12 }, () => new Float32Array(x.predictor.sizes[0]!));
      for (let n = 0; n < 3; n += 1) predictTtft(x, rows);
    }
  }

  function apply(n: KeyUpdate): void {
    if (n.key === desiredKey) {
      const d = checkDesiredState(JSON.parse(n.value.toString()));
      if (E.isLeft(d)) return;
      desired = d.right;
      version = n.version;
      o.log(5003, { version, epoch: n.epoch, change: 'desired' });
    } else if (n.key === `rehearsal/${o.service}`) {
      record = decodeRehearsalRecord(n.value);
    }
    for (const h of models.keys()) {
      const s = record.running?.subject;
      if (h !== record.live?.hash && h !== record.before?.hash && !(s?.type === 'model' && s.model.hash === h))
        models.delete(h);
    }
  }

  // Beside the tenure, the marks must be current: fed just now, and either the core was heard through the home
  // agent or the agent hears at least half of the members that it knows. Otherwise a leaving mark may have
  // passed this machine by.
  function tenured(): boolean {
    const t = o.now();
    const current = t - fedAt < 1_500_000 && (t - askedLast < 1_500_000 || contact);
    const is = t < until && current;
    if (is !== had) o.log(is ? 5001 : 5002, { version });
    had = is;
    return is;
  }

  function model(r: ModelRef | undefined): Model | undefined {
    if (r === undefined) return undefined;
    const m = models.get(r.hash);
    if (m !== undefined) return m;
    const b = held.get(r.blob);
    if (b === undefined) return undefined;
    const d = decodeModel(b.value, r.hash);
    if (E.isLeft(d)) {
      if (refused !== `${r.hash}/${b.version}`) o.log(4004, { version: r.version, hash: r.hash, blob: r.blob });
      refused = `${r.hash}/${b.version}`;
      return undefined;
    }
    models.set(r.hash, d.right);
    o.log(4002, { version: r.version, hash: r.hash });
    return d.right;
  }

  return {
    take,
    tenured,
    model,
    applied: () => version,
    desired: () => desired,
    record: () => record,
    have: () => [...held.values()].map((n) => ({ key: n.key, epoch: n.epoch, version: n.version })),
    others: () => others,
  };
}
