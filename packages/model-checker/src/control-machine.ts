/**
 * One machine of the control side: the shipped control node on a disk of the model, the asker that the operator's
 * calls go through and the feed server, wired as the shipped program wires them.
 */
import * as E from 'fp-ts/lib/Either.js';
import {
  createCoreAsker,
  createFeedServer,
  createReplicaList,
  type CoreAnswer,
  type CoreQuestion,
} from '@tansypost/control-feed';
import { createControlNodeHost, type ControlNodeHost, type OpenDisk } from '@tansypost/control-node';
import type { Address, Message, World } from '@tansypost/inner-protocol';
import type { Kernel, Process } from './kernel.js';
import { createModelDisk, type ModelDisk } from './model-disk.js';

/** How an operator's call reaches the core through one machine. */
export interface CoreAccess {
  readonly ask: (q: CoreQuestion) => Promise<CoreAnswer>;
  readonly now: () => number;
}

export interface ControlMachine {
  readonly name: string;
  readonly process: Process;
  readonly disk: ModelDisk;
  readonly host: () => ControlNodeHost | undefined;
  readonly access: () => CoreAccess | undefined;
  readonly start: (founds: boolean) => void;
  /** Ends the process; of the writes that wait for their sync the first `kept` survive. */
  readonly crash: (kept: number) => void;
  readonly loseDisk: () => void;
}

/** Of the shipped program. */
const tenureUs = 10_000_000;
const dutyTenureUs = 3_000_000;
const sweepUs = 2_000_000;
const firstPauseUs = 300_000;
const longestPauseUs = 1_000_000;

export function createControlMachine(kernel: Kernel, process: Process, seeds: readonly Address[]): ControlMachine {
  const disk = createModelDisk(kernel, process.name);
  const self = process.address;
  let host: ControlNodeHost | undefined;
  let access: CoreAccess | undefined;

  async function open(world: World, afresh: boolean, blank: boolean): Promise<E.Either<Error, OpenDisk>> {
    if (blank) disk.lose();
    const found = [...disk.records()];
    const opened = disk.open(process);
    if (afresh) await new Promise<void>((done) => opened.rewrite(found, () => done()));
    return E.right({ disk: opened, found, cut: 0 });
  }

  function createHost(world: World, founds: boolean): ControlNodeHost {
    return createControlNodeHost(world, {
      slot: undefined,
      foundingSlot: seeds.includes(self) ? seeds.indexOf(self) : undefined,
      founds,
      rejoins: true,
      firstPause: firstPauseUs,
      longestPause: longestPauseUs,
      self,
      core: seeds,
      seeds: [],
      tenure: tenureUs,
      dutyTenure: dutyTenureUs,
      sweepEvery: sweepUs,
      newDiskId: () => `${process.name}.${Math.floor(world.random() * 2 ** 48).toString(36)}`,
      open: (afresh, blank) => open(world, afresh, blank),
    });
  }

  function start(founds: boolean): void {
    kernel.start(process);
    const world = kernel.world(process);
    const node = createHost(world, founds);
    const asker = createCoreAsker(
      world,
      self,
      createReplicaList(node.core, self, () => seeds),
    );
    const feed = createFeedServer(world, { self, zone: 'z', keeper: node.core, fetchList: async () => undefined });
    process.receive = (m: Message, from: Address) => {
      if (m.kind === 'Answer') asker.answer(m);
      else if (!feed.receive(m, from)) node.receive(m, from);
    };
    host = node;
    access = { ask: (q) => new Promise((done) => asker.ask(q, done)), now: world.now };
    void node.begin();
  }

  function crash(kept: number): void {
    kernel.kill(process);
    process.inputs.addText(`kept ${kept}`);
    disk.crash(kept);
    host = undefined;
    access = undefined;
  }

  return {
    name: process.name,
    process,
    disk,
    host: () => host,
    access: () => access,
    start,
    crash,
    loseDisk: () => {
      process.inputs.addText('disk lost');
      disk.lose();
    },
  };
}
