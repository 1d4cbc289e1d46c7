/**
 * Invariants of forwarded traffic, checked against what clients, workers, operators and the platform's worker list
 * observed. Rules with a time bound apply only to a router in contact: for three seconds, it has run without a fault and
 * so has the control cluster. For each rule, the first breach is reported with the number of all its breaches.
 */
import type { Route, RouteTable } from '@tansypost/paths';
import { hostOf } from './paths-drawn.js';
import type { PassedDeployment } from './passed-deployment.js';
import type { PassedHistory, AttemptRecord } from './passed-history.js';
import { parseRouteTable } from './submit.js';
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
/** A router or the control cluster counts as stable again this long after its last fault. */
const contactGraceUs = 3_000_000;
/** How long after a worker is listed as leaving requests may still reach it. */
const drainGraceUs = 3_000_000;
const applyTimeoutUs = 2_000_000;
/** Added to `applyTimeoutUs` while the control cluster is not stable. */
const unstableClusterGraceUs = 5_000_000;
const budgetWindowUs = 10_000_000;
const retryRatio = 0.2;
/** A valid change is answered within this time of uninterrupted stability. */
const answerTimeoutUs = 4_000_000;
const recoveryTimeoutUs = 12_000_000;
/** Least time between the stage orders of two different machines to one worker. */
const minTakeoverGapUs = 3_000_000;

export function checkPassed(history: PassedHistory, deployment: PassedDeployment): PassedBreach[] {
  const out = new Map<PassedRule, { what: string; n: number }>();
  function addBreach(rule: PassedRule, what: string): void {
    const b = out.get(rule);
    if (b === undefined) out.set(rule, { what, n: 1 });
    else b.n += 1;
  }
  function hadFault(who: string, from: number, to: number): boolean {
    return history.troubles.some((t) => t.who === who && t.from <= to && t.to >= from);
  }
  function isRouterStable(router: string, t: number): boolean {
    return (
      !hadFault(router, t - contactGraceUs, t) &&
      history.lives.some((l) => l.router === router && l.from <= t - contactGraceUs && l.to >= t)
    );
  }
  function isControlClusterStable(t: number): boolean {
    return !hadFault('core', t - contactGraceUs, t);
  }
  const attempts = new Map(history.tries.map((t) => [t.id, t]));

  // Runs.
  const runs = new Map<string, number>();
  for (const r of history.runs) runs.set(r.request, (runs.get(r.request) ?? 0) + 1);
  for (const [id, n] of runs) {
    const t = attempts.get(id);
    if (t === undefined) {
      addBreach('unforeseen', `request ${id} ran, but no client sent it`);
      continue;
    }
    if (t.repeatable || t.resumable) continue;
    if (n > 1) addBreach('runs twice', `${id} (${t.kind}) ran ${n} times: ${runsOf(history, id)}`);
    if (t.ended === 'refused') addBreach('refused yet run', `${id} (${t.kind}, ${t.why}) ran: ${runsOf(history, id)}`);
  }
  for (const r of history.runs)
    if (r.kvSourceRequest !== undefined && r.kvSourceRequest !== r.request)
      addBreach('memory of another', `${r.request} decoded from the KV cache of ${r.kvSourceRequest} at ${r.worker}`);

  // Answers.
  for (const t of history.tries) {
    const why =
      t.body.length === 0 && t.ended !== 'whole' ? undefined : t.streaming ? findStreamError(t) : findBodyError(t);
    if (why !== undefined) addBreach('pieces', `${t.id} (${t.kind}, ${t.ended} via ${t.router}): ${why}`);
    const isGracefulExit = t.ended === 'cut' && t.why === 'router shut down gracefully' && t.readAt !== undefined;
    if (isGracefulExit && !hadFault(t.router, t.readAt! - contactGraceUs, t.end!))
      addBreach('lost in leaving', `${t.id} (${t.kind}) at ${t.router}`);
  }

  // Leaving workers.
  function listOutageUs(from: number, to: number): number {
    return history.troubles
      .filter((t) => t.who === 'list')
      .reduce((a, t) => a + Math.max(0, Math.min(to, t.to + contactGraceUs) - Math.max(from, t.from)), 0);
  }
  for (const a of history.arrivals) {
    const shown = history.leavingVisibleAt.get(a.worker);
    if (a.wasMisdirected || shown === undefined || a.at <= shown + drainGraceUs) continue;
    if (
      a.at - shown - listOutageUs(shown, a.at) <= drainGraceUs ||
      !isRouterStable(a.router, a.at) ||
      !isControlClusterStable(a.at)
    )
      continue;
    addBreach(
      'leaving worker',
      `${a.request} (${a.doing}) reached ${a.worker} ${seconds(a.at - shown)} s after it was listed as leaving, from ${a.router} at ${seconds(a.at)}`,
    );
  }

  // Stage orders to workers.
  for (const [index, order] of history.orders.entries()) {
    const before = history.orders.slice(0, index).filter((x) => x.worker === order.worker);
    const who = `${order.machine} (${order.fence}) to ${order.worker} at ${seconds(order.at)}`;
    for (const x of before) {
      if (x.machine === order.machine) continue;
      if (x.fence === order.fence) addBreach('one orderer', `${who} with the same fence as ${x.machine}`);
      if (order.at - x.at < minTakeoverGapUs && !wasJustResumed(order.machine, order.at))
        addBreach('one orderer', `${who}, ${seconds(order.at - x.at)} s after ${x.machine}`);
    }
    if (before.some((x) => x.fence > order.fence)) addBreach('one orderer', `${who} after a higher fence`);
  }
  function wasJustResumed(machine: string, at: number): boolean {
    return history.troubles.some((t) => t.who === `woken ${machine}` && at >= t.from && at <= t.to);
  }

  // Configuration documents.
  const tablesByText = new Map<string, RouteTable>();
  for (const c of history.changes) {
    const t = parseRouteTable(c.text);
    if (t !== undefined) tablesByText.set(c.text, t);
  }
  const accepted = history.changes.filter((c) => c.answer === 'taken').sort((a, b) => a.revision - b.revision);
  for (const c of accepted)
    if (!c.valid) addBreach('document not taken', `invalid revision ${c.revision} was accepted`);
  for (const [i, c] of accepted.entries())
    for (const b of accepted.slice(i + 1))
      // Two operators may draw the same document: it is one change, and both may be told that it was accepted.
      if (b.baseRevision === c.baseRevision && b.text !== c.text)
        addBreach('two on one', `${c.revision} and ${b.revision} were both accepted on top of ${c.baseRevision}`);
  for (const a of history.applied) {
    const c = history.changes.find((x) => x.text === a.text);
    if (c === undefined || !c.valid || c.answer === 'refused')
      addBreach(
        'document not taken',
        `${a.revision} is applied at ${a.router}, but its submission was answered: ${c?.answer ?? 'nothing'}`,
      );
  }
  for (const l of history.lives) {
    let top = 0;
    for (const a of history.applied.filter((x) => x.router === l.router && x.life === l.life)) {
      if (a.revision < top) addBreach('document back', `${l.router} went from ${top} to ${a.revision}`);
      top = Math.max(top, a.revision);
    }
  }
  for (const c of accepted)
    for (const l of history.lives) {
      const at = history.applied.find(
        (a) => a.router === l.router && a.life === l.life && a.revision >= c.revision,
      )?.at;
      const to = Math.min(l.to, at ?? Infinity, history.to);
      for (let x = Math.max(c.answeredAt! + applyTimeoutUs, l.from); x < to; x += 50_000)
        if (isRouterStable(l.router, x) && mustApplyBy(c.answeredAt!, x)) {
          addBreach(
            'document late',
            `${c.revision}, accepted at ${seconds(c.answeredAt!)}, is not applied at ${l.router} at ${seconds(x)}`,
          );
          break;
        }
    }
  function mustApplyBy(ack: number, x: number): boolean {
    if (hadFault('core lost', ack - contactGraceUs, x))
      return !hadFault('core', x - 2 * contactGraceUs - applyTimeoutUs, x);
    return isControlClusterStable(x) || x > ack + applyTimeoutUs + unstableClusterGraceUs;
  }

  // A valid change is answered within `answerTimeoutUs`, counted over one uninterrupted period of stability.
  for (const c of history.changes.filter((x) => x.valid)) {
    let stableUs = 0;
    for (let x = c.at; x < (c.answeredAt ?? history.to) && stableUs <= answerTimeoutUs; x += 100_000)
      stableUs = isControlClusterStable(x) ? stableUs + 100_000 : 0;
    if (stableUs > answerTimeoutUs)
      addBreach(
        'not answered',
        `${c.revision}, sent at ${seconds(c.at)}, had no answer during 4 s without control cluster faults`,
      );
  }
  for (const t of history.tries)
    if (
      t.ended === 'refused' &&
      t.why === 'not_ready' &&
      isRouterStable(t.router, t.end!) &&
      isControlClusterStable(t.end!)
    )
      addBreach('not ready', `${t.router} had no routes at ${seconds(t.end!)}`);

  // The route tables that the router may have had in force for an attempt.
  function tablesPossiblyInForce(t: AttemptRecord, until: number): RouteTable[] {
    const read = t.readAt ?? t.at;
    const isInContact = isRouterStable(t.router, read) && isControlClusterStable(read);
    const minRevision = isInContact
      ? Math.max(0, ...accepted.filter((c) => c.answeredAt! <= read - applyTimeoutUs).map((c) => c.revision))
      : 0;
    return history.changes
      .filter((c) => c.valid && c.answer !== 'refused' && c.revision >= minRevision && c.at <= until)
      .map((c) => tablesByText.get(c.text)!);
  }
  function routesOf(t: AttemptRecord, until: number): (Route | undefined)[] {
    return tablesPossiblyInForce(t, until).map((table) => table.routes.find((p) => p.host === hostOf(t.kind)));
  }
  for (const r of history.runs) {
    const t = attempts.get(r.request);
    if (
      t !== undefined &&
      !routesOf(t, r.at).some((p) => p?.weightedServices.some((x) => x.service === r.service && x.weight > 0))
    )
      addBreach('path', `${r.request} (${t.kind}) ran at service ${r.service} at ${seconds(r.at)}`);
  }
  for (const t of history.tries)
    if (t.ended === 'unknown_path' && routesOf(t, t.end!).every((p) => p !== undefined))
      addBreach('denied', `${t.id} (${t.kind}) at ${t.router} at ${seconds(t.end!)}`);

  for (const b of checkTenants(history, tablesPossiblyInForce)) addBreach(b.rule, b.what);

  for (const b of findBudgetBreaches(history, deployment)) addBreach('budget', b);

  // Acknowledged changes survive until the end of the run.
  const newestAccepted = accepted.at(-1);
  if (newestAccepted !== undefined && history.readbacks.length === 0)
    addBreach('read back', `nothing was read back, ${newestAccepted.revision} was accepted`);
  for (const read of history.readbacks) {
    const document = parseRouteTable(read.text);
    if (newestAccepted !== undefined && (document === undefined || document.revision < newestAccepted.revision))
      addBreach(
        'read back',
        `${document?.revision ?? 'nothing'} was read back at ${seconds(read.at)}, ${newestAccepted.revision} was accepted`,
      );
    else if (document !== undefined && history.changes.every((c) => c.text !== read.text || c.answer === 'refused'))
      addBreach('read back', `the document read back as ${document.revision} was never submitted or was refused`);
  }

  // Service recovers within 12 s of an outage. After a service lost its last decode worker, it may be down for another
  // 12 s, extended by 12 s after each control cluster fault within that time.
  const degradedPeriods = history.lastDecodeRemovedAt.map((at) => ({ from: at, to: degradedUntil(at) }));
  function degradedUntil(at: number): number {
    let until = at + recoveryTimeoutUs;
    const inCore = history.troubles.filter((t) => t.who === 'core' || t.who === 'core lost');
    for (const t of inCore.sort((a, b) => a.from - b.from))
      if (t.to >= at && t.from <= until) until = Math.max(until, t.to + recoveryTimeoutUs);
    return until;
  }
  for (const at of [...history.outageEnds, ...degradedPeriods.map((period) => period.to - recoveryTimeoutUs)]) {
    const laterAttempts = history.tries.filter(
      (t) =>
        t.at > at + recoveryTimeoutUs &&
        t.ended !== 'unknown_path' &&
        t.ended !== 'unknown_key' &&
        t.id.endsWith('.1') &&
        !degradedPeriods.some((period) => t.at >= period.from && t.at <= period.to),
    );
    const whole = laterAttempts.filter((t) => t.ended === 'whole').length;
    if (laterAttempts.length >= 20 && whole * 4 < laterAttempts.length)
      addBreach(
        'recovery',
        `${whole} of ${laterAttempts.length} served later than 12 s after the outage at ${seconds(at)}`,
      );
  }
  for (const x of history.unforeseen) addBreach('unforeseen', x);
  return [...out].map(([rule, b]) => ({ rule, what: b.n > 1 ? `${b.what} (and ${b.n - 1} more)` : b.what }));
}

function seconds(t: number): string {
  return (t / 1e6).toFixed(2);
}
function runsOf(history: PassedHistory, id: string): string {
  return history.runs
    .filter((r) => r.request === id)
    .map((r) => `${r.worker} at ${seconds(r.at)}`)
    .join(', ');
}

// Events are consecutive from the client's last event on and all belong to the request; only a resumable request may get
// events of a second run. A response that ended as complete contains its last event and nothing after it.
function findStreamError(t: AttemptRecord): string | undefined {
  const text = Buffer.concat(t.body).toString();
  let last = t.lastEvent ?? 0;
  let run = '';
  let at = 0;
  for (const m of text.matchAll(/id: (\d+)\ndata: (\S+) (\S+) (\d+)\/(\d+)\n\n/g)) {
    if (m.index !== at) return `bytes that are not an event after event ${last}`;
    at = m.index + m[0].length;
    if (m[2] !== t.id) return `an event of request ${m[2]}`;
    if (Number(m[1]) !== last + 1) return `event ${m[1]} after ${last}`;
    if (run !== '' && m[3] !== run && !t.resumable) return `events of runs ${run} and ${m[3]}`;
    last = Number(m[1]);
    run = m[3]!;
  }
  const period = text.slice(at);
  if (period !== '') return `bytes that are not an event after event ${last}`;
  if (t.ended === 'whole' && last !== t.pieces) return `ended as complete with ${last} of ${t.pieces} events`;
  return undefined;
}
function findBodyError(t: AttemptRecord): string | undefined {
  if (t.ended !== 'whole') return undefined;
  const ps = Buffer.concat(t.body).toString().split(';').slice(0, -1);
  const run = ps[0]?.split(' ')[1] ?? '';
  const want = Array.from({ length: t.pieces }, (_, i) => `${t.id} ${run} ${i + 1}/${t.pieces}`);
  return ps.join(';') === want.join(';') ? undefined : `body has ${ps.length} of ${t.pieces} parts or wrong ones`;
}

// Attempts beyond the first of each request. The first prefill that a worker accepts does not count.
function findBudgetBreaches(history: PassedHistory, deployment: PassedDeployment): string[] {
  const [extraTimes, firstPrefills, seen] = [new Map<string, number[]>(), new Set<string>(), new Set<string>()];
  for (const a of history.arrivals) {
    if (a.doing === 'read' && a.wasAccepted && !firstPrefills.has(a.request)) {
      firstPrefills.add(a.request);
      continue;
    }
    if (seen.has(a.request)) extraTimes.set(a.service, [...(extraTimes.get(a.service) ?? []), a.at]);
    seen.add(a.request);
  }
  const hostsByService = new Map<string, Set<string>>();
  for (const c of history.changes.filter((x) => x.valid && x.answer !== 'refused'))
    for (const p of parseRouteTable(c.text)?.routes ?? [])
      for (const x of p.weightedServices)
        hostsByService.set(x.service, (hostsByService.get(x.service) ?? new Set()).add(p.host));
  const out: string[] = [];
  for (const [service, xs] of extraTimes) {
    const attemptTimes = history.tries
      .filter((t) => hostsByService.get(service)?.has(hostOf(t.kind)) === true)
      .map((t) => t.at);
    function count(from: number): number {
      return attemptTimes.filter((t) => t > from && t <= from + budgetWindowUs).length;
    }
    for (const [i, end] of xs.entries()) {
      const from = end - budgetWindowUs;
      const n = xs.slice(0, i + 1).filter((t) => t > from).length;
      if (n <= deployment.sendSlack) continue;
      const maxExtra =
        retryRatio * Math.max(count(from), count(from - budgetWindowUs), count(from - budgetWindowUs / 2)) +
        deployment.sendSlack;
      if (n <= maxExtra) continue;
      out.push(`${n} retries to ${service} in the 10 s up to ${seconds(end)} s, ${Math.floor(maxExtra)} allowed`);
      break;
    }
  }
  return out;
}
