/**
 * What must never happen to traffic that is passed on, by the strictest reading: judged from what requesters, workers,
 * operators and the list have seen. Rules bounded by a time hold for routers in touch: calm themselves, and with a
 * settled core, for three seconds. The first breach of a kind is told with the count of all.
 */
import type { Route, RouteTable } from '@tansypost/paths';
import { hostOf } from './paths-drawn.js';
import type { PassedDeployment } from './passed-deployment.js';
import type { PassedHistory, TrySeen } from './passed-history.js';
import { tableOf } from './submit.js';
import { checkTenants } from './tenant-checks.js';

export type PassedRule =
  | 'runs twice'
  | 'refused yet run'
  | 'pieces'
  | 'memory of another'
  | 'leaving worker'
  | 'document late'
  | 'document back'
  | 'document not taken'
  | 'two on one'
  | 'not answered'
  | 'not ready'
  | 'path'
  | 'denied'
  | 'budget'
  | 'read back'
  | 'one orderer'
  | 'recovery'
  | 'lost in leaving'
  | 'wrong tenant'
  | 'key passed on'
  | 'unknown key'
  | 'dropped key'
  | 'starved'
  | 'unforeseen';
export interface PassedBreach {
  readonly rule: PassedRule;
  readonly what: string;
}
const contact = 3_000_000;
const drain = 3_000_000;
const apply = 2_000_000;
const stretch = 5_000_000;
const window = 10_000_000;
const share = 0.2;
const answerTime = 4_000_000;
const recovery = 12_000_000;
const betweenHolders = 3_000_000;

export function checkPassed(h: PassedHistory, d: PassedDeployment): PassedBreach[] {
  const out = new Map<PassedRule, { what: string; n: number }>();
  function breach(rule: PassedRule, what: string): void {
    const b = out.get(rule);
    if (b === undefined) out.set(rule, { what, n: 1 });
    else b.n += 1;
  }
  function met(who: string, from: number, to: number): boolean {
    return h.troubles.some((t) => t.who === who && t.from <= to && t.to >= from);
  }
  function calm(router: string, t: number): boolean {
    return (
      !met(router, t - contact, t) && h.lives.some((l) => l.router === router && l.from <= t - contact && l.to >= t)
    );
  }
  function settled(t: number): boolean {
    return !met('core', t - contact, t);
  }
  const tries = new Map(h.tries.map((t) => [t.id, t]));

  // Runs.
  const runs = new Map<string, number>();
  for (const r of h.runs) runs.set(r.request, (runs.get(r.request) ?? 0) + 1);
  for (const [id, n] of runs) {
    const t = tries.get(id);
    if (t === undefined) {
      breach('unforeseen', `${id} ran and nobody sent it`);
      continue;
    }
    if (t.repeatable || t.resumable) continue;
    if (n > 1) breach('runs twice', `${id} (${t.kind}) ran ${n} times: ${where(h, id)}`);
    if (t.ended === 'refused') breach('refused yet run', `${id} (${t.kind}, ${t.why}) ran: ${where(h, id)}`);
  }
  for (const r of h.runs)
    if (r.memoryOf !== undefined && r.memoryOf !== r.request)
      breach('memory of another', `${r.request} went on from the memory of ${r.memoryOf} at ${r.worker}`);

  // Answers.
  for (const t of h.tries) {
    const why = t.body.length === 0 && t.ended !== 'whole' ? undefined : t.streaming ? badStream(t) : badBody(t);
    if (why !== undefined) breach('pieces', `${t.id} (${t.kind}, ${t.ended} via ${t.router}): ${why}`);
    const inOrder = t.ended === 'cut' && t.why === 'the router left in order' && t.readAt !== undefined;
    if (inOrder && !met(t.router, t.readAt! - contact, t.end!))
      breach('lost in leaving', `${t.id} (${t.kind}) at ${t.router}`);
  }

  // Leaving workers.
  function listDown(from: number, to: number): number {
    return h.troubles
      .filter((t) => t.who === 'list')
      .reduce((a, t) => a + Math.max(0, Math.min(to, t.to + contact) - Math.max(from, t.from)), 0);
  }
  for (const a of h.arrivals) {
    const shown = h.shownLeaving.get(a.worker);
    if (a.misdirected || shown === undefined || a.at <= shown + drain) continue;
    if (a.at - shown - listDown(shown, a.at) <= drain || !calm(a.router, a.at) || !settled(a.at)) continue;
    breach(
      'leaving worker',
      `${a.request} (${a.doing}) reached ${a.worker} ${s(a.at - shown)} s after it was shown leaving, from ${a.router} at ${s(a.at)}`,
    );
  }

  // Orders to workers.
  for (const [index, order] of h.orders.entries()) {
    const before = h.orders.slice(0, index).filter((x) => x.worker === order.worker);
    const who = `${order.machine} (${order.fence}) to ${order.worker} at ${s(order.at)}`;
    for (const x of before) {
      if (x.machine === order.machine) continue;
      if (x.fence === order.fence) breach('one orderer', `${who} with the fence of ${x.machine}`);
      if (order.at - x.at < betweenHolders && !wokeBefore(order.machine, order.at))
        breach('one orderer', `${who}, ${s(order.at - x.at)} s after ${x.machine}`);
    }
    if (before.some((x) => x.fence > order.fence)) breach('one orderer', `${who} after a higher fence`);
  }
  function wokeBefore(machine: string, at: number): boolean {
    return h.troubles.some((t) => t.who === `woken ${machine}` && at >= t.from && at <= t.to);
  }

  // Documents.
  const tables = new Map<string, RouteTable>();
  for (const c of h.changes) {
    const t = tableOf(c.text);
    if (t !== undefined) tables.set(c.text, t);
  }
  const taken = h.changes.filter((c) => c.answer === 'taken').sort((a, b) => a.revision - b.revision);
  for (const c of taken) if (!c.valid) breach('document not taken', `an invalid document of ${c.revision} was taken`);
  for (const [i, c] of taken.entries())
    for (const b of taken.slice(i + 1))
      // One document drawn twice is one order, sent by two operators; both may hear that it was taken.
      if (b.base === c.base && b.text !== c.text)
        breach('two on one', `${c.revision} and ${b.revision} were both taken on top of ${c.base}`);
  for (const a of h.applied) {
    const c = h.changes.find((x) => x.text === a.text);
    if (c === undefined || !c.valid || c.answer === 'refused')
      breach('document not taken', `${a.revision} governs at ${a.router}, answered ${c?.answer ?? 'nothing'}`);
  }
  for (const l of h.lives) {
    let top = 0;
    for (const a of h.applied.filter((x) => x.router === l.router && x.life === l.life)) {
      if (a.revision < top) breach('document back', `${l.router} went from ${top} to ${a.revision}`);
      top = Math.max(top, a.revision);
    }
  }
  for (const c of taken)
    for (const l of h.lives) {
      const at = h.applied.find((a) => a.router === l.router && a.life === l.life && a.revision >= c.revision)?.at;
      const to = Math.min(l.to, at ?? Infinity, h.to);
      for (let x = Math.max(c.answeredAt! + apply, l.from); x < to; x += 50_000)
        if (calm(l.router, x) && inForceBy(c.answeredAt!, x)) {
          breach(
            'document late',
            `${c.revision}, taken at ${s(c.answeredAt!)}, does not govern at ${l.router} at ${s(x)}`,
          );
          break;
        }
    }
  function inForceBy(ack: number, x: number): boolean {
    if (met('core lost', ack - contact, x)) return !met('core', x - 2 * contact - apply, x);
    return settled(x) || x > ack + apply + stretch;
  }

  // An order that is in place is answered, counted in one stretch of calm.
  for (const c of h.changes.filter((x) => x.valid)) {
    let calmFor = 0;
    for (let x = c.at; x < (c.answeredAt ?? h.to) && calmFor <= answerTime; x += 100_000)
      calmFor = settled(x) ? calmFor + 100_000 : 0;
    if (calmFor > answerTime)
      breach('not answered', `${c.revision}, sent at ${s(c.at)}, had no answer for 4 s of calm`);
  }
  for (const t of h.tries)
    if (t.ended === 'refused' && t.why === 'not_ready' && calm(t.router, t.end!) && settled(t.end!))
      breach('not ready', `${t.router} knew no paths at ${s(t.end!)}`);

  // Which documents may have governed a try.
  function mayGovern(t: TrySeen, until: number): RouteTable[] {
    const read = t.readAt ?? t.at;
    const touch = calm(t.router, read) && settled(read);
    const least = touch ? Math.max(0, ...taken.filter((c) => c.answeredAt! <= read - apply).map((c) => c.revision)) : 0;
    return h.changes
      .filter((c) => c.valid && c.answer !== 'refused' && c.revision >= least && c.at <= until)
      .map((c) => tables.get(c.text)!);
  }
  function pathsOf(t: TrySeen, until: number): (Route | undefined)[] {
    return mayGovern(t, until).map((table) => table.routes.find((p) => p.host === hostOf(t.kind)));
  }
  for (const r of h.runs) {
    const t = tries.get(r.request);
    if (
      t !== undefined &&
      !pathsOf(t, r.at).some((p) => p?.weightedServices.some((x) => x.service === r.service && x.weight > 0))
    )
      breach('path', `${r.request} (${t.kind}) ran at service ${r.service} at ${s(r.at)}`);
  }
  for (const t of h.tries)
    if (t.ended === 'unknown_path' && pathsOf(t, t.end!).every((p) => p !== undefined))
      breach('denied', `${t.id} (${t.kind}) at ${t.router} at ${s(t.end!)}`);

  for (const b of checkTenants(h, mayGovern)) breach(b.rule, b.what);

  for (const b of overBudget(h, d)) breach('budget', b);

  // What was acknowledged outlives the day.
  const newest = taken.at(-1);
  if (newest !== undefined && h.reads.length === 0)
    breach('read back', `nothing was read back, ${newest.revision} was taken`);
  for (const read of h.reads) {
    const back = tableOf(read.text);
    if (newest !== undefined && (back === undefined || back.revision < newest.revision))
      breach(
        'read back',
        `${back?.revision ?? 'nothing'} was read back at ${s(read.at)}, ${newest.revision} was taken`,
      );
    else if (back !== undefined && h.changes.every((c) => c.text !== read.text || c.answer === 'refused'))
      breach('read back', `what was read back as ${back.revision} was not sent or was refused`);
  }

  // Service is back 12 s after an outage. Where it has lost its last runner it may rest for as long again, and while the
  // core is in trouble within that time.
  const rests = h.lastDecodeTaken.map((at) => ({ from: at, to: restUntil(at) }));
  function restUntil(at: number): number {
    let until = at + recovery;
    const inCore = h.troubles.filter((t) => t.who === 'core' || t.who === 'core lost');
    for (const t of inCore.sort((a, b) => a.from - b.from))
      if (t.to >= at && t.from <= until) until = Math.max(until, t.to + recovery);
    return until;
  }
  for (const at of [...h.outageEnds, ...rests.map((rest) => rest.to - recovery)]) {
    const ts = h.tries.filter(
      (t) =>
        t.at > at + recovery &&
        t.ended !== 'unknown_path' &&
        t.ended !== 'unknown_key' &&
        t.id.endsWith('.1') &&
        !rests.some((rest) => t.at >= rest.from && t.at <= rest.to),
    );
    const whole = ts.filter((t) => t.ended === 'whole').length;
    if (ts.length >= 20 && whole * 4 < ts.length)
      breach('recovery', `${whole} of ${ts.length} served later than 12 s after the outage of ${s(at)}`);
  }
  for (const x of h.unforeseen) breach('unforeseen', x);
  return [...out].map(([rule, b]) => ({ rule, what: b.n > 1 ? `${b.what} (and ${b.n - 1} more)` : b.what }));
}

function s(t: number): string {
  return (t / 1e6).toFixed(2);
}
function where(h: PassedHistory, id: string): string {
  return h.runs
    .filter((r) => r.request === id)
    .map((r) => `${r.worker} at ${s(r.at)}`)
    .join(', ');
}

// Pieces follow one another from where the requester was, all belong to the request, and a new run only goes on where
// that may be. An answer that has ended as whole has its last piece and nothing behind it.
function badStream(t: TrySeen): string | undefined {
  const text = Buffer.concat(t.body).toString();
  let last = t.lastEvent ?? 0;
  let run = '';
  let at = 0;
  for (const m of text.matchAll(/id: (\d+)\ndata: (\S+) (\S+) (\d+)\/(\d+)\n\n/g)) {
    if (m.index !== at) return `bytes that are no event after piece ${last}`;
    at = m.index + m[0].length;
    if (m[2] !== t.id) return `a piece of ${m[2]}`;
    if (Number(m[1]) !== last + 1) return `piece ${m[1]} after ${last}`;
    if (run !== '' && m[3] !== run && !t.resumable) return `pieces of ${run} and ${m[3]}`;
    last = Number(m[1]);
    run = m[3]!;
  }
  const rest = text.slice(at);
  if (t.ended === 'whole' && rest !== '') return 'half an event at the end of a whole answer';
  if (t.ended === 'whole' && last !== t.pieces) return `whole with ${last} of ${t.pieces} pieces`;
  return undefined;
}
function badBody(t: TrySeen): string | undefined {
  if (t.ended !== 'whole') return undefined;
  const ps = Buffer.concat(t.body).toString().split(';').slice(0, -1);
  const run = ps[0]?.split(' ')[1] ?? '';
  const want = Array.from({ length: t.pieces }, (_, i) => `${t.id} ${run} ${i + 1}/${t.pieces}`);
  return ps.join(';') === want.join(';') ? undefined : `a body of ${ps.length} of ${t.pieces} parts`;
}

// Arrivals beyond the first of each request, where the first read that is taken up does not count.
function overBudget(h: PassedHistory, d: PassedDeployment): string[] {
  const [extras, free, seen] = [new Map<string, number[]>(), new Set<string>(), new Set<string>()];
  for (const a of h.arrivals) {
    if (a.doing === 'read' && a.taken && !free.has(a.request)) {
      free.add(a.request);
      continue;
    }
    if (seen.has(a.request)) extras.set(a.service, [...(extras.get(a.service) ?? []), a.at]);
    seen.add(a.request);
  }
  const kinds = new Map<string, Set<string>>();
  for (const c of h.changes.filter((x) => x.valid && x.answer !== 'refused'))
    for (const p of tableOf(c.text)?.routes ?? [])
      for (const x of p.weightedServices) kinds.set(x.service, (kinds.get(x.service) ?? new Set()).add(p.host));
  const out: string[] = [];
  for (const [service, xs] of extras) {
    const asked = h.tries.filter((t) => kinds.get(service)?.has(hostOf(t.kind)) === true).map((t) => t.at);
    function count(from: number): number {
      return asked.filter((t) => t > from && t <= from + window).length;
    }
    for (const [i, end] of xs.entries()) {
      const from = end - window;
      const n = xs.slice(0, i + 1).filter((t) => t > from).length;
      if (n <= d.sendSlack) continue;
      const most = share * Math.max(count(from), count(from - window), count(from - window / 2)) + d.sendSlack;
      if (n <= most) continue;
      out.push(`${n} extra sends to ${service} in the ten seconds up to ${s(end)}, ${Math.floor(most)} allowed`);
      break;
    }
  }
  return out;
}
