#!/usr/bin/env node
// The fleet-runner: a whole fleet on this machine, its traffic, its faults, and a report.
import { readFileSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { Builtins, Cli, Command, Option } from 'clipanion';
import * as E from 'fp-ts/lib/Either.js';
import { deployments } from '@tansypost/requester-stand-in';
import { runControlScenario, scenarioFolder } from './control-scenario.js';
import { planFleet } from './plan.js';
import { runFleet } from './run.js';
import { parseFaultSchedule } from './schedule.js';

class Run extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Start a whole fleet on loopback, send its traffic, and print what was served.',
    examples: [
      ['The ferry company for half a minute', 'npm run fleet -- --deployment ferry --seconds 30'],
      ['With faults', 'npm run fleet -- --deployment cold-storage --seconds 90 --faults docs/faults/night.jsonl'],
    ],
  });
  shape = Option.String('--deployment', 'ferry', { description: Object.keys(deployments).join(' or ') });
  secondsFor = Option.String('--seconds', '30', { description: 'how long traffic runs, 600 at most' });
  rate = Option.String('--rate', { description: "requests a second; the deployment's own without it" });
  seed = Option.String('--seed', '1');
  swing = Option.String('--swing', { description: 'swing the mix with this period in seconds' });
  faults = Option.String('--faults', { description: 'a file with a fault a line' });
  folder = Option.String('--folder', { description: 'where logs and data go; runs/<deployment>-<seed> without it' });
  octet = Option.String('--octet', { description: 'second number of the loopback addresses, 2 to 250' });
  trainEvery = Option.String('--train-every', { description: 'train a model after this many samples' });
  async execute(): Promise<number> {
    const d = deployments[this.shape];
    if (d === undefined) {
      this.context.stderr.write(
        `fleet-runner: unknown deployment ${this.shape}; use ${Object.keys(deployments).join(' or ')}\n`,
      );
      return 2;
    }
    const folder = resolve(this.folder ?? join('runs', `${d.name}-${this.seed}-${process.pid}`));
    const octet = Number(this.octet ?? 2 + (process.pid % 248));
    const plan = {
      octet,
      folder,
      logLevel: 3,
      ...(this.trainEvery === undefined ? {} : { trainEvery: Number(this.trainEvery) }),
    };
    let faults: ReturnType<typeof parseFaultSchedule> = E.right([]);
    if (this.faults !== undefined)
      faults = parseFaultSchedule(
        readFileSync(this.faults, 'utf8'),
        planFleet(d, plan).members.map((m) => m.name),
      );
    if (E.isLeft(faults)) {
      this.context.stderr.write(`fleet-runner: ${faults.left.message}\n`);
      return 2;
    }
    const { stderr } = this.context;
    function say(s: string): void {
      stderr.write(`${s}\n`);
    }
    const r = await runFleet({
      ...plan,
      deployment: d,
      seconds: Math.min(600, Number(this.secondsFor)),
      rate: Math.min(200, Number(this.rate ?? d.rate)),
      seed: Number(this.seed),
      mixPeriodSeconds: this.swing === undefined ? undefined : Number(this.swing),
      faults: faults.right,
      log: say,
    });
    writeFileSync(join(folder, 'report.json'), JSON.stringify(r, null, 2));
    this.context.stdout.write(`${JSON.stringify(r, null, 2)}\n`);
    return r.served.wrong === 0 && r.ranTwice.length === 0 && r.ranAfterRefusal.length === 0 && r.readBack.whole
      ? 0
      : 1;
  }
}

class ControlScenario extends Command {
  static override paths = [['control']];
  static override usage = Command.Usage({
    description: 'Cut off, freeze, kill and empty control nodes under orders and reads, and print a verdict.',
    examples: [['On real processes, in less than a minute', 'npm run fleet -- control']],
  });
  folder = Option.String('--folder', { description: 'where logs and data go; runs/control-<process> without it' });
  octet = Option.String('--octet', { description: 'second number of the loopback addresses, 2 to 250' });
  async execute(): Promise<number> {
    const { stdout, stderr } = this.context;
    const from = performance.now();
    const verdict = await runControlScenario({
      octet: Number(this.octet ?? 2 + (process.pid % 248)),
      folder: resolve(this.folder ?? scenarioFolder()),
      logLevel: 3,
      feedTenureMs: shortTenure,
      log: (s) => void stderr.write(`${s}\n`),
    });
    for (const figure of verdict.measurements) stdout.write(`${figure}\n`);
    for (const b of verdict.breaches) stdout.write(`breach, ${b.check}: ${b.what}\n`);
    stdout.write(
      `${verdict.writes} orders, ${verdict.acknowledged} taken, ${verdict.reads} reads, ${verdict.breaches.length} breaches ` +
        `in ${Math.round((performance.now() - from) / 1000)} s: ${verdict.breaches.length === 0 ? 'sound' : 'BROKEN'}\n`,
    );
    return verdict.breaches.length === 0 ? 0 : 1;
  }
}
// An acknowledgement waits for the tenures of routers that are cut off.
const shortTenure = 1000;

const cli = new Cli({ binaryLabel: 'fleet-runner', binaryName: 'fleet-runner', binaryVersion: '0.1.0' });
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(Run);
cli.register(ControlScenario);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
