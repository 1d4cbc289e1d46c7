/**
 * The `control` command: plays the full-length runs of the control cluster. It exits with 1 on any breach and with 2 on a
 * usage error.
 */
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

const scenarios = ['cuts', 'races', 'losses', 'drawn', 'repairs', 'leavers', 'blanks', 'changes', 'journal'] as const;
type Scenario = (typeof scenarios)[number];
/** Scenarios defined for a cluster of three members only. */
const threeMemberScenarios: ReadonlySet<Scenario> = new Set<Scenario>(['leavers', 'blanks']);
const maxBreachesPrinted = 20;
/** Additional latencies of each disk sync with which the repairs are measured. */
const extraSyncTimesMs = [0, 125];
const earlyCompactionBytes = 100_000;

export class ControlCommand extends Command {
  static override paths = [['control']];
  static override usage = Command.Usage({
    description:
      'Play partitions, races, node losses and long histories of the control cluster. Exits with 1 on any breach.',
  });
  only = Option.String('--only', scenarios.join(','), { description: scenarios.join(', ') });
  // Cluster sizes, separated by commas.
  members = Option.String('--members', '3,5');
  // The first seed.
  from = Option.String('--from', '1');
  // `losses` and `journal` always use one seed.
  count = Option.String('--count', '5', { description: 'number of seeds for each kind of run' });
  step = Option.String('--step', '20', { description: 'milliseconds between the tested times of the second loss' });
  to = Option.String('--to', '6000', {
    description: 'latest time of the second loss, in milliseconds after the first',
  });
  others = Option.String('--others', '2000', { description: 'updates made before the first ones are sent again' });
  // The number of configuration changes.
  changes = Option.String('--changes', '2000');
  threads = Option.String('--threads', '3', { description: 'worker threads for the loss runs' });
  out = Option.String('--out', { description: 'output folder for the journal plots' });

  async execute(): Promise<number> {
    const chosen = this.only.split(',');
    const numbers = [this.from, this.count, this.step, this.to, this.others, this.changes, this.threads].map(Number);
    const sizes = this.members.split(',').map(Number);
    if (!chosen.every((name) => (scenarios as readonly string[]).includes(name)))
      return this.usageError(`--only takes a comma-separated list of ${scenarios.join(', ')}.`);
    if (![...numbers, ...sizes].every((n) => Number.isInteger(n) && n >= 0) || Number(this.step) < 1)
      return this.usageError('numeric options must be non-negative integers, and --step at least 1.');
    if (!sizes.every((n) => n >= 3 && n <= 9)) return this.usageError('--members must be from 3 to 9.');
    let breaches = 0;
    for (const scenario of scenarios.filter((name) => chosen.includes(name)))
      for (const size of threeMemberScenarios.has(scenario) ? [3] : sizes) {
        const report = await this.play(scenario, size);
        breaches += report.breaches.length;
        this.print(scenario, report);
      }
    return breaches > 0 ? 1 : 0;
  }

  private usageError(message: string): number {
    this.context.stderr.write(`control: ${message}\n`);
    return 2;
  }

  private async play(scenario: Scenario, members: number): Promise<ControlReport> {
    const seeds: SeedRange = { from: Number(this.from), count: Number(this.count) };
    const options = { members, seeds };
    switch (scenario) {
      case 'cuts':
        return reportPartitions(options);
      case 'races':
        return reportRaces({ ...options, interveningUpdates: Number(this.others) });
      case 'losses': {
        const oneSeed = { members, seeds: { ...seeds, count: 1 } };
        return this.playLosses([...lossJobs({ ...oneSeed, step: Number(this.step), to: Number(this.to) })]);
      }
      case 'drawn':
        return this.playLosses([...drawnLossJobs({ members, seeds }, createSeededRandom(seeds.from * members))]);
      case 'repairs':
        return joinReports(await this.playRepairs(options));
      case 'leavers':
        return reportGracefulLeaves(seeds, 250);
      case 'blanks':
        return reportEmptyDisks(seeds);
      case 'changes':
        return reportChanges({ ...options, changes: Number(this.changes) });
      case 'journal':
        return this.playJournals(members, seeds);
    }
  }

  /**
   * Plays the run twice: at the default compaction size, and at a small one, so that even a run of this length shows that
   * the journal's size is bounded.
   */
  private async playJournals(members: number, seeds: SeedRange): Promise<ControlReport> {
    const options = { members, seeds: { ...seeds, count: 1 }, changes: Number(this.changes) };
    const reports = [
      await reportJournals(options),
      await reportJournals({ ...options, compactAboveBytes: earlyCompactionBytes }),
    ];
    if (this.out !== undefined)
      await writePlots(
        this.out,
        members,
        reports.map((report) => report.sizes),
      );
    return joinReports(reports);
  }

  private async playRepairs(options: { members: number; seeds: SeedRange }): Promise<ControlReport[]> {
    const reports: ControlReport[] = [];
    for (const extraSyncMs of extraSyncTimesMs) reports.push(await reportRepairs({ ...options, extraSyncMs }));
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

  private print(scenario: Scenario, report: ControlReport): void {
    const { stdout } = this.context;
    for (const line of report.summaryLines) stdout.write(`${line}\n`);
    for (const breach of report.breaches.slice(0, maxBreachesPrinted))
      stdout.write(`  breach, ${breach.check}: ${breach.what}\n`);
    stdout.write(`${scenario}: ${report.runs} runs, ${report.breaches.length} breaches\n`);
  }
}

function joinReports(reports: readonly ControlReport[]): ControlReport {
  return {
    runs: reports.reduce((sum, report) => sum + report.runs, 0),
    breaches: reports.flatMap((report) => report.breaches),
    summaryLines: reports.flatMap((report) => report.summaryLines),
  };
}

/** Plots the journal size and the time to read the journal against the number of changes. */
async function writePlots(folder: string, members: number, runs: readonly (readonly JournalSize[])[]): Promise<void> {
  // Loaded on demand, as no other command needs the plotting library.
  const { plotSvg } = await import('../line-plot.js');
  const variants = ['compacted at the default size', `compacted above ${earlyCompactionBytes / 1000} kB`];
  const plots = [
    { name: 'journal', title: 'Journal size', y: 'bytes', value: (size: JournalSize) => size.bytes },
    {
      name: 'journal-change',
      title: 'Journal bytes per change',
      y: 'bytes',
      value: (size: JournalSize) => size.bytesPerChange,
    },
    { name: 'journal-read', title: 'Time to read the journal', y: 'ms', value: (size: JournalSize) => size.readMs },
  ];
  for (const plot of plots) {
    const series = runs.map((run, i) => ({
      name: `${members} members, ${variants[i]}`,
      points: run.map((size) => ({ x: size.changes, y: plot.value(size) })),
    }));
    const xMax = Math.max(...runs.flat().map((size) => size.changes));
    const svg = plotSvg({ title: plot.title, x: 'changes', y: plot.y, xMax, series }, false);
    writeFileSync(join(folder, `${plot.name}.svg`), svg);
  }
}
