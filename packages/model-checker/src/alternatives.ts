/** All moves that the search may make in a state instead of running the next event of the default order. */
import type { Cluster } from './cluster.js';
import type { ControlMachine } from './control-machine.js';
import type { Fault, Move } from './moves.js';
import { isLossy, type PendingEvent } from './pending-events.js';

const shortUs = 300_000;
const longUs = 2_500_000;
/** How late a timer may fire because its process was slow to wake, in addition to its clock's drift. */
const maxTimerLatenessUs = 10_000;

/** All alternatives to the default event. */
export function alternativesOf(cluster: Cluster): Move[] {
  const next = cluster.kernel.next();
  if (next === undefined) return [];
  const early = cluster.kernel.enabled().filter((event) => event !== next && mayRunEarly(cluster, event));
  const running = cluster.machines.filter((machine) => machine.process.alive);
  return [
    ...early.map((event): Move => ({ kind: 'run', event: event.id })),
    ...delaysOf(next),
    ...running.flatMap(faultsOn),
  ];
}

function delaysOf(next: PendingEvent): Move[] {
  const event = next.id;
  const late: Move = { kind: 'delay', event, forUs: shortUs };
  if (next.kind === 'sync') return [late];
  if (!isLossy(next)) return [];
  return [{ kind: 'lose', event }, { kind: 'double', event }, late, { kind: 'delay', event, forUs: longUs }];
}

function faultsOn({ name: machine, disk }: ControlMachine): Fault[] {
  const unsyncedCount = disk.unsynced();
  const survivors = unsyncedCount === 0 ? [0] : [0, unsyncedCount];
  return [
    ...survivors.map((kept): Fault => ({ kind: 'crash', machine, kept, forUs: shortUs })),
    { kind: 'wipe', machine, forUs: shortUs },
    { kind: 'freeze', machine, forUs: longUs },
    ...(['in', 'out', 'both'] as const).map((way): Fault => ({
      kind: 'cut',
      cut: { group: [machine], way, holds: false },
      forUs: longUs,
    })),
  ];
}

/** A timer may run before those of other processes by at most the clock drift plus the wake-up latency. */
function mayRunEarly({ kernel, scope }: Cluster, event: PendingEvent): boolean {
  if (event.kind === 'end-of-fault') return false;
  if (event.kind !== 'timer') return true;
  const timers = kernel.enabled().filter((other) => other.kind === 'timer');
  const slack = maxTimerLatenessUs + scope.clockDrift * (event.plannedAt - kernel.now());
  const isFirstOfOwner = timers.find((other) => other.owner === event.owner) === event;
  return isFirstOfOwner && event.plannedAt - timers[0]!.plannedAt <= slack;
}
