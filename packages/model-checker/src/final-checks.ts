/** The end of a run: all faults end, and after a recovery period every machine must answer with the current value. */
import type { Cluster } from './cluster.js';
import { isLinearizable } from './linearizability.js';
import type { RegisterValue } from './operation-history.js';
import type { Violation } from './quorum-checks.js';

/** Time for the control cluster to recover after the last fault, before the final reads. */
const recoveryTimeUs = 6_000_000;
const maxSteps = 40_000;
/** Higher, as at a first start there are more machines, several of which keep asking to join. */
const maxBootstrapSteps = 120_000;

/** Lets the control cluster recover, then checks its answers and the whole history. */
export async function runFinalChecks(cluster: Cluster): Promise<Violation | undefined> {
  for (const operator of cluster.operators) operator.stop();
  const broken = await recover(cluster, lastEndOfFault(cluster) + recoveryTimeUs);
  if (broken !== undefined) return broken;
  if (cluster.scope.statelessSeeds && !cluster.isBootstrapped()) return findUnexplainedWait(cluster);
  const answering = cluster.allMachines().filter((machine) => machine.access() !== undefined);
  const reads = await Promise.all(answering.map((machine) => readBack(cluster, machine.name)));
  return reads.find((found) => found !== undefined) ?? checkFollowers(cluster) ?? checkHistory(cluster);
}

/** If the faults make it unknowable whether a cluster was bootstrapped, each running machine must report what it waits for. */
function findUnexplainedWait(cluster: Cluster): Violation | undefined {
  const running = cluster.machines.filter((machine) => machine.process.alive);
  const unexplained = running.find((machine) => machine.host()?.controlNode()?.replica.bootstrapWait() === undefined);
  if (unexplained === undefined) return undefined;
  return {
    rule: 'reports why it waits',
    detail: `${unexplained.name} holds no state and does not report what it waits for`,
  };
}

function lastEndOfFault({ kernel }: Cluster): number {
  const ends = kernel.pending().filter((event) => event.kind === 'end-of-fault');
  return Math.max(kernel.now(), ...ends.map((event) => event.plannedAt));
}

async function recover({ kernel, invariants, scope }: Cluster, untilUs: number): Promise<Violation | undefined> {
  const limit = scope.statelessSeeds ? maxBootstrapSteps : maxSteps;
  for (let step = 0; step < limit; step += 1) {
    const event = kernel.next();
    if (event === undefined || event.plannedAt > untilUs) return undefined;
    await kernel.run(event);
    const broken = invariants.check();
    if (broken !== undefined) return broken;
  }
  return {
    rule: 'settles after faults',
    detail: `more than ${limit} steps until ${recoveryTimeUs / 1e6} s after the last fault`,
  };
}

async function readBack(cluster: Cluster, name: string): Promise<Violation | undefined> {
  const { kernel, calls, invariants } = cluster;
  const answer: { seen?: RegisterValue; ended: boolean } = { ended: false };
  void calls.read(cluster.machine(name).access()!).then((seen) => {
    answer.seen = seen;
    answer.ended = true;
  });
  for (let event = kernel.next(); event !== undefined && !answer.ended; event = kernel.next()) await kernel.run(event);
  const newest = invariants.newestAcknowledged();
  if (answer.seen === undefined) return { rule: 'serves after recovery', detail: `${name} does not answer a read` };
  if (answer.seen.version >= newest) return undefined;
  return {
    rule: 'read back',
    detail: `${name} returned version ${answer.seen.version}, but ${newest} was acknowledged`,
  };
}

function checkFollowers({ followers, invariants }: Cluster): Violation | undefined {
  const newest = invariants.newestAcknowledged();
  for (const follower of followers) {
    const version = follower.feed()?.configuration()?.version ?? 0;
    if (version < newest)
      return {
        rule: 'followers catch up',
        detail: `${follower.process.name} has version ${version}, but ${newest} was acknowledged`,
      };
  }
  return undefined;
}

/** Checks that the history of the operators' calls is linearizable. */
export function checkHistory(cluster: Cluster): Violation | undefined {
  if (isLinearizable(cluster.history)) return undefined;
  return { rule: 'linearizable', detail: 'no order of the operations explains their answers' };
}
