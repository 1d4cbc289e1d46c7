/**
 * A whole control side under the scheduler: machines that hold the places, spare machines that may join, operators and
 * followers, with the checks attached.
 */
import type { JournalRecord } from '@tansypost/control-state';
import { seeded, type Address } from '@tansypost/inner-protocol';
import type { ClockSettings } from './clock.js';
import { createControlMachine, type ControlMachine } from './control-machine.js';
import { createFollower, type Follower } from './follower.js';
import { createInvariants, type Invariants } from './invariants.js';
import { createKernel, type Kernel, type Process } from './kernel.js';
import type { Operation } from './operation-history.js';
import { createOperator, directCalls, type Operator, type RegisterCalls } from './operator.js';

/** What is built and how large it is. */
export interface Scope {
  readonly places: number;
  readonly spares: number;
  readonly followers: number;
  readonly operators: number;
  /** How far clocks run apart: the rate of each lies within 1 ± drift. */
  readonly drift: number;
  readonly jitterUs: number;
  readonly orderedLinks: boolean;
  /** Whether the machines start blank and found the core, or on disks of a core that was founded before. */
  readonly founding: boolean;
  readonly thinkUs: number;
  readonly readsPercent: number;
  readonly sendsAgain: number;
}

export interface Cluster {
  readonly scope: Scope;
  readonly kernel: Kernel;
  readonly machines: readonly ControlMachine[];
  readonly spares: readonly ControlMachine[];
  readonly followers: readonly Follower[];
  readonly operators: readonly Operator[];
  readonly history: readonly Operation[];
  readonly invariants: Invariants;
  readonly machine: (name: string) => ControlMachine;
  /** Starts machines, operators and followers. */
  readonly start: () => void;
  readonly calls: RegisterCalls;
}

/** The disks of a core that was founded, by the name of the machine. */
export type FoundedDisks = ReadonlyMap<string, readonly JournalRecord[]>;

const foundingSeats = 3;
const widestOffsetUs = 5_000_000;

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, i) => `${prefix}${i}`);
}

export function createCluster(
  scope: Scope,
  seed: number,
  founded: FoundedDisks | undefined,
  calls: RegisterCalls = directCalls,
): Cluster {
  const random = seeded(seed);
  const kernel = createKernel({ seed, jitter: scope.jitterUs, orderedLinks: scope.orderedLinks });
  const history: Operation[] = [];
  let position = 0;

  function tick(): number {
    position += 1;
    return position;
  }
  function clock(): ClockSettings {
    return { rate: 1 + scope.drift * (2 * random() - 1), offset: Math.floor(random() * widestOffsetUs) };
  }
  function process(name: string): Process {
    return kernel.add(name, clock());
  }

  const seeds = names('c', foundingSeats).map((n) => `${n}:1` as Address);
  const machines = names('c', scope.places).map((n) => createControlMachine(kernel, process(n), seeds));
  const spares = names('s', scope.spares).map((n) => createControlMachine(kernel, process(n), seeds));
  const all = [...machines, ...spares];
  const invariants = createInvariants(kernel, () => all, scope.places);
  const followers = names('r', scope.followers).map((n) =>
    createFollower(kernel, process(n), seeds, (feed) => invariants.told(n, feed)),
  );
  const operators = names('op', scope.operators).map((n) =>
    createOperator(kernel, {
      process: process(n),
      machines: () => all.filter((m) => m.process.alive || m.process.incarnation > 0),
      calls,
      record: (o) => history.push(o),
      tick,
      acknowledged: (order) => invariants.acknowledged(order),
      thinkUs: scope.thinkUs,
      sendsAgain: scope.sendsAgain,
      readsPercent: scope.readsPercent,
    }),
  );

  function start(): void {
    for (const m of machines) {
      m.disk.load(founded?.get(m.name) ?? []);
      m.start(founded === undefined);
    }
    for (const f of followers) f.start();
    for (const o of operators) o.start();
  }

  return {
    scope,
    kernel,
    machines,
    spares,
    followers,
    operators,
    history,
    invariants,
    machine: (name) => all.find((m) => m.name === name)!,
    start,
    calls,
  };
}

const foundingTakesUs = 6_000_000;
const made = new Map<number, FoundedDisks>();

/** Founds a core of so many places once, without any trouble, and keeps its disks for later runs. */
export async function foundedDisks(scope: Scope): Promise<FoundedDisks> {
  const had = made.get(scope.places);
  if (had !== undefined) return had;
  const quiet = { ...scope, followers: 0, operators: 0, spares: 0, founding: true };
  const c = createCluster(quiet, 1, undefined);
  c.start();
  for (let e = c.kernel.next(); e !== undefined && e.planned < foundingTakesUs; e = c.kernel.next())
    await c.kernel.run(e);
  const disks = new Map(c.machines.map((m) => [m.name, [...m.disk.records()]]));
  made.set(scope.places, disks);
  return disks;
}
