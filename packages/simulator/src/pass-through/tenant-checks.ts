/**
 * Invariants of tenants and API keys. Breaches: a worker is told the wrong tenant or receives the key, a request runs
 * with a key that was never issued or has been revoked, a request with a valid key is denied, or a tenant is starved.
 */
import type { Route, RouteTable, Tenant } from '@tansypost/paths';
import { hostOf } from './paths-drawn.js';
import type { PassedBreach } from './passed-checks.js';
import type { ArrivalRecord, PassedHistory, RunRecord, AttemptRecord } from './passed-history.js';
import { parseRouteTable } from './submit.js';

/** Returns the route tables that may have been in force for an attempt up to the given time. */
export type TablesPossiblyInForce = (t: AttemptRecord, until: number) => readonly RouteTable[];

/** Tenants with fewer requests than this are not checked for starvation. */
const minRequests = 20;
/** The served share of all requests may exceed that of one tenant by at most this factor. */
const maxServedRatio = 4;

function routeIn(table: RouteTable, t: AttemptRecord): Route | undefined {
  return table.routes.find((route) => route.host === hostOf(t.kind));
}
function tenantIn(table: RouteTable, t: AttemptRecord): Tenant | undefined {
  const { keyDigest } = t;
  return keyDigest === undefined ? undefined : table.tenants?.find((x) => x.keyDigests.includes(keyDigest));
}

/** Whether the table has a route for the attempt and knows its key, if the route requires one. */
function allows(table: RouteTable, t: AttemptRecord): boolean {
  const route = routeIn(table, t);
  if (route === undefined) return false;
  return table.tenants === undefined || route.public === true || tenantIn(table, t) !== undefined;
}

function checkArrival(
  a: ArrivalRecord,
  t: AttemptRecord,
  tablesPossiblyInForce: TablesPossiblyInForce,
): PassedBreach | undefined {
  const tables = tablesPossiblyInForce(t, a.at).filter((table) => allows(table, t));
  // A request that no table allows is reported by checkRun.
  if (tables.length === 0) return undefined;
  const where = `${a.request} (${a.doing}) at ${a.worker}, sent by ${a.router} at ${seconds(a.sentAt)}`;
  if (a.gotCredentials && tables.every((table) => table.tenants !== undefined))
    return { rule: 'key passed on', what: where };
  const holders = tables.map((table) => tenantIn(table, t)?.name);
  if (holders.includes(a.tenant)) return undefined;
  return {
    rule: 'wrong tenant',
    what: `${where}: as tenant ${a.tenant ?? 'nobody'} instead of ${holders.join(' or ')}`,
  };
}

function checkRun(
  r: RunRecord,
  t: AttemptRecord,
  tablesPossiblyInForce: TablesPossiblyInForce,
  submitted: readonly RouteTable[],
): PassedBreach | undefined {
  const tables = tablesPossiblyInForce(t, r.at);
  if (tables.some((table) => allows(table, t)) || tables.every((table) => routeIn(table, t) === undefined))
    return undefined;
  const what = `${r.request} (${t.kind}) of ${t.tenant ?? 'nobody'} ran at ${r.worker} at ${seconds(r.at)}`;
  return { rule: submitted.some((table) => allows(table, t)) ? 'dropped key' : 'unknown key', what };
}

function checkStarvation(history: PassedHistory): PassedBreach[] {
  const refused = new Set(
    history.tries.filter((t) => t.ended === 'unknown_key' || t.ended === 'unknown_path').map((t) => t.task),
  );
  const servedTasks = new Set(history.tries.filter((t) => t.ended === 'whole').map((t) => t.task));
  const tasksOf = new Map<string, Set<number>>();
  for (const t of history.tries)
    if (t.tenant !== undefined && !refused.has(t.task))
      tasksOf.set(t.tenant, (tasksOf.get(t.tenant) ?? new Set()).add(t.task));
  function servedShareOf(tasks: readonly number[]): number {
    return tasks.filter((task) => servedTasks.has(task)).length / Math.max(1, tasks.length);
  }
  const all = servedShareOf([...tasksOf.values()].flatMap((tasks) => [...tasks]));
  return [...tasksOf]
    .filter(([, tasks]) => tasks.size >= minRequests && servedShareOf([...tasks]) * maxServedRatio < all)
    .map(([tenant, tasks]) => ({
      rule: 'starved',
      what: `${tenant}: ${percent(servedShareOf([...tasks]))} of ${tasks.size} requests served, ${percent(all)} over all tenants`,
    }));
}

/** Returns every breach of the tenant and key invariants; none if no document has tenants and no request has a key. */
export function checkTenants(history: PassedHistory, tablesPossiblyInForce: TablesPossiblyInForce): PassedBreach[] {
  const attempts = new Map(history.tries.map((t) => [t.id, t]));
  const submitted = history.changes
    .filter((c) => c.valid && c.answer !== 'refused')
    .map((c) => ({ at: c.at, table: parseRouteTable(c.text) }))
    .filter((x): x is { at: number; table: RouteTable } => x.table !== undefined);
  const out: (PassedBreach | undefined)[] = [];
  for (const a of history.arrivals) {
    const t = attempts.get(a.request);
    if (t !== undefined) out.push(checkArrival(a, t, tablesPossiblyInForce));
  }
  for (const r of history.runs) {
    const t = attempts.get(r.request);
    const before = submitted.filter((x) => x.at <= r.at).map((x) => x.table);
    if (t !== undefined) out.push(checkRun(r, t, tablesPossiblyInForce, before));
  }
  for (const t of history.tries)
    if (t.ended === 'unknown_key' && tablesPossiblyInForce(t, t.end!).every((table) => allows(table, t)))
      out.push({
        rule: 'denied',
        what: `${t.id} (${t.kind}) of ${t.tenant ?? 'nobody'} at ${t.router}, ended at ${seconds(t.end!)}`,
      });
  return [...out.filter((breach) => breach !== undefined), ...checkStarvation(history)];
}

function seconds(t: number): string {
  return (t / 1e6).toFixed(2);
}
function percent(share: number): string {
  return `${Math.round(share * 100)}%`;
}
