/** Starts the planned processes and signals only these, by process id. Their logs go to files in the run's folder. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import type { FleetMember, FleetPlan } from './plan.js';

export interface Processes {
  readonly start: (member: FleetMember, overrides?: Record<string, unknown>) => void;
  readonly signal: (name: string, signalName: NodeJS.Signals) => void;
  readonly waitForExit: (name: string) => Promise<number | null>;
  readonly isRunning: (name: string) => boolean;
  readonly deleteData: (member: FleetMember) => void;
  readonly settingsOf: (member: FleetMember) => Record<string, unknown>;
  readonly stopAll: () => Promise<void>;
}
const require = createRequire(import.meta.url);

/** The path of a program's compiled entry point. */
export function programFile(program: string): string {
  return join(dirname(require.resolve(`@tansypost/${program}/package.json`)), 'dist', 'main.js');
}

export function createProcesses(_plan: FleetPlan, folder: string): Processes {
  const running = new Map<string, { child: ChildProcess; exited: Promise<number | null> }>();
  const settingsByMember = new Map<string, Record<string, unknown>>();
  mkdirSync(folder, { recursive: true });

  function settingsOf(member: FleetMember): Record<string, unknown> {
    return settingsByMember.get(member.name) ?? member.settings;
  }
  function start(member: FleetMember, overrides?: Record<string, unknown>): void {
    const settings = { ...settingsOf(member), ...overrides };
    settingsByMember.set(member.name, settings);
    const file = join(folder, `${member.name}.boot.json`);
    writeFileSync(file, JSON.stringify(settings, null, 2));
    const log = openSync(join(folder, `${member.name}.log`), 'a');
    const child = spawn(process.execPath, ['--max-old-space-size=512', programFile(member.program), '--boot', file], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', (code) => {
        if (running.get(member.name)?.child === child) running.delete(member.name);
        resolve(code);
      });
    });
    running.set(member.name, { child, exited });
  }
  function signal(name: string, signalName: NodeJS.Signals): void {
    running.get(name)?.child.kill(signalName);
  }
  async function stopAll(): Promise<void> {
    for (const [name] of running) {
      signal(name, 'SIGCONT');
      signal(name, 'SIGTERM');
    }
    const killTimer = setTimeout(() => {
      for (const [name] of running) signal(name, 'SIGKILL');
    }, 8000);
    await Promise.all([...running.values()].map((entry) => entry.exited));
    clearTimeout(killTimer);
  }
  return {
    start,
    signal,
    stopAll,
    settingsOf,
    waitForExit: (name) => running.get(name)?.exited ?? Promise.resolve(0),
    isRunning: (name) => running.has(name),
    deleteData: (member) => {
      if (member.dataFolder !== undefined) rmSync(member.dataFolder, { recursive: true, force: true });
    },
  };
}
