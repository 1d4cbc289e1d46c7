/** Command line of the soak test: runs seeds, several in parallel, and prints a line with the violations of each. */
import { availableParallelism, totalmem } from 'node:os';
import { join, resolve } from 'node:path';
import { Builtins, Cli, Command, Option, type CommandClass } from 'clipanion';
import type { SoakAdapter } from './soak-adapter.js';
import { runSoak, type SoakReport } from './soak-run.js';

/** Estimated memory of one process, in bytes. A soak test stays below half of the host's memory. */
const bytesPerProcess = 110 * 1024 * 1024;
const maxProcesses = 200;
const maxSeeds = 1000;
/** The share of that half which is used. */
const usableShare = 0.9;
const maxViolationsShown = 8;
/** The range of second octets of the loopback addresses that soak tests use. */
const firstSecondOctet = 100;
const secondOctetCount = 100;

/** The number of processes that the host's memory allows. */
function maxProcessesForMemory(): number {
  return Math.min(maxProcesses, Math.floor((usableShare * totalmem()) / 2 / bytesPerProcess));
}

function formatReport(report: SoakReport): string {
  const {
    seed,
    machines,
    starts,
    acknowledged,
    onReusedConnections: reusedConnections,
    maxObservedStopMs: maxStopMs,
    requests,
    violations,
  } = report;
  const outcomeCounts = Object.entries(requests).map(([ended, count]) => `${ended} ${count}`);
  const result = violations.length === 0 ? 'sound' : `BROKEN (${violations.length})`;
  const facts = `${machines} machines, ${starts} starts, ${acknowledged} changes, slowest stop ${maxStopMs} ms`;
  const lines = violations.slice(0, maxViolationsShown).map(({ rule, detail }) => `  ${rule}: ${detail}\n`);
  return `seed ${seed}: ${result}; ${facts}; ${outcomeCounts.join(', ')}; ${reusedConnections} on reused connections\n${lines.join('')}`;
}

function soakCommand(adapter: SoakAdapter): CommandClass {
  return class Soak extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
      description:
        'Soak-test real processes on loopback with bursts of signals, restarts and configuration changes. The exit code is 1 on a violation.',
      examples: [
        ['Fifty seeds', 'npm run soak -- --seeds 50'],
        ['As many processes as the host allows', 'npm run soak -- --seeds 1 --full'],
      ],
    });
    from = Option.String('--from', '1', { description: 'the first seed' });
    seeds = Option.String('--seeds', '10', { description: `number of seeds, at most ${maxSeeds}` });
    seconds = Option.String('--seconds', '12', {
      description: 'seconds during which faults are injected, at most 300',
    });
    routers = Option.String('--routers', '5', { description: 'machines that run only a router' });
    controls = Option.String('--controls', '3', { description: 'machines that store control state' });
    jobs = Option.String('--jobs', { description: 'seeds run in parallel; default: half of the processors' });
    full = Option.Boolean('--full', false, {
      description: 'as many processes as the host allows, one seed at a time',
    });
    folder = Option.String('--folder', { description: 'folder for logs and data; default: runs/soak-<process>' });

    async execute(): Promise<number> {
      const [from, seeds, seconds, controls] = [this.from, this.seeds, this.seconds, this.controls].map(Number) as [
        number,
        number,
        number,
        number,
      ];
      const routers = this.full ? maxProcessesForMemory() - controls : Number(this.routers);
      const jobs = this.full ? 1 : Number(this.jobs ?? Math.max(1, availableParallelism() / 2));
      const numbers = [from, seeds, seconds, controls, routers, jobs];
      const areValid =
        numbers.every((value) => Number.isInteger(value) && value > 0) && seeds <= maxSeeds && seconds <= 300;
      if (!areValid || jobs * (routers + controls) > maxProcesses || routers + controls > maxProcessesForMemory()) {
        this.context.stderr.write(
          `soak: the options take integers above 0 within their limits; at most ${maxProcesses} processes run at a time, in half of the host's memory.\n`,
        );
        return 2;
      }
      const folder = resolve(this.folder ?? join('runs', `soak-${process.pid}`));
      const queue = Array.from({ length: seeds }, (_, index) => from + index);
      const { stdout } = this.context;
      let failedSeeds = 0;
      async function runSeeds(): Promise<void> {
        for (let seed = queue.shift(); seed !== undefined; seed = queue.shift()) {
          const scheduleOptions = {
            seed,
            routers,
            controlMachines: controls,
            sharesRouters: seed % 2 === 0,
            durationMs: seconds * 1000,
          };
          const octet = firstSecondOctet + (process.pid % secondOctetCount);
          const report = await runSoak({ adapter, ...scheduleOptions, folder: join(folder, `${seed}`), octet });
          if (report.violations.length > 0) failedSeeds += 1;
          stdout.write(formatReport(report));
        }
      }
      await Promise.all(Array.from({ length: jobs }, runSeeds));
      this.context.stdout.write(`${seeds} seeds from ${from}, ${failedSeeds} with violations; logs in ${folder}\n`);
      return failedSeeds === 0 ? 0 : 1;
    }
  };
}

/** Runs the command line of the soak test for the program behind the adapter. */
export async function runSoakCli(adapter: SoakAdapter, args: readonly string[]): Promise<number> {
  const cli = new Cli({ binaryLabel: 'soak', binaryName: 'soak', binaryVersion: '0.1.0' });
  cli.register(Builtins.HelpCommand);
  cli.register(soakCommand(adapter));
  return cli.run([...args], Cli.defaultContext);
}
