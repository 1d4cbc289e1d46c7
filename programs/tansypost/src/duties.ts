/** The command that tells who makes the platform's calls of one machine at a time, and what is open. */
import { Command, Option, type BaseContext } from 'clipanion';
import type { DutiesStatus } from '@tansypost/duty-log';
import { call, exitCode } from './call.js';
import { plainDuties } from './plain-duties.js';

/** `tansypost duties`: who holds the duties, under which fence, and what is open, owed and late. */
export class Duties extends Command<BaseContext> {
  static override paths = [['duties']];
  static override usage = Command.Usage({
    category: 'Platform',
    description: 'tell who makes the calls to the platform, under which fence, and what is open, owed and late',
    details: 'Ask the holder: the other control nodes know its name only. Ends with 5 where the node did not answer.',
  });
  control = Option.String('--control', '127.0.0.1:8166', { description: 'address of a control node for operators' });
  json = Option.Boolean('--json', false, { description: 'print the status itself' });

  async execute(): Promise<number> {
    const { status, body } = await call(this.control, 'GET', '/duties');
    const isPlain = status === 200 && !this.json;
    this.context.stdout.write(isPlain ? plainDuties(body as DutiesStatus) : `${JSON.stringify(body, null, 2)}\n`);
    return exitCode(status);
  }
}
