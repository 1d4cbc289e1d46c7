/** The command that shows which control node leads the singleton duties towards the platform API, and their calls. */
import { Command, Option, type BaseContext } from 'clipanion';
import type { DutiesStatus } from '@tansypost/duty-log';
import { call, exitCode } from './call.js';
import { summarizeDuties } from './duty-summary.js';

/** `tansypost duties`: the leader of the duties, its fencing token, and the open, pending and overdue calls. */
export class Duties extends Command<BaseContext> {
  static override paths = [['duties']];
  static override usage = Command.Usage({
    category: 'Platform',
    description: 'show which node calls the platform API, its fencing token, and the open, pending and overdue calls',
    details: 'Query the leader: other control nodes know only its name. The exit code is 5 if the node did not answer.',
  });
  control = Option.String('--control', '127.0.0.1:8166', { description: 'operator address of a control node' });
  json = Option.Boolean('--json', false, { description: 'print the status as JSON' });

  async execute(): Promise<number> {
    const { status, body } = await call(this.control, 'GET', '/duties');
    const isSummary = status === 200 && !this.json;
    this.context.stdout.write(isSummary ? summarizeDuties(body as DutiesStatus) : `${JSON.stringify(body, null, 2)}\n`);
    return exitCode(status);
  }
}
