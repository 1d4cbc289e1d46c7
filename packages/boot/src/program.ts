// What every program has in common: its one command with a boot file and flags, `--check`, exit codes,
// and a stop that lets the work under way finish. 0 is a clean stop, 2 a bad boot file or flag, 1 any
// other failure.
import { Builtins, Cli, Command, Option } from 'clipanion';
import type { Static, TSchema } from '@sinclair/typebox';
import * as E from 'fp-ts/lib/Either.js';
import { createLog, type Log } from '@tansypost/event-log';
import { readBoot } from './settings.js';

export interface Running {
  readonly stop: () => Promise<void>;
}
export interface ProgramOptions<S extends TSchema> {
  readonly name: string;
  readonly about: string;
  readonly schema: S;
  readonly flags: readonly string[];
  readonly start: (boot: Static<S>, log: Log) => Promise<Running>;
}

export async function runProgram<S extends TSchema>(o: ProgramOptions<S>): Promise<void> {
  class Start extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
      description: o.about,
      examples: [
        ['Start from a file', `${o.name} --boot boot.json`],
        ['Only check the file', `${o.name} --boot boot.json --check`],
      ],
    });
    boot = Option.String('--boot', { description: 'the boot file (JSON)' });
    check = Option.Boolean('--check', false, { description: 'check the boot settings and end' });
    set = Option.Array('--set', [], { description: 'field=value, over the file; one of ' + o.flags.join(', ') });
    async execute(): Promise<number> {
      const flags = Object.fromEntries(this.set.map((s) => [s.slice(0, s.indexOf('=')), s.slice(s.indexOf('=') + 1)]));
      const b = readBoot(o.schema, { file: this.boot, flags });
      if (E.isLeft(b)) {
        this.context.stderr.write(`${o.name}: ${b.left.message}\n`);
        return 2;
      }
      if (this.check) {
        this.context.stdout.write(`${o.name}: boot settings are sound\n`);
        return 0;
      }
      const boot = b.right as { member: string; logLevel?: number };
      const log = createLog(o.name, boot.member, boot.logLevel ?? 3);
      const asked = stopAsked();
      try {
        const r = await o.start(b.right, log);
        log(1001, { pid: process.pid });
        await asked;
        log(1002, {});
        await r.stop();
        log(1003, {});
        return 0;
      } catch (e) {
        log(1004, { why: e instanceof Error ? e.message : String(e) });
        return 1;
      }
    }
  }
  const cli = new Cli({ binaryLabel: o.name, binaryName: o.name, binaryVersion: '0.1.0' });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  cli.register(Start);
  process.exit(await cli.run(process.argv.slice(2), Cli.defaultContext));
}

function stopAsked(): Promise<void> {
  return new Promise((ok) => {
    const hold = setInterval(() => undefined, 1 << 30);
    function go(): void {
      clearInterval(hold);
      ok();
    }
    process.once('SIGTERM', go);
    process.once('SIGINT', go);
  });
}
