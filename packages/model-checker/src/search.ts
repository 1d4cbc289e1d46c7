/**
 * Bounded exhaustive search, without storing states: each schedule is replayed from its start.
 *
 * A schedule is the default order of events with some deviations. Level by level, all schedules of up to N steps with
 * 0, 1, 2, … deviations are played, as in delay-bounded scheduling (M. Emmi, S. Qadeer and Z. Rakamarić, POPL 2011);
 * with as many deviations as steps the search is the full one of that depth.
 *
 * States are merged by the kernel's fingerprint, which covers all inputs of each process with their local times, what
 * is pending and the global time. As each process is a deterministic function of its inputs, equal fingerprints mean
 * equal states (but for a collision of 64 bits), so merging is sound where the earlier visit had at least as many
 * steps and deviations left; the latter always holds, as levels come in rising order. Deliveries to different
 * processes at one time commute, so their orders fall together in one state: this is the partial-order reduction by
 * happens-before fingerprints of M. Musuvathi and S. Qadeer (PLDI 2007). Nothing else is reduced.
 *
 * With fewer deviations than steps each schedule ends with a time of healing and reads at every machine; the full
 * search leaves that out and ends with the check of the history.
 */
import type { Cluster, Scope } from './cluster.js';
import type { Violation } from './invariants.js';
import { isLossy, type Move } from './moves.js';
import type { RegisterCalls } from './operator.js';
import { playRun, replayChooser, type Moment, type PlacedMove } from './schedule.js';
import { situationOf } from './situation.js';

export interface SearchOptions {
  readonly scope: Scope;
  readonly seed: number;
  /** How many steps of the default order each schedule has, after the first ones that are left alone. */
  readonly depth: number;
  readonly deviations: number;
  /** Ends the search early; it then says how far it came. */
  readonly goesOn: () => boolean;
  readonly calls?: RegisterCalls;
}

export interface SearchResult {
  readonly violation: Violation | undefined;
  readonly moves: readonly PlacedMove[];
  readonly schedules: number;
  readonly steps: number;
  readonly states: number;
  readonly situations: number;
  /** The largest number of deviations of which all schedules were played. */
  readonly completeTo: number;
}

interface Branch {
  readonly at: Moment;
  readonly alternatives: readonly Move[];
}

interface Visit {
  readonly stepsLeft: number;
  /** The schedule that met the state first with so many steps left. */
  readonly schedule: readonly PlacedMove[];
}

/** The core elects holders and operators begin; only then the search starts to deviate. */
const undisturbedSteps = 60;
const shortUs = 300_000;
const longUs = 2_500_000;

function faultsOn(c: Cluster): Move[] {
  return c.machines
    .filter((m) => m.process.alive)
    .flatMap((m) => {
      const machine = m.name;
      const waiting = m.disk.unsynced();
      const kept = waiting === 0 ? [0] : [0, waiting];
      return [
        ...kept.map((k): Move => ({ do: 'crash', machine, kept: k, forUs: shortUs })),
        { do: 'wipe', machine, forUs: shortUs },
        { do: 'freeze', machine, forUs: longUs },
        ...(['in', 'out', 'both'] as const).map((way): Move => ({
          do: 'cut',
          cut: { group: [machine], way, holds: false },
          forUs: longUs,
        })),
      ];
    });
}

/** All that may happen in a state instead of the next event of the default order. */
export function alternativesOf(c: Cluster): Move[] {
  const next = c.kernel.next();
  if (next === undefined) return [];
  const early = c.kernel.enabled().filter((e) => e !== next && e.kind !== 'end-of-fault' && mayComeFirst(c, e.id));
  const moves: Move[] = early.map((e) => ({ do: 'run', event: e.id }));
  if (isLossy(next)) {
    moves.push({ do: 'lose', event: next.id }, { do: 'double', event: next.id });
    moves.push({ do: 'delay', event: next.id, forUs: shortUs }, { do: 'delay', event: next.id, forUs: longUs });
  }
  if (next.kind === 'sync') moves.push({ do: 'delay', event: next.id, forUs: shortUs });
  return [...moves, ...faultsOn(c)];
}

// A timer may overtake those of other processes by what clocks may run apart, and by a process being slow to wake.
const timersLateUs = 10_000;

function mayComeFirst(c: Cluster, id: string): boolean {
  const e = c.kernel.find(id)!;
  if (e.kind !== 'timer') return true;
  const timers = c.kernel.enabled().filter((x) => x.kind === 'timer');
  const first = timers.find((x) => x.owner === e.owner);
  const slack = timersLateUs + c.scope.drift * (e.planned - c.kernel.now());
  return first === e && e.planned - timers[0]!.planned <= slack;
}

export async function search(o: SearchOptions): Promise<SearchResult> {
  const visits = new Map<string, Visit>();
  const situations = new Set<string>();
  const total = { schedules: 0, steps: 0 };
  const undisturbed: readonly PlacedMove[] = [];
  let level = [undisturbed];
  let found: { violation: Violation; moves: readonly PlacedMove[] } | undefined;

  // Plays one schedule; where `branches` is given, collects the choices behind its last deviation.
  async function play(moves: readonly PlacedMove[], branches: Branch[] | undefined): Promise<boolean> {
    const replay = replayChooser(moves);
    let left = o.depth + undisturbedSteps;
    let used = 0;
    function choose(c: Cluster, at: Moment): Move | undefined | 'stop' {
      const move = replay(c, at);
      if (move !== undefined) used += 1;
      left -= 1;
      if (move !== undefined || used < moves.length || left > o.depth) return move;
      const key = c.kernel.fingerprint();
      if (branches === undefined) {
        if ((visits.get(key)?.stepsLeft ?? -1) >= left) return 'stop';
        visits.set(key, { stepsLeft: left, schedule: moves });
        situations.add(situationOf(c));
      } else {
        // Behind a state that another schedule met first, its choices are those of that schedule.
        if (visits.get(key)?.schedule !== moves) return 'stop';
        branches.push({ at: { ...at }, alternatives: alternativesOf(c) });
      }
      return undefined;
    }
    const maxSteps = o.depth + undisturbedSteps - moves.length;
    const heals = o.deviations < o.depth;
    const run = { scope: o.scope, seed: o.seed, untilUs: Infinity, maxSteps, calls: o.calls, heals };
    const outcome = await playRun({ ...run, choose });
    total.schedules += 1;
    total.steps += outcome.steps;
    if (outcome.violation === undefined) return false;
    found = { violation: outcome.violation, moves: outcome.moves };
    return true;
  }

  function result(completeTo: number): SearchResult {
    const { violation, moves } = found ?? { violation: undefined, moves: [] };
    return { violation, moves, ...total, states: visits.size, situations: situations.size, completeTo };
  }

  if (await play(undisturbed, undefined)) return result(-1);
  for (let n = 1; n <= o.deviations; n += 1) {
    const nextLevel: (readonly PlacedMove[])[] = [];
    for (const parent of level) {
      const branches: Branch[] = [];
      await play(parent, branches);
      for (const b of branches) {
        for (const move of b.alternatives) {
          if (!o.goesOn()) return result(n - 1);
          const child = [...parent, { at: b.at, move }];
          if (await play(child, undefined)) return result(n - 1);
          if (n < o.deviations) nextLevel.push(child);
        }
      }
    }
    if (nextLevel.length === 0 && n < o.deviations) return result(o.deviations);
    level = nextLevel;
  }
  return result(o.deviations);
}
