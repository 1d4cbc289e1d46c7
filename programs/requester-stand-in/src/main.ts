#!/usr/bin/env node
// Load generator: sends the traffic of a deployment to routers on this host for a bounded time, and checks every
// response.
import { Builtins, Cli, Command, Option } from 'clipanion';
import { Agent } from 'undici';
import { runLoad } from './drive.js';
import { summarizeTraffic } from './report.js';
import { createTraffic, deployments } from './traffic.js';

class Run extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description:
      'Send the traffic of a deployment to routers and check every response. The exit code is 1 if any response was wrong.',
  });
  routers = Option.Array('--router', {
    required: true,
    description: 'HTTP address of a router on loopback; repeatable',
  });
  deploymentName = Option.String('--deployment', 'ferry', { description: Object.keys(deployments).join(' or ') });
  duration = Option.String('--seconds', '10');
  rate = Option.String('--rate', { description: 'requests per second; default: the rate of the deployment' });
  seed = Option.String('--seed', '1');
  async execute(): Promise<number> {
    const deployment = deployments[this.deploymentName];
    if (deployment === undefined || this.routers.some((router) => !router.startsWith('127.'))) {
      this.context.stderr.write(
        'requester-stand-in: --deployment must be known and every --router a loopback address\n',
      );
      return 2;
    }
    const agent = new Agent({ connections: 256, pipelining: 1 });
    const outcomes = await runLoad({
      traffic: createTraffic(deployment, Number(this.seed)),
      rate: Math.min(200, Number(this.rate ?? deployment.rate)),
      seconds: Math.min(600, Number(this.duration)),
      seed: Number(this.seed),
      routers: () => this.routers,
      agent,
    });
    await agent.destroy();
    const summary = summarizeTraffic(outcomes);
    this.context.stdout.write(`${JSON.stringify(summary, null, 2)}\n`);
    return summary.wrong > 0 ? 1 : 0;
  }
}
const cli = new Cli({ binaryLabel: 'requester-stand-in', binaryName: 'requester-stand-in', binaryVersion: '0.1.0' });
cli.register(Builtins.HelpCommand);
cli.register(Run);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
