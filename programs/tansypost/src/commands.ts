/**
 * The commands of the operator's program. Everything an operator does is here: fill in templates, submit them,
 * read them back, and approve or reject rehearsals; the platform's call about workers is here too.
 */
import { readFileSync } from 'node:fs';
import { Command, Option, type BaseContext, type CommandClass } from 'clipanion';
import * as E from 'fp-ts/lib/Either.js';
import { checkDesiredState } from '@tansypost/desired-state';
import { call, exitCode, type Called } from './call.js';
import { decodeRehearsalRecord } from '@tansypost/rehearsal';
import { Decisions } from './decisions.js';
import { Duties } from './duties.js';
import { plainRehearsals } from './plain.js';

abstract class AgentCommand extends Command<BaseContext> {
  agent = Option.String('--agent', process.env['TANSYPOST_AGENT'] ?? '127.0.0.1:8000', {
    description: 'HTTP address of an agent (or TANSYPOST_AGENT)',
  });
  protected say(c: Called): number {
    this.context.stdout.write(`${JSON.stringify(c.body, null, 2)}\n`);
    return exitCode(c.status);
  }
  protected bad(message: string): number {
    this.context.stderr.write(`tansypost: ${message}\n`);
    return 2;
  }
}

function readJson(file: string): E.Either<Error, unknown> {
  return E.tryCatch(
    () => JSON.parse(readFileSync(file, 'utf8')) as unknown,
    (e) => (e instanceof Error ? e : new Error(String(e))),
  );
}

class Read extends AgentCommand {
  static override paths = [['desired', 'read']];
  static override usage = Command.Usage({
    category: 'Desired state',
    description: 'read the desired state and its version',
  });
  async execute(): Promise<number> {
    return this.say(await call(this.agent, 'GET', '/desired-state'));
  }
}
class Check extends AgentCommand {
  static override paths = [['desired', 'check']];
  static override usage = Command.Usage({
    category: 'Desired state',
    description: 'check a file of templates and list every fault, sending nothing',
  });
  file = Option.String();
  async execute(): Promise<number> {
    const j = readJson(this.file);
    if (E.isLeft(j)) return this.bad(`${this.file}: ${j.left.message}`);
    const d = checkDesiredState(j.right);
    if (E.isRight(d)) {
      this.context.stdout.write('sound\n');
      return 0;
    }
    for (const f of d.left) this.context.stdout.write(`${f.at}: ${f.why}\n`);
    return 3;
  }
}
class Submit extends AgentCommand {
  static override paths = [['desired', 'submit']];
  static override usage = Command.Usage({
    category: 'Desired state',
    description: 'submit a file of templates on the version it was made from',
    details:
      'Without --base the version now in force is read first. Ends with 0 acknowledged, 3 refused, 4 lost the race, 5 outcome unknown (ask with `tansypost change ID`).',
  });
  file = Option.String();
  base = Option.String('--base', { description: 'the version it was made from' });
  change = Option.String('--change', { description: 'an id to ask after the outcome with' });
  async execute(): Promise<number> {
    const j = readJson(this.file);
    if (E.isLeft(j)) return this.bad(`${this.file}: ${j.left.message}`);
    let base = Number(this.base);
    if (this.base === undefined) {
      const r = await call(this.agent, 'GET', '/desired-state');
      if (r.status !== 200) return this.say(r);
      base = (r.body as { version: number }).version;
    }
    if (!Number.isInteger(base)) return this.bad('--base takes a whole number, the version that `desired read` gave');
    return this.say(
      await call(this.agent, 'POST', '/desired-state', {
        base,
        state: j.right,
        ...(this.change === undefined ? {} : { change: this.change }),
      }),
    );
  }
}
class Change extends AgentCommand {
  static override paths = [['change']];
  static override usage = Command.Usage({
    category: 'Desired state',
    description: 'ask after the outcome of a change by its id',
  });
  id = Option.String();
  async execute(): Promise<number> {
    return this.say(await call(this.agent, 'GET', `/changes/${encodeURIComponent(this.id)}`));
  }
}
const fieldsMeaning = `One template a tenant, under "templates":
  tenant      a name in small letters, digits, _ and -, as requests name it in x-tansypost-tenant
  approval    automatic: what passes its rehearsal goes live; operator: it waits for \`tansypost rehearsal approve\`
  kinds       by the name that requests give in x-tansypost-kind; for each
    worth       above 0, to 1000: under overload the worthier go first
    patienceMs  100 to 600000: from arrival to the last byte; what cannot be answered within it is refused at once
    share       0 to 1000: this kind's share of the credits, against the shares of all others
    repeatable  whether it may run again after it may have run; false: never twice
Save it, then: tansypost desired check FILE; tansypost desired submit FILE; tansypost desired read
`;

class Template extends AgentCommand {
  static override paths = [['template']];
  static override usage = Command.Usage({
    category: 'Desired state',
    description: 'print a template to fill in; the meaning of its fields goes to the error stream',
  });
  async execute(): Promise<number> {
    this.context.stderr.write(fieldsMeaning);
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
class Rehearsals extends AgentCommand {
  static override paths = [['rehearsals']];
  static override usage = Command.Usage({
    category: 'Rehearsals',
    description:
      'tell what is live, what is being rehearsed, on how many requests, what was measured, and what happens next',
  });
  json = Option.Boolean('--json', false, { description: 'print the record itself' });
  async execute(): Promise<number> {
    const r = await call(this.agent, 'GET', '/rehearsals');
    if (this.json || r.status !== 200) return this.say(r);
    this.context.stdout.write(plainRehearsals(decodeRehearsalRecord(Buffer.from(JSON.stringify(r.body)))));
    return 0;
  }
}
class Word extends AgentCommand {
  static override paths = [
    ['rehearsal', 'approve'],
    ['rehearsal', 'reject'],
  ];
  static override usage = Command.Usage({
    category: 'Rehearsals',
    description: 'approve or reject a rehearsal; a reject of what went live rolls it back',
  });
  id = Option.String();
  async execute(): Promise<number> {
    return this.say(await call(this.agent, 'POST', `/rehearsals/${encodeURIComponent(this.id)}/${this.path[1]}`, {}));
  }
}
class Workers extends AgentCommand {
  static override paths = [['workers']];
  static override usage = Command.Usage({ category: 'Platform', description: 'list the workers' });
  async execute(): Promise<number> {
    return this.say(await call(this.agent, 'GET', '/platform/workers'));
  }
}
class SetWorker extends AgentCommand {
  static override paths = [['worker']];
  static override usage = Command.Usage({
    category: 'Platform',
    description: 'tell of a worker: added, ready, leaving or gone',
  });
  worker = Option.String();
  state = Option.String();
  address = Option.String('--address', { required: true, description: 'ip:port of the worker' });
  incarnation = Option.String('--incarnation', { required: true, description: 'a number that rises with each start' });
  async execute(): Promise<number> {
    return this.say(
      await call(this.agent, 'POST', '/platform/workers', {
        worker: this.worker,
        state: this.state,
        address: this.address,
        incarnation: Number(this.incarnation),
      }),
    );
  }
}
class Members extends AgentCommand {
  static override paths = [['members']];
  static override usage = Command.Usage({ category: 'Fleet', description: 'list the members this agent knows' });
  async execute(): Promise<number> {
    return this.say(await call(this.agent, 'GET', '/members'));
  }
}
class Vitals extends AgentCommand {
  static override paths = [['vitals']];
  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'the vitals of an agent, a router or a keeper',
  });
  at = Option.String({ required: false });
  async execute(): Promise<number> {
    return this.say(await call(this.at ?? this.agent, 'GET', '/vitals'));
  }
}

export const commands: CommandClass<BaseContext>[] = [
  Read,
  Check,
  Submit,
  Change,
  Template,
  Rehearsals,
  Word,
  Workers,
  SetWorker,
  Members,
  Vitals,
  Decisions,
  Duties,
];
