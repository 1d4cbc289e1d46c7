/** Draws random moves of each kind that are possible in the current state. */
import type { Cluster } from './cluster.js';
import type { Move, MoveKind } from './moves.js';
import { isLossy } from './pending-events.js';

type Random = () => number;
type Draw = (cluster: Cluster, random: Random) => Move | undefined;

const durationsUs = [50_000, 300_000, 1_300_000, 2_500_000, 6_000_000, 20_000_000] as const;

function pick<T>(items: readonly T[], random: Random): T | undefined {
  return items[Math.floor(random() * items.length)];
}

function long(random: Random): number {
  return Math.round(pick(durationsUs, random)! * (0.5 + random()));
}

function short(random: Random): number {
  return long(random) >> 2;
}

function runningNames(cluster: Cluster): string[] {
  const running = cluster.allMachines().filter(({ process }) => process.alive && !process.frozen);
  return running.map((machine) => machine.name);
}

function unusedSpare(cluster: Cluster): string | undefined {
  return cluster.spares.find((machine) => !machine.wasStarted())?.name;
}

function onMachine(make: (machine: string, cluster: Cluster, random: Random) => Move): Draw {
  return (cluster, random) => {
    const machine = pick(runningNames(cluster), random);
    return machine === undefined ? undefined : make(machine, cluster, random);
  };
}

function onMessage(make: (event: string) => Move): Draw {
  return (cluster, random) => {
    const event = pick(cluster.kernel.pending().filter(isLossy), random);
    return event === undefined ? undefined : make(event.id);
  };
}

function drawRun({ kernel }: Cluster, random: Random): Move | undefined {
  const runnable = kernel.enabled().filter(({ kind }) => kind !== 'timer' && kind !== 'end-of-fault');
  const event = pick(runnable, random);
  return event === undefined ? undefined : { kind: 'run', event: event.id };
}

function drawDelay({ kernel }: Cluster, random: Random): Move | undefined {
  const event = pick(
    kernel.pending().filter((each) => isLossy(each) || each.kind === 'sync'),
    random,
  );
  return event === undefined ? undefined : { kind: 'delay', event: event.id, forUs: short(random) };
}

function drawPartition(cluster: Cluster, random: Random): Move {
  const seeds = cluster.scope.statelessSeeds ? cluster.followers.map((follower) => follower.process.name) : [];
  const names = [...runningNames(cluster), ...seeds];
  const size = 1 + Math.floor(random() * Math.max(1, names.length >> 1));
  const group = [...names].sort(() => random() - 0.5).slice(0, size);
  const direction = pick(['in', 'out', 'both'] as const, random)!;
  return { kind: 'cut', cut: { group, way: direction, holds: random() < 0.5 }, forUs: long(random) };
}

function drawLeave(cluster: Cluster, random: Random): Move | undefined {
  const spare = unusedSpare(cluster);
  const machine = pick(runningNames(cluster), random);
  return spare === undefined || machine === undefined ? undefined : { kind: 'leave', machine, spare };
}

function drawJoin(cluster: Cluster): Move | undefined {
  const spare = unusedSpare(cluster);
  return spare === undefined ? undefined : { kind: 'join', spare };
}

function drawFollowerRestart(cluster: Cluster, random: Random): Move | undefined {
  const follower = pick(cluster.followers, random);
  return follower === undefined ? undefined : { kind: 'restart-follower', follower: follower.process.name };
}

/** The kinds of moves that are drawn; a test places the others. */
export type DrawnMoveKind = Exclude<MoveKind, 'replace'>;

const draws: { readonly [K in DrawnMoveKind]: Draw } = {
  run: drawRun,
  lose: onMessage((event) => ({ kind: 'lose', event })),
  double: onMessage((event) => ({ kind: 'double', event })),
  delay: drawDelay,
  crash: onMachine((machine, cluster, random) => {
    const kept = Math.floor(random() * (cluster.machine(machine).disk.unsynced() + 1));
    return { kind: 'crash', machine, kept, forUs: short(random) };
  }),
  power: (_cluster, random) => ({ kind: 'power', kept: Math.floor(random() * 3), forUs: short(random) }),
  wipe: onMachine((machine, _cluster, random) => ({ kind: 'wipe', machine, forUs: short(random) })),
  cut: drawPartition,
  freeze: onMachine((machine, _cluster, random) => ({ kind: 'freeze', machine, forUs: long(random) })),
  leave: drawLeave,
  join: drawJoin,
  'restart-follower': drawFollowerRestart,
};

/** All kinds of moves, in the order in which weights are drawn. */
export const moveKinds = Object.keys(draws) as DrawnMoveKind[];

/** The relative weights of the kinds of moves where none was used yet in the situation. */
export const defaultWeights: { readonly [K in DrawnMoveKind]: number } = {
  run: 4,
  lose: 6,
  double: 4,
  delay: 8,
  crash: 5,
  power: 0.5,
  wipe: 2,
  cut: 1.5,
  freeze: 1.5,
  leave: 0.7,
  join: 0.3,
  'restart-follower': 1,
};

/** Draws a move of a kind; undefined if the state allows none. */
export function drawMove(kind: DrawnMoveKind, cluster: Cluster, random: Random): Move | undefined {
  return draws[kind](cluster, random);
}
