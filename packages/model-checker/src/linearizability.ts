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
import { never, type Operation, type RegisterValue, type WriteOperation } from './operation-history.js';

interface Register {
  readonly value: RegisterValue;
  readonly taken: ReadonlySet<string>;
}

const empty: Register = { value: { change: '', version: 0 }, taken: new Set() };

/** The register after an operation with the outcome that it had; undefined when it cannot come here. */
function after(r: Register, o: Operation): Register | undefined {
  if (o.kind === 'read') {
    return o.seen?.version === r.value.version && o.seen.change === r.value.change ? r : undefined;
  }
  const effect = writeEffect(r, o);
  if (o.outcome === 'refused') return effect === undefined ? r : undefined;
  return effect;
}

function writeEffect(r: Register, o: WriteOperation): Register | undefined {
  if (r.taken.has(o.order.change)) return r;
  if (o.order.base !== r.value.version) return undefined;
  return {
    value: { change: o.order.change, version: r.value.version + 1 },
    taken: new Set([...r.taken, o.order.change]),
  };
}

/** An open write can have no effect any more once its base is behind: versions only rise. */
function isOver(r: Register, o: Operation): boolean {
  return mayBeOmitted(o) && o.kind === 'write' && (o.order.base < r.value.version || r.taken.has(o.order.change));
}

function mayBeOmitted(o: Operation): boolean {
  return o.kind === 'write' ? o.outcome === 'unknown' : o.seen === undefined;
}

function keyOf(left: readonly Operation[], all: ReadonlyMap<Operation, number>, r: Register): string {
  const taken = [...r.taken].sort().join();
  return `${left.map((o) => all.get(o)).join()}|${r.value.version}|${r.value.change}|${taken}`;
}

/** Whether some order of the operations, true to their real times, explains every answer. */
export function isLinearizable(history: readonly Operation[]): boolean {
  const relevant = history.filter((o) => !(o.kind === 'read' && o.seen === undefined));
  const numbers = new Map(relevant.map((o, i) => [o, i]));
  const tried = new Set<string>();

  function search(all: readonly Operation[], r: Register): boolean {
    const left = all.filter((o) => !isOver(r, o));
    if (left.every(mayBeOmitted)) return true;
    const key = keyOf(left, numbers, r);
    if (tried.has(key)) return false;
    tried.add(key);
    const firstReturn = Math.min(...left.map((o) => (mayBeOmitted(o) ? never : o.returned)));
    const ways = left.filter((o) => o.invoked <= firstReturn).map((o) => ({ o, next: after(r, o) }));
    // An operation that fits here and changes nothing can always come first.
    const still = ways.find((w) => w.next === r);
    if (still !== undefined) return search(without(left, still.o), r);
    return ways.some((w) => w.next !== undefined && search(without(left, w.o), w.next));
  }
  return search(relevant, empty);
}

function without(list: readonly Operation[], o: Operation): Operation[] {
  return list.filter((x) => x !== o);
}
