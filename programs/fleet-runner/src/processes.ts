/** Starts the planned processes, and ends only these, by their ids. Their logs go to files in the run's folder. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import type { FleetMember, FleetPlan } from './plan.js';

export interface Processes {
  readonly start: (m: FleetMember, over?: Record<string, unknown>) => void;
  readonly signal: (name: string, s: NodeJS.Signals) => void;
  readonly waitForExit: (name: string) => Promise<number | null>;
  readonly isRunning: (name: string) => boolean;
  readonly deleteData: (m: FleetMember) => void;
  readonly settingsOf: (m: FleetMember) => Record<string, unknown>;
  readonly stopAll: () => Promise<void>;
}
const need = createRequire(import.meta.url);

export function programFile(p: string): string {
  return join(dirname(need.resolve(`@tansypost/${p}/package.json`)), 'dist', 'main.js');
}

export function createProcesses(_plan: FleetPlan, folder: string): Processes {
  const running = new Map<string, { child: ChildProcess; end: Promise<number | null> }>();
  const boots = new Map<string, Record<string, unknown>>();
  mkdirSync(folder, { recursive: true });

  function boot(m: FleetMember): Record<string, unknown> {
    return boots.get(m.name) ?? m.settings;
  }
  function start(m: FleetMember, over?: Record<string, unknown>): void {
    const b = { ...boot(m), ...over };
    boots.set(m.name, b);
    const file = join(folder, `${m.name}.boot.json`);
    writeFileSync(file, JSON.stringify(b, null, 2));
    const log = openSync(join(folder, `${m.name}.log`), 'a');
    const child = spawn(process.execPath, ['--max-old-space-size=512', programFile(m.program), '--boot', file], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    const end = new Promise<number | null>((ok) => {
      child.once('exit', (code) => {
        if (running.get(m.name)?.child === child) running.delete(m.name);
        ok(code);
      });
    });
    running.set(m.name, { child, end });
  }
  function signal(name: string, s: NodeJS.Signals): void {
    running.get(name)?.child.kill(s);
  }
  async function stopAll(): Promise<void> {
    for (const [n] of running) {
      signal(n, 'SIGCONT');
      signal(n, 'SIGTERM');
    }
    const late = setTimeout(() => {
      for (const [n] of running) signal(n, 'SIGKILL');
    }, 8000);
    await Promise.all([...running.values()].map((r) => r.end));
    clearTimeout(late);
  }
  return {
    start,
    signal,
    stopAll,
    settingsOf: boot,
    waitForExit: (n) => running.get(n)?.end ?? Promise.resolve(0),
    isRunning: (n) => running.has(n),
    deleteData: (m) => {
      if (m.dataFolder !== undefined) rmSync(m.dataFolder, { recursive: true, force: true });
    },
  };
}
