/** The processes of a soak: started, signalled and ended by their own ids; their settings, logs and data are files. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { SoakDialect, SoakMachine } from './soak-dialect.js';

/** One end of a process. */
export interface SoakExit {
  readonly machine: string;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** What it had been asked: nothing, to stop, or to be killed. */
  readonly asked: 'nothing' | 'stop' | 'kill';
  /** From the first SIGTERM to the end, in milliseconds. */
  readonly tookMs: number;
  readonly life: SoakLife;
}

/** The times, by `performance.now()`, between which a process ran, and when it was killed or told to stop. */
export interface SoakLife {
  readonly machine: string;
  readonly from: number;
  to: number;
  stopAt: number;
  killAt: number;
}

export interface SoakMachines {
  readonly all: readonly SoakMachine[];
  readonly lives: readonly SoakLife[];
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
  readonly reseed: (seeds: readonly SoakMachine[]) => void;
  /** Tells all to stop, and starts none again; done when all have ended, or were killed after `longestMs`. */
  readonly endAll: (longestMs: number) => Promise<void>;
}

interface Running {
  readonly child: ChildProcess;
  readonly life: SoakLife;
  readonly end: Promise<void>;
}

export interface SoakMachinesOptions {
  readonly dialect: SoakDialect;
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
  const { dialect, machines: all, folder } = options;
  const running = new Map<string, Running>();
  const started = new Set<string>();
  const lives: SoakLife[] = [];
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
    const text = dialect.settings(machine, { seeds, first, platformIp: options.platformIp, dataFolder });
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
    const life: SoakLife = {
      machine: machine.name,
      from: performance.now(),
      to: Infinity,
      stopAt: Infinity,
      killAt: Infinity,
    };
    lives.push(life);
    const end = new Promise<void>((done) => {
      child.once('exit', (code, signal) => {
        life.to = performance.now();
        running.delete(machine.name);
        exits.push(exitOf(life, code, signal));
        if (!ending) setTimeout(startAgain, leastPauseMs + pauseSpreadMs * options.random(), machine);
        done();
      });
    });
    running.set(machine.name, { child, life, end });
  }

  function exitOf(life: SoakLife, code: number | null, signal: NodeJS.Signals | null): SoakExit {
    const asked = life.killAt < Infinity ? 'kill' : life.stopAt < Infinity ? 'stop' : 'nothing';
    const tookMs = asked === 'stop' ? life.to - life.stopAt : 0;
    return { machine: life.machine, code, signal, asked, tookMs, life };
  }

  function startAgain(machine: SoakMachine): void {
    if (!ending && !running.has(machine.name)) start(machine);
  }

  function stop(machine: SoakMachine): void {
    const present = running.get(machine.name);
    if (present === undefined) return;
    present.life.stopAt = Math.min(present.life.stopAt, performance.now());
    present.child.kill('SIGTERM');
  }

  function kill(machine: SoakMachine): void {
    const present = running.get(machine.name);
    if (present === undefined) return;
    present.life.killAt = performance.now();
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
    lives,
    exits,
    isUp: (machine) => running.has(machine.name),
    start,
    stop,
    reload: (machine) => void running.get(machine.name)?.child.kill('SIGHUP'),
    kill,
    ended: (machine) => running.get(machine.name)?.end ?? Promise.resolve(),
    reseed,
    endAll,
  };
}
