#!/usr/bin/env node
// The requester stand-in: sends the traffic of a deployment to routers on this machine for a bounded time, and
// judges every answer.
import { Builtins, Cli, Command, Option } from 'clipanion';
import { Agent } from 'undici';
import { runLoad } from './drive.js';
import { summarizeTraffic } from './report.js';
import { createTraffic, deployments } from './traffic.js';

class Run extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Send a deployment's traffic to routers and judge every answer. Ends with 1 if any answer was wrong.",
  });
  routers = Option.Array('--router', {
    required: true,
    description: 'HTTP address of a router on loopback; give it once for each',
  });
  shape = Option.String('--deployment', 'ferry', { description: Object.keys(deployments).join(' or ') });
  secondsFor = Option.String('--seconds', '10');
  rate = Option.String('--rate', { description: "requests a second; the deployment's own without it" });
  seed = Option.String('--seed', '1');
  async execute(): Promise<number> {
    const d = deployments[this.shape];
    if (d === undefined || this.routers.some((r) => !r.startsWith('127.'))) {
      this.context.stderr.write('requester-stand-in: name a known --deployment and loopback routers only\n');
      return 2;
    }
    const agent = new Agent({ connections: 256, pipelining: 1 });
    const os = await runLoad({
      traffic: createTraffic(d, Number(this.seed)),
      rate: Math.min(200, Number(this.rate ?? d.rate)),
      seconds: Math.min(600, Number(this.secondsFor)),
      seed: Number(this.seed),
      routers: () => this.routers,
      agent,
    });
    await agent.destroy();
    const s = summarizeTraffic(os);
    this.context.stdout.write(`${JSON.stringify(s, null, 2)}\n`);
    return s.wrong > 0 ? 1 : 0;
  }
}
const cli = new Cli({ binaryLabel: 'requester-stand-in', binaryName: 'requester-stand-in', binaryVersion: '0.1.0' });
cli.register(Builtins.HelpCommand);
cli.register(Run);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
