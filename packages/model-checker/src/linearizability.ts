/**
 * Linearizability of the configuration register with unknown outcomes.
 *
 * The search is that of J. M. Wing and C. Gong, "Testing and Verifying Concurrent Objects" (JPDC 17, 1993), with the
 * memory of configurations already tried of G. Lowe, "Testing for Linearizability" (CCPE 29(4), 2017). An operation of
 * unknown outcome stays open to the end and need not take effect.
 *
 * The sequential register: a write takes effect where its base is the version in force; it is told done, without any
 * effect, where its change was taken before; else it is refused.
 */
import { neverReturned, type Operation, type RegisterValue, type WriteOperation } from './operation-history.js';

interface Register {
  readonly value: RegisterValue;
  readonly appliedChanges: ReadonlySet<string>;
}

const empty: Register = { value: { change: '', version: 0 }, appliedChanges: new Set() };

/** The register after an operation with the outcome that it had; undefined when it cannot come here. */
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

/** An open write can have no effect any more once its base is behind: versions only rise. */
function canNoLongerApply(register: Register, operation: Operation): boolean {
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

function keyOf(left: readonly Operation[], all: ReadonlyMap<Operation, number>, register: Register): string {
  const taken = [...register.appliedChanges].sort().join();
  return `${left.map((operation) => all.get(operation)).join()}|${register.value.version}|${register.value.change}|${taken}`;
}

/** Whether some order of the operations, true to their real times, explains every answer. */
export function isLinearizable(history: readonly Operation[]): boolean {
  const relevant = history.filter((operation) => !(operation.kind === 'read' && operation.seen === undefined));
  const numbers = new Map(relevant.map((operation, index) => [operation, index]));
  const tried = new Set<string>();

  function search(all: readonly Operation[], register: Register): boolean {
    const left = all.filter((operation) => !canNoLongerApply(register, operation));
    if (left.every(mayBeOmitted)) return true;
    const key = keyOf(left, numbers, register);
    if (tried.has(key)) return false;
    tried.add(key);
    const firstReturn = Math.min(
      ...left.map((operation) => (mayBeOmitted(operation) ? neverReturned : operation.returned)),
    );
    const ways = left
      .filter((operation) => operation.invoked <= firstReturn)
      .map((operation) => ({ operation, next: applyOperation(register, operation) }));
    // An operation that fits here and changes nothing can always come first.
    const still = ways.find((way) => way.next === register);
    if (still !== undefined) return search(without(left, still.operation), register);
    return ways.some((way) => way.next !== undefined && search(without(left, way.operation), way.next));
  }
  return search(relevant, empty);
}

function without(list: readonly Operation[], operation: Operation): Operation[] {
  return list.filter((other) => other !== operation);
}
