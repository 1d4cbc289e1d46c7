/**
 * The machines of the core in a virtual day: each a keeper on its own disk, with the feed to routers and the way for
 * operators' changes, wired as the programs wire them.
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
  askThrough,
  createControlNodeLearning,
  createSlicedTrainer,
  type ControlNodeLearning,
} from '@tansypost/learning';
import type { BootstrapSize } from '@tansypost/control-state';
import type { Address } from '@tansypost/inner-protocol';
import { createDecodeRecovery, orderRecordKey, type ServedService } from '@tansypost/worker-stages';
import { addMachine, startControlNode, type SimulatedMachine } from '../simulated-control-node.js';
import { killProcess, deliver, resumeProcess, type SimProcess } from '../process.js';
import type { Ground } from './ground.js';
import type { SeedsOf } from './seed-lists.js';
import { submit, tableOf, type SubmitAnswer } from './submit.js';
import { createVirtualOrders } from './virtual-orders.js';
import { switchTime } from './virtual-worker.js';
import type { VirtualWorkers } from './virtual-workers.js';

export interface CoreMachine extends SimulatedMachine {
  learning: ControlNodeLearning | undefined;
  submit: (text: string, base: number) => Promise<SubmitAnswer>;
  read: () => Promise<ControlResponse>;
}
export interface VirtualCore {
  readonly machines: Map<string, CoreMachine>;
  readonly add: (name: string) => CoreMachine;
  readonly start: (name: string, bootstrap: boolean) => void;
  readonly kill: (name: string, power: boolean) => void;
  readonly wake: (name: string) => void;
  /** A link of the machine has healed. */
  readonly reached: (name: string) => void;
  // SIGTERM: hands its place on, then ends.
  readonly leave: (name: string) => void;
  readonly running: () => CoreMachine[];
  /** The seeds that the settings of this machine name now. */
  readonly seeds: (machine: string) => readonly Address[];
  /** From now on the settings of each machine name these machines. */
  readonly reseed: (seedsOf: SeedsOf) => void;
  readonly listDown: (on: boolean) => void;
  readonly fetchList: (
    machine: string,
    proc: SimProcess,
  ) => () => Promise<ReturnType<VirtualWorkers['list']> | undefined>;
}
export interface VirtualCoreOptions {
  /** The machines that all are told of at the first start. */
  readonly seeds: readonly string[];
  readonly wantedReplicas: number;
  readonly founderCount: BootstrapSize;
}
const patience = 850_000;
const betweenHolders = 3_000_000;
const dutyTenure = 1.5 * betweenHolders;
/** Orders of a machine that has just woken or been reached again were on their way before. */
const wokenFor = 300_000;

// A process that is asked to leave ends at the latest then.
const longestHandOver = 6_000_000;

function answerTo(asker: ControlClient, question: ControlRequest): Promise<ControlResponse> {
  return new Promise((done) => asker.request(question, done));
}
function servicesOf(configuration: Buffer | undefined): ServedService[] {
  const table = configuration === undefined ? undefined : tableOf(configuration.toString());
  return (table?.services ?? []).map((service) => ({ name: service.name, stageSwitchTime: switchTime }));
}

export function createVirtualCore(g: Ground, workers: VirtualWorkers, options: VirtualCoreOptions): VirtualCore {
  const { engine: e, network: net, random } = g;
  const machines = new Map<string, CoreMachine>();
  let seedsOf: SeedsOf = firstSeeds;
  let down = false;

  function firstSeeds(): readonly string[] {
    return options.seeds;
  }

  function seeds(machine: string): Address[] {
    return seedsOf(machine).map((name) => `${name}:1` as Address);
  }

  function fetchList(machine: string, proc: SimProcess): () => Promise<ReturnType<VirtualWorkers['list']> | undefined> {
    const incarnation = proc.incarnation;
    return function fetch() {
      return new Promise((ok) => {
        const lost = down || net.isBlocked(machine, 'list') || net.isBlocked('list', machine);
        const xs = lost ? undefined : workers.list();
        e.at(e.now() + (lost ? 700_000 : 2000 + 4000 * random()), () => deliver(proc, incarnation, () => ok(xs)));
      });
    };
  }

  function add(name: string): CoreMachine {
    const m: CoreMachine = Object.assign(addMachine(g, name), {
      learning: undefined,
      submit: async () => 'not now' as const,
      read: async () => ({ status: 'unknown', epoch: 0, version: 0, value: Buffer.alloc(0) }),
    });
    machines.set(name, m);
    return m;
  }

  // What asks one worker for its load; a worker that is gone or out of reach gives none, after a while.
  function fetchLoad(machine: string, proc: SimProcess): NonNullable<FeedServerOptions['fetchWorkerLoad']> {
    const incarnation = proc.incarnation;
    return function fetch(x) {
      const life = workers.lifeAt(x.address);
      const at = workers.machineAt(x.address);
      const lost =
        life === undefined ||
        !life.alive() ||
        life.isDark() ||
        life.o.id !== x.id ||
        net.isBlocked(machine, at) ||
        net.isBlocked(at, machine);
      const l = lost ? undefined : { id: x.id, ...life.load(), part: life.part() };
      return new Promise((ok) => {
        e.at(e.now() + (lost ? 300_000 : 2000 + 2000 * random()), () => deliver(proc, incarnation, () => ok(l)));
      });
    };
  }

  function start(name: string, bootstrap: boolean): void {
    const m = machines.get(name)!;
    if (m.proc.alive) return;
    g.silent.delete(name);
    const { world, client: asker } = startControlNode(g, m, {
      bootstrapMembers: seeds(name).sort(),
      seeds: () => seeds(name),
      mayBootstrap: bootstrap,
      roleLeaseUs: dutyTenure,
      antiEntropyIntervalUs: 2_000_000,
      targetReplicas: options.wantedReplicas,
      bootstrapSize: options.founderCount,
      feed: (proc) => ({
        fetchWorkerList: fetchList(name, proc),
        fetchWorkerLoad: fetchLoad(name, proc),
        loadPollInterval: 1_000_000,
      }),
      attachComponents: (w, host, coreAsker, listed) => {
        const learning = createControlNodeLearning(w, {
          self: m.address,
          member: name,
          keeper: host.core,
          asker: askThrough(w, coreAsker),
          trainer: createSlicedTrainer(w, g.learning?.spoil),
          tenure: dutyTenure,
          ...g.learning,
        });
        m.learning = learning;
        const recovery = createDecodeRecovery(w, {
          self: m.address,
          member: name,
          controlNode: host.core,
          workers: listed,
          services: () => servicesOf(host.core()?.replica.row(configurationKey).value),
          record: createStoredValue(w, orderRecordKey, (question) => answerTo(coreAsker, question)),
          workerClient: createVirtualOrders(g, workers, m.proc),
          leaseDuration: dutyTenure,
          minTakeoverGap: betweenHolders,
        });
        return (message, from) => {
          if (message.kind === 'BallotVote') recovery.receiveVote(message);
          return learning.receive(message, from);
        };
      },
    });
    function ask(question: ControlRequest): Promise<ControlResponse> {
      return answerTo(asker, question);
    }
    m.submit = (text, base) =>
      submit({ ask, now: world.now, ...(g.spoil === 'invalid-let-through' ? { blind: true } : {}) }, text, base);
    m.read = () => ask({ op: 'read', key: configurationKey, deadline: world.now() + patience });
  }

  function reached(name: string): void {
    g.h.troubles.push({ who: `woken ${name}`, what: 'woken', from: e.now(), to: e.now() + wokenFor });
  }

  function kill(name: string, power: boolean): void {
    const m = machines.get(name)!;
    if (power) {
      g.silent.add(name);
      m.disk.crash();
    }
    killProcess(m.proc);
  }
  function leave(name: string): void {
    const m = machines.get(name)!;
    if (!m.proc.alive) return;
    const incarnation = m.proc.incarnation;
    m.host?.leave(longestHandOver, () => {
      if (m.proc.incarnation === incarnation) kill(name, false);
    });
  }

  return {
    machines,
    add,
    start,
    kill,
    leave,
    wake: (name) => {
      reached(name);
      resumeProcess(e, machines.get(name)!.proc);
    },
    reached,
    running: () => [...machines.values()].filter((m) => m.proc.alive),
    seeds,
    reseed: (changed) => {
      seedsOf = changed;
    },
    listDown: (on) => {
      down = on;
    },
    fetchList,
  };
}
