/**
 * Invariants of the control cluster. Each check reads a recorded history and returns the breaches that it finds, without
 * knowledge of the run that produced the history.
 */
import { noRevision, type ConfigCall, type ControlBreach, type ControlHistory } from './control-history.js';

/** Every call is answered within this time; a call whose outcome is still unknown by then is answered 503. */
export const answerTimeoutUs = 1_000_000;
/** A running router applies an update within this time of its acknowledgement. */
export const applyTimeoutUs = 2_000_000;
/** How long a starting router waits for a configuration that is confirmed as current. */
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

function describeCall(call: ConfigCall): string {
  const what = call.kind === 'put' ? `update to revision ${call.revision} from ${call.expectedRevision}` : 'read';
  return `${what} sent to ${call.node} at ${(call.sentAt / 1e6).toFixed(3)} s`;
}

/** The updates in a history, each with all calls that submitted it. */
function submittedUpdates(history: ControlHistory): SubmittedUpdate[] {
  const updates = new Map<string, SubmittedUpdate>();
  for (const call of history.calls) {
    if (call.kind !== 'put') continue;
    const key = `${call.expectedRevision}/${call.text}`;
    const update = updates.get(key) ?? {
      text: call.text!,
      revision: call.revision!,
      expectedRevision: call.expectedRevision!,
      calls: [],
    };
    update.calls.push(call);
    updates.set(key, update);
  }
  return [...updates.values()];
}

/** When each revision was first known to be in force: by the acknowledgement of its update or by a read. */
function firstKnown(history: ControlHistory): Map<number, number> {
  const known = new Map<number, number>([[noRevision, -Infinity]]);
  for (const call of history.calls) {
    if (call.code !== 200) continue;
    const revision = call.kind === 'put' ? call.revision! : call.readResult!.revision;
    known.set(revision, Math.min(known.get(revision) ?? Infinity, call.answeredAt!));
  }
  return known;
}

/** No two updates that replace the same revision are both acknowledged. */
export function oneOrderPerBase(history: ControlHistory): ControlBreach[] {
  const acknowledgedByBase = new Map<number, string>();
  const breaches: ControlBreach[] = [];
  for (const update of submittedUpdates(history)) {
    const acknowledged = update.calls.find((call) => call.code === 200);
    if (acknowledged === undefined) continue;
    const other = acknowledgedByBase.get(update.expectedRevision);
    if (other !== undefined)
      breaches.push({
        check: 'oneOrderPerBase',
        what: `two updates of revision ${update.expectedRevision} acknowledged: ${other} and ${describeCall(acknowledged)}`,
      });
    acknowledgedByBase.set(update.expectedRevision, describeCall(acknowledged));
  }
  return breaches;
}

/** An update that was acknowledged, or read back, is never answered 4xx afterwards. */
export function takenStaysTaken(history: ControlHistory): ControlBreach[] {
  return submittedUpdates(history).flatMap((update) => {
    const reads = history.calls.filter(
      (call) => call.kind === 'get' && call.code === 200 && call.readResult!.text === update.text,
    );
    const known = Math.min(
      ...[...update.calls.filter((call) => call.code === 200), ...reads].map((call) => call.answeredAt!),
      Infinity,
    );
    return update.calls
      .filter((call) => isClientError(call.code) && call.answeredAt! > known)
      .map((call) => ({
        check: 'takenStaysTaken',
        what: `${describeCall(call)} was answered ${call.code} although the update was already in force`,
      }));
  });
}

/** An update that was answered 4xx, and never 200, is never in force. */
export function refusedNeverInForce(history: ControlHistory): ControlBreach[] {
  return submittedUpdates(history).flatMap((update) => {
    if (!update.calls.some((call) => isClientError(call.code)) || update.calls.some((call) => call.code === 200))
      return [];
    const rejected = update.calls.find((call) => isClientError(call.code))!;
    return history.calls.some(
      (call) => call.kind === 'get' && call.code === 200 && call.readResult!.text === update.text,
    )
      ? [
          {
            check: 'refusedNeverInForce',
            what: `${describeCall(rejected)} was answered ${rejected.code} but read back later`,
          },
        ]
      : [];
  });
}

/** An update is rejected only if another update of the same revision was sent, or that revision was never in force. */
export function properOrdersNotRefused(history: ControlHistory): ControlBreach[] {
  const known = firstKnown(history);
  const updates = submittedUpdates(history);
  return updates.flatMap((update) =>
    update.calls
      .filter((call) => isClientError(call.code) && (known.get(update.expectedRevision) ?? Infinity) <= call.sentAt)
      .filter(
        (call) =>
          !updates.some(
            (other) =>
              other.expectedRevision === update.expectedRevision &&
              other.text !== update.text &&
              other.calls[0]!.sentAt < call.answeredAt!,
          ),
      )
      .map((call) => ({
        check: 'properOrdersNotRefused',
        what: `${describeCall(call)} was answered ${call.code} without a concurrent update`,
      })),
  );
}

/** A 200 or 4xx answer to an update is backed by a vote round that started after the call was sent. */
export function answersStandOnRounds(history: ControlHistory): ControlBreach[] {
  const won = [...history.rounds.values()].filter((round) => round.wonAt !== undefined);
  function isBacked(call: ConfigCall): boolean {
    return won.some((round) => {
      if (round.startedAt < call.sentAt || round.wonAt! > call.answeredAt!) return false;
      if (round.node === call.node) return true;
      return history.answers.some(
        (answer) =>
          answer.from === round.node &&
          answer.to === call.node &&
          answer.at >= round.wonAt! &&
          answer.at <= call.answeredAt!,
      );
    });
  }
  return history.calls
    .filter((call) => call.kind === 'put' && (call.code === 200 || isClientError(call.code)) && !isBacked(call))
    .map((call) => ({
      check: 'answersStandOnRounds',
      what: `${describeCall(call)} was answered ${call.code} without a vote round`,
    }));
}

/** A read returns nothing older than what was acknowledged, or returned by any read, before it was sent. */
export function readsAreCurrent(history: ControlHistory): ControlBreach[] {
  const known = [...firstKnown(history)];
  const updatesByText = new Map(submittedUpdates(history).map((update) => [update.text, update]));
  return history.calls.flatMap((call) => {
    if (call.kind !== 'get' || call.code !== 200) return [];
    const result = call.readResult!;
    const newest = Math.max(...known.filter(([, at]) => at < call.sentAt).map(([revision]) => revision));
    const update = updatesByText.get(result.text);
    if (result.revision < newest)
      return [
        {
          check: 'readsAreCurrent',
          what: `${describeCall(call)} returned revision ${result.revision} after ${newest} was known to be in force`,
        },
      ];
    if (update === undefined || update.calls[0]!.sentAt > call.answeredAt!)
      return [
        {
          check: 'readsAreCurrent',
          what: `${describeCall(call)} returned revision ${result.revision}, which had not been submitted`,
        },
      ];
    return [];
  });
}

/** A running machine answers every call within `answerTimeoutUs`. */
export function answeredInTime(history: ControlHistory): ControlBreach[] {
  return history.calls
    .filter(
      (call) =>
        call.nodeWasAvailable && (call.answeredAt === undefined || call.answeredAt - call.sentAt > answerTimeoutUs),
    )
    .map((call) => ({ check: 'answeredInTime', what: `${describeCall(call)} was not answered within 1 s` }));
}

/** No router goes back to an older configuration. */
export function routersNeverGoBack(history: ControlHistory): ControlBreach[] {
  const newest = new Map<string, number>();
  const breaches: ControlBreach[] = [];
  for (const applied of history.appliedConfigurations) {
    const incarnation = `${applied.router}/${applied.startedAt}`;
    const previous = newest.get(incarnation) ?? noRevision;
    if (applied.revision < previous)
      breaches.push({
        check: 'routersNeverGoBack',
        what: `${applied.router} went from revision ${previous} back to ${applied.revision}`,
      });
    newest.set(incarnation, Math.max(previous, applied.revision));
  }
  return breaches;
}

/** A router that has just started applies nothing that was already outdated `applyTimeoutUs` before its start. */
export function startedRoutersAreCurrent(history: ControlHistory): ControlBreach[] {
  const known = [...firstKnown(history)];
  return history.appliedConfigurations.flatMap((applied) => {
    if (applied.at - applied.startedAt >= initialContactTimeoutUs) return [];
    const newest = Math.max(
      ...known.filter(([, at]) => at < applied.startedAt - applyTimeoutUs).map(([revision]) => revision),
    );
    if (applied.revision >= newest) return [];
    const started = (applied.startedAt / 1e6).toFixed(3);
    const what = `${applied.router}, started at ${started} s, applied revision ${applied.revision} after ${newest} was in force`;
    return [{ check: 'startedRoutersAreCurrent', what }];
  });
}

/** All invariants of a history, by name. */
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

/** Returns every breach of an invariant in a history. */
export function checkControlInvariants(history: ControlHistory): ControlBreach[] {
  return Object.values(controlInvariants).flatMap((check) => check(history));
}
