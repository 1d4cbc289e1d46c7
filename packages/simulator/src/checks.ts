/**
 * The checks: each reads a history and names what it found against one of the points that must never happen.
 * An empty list is a run that kept them all.
 */
import type { RehearsalRecord } from '@tansypost/rehearsal';
import type { Disturbance, History, RequestSeen } from './history.js';

export interface CheckOptions {
  readonly faultless: boolean;
  readonly overloaded: boolean;
}
export interface Breach {
  readonly point: string;
  readonly what: string;
}
export type Check = (h: History, o: CheckOptions) => Breach[];

function breach(point: string, what: string): Breach {
  return { point, what };
}

function noSecondRun(h: History): Breach[] {
  const once = new Map(h.requests.filter((r) => !r.repeatable).map((r) => [r.id, r]));
  const n = new Map<string, number>();
  for (const r of h.runs)
    if (once.has(r.request)) n.set(`${r.request} ${r.what}`, (n.get(`${r.request} ${r.what}`) ?? 0) + 1);
  return [...n].filter(([, c]) => c > 1).map(([k, c]) => breach('ran twice', `${k} ${c} times`));
}

function noRunAfterRefusal(h: History): Breach[] {
  const refused = new Map(h.requests.filter((r) => r.ran === 'no').map((r) => [r.id, r]));
  return h.runs
    .filter((r) => refused.has(r.request))
    .map((r) => breach('ran though refused', `${r.request} ${refused.get(r.request)!.ended} ${r.what} at ${r.at}`));
}

// Of the requests that came with one Idempotency-Key, at any routers, at most one ran.
function oneRunPerKey(h: History): Breach[] {
  const ran = new Set(h.runs.map((r) => r.request));
  return h.claims
    .filter((c) => c.ids.filter((id) => ran.has(id)).length > 1)
    .map((c) => breach('ran twice under one key', `${c.key}: ${c.ids.join(', ')}`));
}

function rightAnswers(h: History): Breach[] {
  return h.requests.flatMap((r) => {
    if (r.verdict === 'foreign' || r.verdict === 'overlong')
      return [breach('foreign or stitched answer', `${r.id} ${r.verdict}`)];
    return r.ended === 'whole' && r.verdict !== 'whole' ? [breach('cut answer as whole', r.id)] : [];
  });
}

function ownMemory(h: History): Breach[] {
  return h.runs
    .filter((r) => r.what === 'decode' && r.memoryOf !== r.request)
    .map((r) => breach('memory of another request', `${r.request} from that of ${r.memoryOf}`));
}

const leavingLimit = 3_000_000;
function leavingLeftAlone(h: History): Breach[] {
  return h.leaving.flatMap((l) =>
    h.sends
      .filter((s) => s.worker === `${l.worker}/${l.incarnation}` && s.at > l.at + leavingLimit)
      .slice(0, 1)
      .map((s) =>
        breach(
          'sent to a leaving worker',
          `${s.request} by ${s.router} to ${l.worker} ${((s.at - l.at) / 1e6).toFixed(2)} s after its mark`,
        ),
      ),
  );
}

const governLimit = 2_000_000;
// Every decision counts, of requests that waited as well. A decode send that carries on what its prefill began is no
// decision of its own: it is left to the version that let the request go, lest a change cut what is under way.
function acknowledgedGoverns(h: History): Breach[] {
  const acks = h.changes.filter((c) => c.answer === 'acknowledged').map((c) => ({ end: c.end!, version: c.version! }));
  return h.sends
    .filter((s) => s.decided)
    .flatMap((s) => {
      const due = acks.filter((a) => a.end + governLimit < s.at).reduce((m, a) => Math.max(m, a.version), 0);
      return s.version < due
        ? [breach('older desired state governs', `${s.request} by ${s.router} under ${s.version}, acknowledged ${due}`)]
        : [];
    })
    .slice(0, 3);
}

function noSlipBack(h: History): Breach[] {
  const top = new Map<string, number>();
  const out: Breach[] = [];
  for (const s of h.sends.filter((x) => x.decided)) {
    const had = top.get(s.router) ?? 0;
    if (s.version < had) out.push(breach('slipped back', `${s.router} from ${had} to ${s.version}`));
    top.set(s.router, Math.max(had, s.version));
  }
  return out.slice(0, 3);
}

function ackSurvives(h: History): Breach[] {
  const acks = h.changes.filter((c) => c.answer === 'acknowledged');
  const last = acks.reduce(
    (m, c) => (c.version! > (m?.version ?? 0) ? c : m),
    undefined as (typeof acks)[number] | undefined,
  );
  if (last === undefined) return [];
  if (h.readBack === undefined) return [breach('read back', 'the end-of-day read-back was not answered')];
  return [...h.reads, { from: Infinity, end: Infinity, ...h.readBack }]
    .flatMap((r) => {
      const due = acks.filter((a) => a.end! <= r.from).reduce((m, a) => Math.max(m, a.version!), 0);
      if (r.version < due)
        return [breach('acknowledged state lost', `read ${r.version} at ${r.from / 1e6}, acknowledged ${due}`)];
      const same = acks.find((c) => c.version === r.version);
      return same !== undefined && same.whole !== r.whole
        ? [
            breach(
              'acknowledged state altered',
              `version ${r.version} read at ${r.from / 1e6} is not what ${same.id} submitted`,
            ),
          ]
        : [];
    })
    .slice(0, 3);
}

function losersNeverTakeEffect(h: History): Breach[] {
  const bad = new Map(
    h.changes.filter((c) => c.answer === 'lost the race' || c.answer === 'refused').map((c) => [c.tag, c]),
  );
  const out = h.applied
    .filter((a) => bad.has(a.tag))
    .map((a) => breach('a losing change took effect', `${bad.get(a.tag)!.id} at ${a.router}`));
  const lost = new Map([...bad.values()].filter((c) => c.whole !== '').map((c) => [c.whole, c]));
  for (const r of [...h.reads, ...(h.readBack === undefined ? [] : [{ ...h.readBack, from: Infinity }])]) {
    if (lost.has(r.whole))
      out.push(
        breach('a losing change took effect', `${lost.get(r.whole)!.id} read as ${r.version} at ${r.from / 1e6}`),
      );
  }
  return out.slice(0, 3);
}

function oneWinner(h: History): Breach[] {
  const by = new Map<number, number>();
  const from = new Map<number, string>();
  const out: Breach[] = [];
  for (const c of h.changes.filter((x) => x.answer === 'acknowledged')) {
    const had = by.get(c.version!);
    if (had !== undefined && had !== c.tag) out.push(breach('two winners', `version ${c.version}`));
    by.set(c.version!, c.tag);
    if (c.base !== undefined && from.has(c.base))
      out.push(breach('two winners', `${c.id} and ${from.get(c.base)} from version ${c.base}`));
    if (c.base !== undefined) from.set(c.base, c.id);
  }
  return out;
}

// A fifth of the first sends in any ten seconds. Beyond it each router may have saved two sends and a fiftieth of the first
// sends of the ten seconds before an extra one, which lie in the twenty seconds looked at (its ledger's granularity); so may the fleet for each router that sent, and two probes that
// each home agent was granted and has not used yet. The ten seconds end at each extra send, and every quarter second.
const tenSeconds = 10_000_000;
function within(sorted: readonly number[], from: number, to: number): number {
  function below(t: number): number {
    let [lo, hi] = [0, sorted.length];
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      if (sorted[mid]! <= t) lo = mid + 1;
      else hi = mid;
    }
    return lo;
  }
  return below(to) - below(from);
}
function extrasBounded(h: History): Breach[] {
  const seen = new Set<string>();
  const by = new Map<string, { first: number[]; extra: number[] }>();
  for (const s of h.sends) {
    const x = by.get(s.router) ?? { first: [], extra: [] };
    by.set(s.router, x);
    if (!seen.has(s.request)) x.first.push(s.at);
    else if (s.extra) x.extra.push(s.at);
    seen.add(s.request);
  }
  const homes = new Set([...by.keys()].map((r) => h.zoneOf(r))).size;
  const all = [...by.values()];
  const fleet = {
    first: all.flatMap((x) => x.first).sort((a, b) => a - b),
    extra: [...all.flatMap((x) => x.extra), ...h.probes].sort((a, b) => a - b),
  };
  function over(who: string, x: { first: number[]; extra: number[] }, spare: number): Breach[] {
    const ends = new Set(x.extra);
    for (let t = 250_000; t <= h.end; t += 250_000) ends.add(t);
    for (const t of ends) {
      const [n, f, f0] = [
        within(x.extra, t - tenSeconds, t),
        within(x.first, t - tenSeconds, t),
        within(x.first, t - 2 * tenSeconds, t - tenSeconds),
      ];
      if (n > 0.2 * f + 0.02 * (f0 + f) + spare + 1e-9)
        return [breach('too many extra sends', `${who}: ${n} beside ${f} in the ten seconds to ${t / 1e6}`)];
    }
    return [];
  }
  const one = [...by].flatMap(([r, x]) => over(r, x, 2)).slice(0, 1);
  return one.length > 0 ? one : over('the fleet', fleet, 2 * by.size + 2 * homes);
}

function oneOrderer(h: History): Breach[] {
  let top = 0;
  const out: Breach[] = h.holders
    .slice(0, 1)
    .map((x) => breach('two members hold one duty', `${x.members.join(' and ')} hold ${x.duty} at ${x.at / 1e6}`));
  const at = new Map<string, number>();
  for (const o of h.orders.filter((x) => x.obeyed)) {
    if (o.epoch < (at.get(o.worker) ?? 0)) out.push(breach('older epoch obeyed', `${o.worker} ${o.epoch}`));
    at.set(o.worker, o.epoch);
    if (o.part !== '' && o.epoch < top)
      out.push(breach('two holders ordered', `${o.by} under ${o.epoch} after ${top}`));
    if (o.part !== '') top = Math.max(top, o.epoch);
  }
  return out.slice(0, 3);
}

// From one version of the record to the next a worker's part changes only by a rehearsal that passed, or by the word
// that rolls such a shift back. Two things are no shift: the first part of a worker never seen, and `both` for a
// worker when no other that is ready plays a part at all, as the part's last worker has gone.
function partsOnFaith(a: RehearsalRecord, b: RehearsalRecord, version: number): Breach[] {
  return Object.entries(b.parts).flatMap(([w, e]) => {
    const had = a.parts[w];
    if (had === undefined || had.part === e.part || e.part === 'both') return [];
    const behind = [...b.ended, ...(b.running === undefined ? [] : [b.running])].find(
      (x) =>
        x.subject.type === 'part' &&
        x.subject.shift.worker === w &&
        (((x.outcome === 'live' || x.state === 'watched') &&
          x.subject.shift.to === e.part &&
          x.subject.shift.from === had.part) ||
          (x.outcome === 'rolled back' && x.subject.shift.from === e.part && x.subject.shift.to === had.part)),
    );
    const enough =
      behind?.measured !== undefined && behind.measured.slice.count >= 40 && behind.measured.control.count >= 40;
    return enough ? [] : [breach('shifted on faith', `${w} from ${had.part} to ${e.part} in version ${version}`)];
  });
}

// Whatever is live, model or shifted part, has a rehearsal behind it that measured enough and passed.
function neverOnFaith(h: History): Breach[] {
  const out: Breach[] = [];
  let before: History['records'][number] | undefined;
  for (const x of h.records) {
    const r = x.record;
    if (before?.version === x.version - 1) out.push(...partsOnFaith(before.record, r, x.version));
    before = x;
    const passed = [...r.ended, ...(r.running === undefined ? [] : [r.running])].filter(
      (e) =>
        (e.state === 'watched' || e.outcome === 'live' || e.outcome === 'rolled back') &&
        e.measured !== undefined &&
        e.measured.slice.count >= 40 &&
        e.measured.control.count >= 40,
    );
    for (const m of [r.live, r.before]) {
      if (m !== undefined && !passed.some((e) => e.subject.type === 'model' && e.subject.model.hash === m.hash))
        out.push(breach('live on faith', `model ${m.version.epoch}/${m.version.n}`));
    }
  }
  return out.slice(0, 2);
}

// Which processes a fault that stands takes out of service.
function harmed(d: Disturbance): (process: string) => boolean {
  const own = /^(machine|isolate|one-way)/.test(d.what);
  return function is(p) {
    if (p === d.who) return true;
    return own && /^(router|agent|keeper)/.test(p) && d.who === `m${p.replace(/\D/g, '')}`;
  };
}
// A place whose disk was lost copies from both others, so it is out for as long as one of these is, too.
const diskLost = new Set(['empty', 'disk-damage', 'replace-core', 'machine-lost', 'lose-on-ack']);
const replicas = ['keeper0', 'keeper1', 'keeper2'];
function withCopying(ds: readonly Disturbance[]): Disturbance[] {
  return ds.map((d) => {
    if (!diskLost.has(d.what)) return d;
    const others = replicas.filter((k) => !harmed(d)(k));
    const until = ds.reduce(
      (t, x) => (x.at <= t && x.until >= d.at && others.some(harmed(x)) ? Math.max(t, x.until) : t),
      d.until,
    );
    return { ...d, until };
  });
}
const splits = new Set(['split', 'core-split', 'mass-kill', 'core-kill', 'link-one-way']);

// Each bad fault by itself: when the last one struck or healed twelve seconds ago, whatever still stands must be borne, if a
// majority of the core and of the workers is left and nothing is split: 97 of 100 requests are answered whole, and in
// each zone and kind no more than one and a twentieth fail. Requests of a router that is itself taken out are its
// machine's loss; its requesters ask another.
const backWithin = 12_000_000;
function backInService(h: History, o: CheckOptions): Breach[] {
  if (o.overloaded) return [];
  const healed = withCopying(h.disturbed)
    .filter((d) => d.at < h.calmFrom)
    .map((d) => ({ ...d, until: Math.min(d.until, h.calmFrom) }));
  const events = [...new Set([...healed.flatMap((d) => [d.at, d.until]), h.calmFrom])].sort((x, y) => x - y);
  return events
    .flatMap((t, i) => {
      const to = events[i + 1] ?? Infinity;
      if (to <= t + backWithin) return [];
      const standing = healed.filter((d) => d.at <= t && d.until > t);
      const out = standing.map(harmed);
      function lost(p: string): boolean {
        return out.some((f) => f(p));
      }
      const keepers = ['keeper0', 'keeper1', 'keeper2'].filter(lost).length;
      const workers = standing.filter((d) => d.who.startsWith('w')).length;
      if (standing.some((d) => splits.has(d.what)) || keepers > 1 || workers > 1) return [];
      const rs = h.requests.filter(
        (r) =>
          r.at >= t + backWithin &&
          r.at < to &&
          r.ended !== 'claimed' &&
          r.ended !== '' &&
          !lost(r.router) &&
          !lost(r.router.replace('router', 'agent')),
      );
      const bad = rs.filter((r) => r.ended !== 'whole');
      const why = [...new Set(bad.map((r) => `${r.ended}@${r.router}`))].slice(0, 4).join(', ');
      if (rs.length > 20 && bad.length > 0.03 * rs.length)
        return [
          breach('not back in service', `${bad.length} of ${rs.length} not whole, 12 s after ${t / 1e6}: ${why}`),
        ];
      const groups = new Map<string, RequestSeen[]>();
      for (const r of rs)
        groups.set(`zone ${r.zone} ${r.kind}`, [...(groups.get(`zone ${r.zone} ${r.kind}`) ?? []), r]);
      return [...groups].flatMap(([k, x]) => {
        const n = x.filter((r) => r.ended !== 'whole').length;
        return n > 1 + 0.05 * x.length
          ? [breach('not back in service', `${k}: ${n} of ${x.length} not whole, 12 s after ${t / 1e6}`)]
          : [];
      });
    })
    .slice(0, 2);
}

// Proper requests that the router itself refuses. Without faults none. Under faults those count that could have been
// served: their own machine was whole, and in the five seconds before nothing split the fleet, killed many at once, or
// took a majority of the core. Of these no more than one in a hundred, and three, may be refused in a run: the three
// are a worker's death met by a budget for extra sends that is as yet empty.
const refusals = new Set(['no_tenure', 'overloaded', 'no_workers', 'workers_refused', 'claim_failed', 'stopping']);
const fleetWide = new Set([
  'split',
  'core-split',
  'mass-kill',
  'core-kill',
  'link-one-way',
  'crash-on-ack',
  'lose-on-ack',
]);
function turnedAwayUnderFaults(h: History): Breach[] {
  const disturbed = withCopying(h.disturbed);
  const fair = h.requests.filter((q) => {
    const near = disturbed.filter((d) => d.at <= q.at && d.until + 5_000_000 >= q.at);
    const core = ['keeper0', 'keeper1', 'keeper2'].filter((k) => near.some((d) => harmed(d)(k))).length;
    return (
      core < 2 &&
      !near.some((d) => fleetWide.has(d.what) || harmed(d)(q.router) || harmed(d)(q.router.replace('router', 'agent')))
    );
  });
  const bad = fair.filter((q) => refusals.has(q.ended));
  if (bad.length <= 3 + 0.01 * fair.length) return [];
  const by = [...new Set(bad.map((q) => q.ended))]
    .map((k) => `${bad.filter((q) => q.ended === k).length} ${k}`)
    .join(', ');
  return [breach('turned away under faults', `${bad.length} of ${fair.length} that could have been served: ${by}`)];
}

function nothingTurnedAway(h: History, o: CheckOptions): Breach[] {
  if (o.overloaded) return [];
  if (!o.faultless) return turnedAwayUnderFaults(h);
  return h.requests
    .filter((r) => r.ended !== 'whole' && r.ended !== 'claimed')
    .slice(0, 3)
    .map((r) => breach('turned away in calm', `${r.id} ${r.ended} at ${r.at}`));
}

// Two hops between machines and a tick of the queue; nothing else may lie between giving up and the answer.
const moment = 50_000;
// How long a request may be in hand before it is refused, by kind. Overload is forecast, so half of the patience at
// most; a router that may not decide, on arrival or from when it lost its tenure, looks for one that may for a second and a half, the last try half a second more;
// a claim may take half of the patience and three seconds at most, after having been sent on, as may one whose
// router lost its tenure while it waited for its claim, here or where it was sent on to.
function refusedWithin(r: RequestSeen, claimed: ReadonlySet<string>): number {
  if (r.ended === 'overloaded') return 0.5 * r.patience;
  const elsewhere = r.via.size > 1 || claimed.has(r.id);
  if ((r.ended === 'no_tenure' || r.ended === 'stopping') && !elsewhere) return 2_000_000;
  return ['claim_failed', 'no_tenure', 'stopping'].includes(r.ended)
    ? Math.min(3_000_000, 0.5 * r.patience) + 2_000_000
    : Infinity;
}
function answeredAtOnce(h: History): Breach[] {
  const claimed = new Set(h.claims.flatMap((c) => c.ids));
  const word = new Map(h.gaveUp.map((g) => [g.request, g]));
  return h.requests
    .flatMap((r) => {
      if (r.end === undefined) return r.at < h.end - r.patience - 16_000_000 ? [breach('never answered', r.id)] : [];
      if (r.excused || r.ended === 'unreachable' || r.ended === 'broken') return [];
      const g = word.get(r.id);
      if (g?.kind === r.ended && r.end - g.at > moment)
        return [breach('held after giving up', `${r.id} ${r.ended} ${(r.end - g.at) / 1e6} s`)];
      const lost = h.untenured.filter((x) => x.router === r.router && x.at > r.at && x.at <= r.end!).at(-1)?.at;
      const since = r.ended === 'no_tenure' && lost !== undefined ? lost : r.at;
      if (r.end - since > refusedWithin(r, claimed) + moment)
        return [breach('held before giving up', `${r.id} ${r.ended} ${(r.end - r.at) / 1e6} s of ${r.patience / 1e6}`)];
      if (r.ran === 'no' && !r.retryAfter) return [breach('refused without Retry-After', `${r.id} ${r.ended}`)];
      return r.end - r.at > r.patience + moment
        ? [breach('answered after its budget', `${r.id} ${r.ended} ${(r.end - r.at) / 1e6} s of ${r.patience / 1e6}`)]
        : [];
    })
    .slice(0, 3);
}

export const checks: { readonly [name: string]: Check } = {
  noSecondRun,
  oneRunPerKey,
  noRunAfterRefusal,
  rightAnswers,
  ownMemory,
  leavingLeftAlone,
  acknowledgedGoverns,
  noSlipBack,
  ackSurvives,
  losersNeverTakeEffect,
  oneWinner,
  extrasBounded,
  oneOrderer,
  neverOnFaith,
  backInService,
  nothingTurnedAway,
  answeredAtOnce,
};

export function checkAll(h: History, o: CheckOptions): Breach[] {
  return Object.values(checks).flatMap((c) => c(h, o));
}
