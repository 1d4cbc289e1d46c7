/**
 * Point 2: orders that race under one number, and orders sent again after lost answers: at once by the hundred, to any
 * machine, and after many others.
 */
import type { ConfigService } from './config-service.js';
import type { ControlBreach, ControlHistory } from './control-history.js';
import { checkControlInvariants } from './control-invariants.js';
import { createControlRun, type ConfigUpdate } from './control-run.js';
import { memberNames } from './partition-run.js';

export interface RaceRunOptions {
  readonly seed: number;
  readonly members: number;
  /** How many races are run. */
  readonly races?: number;
  /** How many times one order is sent at once. */
  readonly concurrentCopies?: number;
  /** After how many other orders the first ones are sent again. */
  readonly interveningUpdates?: number;
  readonly service?: ConfigService;
}

export interface RaceRunResult {
  readonly breaches: readonly ControlBreach[];
  readonly history: ControlHistory;
  /** The answers to the early orders when they are sent again at the end: how many of which status. */
  readonly repeatedAnswers: Readonly<Record<string, number>>;
}

const lostShare = 0.15;
const early = 5;
const clearWithin = 6000;

/** Plays races, then many orders, then the early ones once more. */
export async function playRaceRun(o: RaceRunOptions): Promise<RaceRunResult> {
  const names = memberNames(o.members);
  const run = await createControlRun(o.seed, names, o.service);
  const { cluster, history } = run;
  const { random } = cluster;
  await cluster.run(o.members > 3 ? 4000 : 1000);

  function anyNode(): string {
    const nodes = run.runningNodes();
    return nodes[Math.floor(random() * nodes.length)]!;
  }
  /** Loses a part of the answers that one machine gives another, as on a line that breaks. */
  function loseAnswers(): void {
    cluster.network.intercept((m) => (m.kind === 'Answer' && random() < lostShare ? [] : undefined));
  }
  async function sendUntilClear(order: ConfigUpdate): Promise<number | undefined> {
    const until = run.now() + clearWithin * 1000;
    while (run.now() < until) {
      const code = await run.put(anyNode(), order);
      if (code !== undefined && code < 500) return code;
      await run.sleep(100 * random());
    }
    return undefined;
  }
  async function race(orders: readonly ConfigUpdate[]): Promise<void> {
    const sent = orders.map(async (order) => {
      await run.sleep(random() * 5);
      return sendUntilClear(order);
    });
    const codes = await run.waitFor(Promise.all(sent), clearWithin + 2000);
    if (codes?.filter((c) => c === 200).length !== 1)
      run.breaches.push({
        check: 'oneOfARaceIsTaken',
        what: `${orders.length} orders on ${orders[0]!.expectedRevision} were answered ${codes?.join() ?? 'late'}`,
      });
  }

  const firstOrders: ConfigUpdate[] = [];
  for (let i = 0; i < early; i += 1) {
    const order = run.createUpdate(run.newestAcknowledgedRevision());
    firstOrders.push(order);
    await run.waitFor(sendUntilClear(order), clearWithin + 2000);
  }
  loseAnswers();
  for (let i = 0; i < (o.races ?? 6); i += 1) {
    const base = run.newestAcknowledgedRevision();
    const rivals = i % 2 === 0 ? 2 : 8;
    const killed = i % 3 === 2 ? cluster.leaders()[0] : undefined;
    if (killed !== undefined) cluster.engine.at(run.now() + 3000 * random(), () => run.kill(killed));
    await race(Array.from({ length: rivals }, () => run.createUpdate(base)));
    if (killed !== undefined) cluster.start(killed);
    await cluster.run(2500);
  }
  const repeated = run.createUpdate(run.newestAcknowledgedRevision());
  await run.waitFor(
    Promise.all(Array.from({ length: o.concurrentCopies ?? 100 }, () => sendUntilClear(repeated))),
    15_000,
  );
  cluster.network.intercept(undefined);

  for (let i = 0; i < (o.interveningUpdates ?? 300); i += 1)
    await run.waitFor(sendUntilClear(run.createUpdate(run.newestAcknowledgedRevision())), clearWithin + 2000);
  const lateAnswers: Record<string, number> = {};
  for (const order of [...firstOrders, repeated])
    for (const node of names) {
      const code = await run.waitFor(run.put(node, order), 1500);
      lateAnswers[`${code}`] = (lateAnswers[`${code}`] ?? 0) + 1;
    }
  return { breaches: [...run.breaches, ...checkControlInvariants(history)], history, repeatedAnswers: lateAnswers };
}
