/**
 * A coarse picture of a state, for guidance and for figures of coverage only; the search merges states by the exact
 * fingerprint of the kernel. It leaves out values, clocks, votes collected and the content of messages.
 */
import { configurationKey } from '@tansypost/control-feed';
import { membershipKey } from '@tansypost/control-state';
import type { Cluster } from './cluster.js';
import type { ControlMachine } from './control-machine.js';

/** The kinds of messages that drive a round, a copy or a change of membership. */
const telling = ['Prepare', 'Accept', 'Check', 'Vote', 'CopyAsk', 'CopyPage', 'Join', 'Answer'];

function rank(values: readonly number[], value: number): number {
  return [...new Set(values)].sort((a, b) => a - b).indexOf(value);
}

function roleOf(m: ControlMachine): string {
  if (!m.process.alive) return m.disk.durable().disk === '' ? 'gone' : 'down';
  const core = m.host()?.core();
  if (core === undefined) return 'opening';
  const holds = core.owned().some((k) => k.key === configurationKey) ? '+' : '';
  return `${m.process.frozen ? 'frozen ' : ''}${core.replica.state()}${holds}`;
}

export function situationOf(c: Cluster): string {
  const all = [...c.machines, ...c.spares].filter((m) => m.process.incarnation > 0 || m.process.alive);
  const rows = all.map((m) => m.disk.durable().rows);
  const versions = rows.map((r) => r.get(configurationKey)?.version ?? 0);
  const promises = rows.map((r) => r.get(configurationKey)?.promised ?? 0);
  const epochs = rows.map((r) => r.get(membershipKey)?.epoch ?? 0);
  const machines = all.map((m, i) =>
    [roleOf(m), rank(versions, versions[i]!), rank(promises, promises[i]!), rank(epochs, epochs[i]!)].join(','),
  );
  const messages = new Set(c.kernel.pending().map((e) => /> ?\S+ (\w+)#/.exec(e.id)?.[1] ?? ''));
  // Which machine it is does not matter here, only how many are in which state.
  return `${machines.sort().join(' ')} | ${telling.filter((k) => messages.has(k)).join()}`;
}
