#!/usr/bin/env node
// The operator's command line.
import { Builtins, Cli } from 'clipanion';
import { commands } from './commands.js';

const cli = new Cli({ binaryLabel: 'tansypost', binaryName: 'tansypost', binaryVersion: '0.1.0' });
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
for (const command of commands) cli.register(command);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
