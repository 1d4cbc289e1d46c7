/** The processes of a soak test: started and signalled by process id, with files for their settings, logs and data. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { SoakAdapter, SoakMachine } from './soak-adapter.js';

/** The exit of one process. */
export interface SoakExit {
  readonly machine: string;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** The signal that was sent to it before: none, SIGTERM, or SIGKILL. */
  readonly requested: 'nothing' | 'stop' | 'kill';
  /** From the first SIGTERM to the exit, in milliseconds. */
  readonly stopDurationMs: number;
  readonly lifetime: SoakLifetime;
}

/** When a process started, exited, and got its first SIGTERM and its SIGKILL, by `performance.now()`. */
export interface SoakLifetime {
  readonly machine: string;
  readonly startedAt: number;
  endedAt: number;
  stopSignalAt: number;
  killSignalAt: number;
  /** Processor time that it had used when it got its last SIGHUP, in milliseconds. */
  processorMsAtReload: number;
}

export interface SoakMachines {
  readonly all: readonly SoakMachine[];
  readonly lifetimes: readonly SoakLifetime[];
  readonly exits: readonly SoakExit[];
  readonly isUp: (machine: SoakMachine) => boolean;
  /** Starts the machine's process; whenever it exits from now on, it is restarted after a short delay. */
  readonly start: (machine: SoakMachine) => void;
  readonly stop: (machine: SoakMachine) => void;
  readonly reload: (machine: SoakMachine) => void;
  readonly kill: (machine: SoakMachine) => void;
  /** Resolves when the current process has exited. */
  readonly ended: (machine: SoakMachine) => Promise<void>;
  /** Writes these seeds into the settings of all machines; running processes may reload them. */
  readonly setSeeds: (seeds: readonly SoakMachine[]) => void;
  /** Stops all processes without restarting them, and kills those that still run after `maxStopMs`. */
  readonly stopAll: (maxStopMs: number) => Promise<void>;
}

interface RunningProcess {
  readonly child: ChildProcess;
  readonly lifetime: SoakLifetime;
  readonly exited: Promise<void>;
}

export interface SoakMachinesOptions {
  readonly adapter: SoakAdapter;
  readonly machines: readonly SoakMachine[];
  readonly seeds: readonly SoakMachine[];
  readonly platformIp: string;
  readonly folder: string;
  readonly random: () => number;
}

/** The duration of a clock tick of /proc/PID/stat on Linux. */
const msPerTick = 10;
/** Positions of the user and system time after the name of the program, which is in parentheses. */
const userTimeField = 11;
const systemTimeField = 12;

/** Processor time that the process has used so far; 0 if it has ended. */
function processorMs(pid: number | undefined): number {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * msPerTick;
  } catch {
    return 0;
  }
}

/** Minimum delay before a process that has exited is restarted. */
const minRestartDelayMs = 100;
const restartJitterMs = 500;

/** Creates the machines of one soak test; no process runs yet. */
export function createSoakMachines(options: SoakMachinesOptions): SoakMachines {
  const { adapter, machines: all, folder } = options;
  const running = new Map<string, RunningProcess>();
  const started = new Set<string>();
  const lifetimes: SoakLifetime[] = [];
  const exits: SoakExit[] = [];
  let { seeds } = options;
  let isStopping = false;

  function settingsFile(machine: SoakMachine): string {
    return join(folder, `${machine.name}.toml`);
  }

  /** Replaces the file atomically, as a process may read it at any time. */
  function writeSettings(machine: SoakMachine): void {
    const dataFolder = join(folder, `${machine.name}.data`);
    const isFirstStart = !started.has(machine.name);
    const settings = adapter.settings(machine, { seeds, isFirstStart, platformIp: options.platformIp, dataFolder });
    const file = settingsFile(machine);
    writeFileSync(`${file}.new`, settings);
    renameSync(`${file}.new`, file);
  }

  function start(machine: SoakMachine): void {
    writeSettings(machine);
    started.add(machine.name);
    const { file, args } = adapter.command(machine);
    const log = openSync(join(folder, `${machine.name}.log`), 'a');
    const env = { PATH: process.env['PATH'], ...adapter.environment(settingsFile(machine)) };
    const child = spawn(file, args, { stdio: ['ignore', log, log], env });
    closeSync(log);
    const lifetime: SoakLifetime = {
      machine: machine.name,
      startedAt: performance.now(),
      endedAt: Infinity,
      stopSignalAt: Infinity,
      killSignalAt: Infinity,
      processorMsAtReload: 0,
    };
    lifetimes.push(lifetime);
    const exited = new Promise<void>((resolve) => {
      child.once('exit', (code, signal) => {
        lifetime.endedAt = performance.now();
        running.delete(machine.name);
        exits.push(createExit(lifetime, code, signal));
        if (!isStopping) setTimeout(restart, minRestartDelayMs + restartJitterMs * options.random(), machine);
        resolve();
      });
    });
    running.set(machine.name, { child, lifetime, exited });
  }

  function createExit(lifetime: SoakLifetime, code: number | null, signal: NodeJS.Signals | null): SoakExit {
    const requested = lifetime.killSignalAt < Infinity ? 'kill' : lifetime.stopSignalAt < Infinity ? 'stop' : 'nothing';
    const stopDurationMs = requested === 'stop' ? lifetime.endedAt - lifetime.stopSignalAt : 0;
    return { machine: lifetime.machine, code, signal, requested, stopDurationMs, lifetime };
  }

  function restart(machine: SoakMachine): void {
    if (!isStopping && !running.has(machine.name)) start(machine);
  }

  function stop(machine: SoakMachine): void {
    const present = running.get(machine.name);
    if (present === undefined) return;
    present.lifetime.stopSignalAt = Math.min(present.lifetime.stopSignalAt, performance.now());
    present.child.kill('SIGTERM');
  }

  function reload(machine: SoakMachine): void {
    const present = running.get(machine.name);
    if (present === undefined) return;
    present.lifetime.processorMsAtReload = Math.max(
      present.lifetime.processorMsAtReload,
      processorMs(present.child.pid),
    );
    present.child.kill('SIGHUP');
  }

  function kill(machine: SoakMachine): void {
    const present = running.get(machine.name);
    if (present === undefined) return;
    present.lifetime.killSignalAt = performance.now();
    present.child.kill('SIGKILL');
  }

  function setSeeds(newSeeds: readonly SoakMachine[]): void {
    seeds = newSeeds;
    for (const machine of all) writeSettings(machine);
  }

  async function stopAll(maxStopMs: number): Promise<void> {
    isStopping = true;
    const pendingExits = [...running.values()].map((entry) => entry.exited);
    for (const machine of all) stop(machine);
    const killTimer = setTimeout(() => all.forEach(kill), maxStopMs);
    await Promise.all(pendingExits);
    clearTimeout(killTimer);
  }

  return {
    all,
    lifetimes,
    exits,
    isUp: (machine) => running.has(machine.name),
    start,
    stop,
    reload,
    kill,
    ended: (machine) => running.get(machine.name)?.exited ?? Promise.resolve(),
    setSeeds,
    stopAll,
  };
}
