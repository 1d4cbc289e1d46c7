/** Applies moves to a cluster. */
import type { LeaveResult } from '@tansypost/control-state';
import type { Cluster } from './cluster.js';
import type { ControlMachine } from './control-machine.js';
import { isEventMove, type EventMove, type Fault, type Move } from './moves.js';
import type { Partition } from './process.js';

/** As in the production program: the platform's shutdown grace period less the time that calls in progress need. */
const leaveTimeoutUs = 6_500_000;
const exitDelayUs = 100_000;

/** Applies a move; false if it is not possible in this state, which then stays unchanged. */
export async function applyMove(cluster: Cluster, move: Move): Promise<boolean> {
  return isEventMove(move) ? moveEvent(cluster, move) : applyFault(cluster, move);
}

async function moveEvent({ kernel }: Cluster, move: EventMove): Promise<boolean> {
  const candidates = move.kind === 'run' ? kernel.enabled() : kernel.pending();
  const event = candidates.find((each) => each.id === move.event);
  if (event === undefined) return false;
  if (move.kind === 'run') await kernel.run(event, true);
  else if (move.kind === 'lose') kernel.remove(event);
  else if (move.kind === 'double') kernel.duplicate(event);
  else kernel.delay(event, move.forUs);
  return true;
}

function applyFault(cluster: Cluster, fault: Fault): boolean {
  switch (fault.kind) {
    case 'crash':
      return crash(cluster, cluster.machine(fault.machine), fault.kept, fault.forUs);
    case 'power':
      return cluster.machines.map((each) => crash(cluster, each, fault.kept, fault.forUs)).includes(true);
    case 'wipe':
      return wipe(cluster, cluster.machine(fault.machine), fault.forUs);
    case 'cut':
      return startPartition(cluster, fault.cut, fault.forUs);
    case 'freeze':
      return freeze(cluster, cluster.machine(fault.machine), fault.forUs);
    case 'leave':
      return leave(cluster, cluster.machine(fault.machine), cluster.machine(fault.spare));
    case 'replace':
      return replace(cluster, cluster.machine(fault.machine), cluster.machine(fault.spare));
    case 'join':
      return join(cluster.machine(fault.spare));
    case 'restart-follower':
      return restartFollower(cluster, fault.follower);
  }
}

function scheduleFaultEnd(cluster: Cluster, fault: string, delay: number, run: () => void): void {
  cluster.kernel.schedule({ kind: 'end-of-fault', label: `end of ${fault}`, owner: '', delay, run });
}

function restart(machine: ControlMachine): void {
  if (!machine.process.alive) machine.start(false);
}

function crash(cluster: Cluster, machine: ControlMachine, kept: number, forUs: number): boolean {
  if (!machine.process.alive) return false;
  machine.crash(kept);
  scheduleFaultEnd(cluster, `crash of ${machine.name}`, forUs, () => restart(machine));
  return true;
}

function wipe(cluster: Cluster, machine: ControlMachine, forUs: number): boolean {
  if (!mayLoseDisk(cluster, machine)) return false;
  if (machine.process.alive) machine.crash(0);
  machine.eraseDisk();
  scheduleFaultEnd(cluster, `loss of ${machine.name}`, forUs, () => restart(machine));
  return true;
}

function mayLoseDisk(cluster: Cluster, machine: ControlMachine): boolean {
  return mayLoseEmptyDisk(cluster) || cluster.invariants.toleratesLossOf(machine);
}

/** Before a cluster is bootstrapped, one disk loss is allowed: as many as a bootstrapped cluster tolerates. */
function mayLoseEmptyDisk(cluster: Cluster): boolean {
  if (cluster.isBootstrapped()) return false;
  cluster.preBootstrapDiskLosses += 1;
  return cluster.preBootstrapDiskLosses === 1;
}

function freeze(cluster: Cluster, { name, process }: ControlMachine, forUs: number): boolean {
  if (!process.alive || process.frozen) return false;
  process.frozen = true;
  const { incarnation } = process;
  scheduleFaultEnd(cluster, `freeze of ${name}`, forUs, () => {
    if (process.incarnation === incarnation) process.frozen = false;
  });
  return true;
}

function startPartition(cluster: Cluster, partition: Partition, forUs: number): boolean {
  cluster.kernel.setPartition(partition);
  scheduleFaultEnd(cluster, 'cut', forUs, () => cluster.kernel.setPartition(undefined));
  return true;
}

function leave(cluster: Cluster, machine: ControlMachine, spare: ControlMachine): boolean {
  const host = machine.host();
  if (host === undefined || spare.wasStarted()) return false;
  if (cluster.scope.statelessSeeds && !cluster.isBootstrapped() && !mayLoseEmptyDisk(cluster)) return false;
  const { incarnation } = machine.process;
  host.leave(leaveTimeoutUs, (result) => {
    scheduleFaultEnd(cluster, `stay of ${machine.name}`, exitDelayUs, () => {
      if (machine.process.incarnation === incarnation) finishLeave(cluster, machine, result);
    });
  });
  return join(spare);
}

/** Erases the leaver's disk if the leave result says that nobody needs it, or if that loss is tolerated; else restarts it. */
function finishLeave(cluster: Cluster, machine: ControlMachine, result: LeaveResult): void {
  machine.crash(0);
  if (result === 'incomplete' && !cluster.invariants.toleratesLossOf(machine)) restart(machine);
  else machine.eraseDisk();
}

function replace(cluster: Cluster, machine: ControlMachine, spare: ControlMachine): boolean {
  if (spare.wasStarted() || !mayLoseDisk(cluster, machine)) return false;
  if (machine.process.alive) machine.crash(0);
  machine.eraseDisk();
  return join(spare);
}

function join(machine: ControlMachine): boolean {
  if (machine.wasStarted()) return false;
  machine.start(false);
  return true;
}

function restartFollower(cluster: Cluster, name: string): boolean {
  const follower = cluster.followers.find((each) => each.process.name === name);
  follower?.stop();
  follower?.start(false);
  return follower !== undefined;
}
