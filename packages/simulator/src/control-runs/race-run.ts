/**
 * Point 2: concurrent updates of one revision, and updates that are sent again after lost answers: a hundred copies at
 * once, to any machine, and after many other updates.
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
  /** How many copies of one update are sent at once. */
  readonly concurrentCopies?: number;
  /** The number of other updates before the first ones are sent again. */
  readonly interveningUpdates?: number;
  readonly service?: ConfigService;
}

export interface RaceRunResult {
  readonly breaches: readonly ControlBreach[];
  readonly history: ControlHistory;
  /** The number of answers by status when the first updates are sent again at the end. */
  readonly repeatedAnswers: Readonly<Record<string, number>>;
}

const answerLossRate = 0.15;
const firstUpdateCount = 5;
const definiteOutcomeTimeoutMs = 6000;

/** Plays races, then many updates, then sends the first updates again. */
export async function playRaceRun(options: RaceRunOptions): Promise<RaceRunResult> {
  const names = memberNames(options.members);
  const run = await createControlRun(options.seed, names, options.service);
  const { cluster, history } = run;
  const { random } = cluster;
  await cluster.run(options.members > 3 ? 4000 : 1000);

  function randomNode(): string {
    const nodes = run.runningNodes();
    return nodes[Math.floor(random() * nodes.length)]!;
  }
  /** Drops a fraction of the answers between machines, as when connections break. */
  function loseAnswers(): void {
    cluster.network.intercept((message) => (message.kind === 'Answer' && random() < answerLossRate ? [] : undefined));
  }
  async function sendUntilDefinite(update: ConfigUpdate): Promise<number | undefined> {
    const until = run.now() + definiteOutcomeTimeoutMs * 1000;
    while (run.now() < until) {
      const code = await run.put(randomNode(), update);
      if (code !== undefined && code < 500) return code;
      await run.sleep(100 * random());
    }
    return undefined;
  }
  async function race(updates: readonly ConfigUpdate[]): Promise<void> {
    const sent = updates.map(async (update) => {
      await run.sleep(random() * 5);
      return sendUntilDefinite(update);
    });
    const codes = await run.waitFor(Promise.all(sent), definiteOutcomeTimeoutMs + 2000);
    if (codes?.filter((code) => code === 200).length !== 1)
      run.breaches.push({
        check: 'oneOfARaceIsTaken',
        what: `${updates.length} updates of revision ${updates[0]!.expectedRevision} were answered ${codes?.join() ?? 'late'}`,
      });
  }

  const firstUpdates: ConfigUpdate[] = [];
  for (let i = 0; i < firstUpdateCount; i += 1) {
    const update = run.createUpdate(run.newestAcknowledgedRevision());
    firstUpdates.push(update);
    await run.waitFor(sendUntilDefinite(update), definiteOutcomeTimeoutMs + 2000);
  }
  loseAnswers();
  for (let i = 0; i < (options.races ?? 6); i += 1) {
    const expectedRevision = run.newestAcknowledgedRevision();
    const competitors = i % 2 === 0 ? 2 : 8;
    const killed = i % 3 === 2 ? cluster.leaders()[0] : undefined;
    if (killed !== undefined) cluster.engine.at(run.now() + 3000 * random(), () => run.kill(killed));
    await race(Array.from({ length: competitors }, () => run.createUpdate(expectedRevision)));
    if (killed !== undefined) cluster.start(killed);
    await cluster.run(2500);
  }
  const repeated = run.createUpdate(run.newestAcknowledgedRevision());
  await run.waitFor(
    Promise.all(Array.from({ length: options.concurrentCopies ?? 100 }, () => sendUntilDefinite(repeated))),
    15_000,
  );
  cluster.network.intercept(undefined);

  for (let i = 0; i < (options.interveningUpdates ?? 300); i += 1)
    await run.waitFor(
      sendUntilDefinite(run.createUpdate(run.newestAcknowledgedRevision())),
      definiteOutcomeTimeoutMs + 2000,
    );
  const repeatedAnswers: Record<string, number> = {};
  for (const update of [...firstUpdates, repeated])
    for (const node of names) {
      const code = await run.waitFor(run.put(node, update), 1500);
      repeatedAnswers[`${code}`] = (repeatedAnswers[`${code}`] ?? 0) + 1;
    }
  return { breaches: [...run.breaches, ...checkControlInvariants(history)], history, repeatedAnswers };
}
