/** Starts the planned processes, and ends only these, by their ids. Their logs go to files in the run's folder. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import type { Member, Plan } from './plan.js';

export interface Processes {
  readonly start: (m: Member, over?: Record<string, unknown>) => void;
  readonly signal: (name: string, s: NodeJS.Signals) => void;
  readonly ended: (name: string) => Promise<number | null>;
  readonly alive: (name: string) => boolean;
  readonly empty: (m: Member) => void;
  readonly boot: (m: Member) => Record<string, unknown>;
  readonly stopAll: () => Promise<void>;
}
const need = createRequire(import.meta.url);

export function programFile(p: string): string {
  return join(dirname(need.resolve(`@tansypost/${p}/package.json`)), 'dist', 'main.js');
}

export function createProcesses(_plan: Plan, folder: string): Processes {
  const running = new Map<string, { child: ChildProcess; end: Promise<number | null> }>();
  const boots = new Map<string, Record<string, unknown>>();
  mkdirSync(folder, { recursive: true });

  function boot(m: Member): Record<string, unknown> {
    return boots.get(m.name) ?? m.boot;
  }
  function start(m: Member, over?: Record<string, unknown>): void {
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
    boot,
    ended: (n) => running.get(n)?.end ?? Promise.resolve(0),
    alive: (n) => running.has(n),
    empty: (m) => {
      if (m.data !== undefined) rmSync(m.data, { recursive: true, force: true });
    },
  };
}
