/**
 * What all programs have in common: a single command with a settings file and flags, `--check`, exit codes, and a graceful
 * stop.
 */
import { Builtins, Cli, Command, Option } from 'clipanion';
import type { Static, TSchema } from '@sinclair/typebox';
import * as E from 'fp-ts/lib/Either.js';
import { createLog, type Log } from '@tansypost/event-log';
import { createPeerGuards, createPeerLimits, type MachineAllowance, type PeerGuards } from '@tansypost/peer-limits';
import { onStopSignal } from '@tansypost/inner-protocol';
import { readSettings } from './settings.js';

/** A started program. */
export interface RunningProgram {
  /** Finishes the work in progress, then releases all resources. */
  readonly stop: () => Promise<void>;
}

/** Name, settings and start of one program. */
export interface ProgramOptions<S extends TSchema> {
  readonly name: string;
  /** One line for the output of `--help`. */
  readonly description: string;
  /** Schema of the settings. */
  readonly schema: S;
  /** Names of the fields that `--set` accepts. */
  readonly flags: readonly string[];
  /** Starts the program; the guards bound what peers make it hold. */
  readonly start: (settings: Static<S>, log: Log, guards: PeerGuards) => Promise<RunningProgram>;
}

/** Exit codes of all programs. */
export const exitCode = { stopped: 0, failed: 1, badSettings: 2 } as const;

/** The longest timer delay that Node.js accepts, in milliseconds, rounded down to a power of two. */
const maxTimerDelayMs = 1 << 30;
/** What a program may use where its settings do not say it. */
const defaultAllowance = { memoryMb: 350, maxDescriptors: 4096 } as const;

/** Runs the program with the arguments of this process, and ends the process with the program's exit code. */
export async function runProgram<S extends TSchema>(options: ProgramOptions<S>): Promise<void> {
  const cli = new Cli({ binaryLabel: options.name, binaryName: options.name, binaryVersion: '0.1.0' });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  cli.register(startCommand(options));
  process.exit(await cli.run(process.argv.slice(2), Cli.defaultContext));
}

function startCommand<S extends TSchema>(options: ProgramOptions<S>): new () => Command {
  return class Start extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
      description: options.description,
      examples: [
        ['Start from a file', `${options.name} --boot boot.json`],
        ['Only check the file', `${options.name} --boot boot.json --check`],
      ],
    });
    boot = Option.String('--boot', { description: 'the settings file (JSON)' });
    check = Option.Boolean('--check', false, { description: 'check the settings and exit' });
    set = Option.Array('--set', [], {
      description: 'field=value, overrides the file; one of ' + options.flags.join(', '),
    });
    async execute(): Promise<number> {
      const flags = Object.fromEntries(this.set.map(splitFlag));
      const settings = readSettings(options.schema, { file: this.boot, flags });
      if (E.isLeft(settings)) {
        this.context.stderr.write(`${options.name}: ${settings.left.message}\n`);
        return exitCode.badSettings;
      }
      if (this.check) {
        this.context.stdout.write(`${options.name}: settings are valid\n`);
        return exitCode.stopped;
      }
      return runUntilStopped(options, settings.right);
    }
  };
}

/** Splits `field=value` at its first equals sign. */
function splitFlag(flag: string): [field: string, value: string] {
  const equals = flag.indexOf('=');
  return [flag.slice(0, equals), flag.slice(equals + 1)];
}

async function runUntilStopped<S extends TSchema>(options: ProgramOptions<S>, settings: Static<S>): Promise<number> {
  const common = settings as { member: string; logLevel?: number } & Partial<MachineAllowance>;
  const log = createLog(options.name, common.member, common.logLevel);
  const stopSignal = waitForStopSignal();
  try {
    const guards = createPeerGuards(createPeerLimits({ ...defaultAllowance, ...allowanceOf(common) }), log);
    const running = await options.start(settings, log, guards);
    log(1001, { pid: process.pid });
    await stopSignal;
    log(1002, {});
    await running.stop();
    log(1003, {});
    return exitCode.stopped;
  } catch (error) {
    log(1004, { why: error instanceof Error ? error.message : String(error) });
    return exitCode.failed;
  }
}

function allowanceOf({ memoryMb, maxDescriptors }: Partial<MachineAllowance>): Partial<MachineAllowance> {
  return {
    ...(memoryMb === undefined ? {} : { memoryMb }),
    ...(maxDescriptors === undefined ? {} : { maxDescriptors }),
  };
}

/** Resolves at the first SIGTERM or SIGINT, and keeps the process alive until then. A second SIGINT ends it at once. */
function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    const keepAlive = setInterval(() => undefined, maxTimerDelayMs);
    function stop(): void {
      clearInterval(keepAlive);
      resolve();
    }
    onStopSignal(stop);
    process.once('SIGINT', stop);
  });
}
