#!/usr/bin/env node
// The operator's program.
import { Builtins, Cli } from 'clipanion';
import { commands } from './commands.js';

const cli = new Cli({ binaryLabel: 'tansypost', binaryName: 'tansypost', binaryVersion: '0.1.0' });
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
for (const c of commands) cli.register(c);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
