/** The end of a run: all faults end, and after a while every machine is asked what is in force. */
import type { Cluster } from './cluster.js';
import { isLinearizable } from './linearizability.js';
import type { RegisterValue } from './operation-history.js';
import type { Violation } from './quorum-checks.js';

/** Time for the core to heal after the last fault, before it is asked for the last time. */
const healingUs = 6_000_000;
const stepsAtMost = 40_000;
/** At a first start there are more machines, of which several keep asking to join. */
const stepsAtMostAtFirstStart = 120_000;

/** Lets the core heal and judges what it says then, and the whole history. */
export async function closeRun(cluster: Cluster): Promise<Violation | undefined> {
  for (const operator of cluster.operators) operator.stop();
  const broken = await heal(cluster, lastEndOfFault(cluster) + healingUs);
  if (broken !== undefined) return broken;
  if (cluster.scope.statelessSeeds && !cluster.isFounded()) return findUnexplained(cluster);
  const able = cluster.allMachines().filter((machine) => machine.access() !== undefined);
  const reads = await Promise.all(able.map((machine) => readBack(cluster, machine.name)));
  return reads.find((found) => found !== undefined) ?? checkFollowers(cluster) ?? checkHistory(cluster);
}

/** Where the faults left it unknown whether another cluster was founded, each machine waits and knows for what. */
function findUnexplained(cluster: Cluster): Violation | undefined {
  const running = cluster.machines.filter((machine) => machine.process.alive);
  const silent = running.find((machine) => machine.host()?.controlNode()?.replica.bootstrapWait() === undefined);
  if (silent === undefined) return undefined;
  return { rule: 'says what it waits for', what: `${silent.name} holds no state and does not say why` };
}

function lastEndOfFault({ kernel }: Cluster): number {
  const ends = kernel.pending().filter((event) => event.kind === 'end-of-fault');
  return Math.max(kernel.now(), ...ends.map((event) => event.planned));
}

async function heal({ kernel, invariants, scope }: Cluster, untilUs: number): Promise<Violation | undefined> {
  const limit = scope.statelessSeeds ? stepsAtMostAtFirstStart : stepsAtMost;
  for (let step = 0; step < limit; step += 1) {
    const event = kernel.next();
    if (event === undefined || event.planned > untilUs) return undefined;
    await kernel.run(event);
    const broken = invariants.check();
    if (broken !== undefined) return broken;
  }
  return {
    rule: 'comes to rest',
    what: `more than ${limit} steps until ${healingUs / 1e6} s after the last fault`,
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
  if (answer.seen === undefined) return { rule: 'serves after healing', what: `${name} gives no answer to a read` };
  if (answer.seen.version >= newest) return undefined;
  return { rule: 'read back', what: `${name} gives version ${answer.seen.version}, ${newest} was acknowledged` };
}

function checkFollowers({ followers, invariants }: Cluster): Violation | undefined {
  const newest = invariants.newestAcknowledged();
  for (const follower of followers) {
    const version = follower.feed()?.configuration()?.version ?? 0;
    if (version < newest)
      return { rule: 'followers follow', what: `${follower.process.name} has version ${version} of ${newest}` };
  }
  return undefined;
}

/** Whether the answers that operators got fit together. */
export function checkHistory(cluster: Cluster): Violation | undefined {
  if (isLinearizable(cluster.history)) return undefined;
  return { rule: 'linearizable', what: 'no order of the operations explains their answers' };
}
