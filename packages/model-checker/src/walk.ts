/**
 * Long random walks. Every few events the walk makes a move; kinds of moves are drawn with weights that fall with how
 * often the kind was made in a situation like the present one, so that rare pairs of situation and move are sought
 * out. The weights are those of one walk, so its seed alone replays it.
 */
import { seeded } from '@tansypost/inner-protocol';
import type { Cluster, Scope } from './cluster.js';
import { isLossy, type Move, type MoveKind } from './moves.js';
import type { RegisterCalls } from './operator.js';
import { playRun, type Outcome } from './schedule.js';
import { situationOf } from './situation.js';

export interface WalkOptions {
  readonly scope: Scope;
  readonly seed: number;
  readonly lengthUs: number;
  readonly calls?: RegisterCalls;
  /** Collects the situations met, over as many walks as share it. */
  readonly situations?: Set<string>;
}

type Draw = (c: Cluster, random: () => number) => Move | undefined;

function pick<T>(xs: readonly T[], random: () => number): T | undefined {
  return xs[Math.floor(random() * xs.length)];
}

function duration(random: () => number): number {
  return Math.round(pick([50_000, 300_000, 1_300_000, 2_500_000, 6_000_000, 20_000_000], random)! * (0.5 + random()));
}

function kept(c: Cluster, machine: string, random: () => number): number {
  return Math.floor(random() * (c.machine(machine).disk.unsynced() + 1));
}

function alive(c: Cluster): string[] {
  return [...c.machines, ...c.spares].filter((m) => m.process.alive && !m.process.frozen).map((m) => m.name);
}

function lossyEvent(c: Cluster, random: () => number): string | undefined {
  return pick(c.kernel.pending().filter(isLossy), random)?.id;
}

function onMachine(make: (machine: string, c: Cluster, random: () => number) => Move): Draw {
  return (c, random) => {
    const machine = pick(alive(c), random);
    return machine === undefined ? undefined : make(machine, c, random);
  };
}

function onMessage(make: (event: string, random: () => number) => Move): Draw {
  return (c, random) => {
    const event = lossyEvent(c, random);
    return event === undefined ? undefined : make(event, random);
  };
}

function unused(c: Cluster): string | undefined {
  return c.spares.find((m) => !m.process.alive && m.process.incarnation === 0)?.name;
}

const draws: { readonly [K in MoveKind]: Draw } = {
  run: (c, random) => {
    const early = c.kernel.enabled().filter((e) => e.kind !== 'timer' && e.kind !== 'end-of-fault');
    const e = pick(early, random);
    return e === undefined ? undefined : { do: 'run', event: e.id };
  },
  lose: onMessage((event) => ({ do: 'lose', event })),
  double: onMessage((event) => ({ do: 'double', event })),
  delay: (c, random) => {
    const late = c.kernel.pending().filter((e) => isLossy(e) || e.kind === 'sync');
    const e = pick(late, random);
    return e === undefined ? undefined : { do: 'delay', event: e.id, forUs: duration(random) >> 2 };
  },
  crash: onMachine((machine, c, random) => ({
    do: 'crash',
    machine,
    kept: kept(c, machine, random),
    forUs: duration(random) >> 2,
  })),
  power: (_c, random) => ({ do: 'power', kept: Math.floor(random() * 3), forUs: duration(random) >> 2 }),
  wipe: onMachine((machine, _c, random) => ({ do: 'wipe', machine, forUs: duration(random) >> 2 })),
  cut: (c, random) => {
    const names = alive(c);
    const size = 1 + Math.floor(random() * Math.max(1, names.length >> 1));
    const group = [...names].sort(() => random() - 0.5).slice(0, size);
    const way = pick(['in', 'out', 'both'] as const, random)!;
    return { do: 'cut', cut: { group, way, holds: random() < 0.5 }, forUs: duration(random) };
  },
  freeze: onMachine((machine, _c, random) => ({ do: 'freeze', machine, forUs: duration(random) })),
  leave: (c, random) => {
    const spare = unused(c);
    const machine = pick(alive(c), random);
    return spare === undefined || machine === undefined ? undefined : { do: 'leave', machine, spare };
  },
  join: (c) => {
    const spare = unused(c);
    return spare === undefined ? undefined : { do: 'join', spare };
  },
  'restart-follower': (c, random) => {
    const f = pick(c.followers, random);
    return f === undefined ? undefined : { do: 'restart-follower', follower: f.process.name };
  },
};

const kinds = Object.keys(draws) as MoveKind[];
/** How often a kind is drawn where all are equally rare. */
const baseWeights: { readonly [K in MoveKind]: number } = {
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

function drawKind(weights: ReadonlyMap<MoveKind, number>, random: () => number): MoveKind {
  const sum = [...weights.values()].reduce((a, b) => a + b, 0);
  let left = random() * sum;
  for (const [kind, weight] of weights) {
    left -= weight;
    if (left <= 0) return kind;
  }
  return kinds[0]!;
}

/** How many events lie between two moves on average, in a busy stretch and in a calm one. */
const busyEvery = 6;
const calmEvery = 60;
const firstMoveUs = 1_500_000;

export async function walk(o: WalkOptions): Promise<Outcome> {
  const random = seeded(o.seed * 7919 + 17);
  const made = new Map<string, number>();
  let every = calmEvery;

  function weightsIn(situation: string): Map<MoveKind, number> {
    return new Map(kinds.map((k) => [k, baseWeights[k] / (1 + (made.get(`${situation}/${k}`) ?? 0))]));
  }

  function choose(c: Cluster): Move | undefined {
    if (c.kernel.now() < firstMoveUs || random() >= 1 / every) return undefined;
    every = random() < 0.85 ? every : random() < 0.5 ? busyEvery : calmEvery;
    const situation = situationOf(c);
    o.situations?.add(situation);
    const kind = drawKind(weightsIn(situation), random);
    made.set(`${situation}/${kind}`, (made.get(`${situation}/${kind}`) ?? 0) + 1);
    return draws[kind](c, random);
  }

  return playRun({ scope: o.scope, seed: o.seed, untilUs: o.lengthUs, choose, calls: o.calls });
}
