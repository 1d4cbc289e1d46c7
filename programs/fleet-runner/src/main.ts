#!/usr/bin/env node
// Command line of the fleet runner: runs a fleet on loopback with generated load and faults, and prints a report.
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
    description: 'Start a fleet on loopback, send it the traffic of a deployment, and print a report.',
    examples: [
      ['The ferry deployment for 30 seconds', 'npm run fleet -- --deployment ferry --seconds 30'],
      ['With faults', 'npm run fleet -- --deployment cold-storage --seconds 90 --faults docs/faults/night.jsonl'],
    ],
  });
  deploymentName = Option.String('--deployment', 'ferry', { description: Object.keys(deployments).join(' or ') });
  duration = Option.String('--seconds', '30', { description: 'duration of the traffic in seconds, at most 600' });
  rate = Option.String('--rate', { description: 'requests per second; default: the rate of the deployment' });
  seed = Option.String('--seed', '1');
  swing = Option.String('--swing', {
    description: 'let the mix of request kinds oscillate with this period in seconds',
  });
  faults = Option.String('--faults', { description: 'a fault schedule, one JSON object per line' });
  folder = Option.String('--folder', {
    description: 'folder for logs and data; default: runs/<deployment>-<seed>-<process>',
  });
  octet = Option.String('--octet', { description: 'second octet of the loopback addresses, 2 to 250' });
  trainEvery = Option.String('--train-every', { description: 'train a model after this many samples' });
  async execute(): Promise<number> {
    const deployment = deployments[this.deploymentName];
    if (deployment === undefined) {
      this.context.stderr.write(
        `fleet-runner: unknown deployment ${this.deploymentName}; use ${Object.keys(deployments).join(' or ')}\n`,
      );
      return 2;
    }
    const folder = resolve(this.folder ?? join('runs', `${deployment.name}-${this.seed}-${process.pid}`));
    const octet = Number(this.octet ?? 2 + (process.pid % 248));
    const planOptions = {
      octet,
      folder,
      logLevel: 3,
      ...(this.trainEvery === undefined ? {} : { trainEvery: Number(this.trainEvery) }),
    };
    let faults: ReturnType<typeof parseFaultSchedule> = E.right([]);
    if (this.faults !== undefined)
      faults = parseFaultSchedule(
        readFileSync(this.faults, 'utf8'),
        planFleet(deployment, planOptions).members.map((member) => member.name),
      );
    if (E.isLeft(faults)) {
      this.context.stderr.write(`fleet-runner: ${faults.left.message}\n`);
      return 2;
    }
    const { stderr } = this.context;
    function log(message: string): void {
      stderr.write(`${message}\n`);
    }
    const report = await runFleet({
      ...planOptions,
      deployment,
      seconds: Math.min(600, Number(this.duration)),
      rate: Math.min(200, Number(this.rate ?? deployment.rate)),
      seed: Number(this.seed),
      mixPeriodSeconds: this.swing === undefined ? undefined : Number(this.swing),
      faults: faults.right,
      log,
    });
    writeFileSync(join(folder, 'report.json'), JSON.stringify(report, null, 2));
    this.context.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
    return report.served.wrong === 0 &&
      report.ranTwice.length === 0 &&
      report.ranAfterRefusal.length === 0 &&
      report.readBack.whole
      ? 0
      : 1;
  }
}

class ControlScenario extends Command {
  static override paths = [['control']];
  static override usage = Command.Usage({
    description: 'Partition, freeze, kill and wipe control nodes during writes and reads, and print a verdict.',
    examples: [['Takes less than a minute', 'npm run fleet -- control']],
  });
  folder = Option.String('--folder', { description: 'folder for logs and data; default: runs/control-<process>' });
  octet = Option.String('--octet', { description: 'second octet of the loopback addresses, 2 to 250' });
  async execute(): Promise<number> {
    const { stdout, stderr } = this.context;
    const startedAt = performance.now();
    const verdict = await runControlScenario({
      octet: Number(this.octet ?? 2 + (process.pid % 248)),
      folder: resolve(this.folder ?? scenarioFolder()),
      logLevel: 3,
      feedTenureMs: routerLeaseMs,
      log: (message) => void stderr.write(`${message}\n`),
    });
    for (const measurement of verdict.measurements) stdout.write(`${measurement}\n`);
    for (const violation of verdict.violations) stdout.write(`violation, ${violation.check}: ${violation.what}\n`);
    stdout.write(
      `${verdict.writes} writes, ${verdict.acknowledged} acknowledged, ${verdict.reads} reads, ${verdict.violations.length} violations ` +
        `in ${Math.round((performance.now() - startedAt) / 1000)} s: ${verdict.violations.length === 0 ? 'sound' : 'BROKEN'}\n`,
    );
    return verdict.violations.length === 0 ? 0 : 1;
  }
}
// An acknowledgement waits until the leases of partitioned routers expire, so the scenario uses a short lease.
const routerLeaseMs = 1000;

const cli = new Cli({ binaryLabel: 'fleet-runner', binaryName: 'fleet-runner', binaryVersion: '0.1.0' });
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(Run);
cli.register(ControlScenario);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
