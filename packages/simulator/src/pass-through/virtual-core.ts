// The machines of the core in a virtual day: each a keeper on its own disk, with the feed to routers and the way for
// operators' changes, wired as the programs wire them.
import * as E from 'fp-ts/lib/Either.js';
import {
  createCoreAsker,
  createFeedServer,
  createReplicaList,
  configurationKey,
  type CoreAnswer,
} from '@tansypost/control-feed';
import { readJournal } from '@tansypost/control-state';
import {
  askThrough,
  createControlNodeLearning,
  createSlicedTrainer,
  type ControlNodeLearning,
} from '@tansypost/learning';
import { micros, type Address, type Message } from '@tansypost/inner-protocol';
import { createControlNodeHost, type ControlNodeHost, type OpenDisk } from '@tansypost/control-node';
import { createProc, die, into, procWorld, wake, type Proc } from '../process.js';
import { createSimDisk, type SimDisk } from '../sim-disk.js';
import type { Ground } from './ground.js';
import { submit, type SubmitAnswer } from './submit.js';
import type { VirtualWorkers } from './virtual-workers.js';

export interface CoreMachine {
  readonly name: string;
  readonly address: Address;
  readonly proc: Proc;
  readonly disk: SimDisk;
  host: ControlNodeHost | undefined;
  learning: ControlNodeLearning | undefined;
  submit: (text: string, base: number) => Promise<SubmitAnswer>;
  read: () => Promise<CoreAnswer>;
}
export interface VirtualCore {
  readonly machines: Map<string, CoreMachine>;
  readonly add: (name: string) => CoreMachine;
  readonly start: (name: string, bootstrap: boolean) => void;
  readonly kill: (name: string, power: boolean) => void;
  readonly wake: (name: string) => void;
  // SIGTERM: hands its place on, then ends.
  readonly leave: (name: string) => void;
  readonly running: () => CoreMachine[];
  readonly seeds: () => readonly Address[];
  readonly reseed: (names: readonly string[]) => void;
  readonly listDown: (on: boolean) => void;
  readonly fetchList: (machine: string, proc: Proc) => () => Promise<ReturnType<VirtualWorkers['list']> | undefined>;
}
const patience = 850_000;
const dutyTenure = 6_000_000;

export function createVirtualCore(g: Ground, workers: VirtualWorkers, founders: readonly string[]): VirtualCore {
  const { e, net, random } = g;
  const machines = new Map<string, CoreMachine>();
  let seeds = founders.slice(0, 3).map((n) => `${n}:1` as Address);
  let down = false;

  function fetchList(machine: string, proc: Proc): () => Promise<ReturnType<VirtualWorkers['list']> | undefined> {
    const incarnation = proc.incarnation;
    return function fetch() {
      return new Promise((ok) => {
        const lost = down || net.blocked(machine, 'list') || net.blocked('list', machine);
        const xs = lost ? undefined : workers.list();
        e.at(e.now() + (lost ? 700_000 : 2000 + 4000 * random()), () => into(proc, incarnation, () => ok(xs)));
      });
    };
  }

  function add(name: string): CoreMachine {
    const proc = createProc(name, name);
    const m: CoreMachine = {
      name,
      address: `${name}:1` as Address,
      proc,
      disk: createSimDisk(e, random),
      host: undefined,
      learning: undefined,
      submit: async () => 'not now',
      read: async () => ({ status: 'unknown', epoch: 0, version: 0, value: Buffer.alloc(0) }),
    };
    machines.set(name, m);
    net.add(m.address, proc);
    return m;
  }

  function start(name: string, bootstrap: boolean): void {
    const m = machines.get(name)!;
    const { proc, address: self } = m;
    if (proc.alive) return;
    proc.alive = true;
    g.silent.delete(name);
    const told = [...seeds].sort();
    const outer = procWorld(
      e,
      proc,
      random,
      (to, x) => net.send(proc, self, to, x),
      () => undefined,
    );
    function send(to: Address, x: Message): void {
      if (to === self) outer.after(micros(0), () => proc.receive(x, self));
      else outer.send(to, x);
    }
    const w = { ...outer, send };
    const host = createControlNodeHost(w, {
      slot: undefined,
      foundingSlot: told.includes(self) ? told.indexOf(self) : undefined,
      founds: bootstrap,
      rejoins: true,
      firstPause: 300_000,
      longestPause: 1_000_000,
      self,
      core: told,
      seeds: [],
      tenure: 10_000_000,
      dutyTenure,
      sweepEvery: 2_000_000,
      newDiskId: () => Math.floor(random() * 2 ** 48).toString(36),
      open,
    });
    async function open(afresh: boolean, blank: boolean): Promise<E.Either<Error, OpenDisk>> {
      if (blank) m.disk.lose();
      const f = readJournal(m.disk.bytes());
      if (E.isRight(f)) m.disk.cut(f.right.good);
      const found = E.isLeft(f) ? [] : f.right.records;
      const disk = m.disk.open(proc);
      const err = afresh ? await new Promise<Error | undefined>((ok) => disk.rewrite(found, ok)) : undefined;
      return err === undefined ? E.right({ disk, found, cut: 0 }) : E.left(err);
    }
    const asker = createCoreAsker(
      w,
      self,
      createReplicaList(host.core, self, () => seeds),
    );
    const learning = createControlNodeLearning(w, {
      self,
      member: name,
      keeper: host.core,
      asker: askThrough(w, asker),
      trainer: createSlicedTrainer(w, g.learning?.spoil),
      tenure: dutyTenure,
      ...g.learning,
    });
    m.learning = learning;
    const feed = createFeedServer(w, {
      self,
      keeper: host.core,
      fetchList: fetchList(name, proc),
      fetchLoad: (x) => {
        const incarnation = proc.incarnation;
        const life = workers.lifeAt(x.address);
        const machine = workers.machineAt(x.address);
        const lost =
          life === undefined ||
          !life.alive() ||
          life.isDark() ||
          life.o.id !== x.id ||
          net.blocked(name, machine) ||
          net.blocked(machine, name);
        const l = lost ? undefined : { id: x.id, ...life.load(), part: life.o.part };
        return new Promise((ok) => {
          e.at(e.now() + (lost ? 300_000 : 2000 + 2000 * random()), () => into(proc, incarnation, () => ok(l)));
        });
      },
      loadEvery: 1_000_000,
    });
    function ask(q: Parameters<typeof asker.ask>[0]): Promise<CoreAnswer> {
      return new Promise((done) => asker.ask(q, done));
    }
    m.submit = (text, base) =>
      submit({ ask, now: w.now, ...(g.spoil === 'invalid-let-through' ? { blind: true } : {}) }, text, base);
    m.read = () => ask({ op: 'read', key: configurationKey, limit: w.now() + patience });
    proc.receive = (x, from) => {
      if (x.kind === 'Answer') asker.answer(x);
      else if (!feed.receive(x, from) && !learning.receive(x, from)) host.receive(x, from);
    };
    m.host = host;
    // A disk in trouble at the start is tried again.
    async function begin(): Promise<void> {
      if (E.isLeft(await host.begin())) outer.after(micros(300_000), () => void begin());
    }
    void begin();
  }

  function kill(name: string, power: boolean): void {
    const m = machines.get(name)!;
    if (power) {
      g.silent.add(name);
      m.disk.crash();
    }
    die(m.proc);
  }
  function leave(name: string): void {
    const m = machines.get(name)!;
    if (!m.proc.alive) return;
    m.host?.core()?.leave();
    const incarnation = m.proc.incarnation;
    e.at(e.now() + 300_000, () => {
      if (m.proc.incarnation === incarnation) kill(name, false);
    });
  }

  return {
    machines,
    add,
    start,
    kill,
    leave,
    wake: (name) => wake(e, machines.get(name)!.proc),
    running: () => [...machines.values()].filter((m) => m.proc.alive),
    seeds: () => seeds,
    reseed: (names) => {
      seeds = names.map((n) => `${n}:1` as Address);
    },
    listDown: (on) => {
      down = on;
    },
    fetchList,
  };
}
