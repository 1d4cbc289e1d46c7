/** The operators of a virtual day: each sends a change to one machine after the other until it gets a clear answer. */
import { oneOf, sleep, type Ground } from './ground.js';
import { drawInvalid, drawTable } from './paths-drawn.js';
import type { ChangeRecord } from './passed-history.js';
import { createPipe } from './pipe.js';
import type { ControlResponse } from '@tansypost/control-feed';
import type { Address } from '@tansypost/inner-protocol';
import { deliver, type SimProcess } from '../process.js';
import type { VirtualRouter } from './virtual-router.js';
import type { CoreMachine, VirtualCore } from './virtual-core.js';
import { tableOf, type SubmitAnswer } from './submit.js';

export interface VirtualOperator {
  readonly first: () => Promise<void>;
  readonly change: () => Promise<void>;
  readonly race: () => Promise<void>;
  readonly storm: (n: number) => Promise<void>;
  readonly invalid: () => Promise<void>;
  /** Reads the configuration back, again and again for so many microseconds. */
  readonly readAgain: (length: number) => Promise<void>;
  readonly newest: () => number;
  // Called when a machine's acknowledgement has come.
  onTaken: ((m: CoreMachine) => void) | undefined;
}
const silence = 1_000_000;
const patience = 12_000_000;
const betweenReads = 200_000;

/** A machine that serves control: one that holds its state, or one that sends callers on. */
type Server =
  | { readonly kind: 'control node'; readonly machine: CoreMachine }
  | { readonly kind: 'gateway'; readonly router: VirtualRouter };

export function createVirtualOperator(
  g: Ground,
  core: VirtualCore,
  gateways: () => readonly VirtualRouter[],
): VirtualOperator {
  const { engine: e, network: net, random, h } = g;

  function servers(): Server[] {
    const nodes = core.running().map((machine): Server => ({ kind: 'control node', machine }));
    const others = gateways().filter((router) => router.proc.alive);
    return [...nodes, ...others.map((router): Server => ({ kind: 'gateway', router }))];
  }

  /** The answer of one machine, after being sent on once where it holds no state, and the machine that gave it. */
  async function callAny<T>(f: (m: CoreMachine) => Promise<T>, none: T): Promise<{ answer: T; by?: CoreMachine }> {
    const server = oneOf(servers(), random());
    if (server === undefined) return { answer: none };
    if (server.kind === 'control node') return { answer: await call(server.machine, f, none), by: server.machine };
    const address = await redirected(server.router);
    const machine = [...core.machines.values()].find((m) => m.address === address);
    if (machine === undefined) return { answer: none };
    return { answer: await call(machine, f, none), by: machine };
  }

  function redirected(router: VirtualRouter): Promise<Address | undefined> {
    return exchange(router.machine, router.proc, async () => router.controlNode(), undefined);
  }

  function call<T>(m: CoreMachine, f: (m: CoreMachine) => Promise<T>, none: T): Promise<T> {
    return exchange(m.name, m.proc, () => f(m), none);
  }

  /** A call over the network to a process; after a second of silence it is given up. */
  function exchange<T>(machine: string, proc: SimProcess, f: () => Promise<T>, none: T): Promise<T> {
    return new Promise((done) => {
      let over = false;
      function end(x: T): void {
        if (over) return;
        over = true;
        done(x);
      }
      e.at(e.now() + silence, () => end(none));
      const there = createPipe(e, net, 'operator', machine);
      const back = createPipe(e, net, machine, 'operator');
      const { incarnation } = proc;
      there(() =>
        deliver(proc, incarnation, () => {
          void f().then((x) => back(() => end(x)));
        }),
      );
    });
  }

  async function send(text: string, revision: number, base: number, valid: boolean): Promise<ChangeRecord> {
    const c: ChangeRecord = { revision, base, text, valid, at: e.now(), answer: 'open', answeredAt: undefined };
    h.changes.push(c);
    let pause = 100_000;
    while (e.now() - c.at < patience) {
      const { answer: x, by } = await callAny<SubmitAnswer>((m) => m.submit(text, base), 'not now');
      if (x !== 'not now') {
        c.answer = x;
        c.answeredAt = e.now();
        if (x === 'taken') self.onTaken?.(by!);
        return c;
      }
      await sleep(g, pause);
      pause = Math.min(1_000_000, pause * 1.5);
    }
    c.answer = 'unclear';
    return c;
  }

  function newest(): number {
    return Math.max(0, ...h.changes.filter((c) => c.answer === 'taken').map((c) => c.revision));
  }
  // What is in place, as far as anybody tells.
  async function base(): Promise<number> {
    const text = await readBack();
    return (text === undefined ? undefined : tableOf(text)?.revision) ?? newest();
  }
  function draw(b: number): { text: string; revision: number } {
    const revision = b + 1 + Math.floor(random() * 4);
    return {
      text: JSON.stringify(drawTable(g.d, b === 0 ? 1 : revision, random, g.tenants.wanted())),
      revision: b === 0 ? 1 : revision,
    };
  }
  async function change(): Promise<void> {
    const b = await base();
    const x = draw(b);
    await send(x.text, x.revision, b, true);
  }

  async function readBack(): Promise<string | undefined> {
    for (let i = 0; i < 8; i += 1) {
      const { answer: a } = await callAny<ControlResponse | undefined>((m) => m.read(), undefined);
      if (a?.status === 'value' && a.version > 0) return a.value.toString();
      if (a?.status === 'value') return undefined;
      await sleep(g, 300_000);
    }
    return undefined;
  }

  async function readAgain(length: number): Promise<void> {
    const until = e.now() + length;
    while (e.now() < until) {
      const text = await readBack();
      if (text !== undefined) h.readbacks.push({ text, at: e.now() });
      await sleep(g, betweenReads);
    }
  }

  const self: VirtualOperator = {
    onTaken: undefined,
    newest,
    readAgain,
    first: change,
    change,
    race: async () => {
      const b = await base();
      const [x, y] = [draw(b), draw(b)];
      // Two of one revision could not be told apart.
      const other = y.revision === x.revision ? { ...y, revision: y.revision + 4 } : y;
      const text = JSON.stringify({ ...(JSON.parse(y.text) as object), revision: other.revision });
      await Promise.all([send(x.text, x.revision, b, true), send(text, other.revision, b, true)]);
    },
    storm: async (n) => {
      for (let i = 0; i < n; i += 1) await change();
    },
    invalid: async () => {
      const b = await base();
      const text = drawInvalid(g.d, b, random, g.tenants.wanted());
      await send(text, b + 1, b, false);
    },
  };
  return self;
}
