/**
 * The capacity command: measures each size in turn, keeps what it has on disk after each measurement, marked as partial
 * until the last one is in, and stops in order when it is interrupted.
 */
import { totalmem } from 'node:os';
import { getHeapStatistics } from 'node:v8';
import { Command, Option } from 'clipanion';
import * as E from 'fp-ts/lib/Either.js';
import { measureAgents } from './capacity-agents.js';
import { measureFollowers } from './capacity-followers.js';
import { measureChoice, measureSocket, measureTree } from './capacity-parts.js';
import type { SizeRun } from './capacity-report.js';
import { parseSizes, usualSizes, type CapacitySize } from './capacity-sizes.js';

const parts = ['choice', 'followers', 'agents'] as const;
const readsEach = 2700 / 420;
const treeLimits = [12_500, 50_000, 100_000, 200_000];

export class Capacity extends Command {
  static override paths = [['capacity']];
  static override usage = Command.Usage({
    description: 'Measure what each role takes as the fleet grows, with hollow members in virtual time.',
  });
  sizes = Option.String('--sizes', usualSizes.map((s) => `${s.members}x${s.workers}`).join(','), {
    description: 'members x workers, with commas between',
  });
  seeds = Option.String('--seeds', '3');
  steady = Option.String('--steady', '10', { description: 'virtual seconds of the steady state' });
  apart = Option.String('--apart', '20', { description: 'virtual seconds that regions are apart' });
  only = Option.String('--only', parts.join(','), { description: 'some of the measurements' });
  out = Option.String('--out', 'docs/plots', { description: 'where plots and figures go' });

  async execute(): Promise<number> {
    const { stdout, stderr } = this.context;
    const limit = Math.min(totalmem() / 2, 0.8 * getHeapStatistics().heap_size_limit);
    const sizes = parseSizes(this.sizes, limit);
    const [seeds, steady, apart] = [this.seeds, this.steady, this.apart].map(Number) as [number, number, number];
    const only = this.only.split(',');
    if (E.isLeft(sizes)) return refuse(sizes.left);
    if (!Number.isInteger(seeds) || seeds < 1 || seeds > 100) return refuse('--seeds is a whole number from 1 to 100.');
    if (!(steady >= 1 && steady <= 3600 && apart >= 8 && apart <= 36_000))
      return refuse('--steady goes from 1 to 3600 seconds, --apart from 8 to 36000.');
    if (!only.every((x) => (parts as readonly string[]).includes(x)))
      return refuse(`--only takes some of ${parts.join(',')}.`);
    function refuse(why: string): number {
      stderr.write(`capacity: ${why}\n`);
      return 2;
    }

    // Other commands need no plots.
    const { newCapacityRun, reportTables, writeReport } = await import('./capacity-report.js');
    const run = newCapacityRun();
    const { out } = this;
    let stopped = false;
    function stop(): void {
      if (stopped) process.exit(130);
      stopped = true;
      stderr.write('capacity: stops after this measurement; once more ends it at once, with what is on disk.\n');
    }
    process.on('SIGINT', stop);
    process.on('SIGTERM', stop);
    async function each<T>(
      rs: SizeRun<T>[],
      name: string,
      f: (s: CapacitySize, seed: number) => T | Promise<T>,
    ): Promise<void> {
      for (const size of E.isRight(sizes) ? sizes.right : []) {
        const r: SizeRun<T> = { size, runs: [] };
        rs.push(r);
        for (let seed = 1; seed <= seeds && !stopped; seed += 1) {
          const t = Date.now();
          r.runs.push(await f(size, seed));
          stderr.write(
            `${name} ${size.members}x${size.workers} seed ${seed}: ${((Date.now() - t) / 1000).toFixed(1)} s\n`,
          );
          writeReport(run, out);
          // Lets a signal in.
          await new Promise((ok) => setTimeout(ok, 0));
        }
      }
    }
    run.socketUs = await measureSocket(5000);
    if (only.includes('choice')) {
      await each(run.choice, 'choice', (s, seed) => measureChoice(s.workers, seed));
      for (const byParts of [false, true])
        for (const bound of treeLimits) {
          if (stopped) break;
          const runs = Array.from({ length: seeds }, (_, i) => measureTree(bound, i + 1, byParts));
          run.tree.push({ parts: byParts, limit: bound, runs });
        }
    }
    // A first run of each, thrown away, as code that has just been loaded is slow.
    const small = { members: 12, workers: 24 };
    if (only.includes('followers')) {
      await measureFollowers(small, { seed: 99, steady: 5, apart: 8, reads: readsEach, loads: true, scenes: true });
      await each(run.quiet, 'quiet', (s, seed) =>
        measureFollowers(s, { seed, steady, apart, reads: 0, loads: false, scenes: true }),
      );
      await each(run.followers, 'followers', (s, seed) =>
        measureFollowers(s, { seed, steady, apart: 0, reads: readsEach, loads: true, scenes: false }),
      );
    }
    if (only.includes('agents')) {
      await measureAgents(small, { seed: 99, steady: 5 });
      await each(run.agents, 'agents', (s, seed) => measureAgents(s, { seed, steady }));
    }
    run.partial = stopped;
    writeReport(run, out);
    stdout.write(reportTables(run));
    process.off('SIGINT', stop);
    process.off('SIGTERM', stop);
    return stopped ? 130 : 0;
  }
}
