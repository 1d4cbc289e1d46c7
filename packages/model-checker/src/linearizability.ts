/**
 * Checks that a history of operations on the configuration register, some with unknown outcomes, is linearizable.
 *
 * The search is that of J. M. Wing and C. Gong, "Testing and Verifying Concurrent Objects" (JPDC 17, 1993), with the
 * memoisation of visited configurations of G. Lowe, "Testing for Linearizability" (CCPE 29(4), 2017). An operation
 * with an unknown outcome stays open to the end and need not take effect.
 *
 * The sequential register: a write takes effect if its expected version is the current version; it is answered `done`
 * without any effect if its change was applied before; otherwise it is refused.
 */
import { neverReturned, type Operation, type RegisterValue, type WriteOperation } from './operation-history.js';

interface Register {
  readonly value: RegisterValue;
  readonly appliedChanges: ReadonlySet<string>;
}

const empty: Register = { value: { change: '', version: 0 }, appliedChanges: new Set() };

/** The register after an operation with the outcome that it had; undefined if that outcome is impossible here. */
function applyOperation(register: Register, operation: Operation): Register | undefined {
  if (operation.kind === 'read') {
    return operation.seen?.version === register.value.version && operation.seen.change === register.value.change
      ? register
      : undefined;
  }
  const effect = writeEffect(register, operation);
  if (operation.outcome === 'refused') return effect === undefined ? register : undefined;
  return effect;
}

function writeEffect(register: Register, operation: WriteOperation): Register | undefined {
  if (register.appliedChanges.has(operation.request.change)) return register;
  if (operation.request.expectedVersion !== register.value.version) return undefined;
  return {
    value: { change: operation.request.change, version: register.value.version + 1 },
    appliedChanges: new Set([...register.appliedChanges, operation.request.change]),
  };
}

/** An open write can no longer take effect once its expected version is outdated, as versions only increase. */
function canNoLongerTakeEffect(register: Register, operation: Operation): boolean {
  return (
    mayBeOmitted(operation) &&
    operation.kind === 'write' &&
    (operation.request.expectedVersion < register.value.version ||
      register.appliedChanges.has(operation.request.change))
  );
}

function mayBeOmitted(operation: Operation): boolean {
  return operation.kind === 'write' ? operation.outcome === 'unknown' : operation.seen === undefined;
}

function keyOf(remaining: readonly Operation[], all: ReadonlyMap<Operation, number>, register: Register): string {
  const changes = [...register.appliedChanges].sort().join();
  return `${remaining.map((operation) => all.get(operation)).join()}|${register.value.version}|${register.value.change}|${changes}`;
}

/** Whether some order of the operations, consistent with their real times, explains every answer. */
export function isLinearizable(history: readonly Operation[]): boolean {
  const relevant = history.filter((operation) => !(operation.kind === 'read' && operation.seen === undefined));
  const numbers = new Map(relevant.map((operation, index) => [operation, index]));
  const visited = new Set<string>();

  function search(all: readonly Operation[], register: Register): boolean {
    const remaining = all.filter((operation) => !canNoLongerTakeEffect(register, operation));
    if (remaining.every(mayBeOmitted)) return true;
    const key = keyOf(remaining, numbers, register);
    if (visited.has(key)) return false;
    visited.add(key);
    const firstReturn = Math.min(
      ...remaining.map((operation) => (mayBeOmitted(operation) ? neverReturned : operation.returned)),
    );
    const candidates = remaining
      .filter((operation) => operation.invoked <= firstReturn)
      .map((operation) => ({ operation, next: applyOperation(register, operation) }));
    // An operation that is possible here and changes nothing can always be linearized first.
    const withoutEffect = candidates.find((candidate) => candidate.next === register);
    if (withoutEffect !== undefined) return search(without(remaining, withoutEffect.operation), register);
    return candidates.some(
      (candidate) => candidate.next !== undefined && search(without(remaining, candidate.operation), candidate.next),
    );
  }
  return search(relevant, empty);
}

function without(list: readonly Operation[], operation: Operation): Operation[] {
  return list.filter((other) => other !== operation);
}
