/** The soak's command: plays seeds, several at a time, and prints a line for each with what was broken. */
import { availableParallelism, totalmem } from 'node:os';
import { join, resolve } from 'node:path';
import { Builtins, Cli, Command, Option, type CommandClass } from 'clipanion';
import type { SoakAdapter } from './soak-adapter.js';
import { runSoak, type SoakReport } from './soak-run.js';

/** What one process is reckoned to need, in bytes; a soak stays under half of the machine's memory. */
const bytesPerProcess = 110 * 1024 * 1024;
const mostProcesses = 200;
const mostSeeds = 1000;
/** The part of that half which is used. */
const loadedShare = 0.9;
const mostBreachesShown = 8;
/** The second numbers of the loopback addresses that soaks use. */
const firstOctet = 100;
const octets = 100;

/** As many processes as this machine bears within the limits. */
function mostBorne(): number {
  return Math.min(mostProcesses, Math.floor((loadedShare * totalmem()) / 2 / bytesPerProcess));
}

function lineOf(report: SoakReport): string {
  const {
    seed,
    machines,
    starts,
    acknowledged,
    onReusedConnections: onKeptConnections,
    maxObservedStopMs: longestStopMs,
    requests,
    violations: breaches,
  } = report;
  const ends = Object.entries(requests).map(([how, count]) => `${how} ${count}`);
  const verdict = breaches.length === 0 ? 'sound' : `BROKEN (${breaches.length})`;
  const facts = `${machines} machines, ${starts} starts, ${acknowledged} changes, longest stop ${longestStopMs} ms`;
  const lines = breaches.slice(0, mostBreachesShown).map(({ rule, detail: what }) => `  ${rule}: ${what}\n`);
  return `seed ${seed}: ${verdict}; ${facts}; ${ends.join(', ')}; ${onKeptConnections} on kept connections\n${lines.join('')}`;
}

function soakCommand(dialect: SoakAdapter): CommandClass {
  return class Soak extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
      description:
        'Soak real processes on loopback in series of signals, restarts and changes; ends with 1 on a breach.',
      examples: [
        ['Fifty seeds', 'npm run soak -- --seeds 50'],
        ['As many processes as the machine bears', 'npm run soak -- --seeds 1 --full'],
      ],
    });
    from = Option.String('--from', '1', { description: 'the first seed' });
    seeds = Option.String('--seeds', '10', { description: `how many seeds, ${mostSeeds} at most` });
    seconds = Option.String('--seconds', '12', { description: 'how long troubles come, 300 at most' });
    routers = Option.String('--routers', '5', { description: 'machines that only route' });
    controls = Option.String('--controls', '3', { description: 'machines that hold control state' });
    jobs = Option.String('--jobs', { description: 'seeds at a time; half of the processors without it' });
    full = Option.Boolean('--full', false, {
      description: 'as many processes as the machine bears, one seed at a time',
    });
    folder = Option.String('--folder', { description: 'where logs and data go; runs/soak-<process> without it' });

    async execute(): Promise<number> {
      const [from, seeds, seconds, controls] = [this.from, this.seeds, this.seconds, this.controls].map(Number) as [
        number,
        number,
        number,
        number,
      ];
      const routers = this.full ? mostBorne() - controls : Number(this.routers);
      const jobs = this.full ? 1 : Number(this.jobs ?? Math.max(1, availableParallelism() / 2));
      const numbers = [from, seeds, seconds, controls, routers, jobs];
      const areSound = numbers.every((n) => Number.isInteger(n) && n > 0) && seeds <= mostSeeds && seconds <= 300;
      if (!areSound || jobs * (routers + controls) > mostProcesses || routers + controls > mostBorne()) {
        this.context.stderr.write(`soak: whole numbers above 0, and ${mostProcesses} processes at most at a time.\n`);
        return 2;
      }
      const folder = resolve(this.folder ?? join('runs', `soak-${process.pid}`));
      const queue = Array.from({ length: seeds }, (_, n) => from + n);
      const { stdout } = this.context;
      let broken = 0;
      async function playSeeds(): Promise<void> {
        for (let seed = queue.shift(); seed !== undefined; seed = queue.shift()) {
          const shape = { seed, routers, controls, sharesRouters: seed % 2 === 0, durationMs: seconds * 1000 };
          const octet = firstOctet + (process.pid % octets);
          const report = await runSoak({ adapter: dialect, ...shape, folder: join(folder, `${seed}`), octet });
          if (report.violations.length > 0) broken += 1;
          stdout.write(lineOf(report));
        }
      }
      await Promise.all(Array.from({ length: jobs }, playSeeds));
      this.context.stdout.write(`${seeds} seeds from ${from}, ${broken} with a breach; logs in ${folder}\n`);
      return broken === 0 ? 0 : 1;
    }
  };
}

/** Runs the soak's command line for a program under test. */
export async function runSoakCli(dialect: SoakAdapter, args: readonly string[]): Promise<number> {
  const cli = new Cli({ binaryLabel: 'soak', binaryName: 'soak', binaryVersion: '0.1.0' });
  cli.register(Builtins.HelpCommand);
  cli.register(soakCommand(dialect));
  return cli.run([...args], Cli.defaultContext);
}
