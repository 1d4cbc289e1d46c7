/** The processes of a soak: started, signalled and ended by their own ids; their settings, logs and data are files. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { SoakAdapter, SoakMachine } from './soak-adapter.js';

/** One end of a process. */
export interface SoakExit {
  readonly machine: string;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** What it had been asked: nothing, to stop, or to be killed. */
  readonly requested: 'nothing' | 'stop' | 'kill';
  /** From the first SIGTERM to the end, in milliseconds. */
  readonly stopDurationMs: number;
  readonly lifetime: SoakLifetime;
}

/** The times, by `performance.now()`, between which a process ran, and when it was killed or told to stop. */
export interface SoakLifetime {
  readonly machine: string;
  readonly startedAt: number;
  endedAt: number;
  stopSignalAt: number;
  killSignalAt: number;
}

export interface SoakMachines {
  readonly all: readonly SoakMachine[];
  readonly lifetimes: readonly SoakLifetime[];
  readonly exits: readonly SoakExit[];
  readonly isUp: (machine: SoakMachine) => boolean;
  /** Starts the machine; from now on a process of it that ends is started again after a short pause. */
  readonly start: (machine: SoakMachine) => void;
  readonly stop: (machine: SoakMachine) => void;
  readonly reload: (machine: SoakMachine) => void;
  readonly kill: (machine: SoakMachine) => void;
  /** When the process that runs now has ended. */
  readonly ended: (machine: SoakMachine) => Promise<void>;
  /** From now on the settings of all machines name these seeds; running processes may read them again. */
  readonly setSeeds: (seeds: readonly SoakMachine[]) => void;
  /** Tells all to stop, and starts none again; done when all have ended, or were killed after `longestMs`. */
  readonly stopAll: (longestMs: number) => Promise<void>;
}

interface Running {
  readonly child: ChildProcess;
  readonly lifetime: SoakLifetime;
  readonly end: Promise<void>;
}

export interface SoakMachinesOptions {
  readonly adapter: SoakAdapter;
  readonly machines: readonly SoakMachine[];
  readonly seeds: readonly SoakMachine[];
  readonly platformIp: string;
  readonly folder: string;
  readonly random: () => number;
}

/** A process that has ended is started again after so long. */
const leastPauseMs = 100;
const pauseSpreadMs = 500;

/** Makes the machines of one soak; none runs yet. */
export function createSoakMachines(options: SoakMachinesOptions): SoakMachines {
  const { adapter: dialect, machines: all, folder } = options;
  const running = new Map<string, Running>();
  const started = new Set<string>();
  const lives: SoakLifetime[] = [];
  const exits: SoakExit[] = [];
  let { seeds } = options;
  let ending = false;

  function settingsFile(machine: SoakMachine): string {
    return join(folder, `${machine.name}.toml`);
  }

  /** The file is replaced whole, as a process may read it at any time. */
  function writeSettings(machine: SoakMachine): void {
    const dataFolder = join(folder, `${machine.name}.data`);
    const first = !started.has(machine.name);
    const text = dialect.settings(machine, { seeds, isFirstStart: first, platformIp: options.platformIp, dataFolder });
    const file = settingsFile(machine);
    writeFileSync(`${file}.new`, text);
    renameSync(`${file}.new`, file);
  }

  function start(machine: SoakMachine): void {
    writeSettings(machine);
    started.add(machine.name);
    const { file, args } = dialect.command(machine);
    const log = openSync(join(folder, `${machine.name}.log`), 'a');
    const env = { PATH: process.env['PATH'], ...dialect.environment(settingsFile(machine)) };
    const child = spawn(file, args, { stdio: ['ignore', log, log], env });
    closeSync(log);
    const life: SoakLifetime = {
      machine: machine.name,
      startedAt: performance.now(),
      endedAt: Infinity,
      stopSignalAt: Infinity,
      killSignalAt: Infinity,
    };
    lives.push(life);
    const end = new Promise<void>((done) => {
      child.once('exit', (code, signal) => {
        life.endedAt = performance.now();
        running.delete(machine.name);
        exits.push(exitOf(life, code, signal));
        if (!ending) setTimeout(startAgain, leastPauseMs + pauseSpreadMs * options.random(), machine);
        done();
      });
    });
    running.set(machine.name, { child, lifetime: life, end });
  }

  function exitOf(life: SoakLifetime, code: number | null, signal: NodeJS.Signals | null): SoakExit {
    const asked = life.killSignalAt < Infinity ? 'kill' : life.stopSignalAt < Infinity ? 'stop' : 'nothing';
    const tookMs = asked === 'stop' ? life.endedAt - life.stopSignalAt : 0;
    return { machine: life.machine, code, signal, requested: asked, stopDurationMs: tookMs, lifetime: life };
  }

  function startAgain(machine: SoakMachine): void {
    if (!ending && !running.has(machine.name)) start(machine);
  }

  function stop(machine: SoakMachine): void {
    const present = running.get(machine.name);
    if (present === undefined) return;
    present.lifetime.stopSignalAt = Math.min(present.lifetime.stopSignalAt, performance.now());
    present.child.kill('SIGTERM');
  }

  function kill(machine: SoakMachine): void {
    const present = running.get(machine.name);
    if (present === undefined) return;
    present.lifetime.killSignalAt = performance.now();
    present.child.kill('SIGKILL');
  }

  function reseed(changed: readonly SoakMachine[]): void {
    seeds = changed;
    for (const machine of all) writeSettings(machine);
  }

  async function endAll(longestMs: number): Promise<void> {
    ending = true;
    const ends = [...running.values()].map((each) => each.end);
    for (const machine of all) stop(machine);
    const late = setTimeout(() => all.forEach(kill), longestMs);
    await Promise.all(ends);
    clearTimeout(late);
  }

  return {
    all,
    lifetimes: lives,
    exits,
    isUp: (machine) => running.has(machine.name),
    start,
    stop,
    reload: (machine) => void running.get(machine.name)?.child.kill('SIGHUP'),
    kill,
    ended: (machine) => running.get(machine.name)?.end ?? Promise.resolve(),
    setSeeds: reseed,
    stopAll: endAll,
  };
}
