/**
 * The commands of the operator's command line: edit, check, submit and read templates, approve or reject rehearsals,
 * list members and metrics, and report a worker's state as the platform does.
 */
import { readFileSync } from 'node:fs';
import { Command, Option, type BaseContext, type CommandClass } from 'clipanion';
import * as E from 'fp-ts/lib/Either.js';
import { checkDesiredState } from '@tansypost/desired-state';
import { call, exitCode, type CallResult } from './call.js';
import { decodeRehearsalRecord } from '@tansypost/rehearsal';
import { Decisions } from './decisions.js';
import { Duties } from './duties.js';
import { summarizeRehearsals } from './rehearsal-summary.js';

abstract class AgentCommand extends Command<BaseContext> {
  agent = Option.String('--agent', process.env['TANSYPOST_AGENT'] ?? '127.0.0.1:8000', {
    description: 'HTTP address of an agent (or TANSYPOST_AGENT)',
  });
  /** Prints the response body and returns the exit code for its status. */
  protected printResult(result: CallResult): number {
    this.context.stdout.write(`${JSON.stringify(result.body, null, 2)}\n`);
    return exitCode(result.status);
  }
  /** Prints an error about the input and returns its exit code. */
  protected failInput(message: string): number {
    this.context.stderr.write(`tansypost: ${message}\n`);
    return 2;
  }
}

function readJson(file: string): E.Either<Error, unknown> {
  return E.tryCatch(
    () => JSON.parse(readFileSync(file, 'utf8')) as unknown,
    (error) => (error instanceof Error ? error : new Error(String(error))),
  );
}

class ReadDesiredState extends AgentCommand {
  static override paths = [['desired', 'read']];
  static override usage = Command.Usage({
    category: 'Desired state',
    description: 'read the desired state and its version',
  });
  async execute(): Promise<number> {
    return this.printResult(await call(this.agent, 'GET', '/desired-state'));
  }
}
class CheckDesiredState extends AgentCommand {
  static override paths = [['desired', 'check']];
  static override usage = Command.Usage({
    category: 'Desired state',
    description: 'check a file of templates and list every error, without sending it',
  });
  file = Option.String();
  async execute(): Promise<number> {
    const input = readJson(this.file);
    if (E.isLeft(input)) return this.failInput(`${this.file}: ${input.left.message}`);
    const checked = checkDesiredState(input.right);
    if (E.isRight(checked)) {
      this.context.stdout.write('sound\n');
      return 0;
    }
    for (const fault of checked.left) this.context.stdout.write(`${fault.at}: ${fault.why}\n`);
    return 3;
  }
}
class SubmitDesiredState extends AgentCommand {
  static override paths = [['desired', 'submit']];
  static override usage = Command.Usage({
    category: 'Desired state',
    description: 'submit a file of templates, based on a version of the desired state',
    details:
      'Without --base the current version is read first. Exit code: 0 acknowledged, 3 rejected, 4 version conflict, 5 outcome unknown (query it with `tansypost change ID`).',
  });
  file = Option.String();
  base = Option.String('--base', { description: 'the version that the file is based on' });
  change = Option.String('--change', { description: 'an id by which the outcome can be queried later' });
  async execute(): Promise<number> {
    const input = readJson(this.file);
    if (E.isLeft(input)) return this.failInput(`${this.file}: ${input.left.message}`);
    let base = Number(this.base);
    if (this.base === undefined) {
      const response = await call(this.agent, 'GET', '/desired-state');
      if (response.status !== 200) return this.printResult(response);
      base = (response.body as { version: number }).version;
    }
    if (!Number.isInteger(base))
      return this.failInput('--base takes an integer, the version that `desired read` printed');
    return this.printResult(
      await call(this.agent, 'POST', '/desired-state', {
        base,
        state: input.right,
        ...(this.change === undefined ? {} : { change: this.change }),
      }),
    );
  }
}
class ChangeOutcome extends AgentCommand {
  static override paths = [['change']];
  static override usage = Command.Usage({
    category: 'Desired state',
    description: 'query the outcome of a change by its id',
  });
  id = Option.String();
  async execute(): Promise<number> {
    return this.printResult(await call(this.agent, 'GET', `/changes/${encodeURIComponent(this.id)}`));
  }
}
const fieldDescriptions = `One template per tenant, under "templates":
  tenant      a name in lower-case letters, digits, _ and -; requests carry it in x-tansypost-tenant
  approval    automatic: a change that passes its rehearsal goes live; operator: it waits for \`tansypost rehearsal approve\`
  kinds       the request kinds, keyed by the name in the header x-tansypost-kind; for each
    worth       priority, above 0 up to 1000: under overload higher values are admitted first
    patienceMs  timeout from arrival to the last byte, 100 to 600000; a request that cannot meet it is rejected at once
    share       0 to 1000: weight of this kind's fair share of admission credits, relative to all other kinds
    repeatable  idempotent: whether it may be executed again when it may have run already; false: at most once
Save it to a file, then: tansypost desired check FILE; tansypost desired submit FILE; tansypost desired read
`;

class PrintTemplate extends AgentCommand {
  static override paths = [['template']];
  static override usage = Command.Usage({
    category: 'Desired state',
    description: 'print an example template; the descriptions of its fields go to standard error',
  });
  async execute(): Promise<number> {
    this.context.stderr.write(fieldDescriptions);
    const kinds = {
      fare_quote: { worth: 3, patienceMs: 8000, share: 5, repeatable: true },
      seat_hold: { worth: 8, patienceMs: 4000, share: 2, repeatable: false },
    };
    this.context.stdout.write(
      `${JSON.stringify({ templates: [{ tenant: 'passengers', approval: 'automatic', kinds }] }, null, 2)}\n`,
    );
    return 0;
  }
}
class ShowRehearsals extends AgentCommand {
  static override paths = [['rehearsals']];
  static override usage = Command.Usage({
    category: 'Rehearsals',
    description: 'show what is live, the running rehearsal, its share of requests, its measurements and its next step',
  });
  json = Option.Boolean('--json', false, { description: 'print the record as JSON' });
  async execute(): Promise<number> {
    const response = await call(this.agent, 'GET', '/rehearsals');
    if (this.json || response.status !== 200) return this.printResult(response);
    this.context.stdout.write(summarizeRehearsals(decodeRehearsalRecord(Buffer.from(JSON.stringify(response.body)))));
    return 0;
  }
}
class DecideRehearsal extends AgentCommand {
  static override paths = [
    ['rehearsal', 'approve'],
    ['rehearsal', 'reject'],
  ];
  static override usage = Command.Usage({
    category: 'Rehearsals',
    description: 'approve or reject a rehearsal; rejecting one that is live rolls it back',
  });
  id = Option.String();
  async execute(): Promise<number> {
    return this.printResult(
      await call(this.agent, 'POST', `/rehearsals/${encodeURIComponent(this.id)}/${this.path[1]}`, {}),
    );
  }
}
class ListWorkers extends AgentCommand {
  static override paths = [['workers']];
  static override usage = Command.Usage({ category: 'Platform', description: 'list the workers' });
  async execute(): Promise<number> {
    return this.printResult(await call(this.agent, 'GET', '/platform/workers'));
  }
}
class ReportWorker extends AgentCommand {
  static override paths = [['worker']];
  static override usage = Command.Usage({
    category: 'Platform',
    description: 'report the state of a worker: added, ready, leaving or gone',
  });
  worker = Option.String();
  state = Option.String();
  address = Option.String('--address', { required: true, description: 'ip:port of the worker' });
  incarnation = Option.String('--incarnation', {
    required: true,
    description: 'a number that increases with each start',
  });
  async execute(): Promise<number> {
    return this.printResult(
      await call(this.agent, 'POST', '/platform/workers', {
        worker: this.worker,
        state: this.state,
        address: this.address,
        incarnation: Number(this.incarnation),
      }),
    );
  }
}
class ListMembers extends AgentCommand {
  static override paths = [['members']];
  static override usage = Command.Usage({ category: 'Fleet', description: 'list the members that this agent knows' });
  async execute(): Promise<number> {
    return this.printResult(await call(this.agent, 'GET', '/members'));
  }
}
class ShowVitals extends AgentCommand {
  static override paths = [['vitals']];
  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'show the health and counters of an agent, a router or a control node',
  });
  at = Option.String({ required: false });
  async execute(): Promise<number> {
    return this.printResult(await call(this.at ?? this.agent, 'GET', '/vitals'));
  }
}

export const commands: CommandClass<BaseContext>[] = [
  ReadDesiredState,
  CheckDesiredState,
  SubmitDesiredState,
  ChangeOutcome,
  PrintTemplate,
  ShowRehearsals,
  DecideRehearsal,
  ListWorkers,
  ReportWorker,
  ListMembers,
  ShowVitals,
  Decisions,
  Duties,
];
