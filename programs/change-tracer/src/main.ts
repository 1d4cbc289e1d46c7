#!/usr/bin/env node
// The change-tracer: prints how one change of the desired state went through every daemon, with times.
import { Builtins, Cli, Command, Option } from 'clipanion';
import { request } from 'undici';
import { traceOnce } from './trace.js';

class Trace extends Command {
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
    let v = Number(this.version);
    if (this.version === undefined) {
      const r = await request(`http://${this.agents[0]}/desired-state`);
      v = ((await r.body.json()) as { version: number }).version;
    }
    const until = Date.now() + Number(this.wait) * 1000;
    let t = await traceOnce(this.agents, this.keepers, v);
    while (t.missing.length > 0 && Date.now() < until) {
      await new Promise((ok) => setTimeout(ok, 200));
      t = await traceOnce(this.agents, this.keepers, v);
    }
    const first = t.seen[0]?.at ?? 0;
    this.context.stdout.write(`version ${v}\n`);
    for (const s of t.seen)
      this.context.stdout.write(
        `+${((s.at - first) / 1000).toFixed(1).padStart(9)} ms  ${s.who.padEnd(22)} ${s.what}\n`,
      );
    for (const m of t.missing) this.context.stdout.write(`not applied   ${m}\n`);
    return t.missing.length === 0 ? 0 : 1;
  }
}

const cli = new Cli({ binaryLabel: 'change-tracer', binaryName: 'change-tracer', binaryVersion: '0.1.0' });
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(Trace);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
