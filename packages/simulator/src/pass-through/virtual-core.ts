/**
 * The control cluster of a simulated run. Each machine runs a control node on its own disk with the configuration feed
 * for routers and the submission of operators' changes, wired as in the real programs.
 */
import {
  configurationKey,
  createStoredValue,
  type ControlResponse,
  type ControlClient,
  type ControlRequest,
  type FeedServerOptions,
} from '@tansypost/control-feed';
import {
  createControlStateClient,
  createControlNodeLearning,
  createIncrementalTrainer,
  type ControlNodeLearning,
} from '@tansypost/learning';
import type { BootstrapSize } from '@tansypost/control-state';
import type { Address } from '@tansypost/inner-protocol';
import { createDecodeRecovery, orderRecordKey, type ServedService } from '@tansypost/worker-stages';
import { addMachine, startControlNode, type SimulatedMachine } from '../simulated-control-node.js';
import { killProcess, deliver, resumeProcess, type SimProcess } from '../process.js';
import type { Ground } from './ground.js';
import type { SeedsOf } from './seed-lists.js';
import { submit, parseRouteTable, type SubmitAnswer } from './submit.js';
import { createVirtualOrders } from './virtual-orders.js';
import { stageSwitchTimeUs } from './virtual-worker.js';
import type { VirtualWorkers } from './virtual-workers.js';

export interface ControlMachine extends SimulatedMachine {
  learning: ControlNodeLearning | undefined;
  submit: (text: string, base: number) => Promise<SubmitAnswer>;
  read: () => Promise<ControlResponse>;
}
export interface VirtualControlCluster {
  readonly machines: Map<string, ControlMachine>;
  readonly add: (name: string) => ControlMachine;
  readonly start: (name: string, bootstrap: boolean) => void;
  readonly kill: (name: string, power: boolean) => void;
  readonly wake: (name: string) => void;
  /** To be called when a link of the machine has healed. */
  readonly recordReconnect: (name: string) => void;
  // SIGTERM: leaves the cluster gracefully, then exits.
  readonly leave: (name: string) => void;
  readonly running: () => ControlMachine[];
  /** The seeds currently named in the settings of this machine. */
  readonly seeds: (machine: string) => readonly Address[];
  /** Changes the seeds named in the settings of each machine. */
  readonly reseed: (seedsOf: SeedsOf) => void;
  readonly listDown: (on: boolean) => void;
  readonly fetchList: (
    machine: string,
    proc: SimProcess,
  ) => () => Promise<ReturnType<VirtualWorkers['list']> | undefined>;
}
export interface VirtualControlClusterOptions {
  /** The seeds in the settings of all machines at the first start. */
  readonly seeds: readonly string[];
  readonly targetReplicas: number;
  readonly bootstrapSize: BootstrapSize;
}
const callTimeoutUs = 850_000;
const minTakeoverGapUs = 3_000_000;
const roleLeaseUs = 1.5 * minTakeoverGapUs;
/** A stage order that arrives this soon after its machine resumed or was reconnected had been sent before. */
const inFlightGraceUs = 300_000;

// A process that is asked to leave exits after this time at the latest.
const maxLeaveUs = 6_000_000;

function sendRequest(client: ControlClient, request: ControlRequest): Promise<ControlResponse> {
  return new Promise((resolve) => client.request(request, resolve));
}
function servicesOf(configuration: Buffer | undefined): ServedService[] {
  const table = configuration === undefined ? undefined : parseRouteTable(configuration.toString());
  return (table?.services ?? []).map((service) => ({ name: service.name, stageSwitchTime: stageSwitchTimeUs }));
}

export function createVirtualControlCluster(
  ground: Ground,
  workers: VirtualWorkers,
  options: VirtualControlClusterOptions,
): VirtualControlCluster {
  const { engine, network, random } = ground;
  const machines = new Map<string, ControlMachine>();
  let seedsOf: SeedsOf = firstSeeds;
  let listIsDown = false;

  function firstSeeds(): readonly string[] {
    return options.seeds;
  }

  function seeds(machine: string): Address[] {
    return seedsOf(machine).map((name) => `${name}:1` as Address);
  }

  function fetchList(machine: string, proc: SimProcess): () => Promise<ReturnType<VirtualWorkers['list']> | undefined> {
    const incarnation = proc.incarnation;
    return function fetch() {
      return new Promise((resolve) => {
        const lost = listIsDown || network.isBlocked(machine, 'list') || network.isBlocked('list', machine);
        const workerList = lost ? undefined : workers.list();
        engine.at(engine.now() + (lost ? 700_000 : 2000 + 4000 * random()), () =>
          deliver(proc, incarnation, () => resolve(workerList)),
        );
      });
    };
  }

  function add(name: string): ControlMachine {
    const machine: ControlMachine = Object.assign(addMachine(ground, name), {
      learning: undefined,
      submit: async () => 'not now' as const,
      read: async () => ({ status: 'unknown', epoch: 0, version: 0, value: Buffer.alloc(0) }),
    });
    machines.set(name, machine);
    return machine;
  }

  // Polls the load of one worker. The poll of a worker that is gone or unreachable fails after a timeout.
  function fetchLoad(machine: string, proc: SimProcess): NonNullable<FeedServerOptions['fetchWorkerLoad']> {
    const incarnation = proc.incarnation;
    return function fetch(worker) {
      const life = workers.lifeAt(worker.address);
      const at = workers.machineAt(worker.address);
      const lost =
        life === undefined ||
        !life.alive() ||
        life.isUnresponsive() ||
        life.o.id !== worker.id ||
        network.isBlocked(machine, at) ||
        network.isBlocked(at, machine);
      const load = lost ? undefined : { id: worker.id, ...life.load(), part: life.part() };
      return new Promise((resolve) => {
        engine.at(engine.now() + (lost ? 300_000 : 2000 + 2000 * random()), () =>
          deliver(proc, incarnation, () => resolve(load)),
        );
      });
    };
  }

  function start(name: string, bootstrap: boolean): void {
    const machine = machines.get(name)!;
    if (machine.proc.alive) return;
    ground.silent.delete(name);
    const { world, client } = startControlNode(ground, machine, {
      bootstrapMembers: seeds(name).sort(),
      seeds: () => seeds(name),
      mayBootstrap: bootstrap,
      roleLeaseUs,
      antiEntropyIntervalUs: 2_000_000,
      targetReplicas: options.targetReplicas,
      bootstrapSize: options.bootstrapSize,
      feed: (proc) => ({
        fetchWorkerList: fetchList(name, proc),
        fetchWorkerLoad: fetchLoad(name, proc),
        loadPollInterval: 1_000_000,
      }),
      attachComponents: (world, host, coreAsker, listed) => {
        const learning = createControlNodeLearning(world, {
          self: machine.address,
          member: name,
          controlNode: host.controlNode,
          controlClient: createControlStateClient(world, coreAsker),
          trainer: createIncrementalTrainer(world, ground.learning?.spoil),
          roleLeaseUs: roleLeaseUs,
          ...ground.learning,
        });
        machine.learning = learning;
        const recovery = createDecodeRecovery(world, {
          self: machine.address,
          member: name,
          controlNode: host.controlNode,
          workers: listed,
          services: () => servicesOf(host.controlNode()?.replica.row(configurationKey).value),
          record: createStoredValue(world, orderRecordKey, (request) => sendRequest(coreAsker, request)),
          workerClient: createVirtualOrders(ground, workers, machine.proc),
          leaseDuration: roleLeaseUs,
          minTakeoverGap: minTakeoverGapUs,
        });
        return (message, from) => {
          if (message.kind === 'BallotVote') recovery.receiveVote(message);
          return learning.receive(message, from);
        };
      },
    });
    function askControlCluster(request: ControlRequest): Promise<ControlResponse> {
      return sendRequest(client, request);
    }
    machine.submit = (text, base) =>
      submit(
        { ask: askControlCluster, now: world.now, ...(ground.spoil === 'invalid-let-through' ? { blind: true } : {}) },
        text,
        base,
      );
    machine.read = () =>
      askControlCluster({ op: 'read', key: configurationKey, deadline: world.now() + callTimeoutUs });
  }

  function recordReconnect(name: string): void {
    ground.h.troubles.push({
      who: `woken ${name}`,
      what: 'woken',
      from: engine.now(),
      to: engine.now() + inFlightGraceUs,
    });
  }

  function kill(name: string, power: boolean): void {
    const machine = machines.get(name)!;
    if (power) {
      ground.silent.add(name);
      machine.disk.crash();
    }
    killProcess(machine.proc);
  }
  function leave(name: string): void {
    const machine = machines.get(name)!;
    if (!machine.proc.alive) return;
    const incarnation = machine.proc.incarnation;
    machine.host?.leave(maxLeaveUs, () => {
      if (machine.proc.incarnation === incarnation) kill(name, false);
    });
  }

  return {
    machines,
    add,
    start,
    kill,
    leave,
    wake: (name) => {
      recordReconnect(name);
      resumeProcess(engine, machines.get(name)!.proc);
    },
    recordReconnect,
    running: () => [...machines.values()].filter((machine) => machine.proc.alive),
    seeds,
    reseed: (changed) => {
      seedsOf = changed;
    },
    listDown: (on) => {
      listIsDown = on;
    },
    fetchList,
  };
}
