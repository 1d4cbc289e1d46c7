/** The control command: plays the runs of the control side at length and ends with 1 on any breach. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Worker } from 'node:worker_threads';
import { createSeededRandom } from '@tansypost/inner-protocol';
import { Command, Option } from 'clipanion';
import {
  drawnLossJobs,
  lossJobs,
  reportEmptyDisks,
  reportChanges,
  reportPartitions,
  reportJournals,
  reportGracefulLeaves,
  reportLosses,
  reportRaces,
  reportRepairs,
  type ControlReport,
  type LossOutcome,
  type SeedRange,
} from './control-report.js';
import type { JournalSize } from './journal-run.js';
import type { LossRunOptions } from './loss-run.js';

const points = ['cuts', 'races', 'losses', 'drawn', 'repairs', 'leavers', 'blanks', 'changes', 'journal'] as const;
type Point = (typeof points)[number];
/** Runs that are about a majority of two. */
const threeOnly: ReadonlySet<Point> = new Set<Point>(['leavers', 'blanks']);
const breachesShown = 20;
const extraSyncTimesMs = [0, 125];
const earlyRewrite = 100_000;

export class ControlCommand extends Command {
  static override paths = [['control']];
  static override usage = Command.Usage({
    description: 'Play cuts, races, losses and long histories of the control side. Ends with 1 on any breach.',
  });
  only = Option.String('--only', points.join(','), { description: points.join(', ') });
  members = Option.String('--members', '3,5');
  from = Option.String('--from', '1');
  count = Option.String('--count', '5', { description: 'seeds of each kind of run' });
  step = Option.String('--step', '20', { description: 'milliseconds between second losses' });
  to = Option.String('--to', '6000', { description: 'milliseconds after the first loss up to which the second comes' });
  others = Option.String('--others', '2000', { description: 'orders before the early ones are sent again' });
  changes = Option.String('--changes', '2000');
  threads = Option.String('--threads', '3', { description: 'threads for the losses' });
  out = Option.String('--out', { description: 'the folder that the plots of the journal go to' });

  async execute(): Promise<number> {
    const chosen = this.only.split(',');
    const numbers = [this.from, this.count, this.step, this.to, this.others, this.changes, this.threads].map(Number);
    const sizes = this.members.split(',').map(Number);
    if (!chosen.every((p) => (points as readonly string[]).includes(p)))
      return this.refuse(`--only takes some of ${points.join(', ')}.`);
    if (![...numbers, ...sizes].every((n) => Number.isInteger(n) && n >= 0) || Number(this.step) < 1)
      return this.refuse('the options take whole numbers.');
    if (!sizes.every((n) => n >= 3 && n <= 9)) return this.refuse('--members goes from 3 to 9.');
    let breaches = 0;
    for (const point of points.filter((p) => chosen.includes(p)))
      for (const size of threeOnly.has(point) ? [3] : sizes) {
        const report = await this.play(point, size);
        breaches += report.breaches.length;
        this.print(point, report);
      }
    return breaches > 0 ? 1 : 0;
  }

  private refuse(why: string): number {
    this.context.stderr.write(`control: ${why}\n`);
    return 2;
  }

  private async play(point: Point, members: number): Promise<ControlReport> {
    const seeds: SeedRange = { from: Number(this.from), count: Number(this.count) };
    const o = { members, seeds };
    switch (point) {
      case 'cuts':
        return reportPartitions(o);
      case 'races':
        return reportRaces({ ...o, interveningUpdates: Number(this.others) });
      case 'losses': {
        const one = { members, seeds: { ...seeds, count: 1 } };
        return this.playLosses([...lossJobs({ ...one, step: Number(this.step), to: Number(this.to) })]);
      }
      case 'drawn':
        return this.playLosses([...drawnLossJobs({ members, seeds }, createSeededRandom(seeds.from * members))]);
      case 'repairs':
        return joinReports(await this.playRepairs(o));
      case 'leavers':
        return reportGracefulLeaves(seeds, 250);
      case 'blanks':
        return reportEmptyDisks(seeds);
      case 'changes':
        return reportChanges({ ...o, changes: Number(this.changes) });
      case 'journal':
        return this.playJournals(members, seeds);
    }
  }

  /** A journal that is rewritten early shows in a run of this length that its size is bounded. */
  private async playJournals(members: number, seeds: SeedRange): Promise<ControlReport> {
    const o = { members, seeds: { ...seeds, count: 1 }, changes: Number(this.changes) };
    const reports = [await reportJournals(o), await reportJournals({ ...o, compactAboveBytes: earlyRewrite })];
    if (this.out !== undefined)
      await writePlots(
        this.out,
        members,
        reports.map((r) => r.sizes),
      );
    return joinReports(reports);
  }

  private async playRepairs(o: { members: number; seeds: SeedRange }): Promise<ControlReport[]> {
    const reports: ControlReport[] = [];
    for (const extraSyncMs of extraSyncTimesMs) reports.push(await reportRepairs({ ...o, extraSyncMs }));
    return reports;
  }

  private async playLosses(jobs: LossRunOptions[]): Promise<ControlReport> {
    const outcomes: LossOutcome[] = [];
    async function work(): Promise<void> {
      const worker = new Worker(new URL('./loss-worker.js', import.meta.url));
      for (let job = jobs.shift(); job !== undefined; job = jobs.shift()) {
        const outcome = new Promise<LossOutcome>((ok, no) => {
          worker.once('message', ok);
          worker.once('error', no);
        });
        worker.postMessage(job);
        outcomes.push(await outcome);
        worker.removeAllListeners();
      }
      await worker.terminate();
    }
    await Promise.all(Array.from({ length: Math.max(1, Number(this.threads)) }, work));
    return reportLosses(outcomes);
  }

  private print(point: Point, report: ControlReport): void {
    const { stdout } = this.context;
    for (const figure of report.summaryLines) stdout.write(`${figure}\n`);
    for (const b of report.breaches.slice(0, breachesShown)) stdout.write(`  breach, ${b.check}: ${b.what}\n`);
    stdout.write(`${point}: ${report.runs} runs, ${report.breaches.length} breaches\n`);
  }
}

function joinReports(reports: readonly ControlReport[]): ControlReport {
  return {
    runs: reports.reduce((n, r) => n + r.runs, 0),
    breaches: reports.flatMap((r) => r.breaches),
    summaryLines: reports.flatMap((r) => r.summaryLines),
  };
}

/** Draws the size of the journal and the time to read it against the number of changes. */
async function writePlots(folder: string, members: number, runs: readonly (readonly JournalSize[])[]): Promise<void> {
  // Other commands need no plots.
  const { plotSvg } = await import('../line-plot.js');
  const names = ['rewritten at the usual size', `rewritten above ${earlyRewrite / 1000} kB`];
  const plots = [
    { name: 'journal', title: 'Size of the journal', y: 'bytes', value: (j: JournalSize) => j.bytes },
    {
      name: 'journal-change',
      title: 'Journal bytes a change',
      y: 'bytes',
      value: (j: JournalSize) => j.bytesPerChange,
    },
    { name: 'journal-read', title: 'Time to read the journal', y: 'ms', value: (j: JournalSize) => j.readMs },
  ];
  for (const p of plots) {
    const series = runs.map((run, i) => ({
      name: `${members} members, ${names[i]}`,
      points: run.map((j) => ({ x: j.changes, y: p.value(j) })),
    }));
    const xMax = Math.max(...runs.flat().map((j) => j.changes));
    const svg = plotSvg({ title: p.title, x: 'changes', y: p.y, xMax, series }, false);
    writeFileSync(join(folder, `${p.name}.svg`), svg);
  }
}
