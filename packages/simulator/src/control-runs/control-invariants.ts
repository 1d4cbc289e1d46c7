/**
 * What a recorded run of the control side must never show. Each judge reads a history and gives the breaches that it
 * finds; none knows how the run came about.
 */
import { noRevision, type ConfigCall, type ControlBreach, type ControlHistory } from './control-history.js';

/** Every call is answered within this time, in microseconds; what is not known by then is answered 503. */
export const answerTimeoutUs = 1_000_000;
/** A running router has a change at most this long after its acknowledgement. */
export const applyTimeoutUs = 2_000_000;
/** For this long a router that starts looks for a configuration that is certainly current. */
export const initialContactTimeoutUs = 3_000_000;

interface SubmittedUpdate {
  readonly text: string;
  readonly revision: number;
  readonly expectedRevision: number;
  readonly calls: ConfigCall[];
}

function isClientError(code: number | undefined): boolean {
  return code !== undefined && code >= 400 && code < 500;
}

function describeCall(c: ConfigCall): string {
  const what = c.kind === 'put' ? `order ${c.revision} on ${c.expectedRevision}` : 'read';
  return `${what} to ${c.node} at ${(c.sentAt / 1e6).toFixed(3)} s`;
}

/** The orders of a history, each with all the calls by which it was sent. */
function submittedUpdates(h: ControlHistory): SubmittedUpdate[] {
  const orders = new Map<string, SubmittedUpdate>();
  for (const c of h.calls) {
    if (c.kind !== 'put') continue;
    const key = `${c.expectedRevision}/${c.text}`;
    const order = orders.get(key) ?? {
      text: c.text!,
      revision: c.revision!,
      expectedRevision: c.expectedRevision!,
      calls: [],
    };
    order.calls.push(c);
    orders.set(key, order);
  }
  return [...orders.values()];
}

/** When a revision was first known to be in force: by the answer to its order or by a read. */
function firstKnown(h: ControlHistory): Map<number, number> {
  const known = new Map<number, number>([[noRevision, -Infinity]]);
  for (const c of h.calls) {
    if (c.code !== 200) continue;
    const revision = c.kind === 'put' ? c.revision! : c.readResult!.revision;
    known.set(revision, Math.min(known.get(revision) ?? Infinity, c.answeredAt!));
  }
  return known;
}

/** No two orders that build on the same revision are both acknowledged. */
export function oneOrderPerBase(h: ControlHistory): ControlBreach[] {
  const taken = new Map<number, string>();
  const breaches: ControlBreach[] = [];
  for (const o of submittedUpdates(h)) {
    const done = o.calls.find((c) => c.code === 200);
    if (done === undefined) continue;
    const other = taken.get(o.expectedRevision);
    if (other !== undefined)
      breaches.push({
        check: 'oneOrderPerBase',
        what: `two on ${o.expectedRevision}: ${other} and ${describeCall(done)}`,
      });
    taken.set(o.expectedRevision, describeCall(done));
  }
  return breaches;
}

/** An order that was acknowledged, or read back, is never answered 4xx afterwards. */
export function takenStaysTaken(h: ControlHistory): ControlBreach[] {
  return submittedUpdates(h).flatMap((o) => {
    const reads = h.calls.filter((c) => c.kind === 'get' && c.code === 200 && c.readResult!.text === o.text);
    const known = Math.min(...[...o.calls.filter((c) => c.code === 200), ...reads].map((c) => c.answeredAt!), Infinity);
    return o.calls
      .filter((c) => isClientError(c.code) && c.answeredAt! > known)
      .map((c) => ({
        check: 'takenStaysTaken',
        what: `${describeCall(c)} was answered ${c.code} though it had been taken`,
      }));
  });
}

/** An order that was answered 4xx, and never 200, is never in force. */
export function refusedNeverInForce(h: ControlHistory): ControlBreach[] {
  return submittedUpdates(h).flatMap((o) => {
    if (!o.calls.some((c) => isClientError(c.code)) || o.calls.some((c) => c.code === 200)) return [];
    const refused = o.calls.find((c) => isClientError(c.code))!;
    return h.calls.some((c) => c.kind === 'get' && c.code === 200 && c.readResult!.text === o.text)
      ? [{ check: 'refusedNeverInForce', what: `${describeCall(refused)} was answered ${refused.code} and read back` }]
      : [];
  });
}

/** An order is refused only when another one on the same base had been sent, or its base was never in force. */
export function properOrdersNotRefused(h: ControlHistory): ControlBreach[] {
  const known = firstKnown(h);
  const orders = submittedUpdates(h);
  return orders.flatMap((o) =>
    o.calls
      .filter((c) => isClientError(c.code) && (known.get(o.expectedRevision) ?? Infinity) <= c.sentAt)
      .filter(
        (c) =>
          !orders.some(
            (x) => x.expectedRevision === o.expectedRevision && x.text !== o.text && x.calls[0]!.sentAt < c.answeredAt!,
          ),
      )
      .map((c) => ({
        check: 'properOrdersNotRefused',
        what: `${describeCall(c)} was answered ${c.code} with no rival`,
      })),
  );
}

/** An answer to an order, 200 or 4xx, stands on a round that began after the order came. */
export function answersStandOnRounds(h: ControlHistory): ControlBreach[] {
  const won = [...h.rounds.values()].filter((r) => r.wonAt !== undefined);
  function backed(c: ConfigCall): boolean {
    return won.some((r) => {
      if (r.startedAt < c.sentAt || r.wonAt! > c.answeredAt!) return false;
      if (r.node === c.node) return true;
      return h.answers.some((a) => a.from === r.node && a.to === c.node && a.at >= r.wonAt! && a.at <= c.answeredAt!);
    });
  }
  return h.calls
    .filter((c) => c.kind === 'put' && (c.code === 200 || isClientError(c.code)) && !backed(c))
    .map((c) => ({ check: 'answersStandOnRounds', what: `${describeCall(c)} was answered ${c.code} without a round` }));
}

/** A read gives nothing older than what was acknowledged, or read by anyone, before it was asked. */
export function readsAreCurrent(h: ControlHistory): ControlBreach[] {
  const known = [...firstKnown(h)];
  const texts = new Map(submittedUpdates(h).map((o) => [o.text, o]));
  return h.calls.flatMap((c) => {
    if (c.kind !== 'get' || c.code !== 200) return [];
    const found = c.readResult!;
    const newest = Math.max(...known.filter(([, at]) => at < c.sentAt).map(([r]) => r));
    const order = texts.get(found.text);
    if (found.revision < newest)
      return [
        { check: 'readsAreCurrent', what: `${describeCall(c)} gave ${found.revision} after ${newest} was known` },
      ];
    if (order === undefined || order.calls[0]!.sentAt > c.answeredAt!)
      return [{ check: 'readsAreCurrent', what: `${describeCall(c)} gave ${found.revision}, which nobody had sent` }];
    return [];
  });
}

/** A machine that runs answers every call within the second. */
export function answeredInTime(h: ControlHistory): ControlBreach[] {
  return h.calls
    .filter((c) => c.nodeWasAvailable && (c.answeredAt === undefined || c.answeredAt - c.sentAt > answerTimeoutUs))
    .map((c) => ({ check: 'answeredInTime', what: `${describeCall(c)} was not answered within the second` }));
}

/** No router goes back to an older configuration. */
export function routersNeverGoBack(h: ControlHistory): ControlBreach[] {
  const newest = new Map<string, number>();
  const breaches: ControlBreach[] = [];
  for (const v of h.appliedConfigurations) {
    const life = `${v.router}/${v.startedAt}`;
    const before = newest.get(life) ?? noRevision;
    if (v.revision < before)
      breaches.push({ check: 'routersNeverGoBack', what: `${v.router} went from ${before} to ${v.revision}` });
    newest.set(life, Math.max(before, v.revision));
  }
  return breaches;
}

/** A router that has just started takes nothing that was out of date long before it started. */
export function startedRoutersAreCurrent(h: ControlHistory): ControlBreach[] {
  const known = [...firstKnown(h)];
  return h.appliedConfigurations.flatMap((v) => {
    if (v.at - v.startedAt >= initialContactTimeoutUs) return [];
    const newest = Math.max(...known.filter(([, at]) => at < v.startedAt - applyTimeoutUs).map(([r]) => r));
    if (v.revision >= newest) return [];
    const started = (v.startedAt / 1e6).toFixed(3);
    const what = `${v.router}, started at ${started} s, took ${v.revision} when ${newest} had long been in force`;
    return [{ check: 'startedRoutersAreCurrent', what }];
  });
}

/** All judges of a history, by name. */
export const controlInvariants = {
  oneOrderPerBase,
  takenStaysTaken,
  refusedNeverInForce,
  properOrdersNotRefused,
  answersStandOnRounds,
  readsAreCurrent,
  answeredInTime,
  routersNeverGoBack,
  startedRoutersAreCurrent,
} as const;

/** Every breach that the judges find in a history. */
export function checkControlInvariants(h: ControlHistory): ControlBreach[] {
  return Object.values(controlInvariants).flatMap((judge) => judge(h));
}
