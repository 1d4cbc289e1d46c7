#!/usr/bin/env node
/** The change-tracer: prints how one change of the desired state went through every daemon, with times. */
import { Builtins, Cli, Command, Option } from 'clipanion';
import { request } from 'undici';
import { traceOnce, type Trace } from './trace.js';

const askAgainMs = 200;

class TraceCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Follow one version of the desired state through every daemon, with times.',
    details:
      'Name every agent with --agent and every keeper with --keeper. Without --version the version in force is followed. Ends with 0 when all have applied it, 1 when some have not by the time given.',
  });
  agents = Option.Array('--agent', { required: true, description: 'HTTP address of an agent; give it once for each' });
  keepers = Option.Array('--keeper', [], { description: 'HTTP address of a keeper; give it once for each' });
  version = Option.String('--of', { description: 'the version to follow' });
  wait = Option.String('--wait', '10', { description: 'seconds to wait for all' });
  async execute(): Promise<number> {
    const version = this.version === undefined ? await versionInForce(this.agents[0]!) : Number(this.version);
    const until = Date.now() + Number(this.wait) * 1000;
    let trace = await traceOnce(this.agents, this.keepers, version);
    while (trace.missing.length > 0 && Date.now() < until) {
      await new Promise((ok) => setTimeout(ok, askAgainMs));
      trace = await traceOnce(this.agents, this.keepers, version);
    }
    this.context.stdout.write(linesOf(trace).join(''));
    return trace.missing.length === 0 ? 0 : 1;
  }
}

async function versionInForce(agent: string): Promise<number> {
  const answer = await request(`http://${agent}/desired-state`);
  return ((await answer.body.json()) as { version: number }).version;
}

function linesOf({ version, seen, missing }: Trace): string[] {
  const first = seen[0]?.at ?? 0;
  return [
    `version ${version}\n`,
    ...seen.map(
      ({ at, who, what }) => `+${((at - first) / 1000).toFixed(1).padStart(9)} ms  ${who.padEnd(22)} ${what}\n`,
    ),
    ...missing.map((agent) => `not applied   ${agent}\n`),
  ];
}

const cli = new Cli({ binaryLabel: 'change-tracer', binaryName: 'change-tracer', binaryVersion: '0.1.0' });
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(TraceCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
