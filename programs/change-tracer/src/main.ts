#!/usr/bin/env node
/** Prints a timeline of how one version of the desired state spread through all daemons. */
import { Builtins, Cli, Command, Option } from 'clipanion';
import { request } from 'undici';
import { traceOnce, type Trace } from './trace.js';

const pollIntervalMs = 200;

class TraceCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Print when each daemon received and applied one version of the desired state.',
    details:
      'Name every agent with --agent and every control node with --keeper. Without --of the current version is traced. The exit code is 0 when all routers have applied it, 1 when some have not within --wait.',
  });
  agents = Option.Array('--agent', { required: true, description: 'HTTP address of an agent; repeatable' });
  controlNodes = Option.Array('--keeper', [], { description: 'HTTP address of a control node; repeatable' });
  version = Option.String('--of', { description: 'the version to trace' });
  wait = Option.String('--wait', '10', { description: 'seconds to wait until all routers have applied it' });
  async execute(): Promise<number> {
    const version = this.version === undefined ? await currentVersion(this.agents[0]!) : Number(this.version);
    const deadline = Date.now() + Number(this.wait) * 1000;
    let trace = await traceOnce(this.agents, this.controlNodes, version);
    while (trace.missing.length > 0 && Date.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
      trace = await traceOnce(this.agents, this.controlNodes, version);
    }
    this.context.stdout.write(formatTrace(trace).join(''));
    return trace.missing.length === 0 ? 0 : 1;
  }
}

async function currentVersion(agent: string): Promise<number> {
  const response = await request(`http://${agent}/desired-state`);
  return ((await response.body.json()) as { version: number }).version;
}

function formatTrace({ version, events, missing }: Trace): string[] {
  const first = events[0]?.at ?? 0;
  return [
    `version ${version}\n`,
    ...events.map(
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
