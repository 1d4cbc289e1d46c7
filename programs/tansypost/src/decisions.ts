/** The command that tells why requests did not end in time, from the report of a run and the logs of its routers. */
import { readFileSync, writeFileSync } from 'node:fs';
import { Command, Option, type BaseContext } from 'clipanion';
import * as E from 'fp-ts/lib/Either.js';
import {
  plotMissedRequests,
  parseMissedRequests,
  parseRunReport,
  renderMissedRequests,
  renderRunReport,
  type MissedRequestLog,
} from '@tansypost/decision-report';
import { UnusableReportError } from '@tansypost/inner-protocol';

/** Reads a whole file; the error names the file and the remedy. */
function readText(file: string): E.Either<Error, string> {
  return E.tryCatch(
    () => readFileSync(file, 'utf8'),
    (error) => new UnusableReportError(`${file} cannot be read: ${String(error)}. Name a readable file.`),
  );
}

function readAllLogs(files: readonly string[]): E.Either<Error, MissedRequestLog> {
  let all: MissedRequestLog = { missed: [], damagedLines: 0 };
  for (const file of files) {
    const text = readText(file);
    if (E.isLeft(text)) return text;
    const log = parseMissedRequests(text.right, file);
    if (E.isLeft(log)) return log;
    all = { missed: [...all.missed, ...log.right.missed], damagedLines: all.damagedLines + log.right.damagedLines };
  }
  return E.right(all);
}

/** `tansypost decisions`: writes tables to standard output, and a plot to a file where one is named. */
export class Decisions extends Command<BaseContext> {
  static override paths = [['decisions']];
  static override usage = Command.Usage({
    category: 'Decisions',
    description: 'tell why requests did not end in time',
    details:
      'Reads the output of routers that were started with `--log info`, and the report of a run where there is one. The exit code is 2 where a file cannot be used.',
  });
  logs = Option.Rest({ name: 'LOG', required: 1 });
  report = Option.String('--report', { description: 'the report of the run, in JSON' });
  plot = Option.String('--plot', { description: 'write a plot of missed requests by second to this file, as SVG' });
  title = Option.String('--title', 'Requests not in time, by cause', {
    description: 'the title of the plot',
  });

  async execute(): Promise<number> {
    const log = readAllLogs(this.logs);
    if (E.isLeft(log)) return this.refuse(log.left);
    if (this.report !== undefined) {
      const text = readText(this.report);
      const run = E.isLeft(text) ? text : parseRunReport(text.right, this.report);
      if (E.isLeft(run)) return this.refuse(run.left);
      this.context.stdout.write(`${renderRunReport(run.right)}\n`);
    }
    this.context.stdout.write(renderMissedRequests(log.right));
    if (this.plot !== undefined) writeFileSync(this.plot, plotMissedRequests(log.right.missed, this.title));
    return 0;
  }

  private refuse(error: Error): number {
    this.context.stderr.write(`tansypost: ${error.message}\n`);
    return 2;
  }
}
