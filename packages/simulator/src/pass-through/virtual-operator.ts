/** The operators of a simulated run. An operator submits a change to random machines until it gets a definite answer. */
import { oneOf, sleep, type Ground } from './ground.js';
import { drawInvalid, drawTable } from './paths-drawn.js';
import type { ChangeRecord } from './passed-history.js';
import { createPipe } from './pipe.js';
import type { ControlResponse } from '@tansypost/control-feed';
import type { Address } from '@tansypost/inner-protocol';
import { deliver, type SimProcess } from '../process.js';
import type { VirtualRouter } from './virtual-router.js';
import type { ControlMachine, VirtualControlCluster } from './virtual-core.js';
import { parseRouteTable, type SubmitAnswer } from './submit.js';

export interface VirtualOperator {
  readonly submitFirst: () => Promise<void>;
  readonly change: () => Promise<void>;
  readonly submitRace: () => Promise<void>;
  readonly burst: (n: number) => Promise<void>;
  readonly submitInvalid: () => Promise<void>;
  /** Reads the configuration back repeatedly for the given number of microseconds. */
  readonly readRepeatedly: (durationUs: number) => Promise<void>;
  readonly newestAccepted: () => number;
  // Called with the machine whose acknowledgement has arrived.
  onAccepted: ((machine: ControlMachine) => void) | undefined;
}
const callTimeoutUs = 1_000_000;
const submitTimeoutUs = 12_000_000;
const readbackIntervalUs = 200_000;

/** A machine that accepts control calls: a control node, or a gateway that redirects callers to one. */
type ControlEndpoint =
  | { readonly kind: 'control node'; readonly machine: ControlMachine }
  | { readonly kind: 'gateway'; readonly router: VirtualRouter };

export function createVirtualOperator(
  ground: Ground,
  core: VirtualControlCluster,
  gateways: () => readonly VirtualRouter[],
): VirtualOperator {
  const { engine, network, random, h: history } = ground;

  function runningEndpoints(): ControlEndpoint[] {
    const nodes = core.running().map((machine): ControlEndpoint => ({ kind: 'control node', machine }));
    const others = gateways().filter((router) => router.proc.alive);
    return [...nodes, ...others.map((router): ControlEndpoint => ({ kind: 'gateway', router }))];
  }

  /** Calls a random endpoint, following one redirect of a gateway. Returns the answer and the machine that gave it. */
  async function callAny<T>(
    operation: (machine: ControlMachine) => Promise<T>,
    fallback: T,
  ): Promise<{ answer: T; by?: ControlMachine }> {
    const endpoint = oneOf(runningEndpoints(), random());
    if (endpoint === undefined) return { answer: fallback };
    if (endpoint.kind === 'control node')
      return { answer: await call(endpoint.machine, operation, fallback), by: endpoint.machine };
    const address = await askGateway(endpoint.router);
    const machine = [...core.machines.values()].find((machine) => machine.address === address);
    if (machine === undefined) return { answer: fallback };
    return { answer: await call(machine, operation, fallback), by: machine };
  }

  function askGateway(router: VirtualRouter): Promise<Address | undefined> {
    return exchange(router.machine, router.proc, async () => router.controlNode(), undefined);
  }

  function call<T>(
    machine: ControlMachine,
    operation: (machine: ControlMachine) => Promise<T>,
    fallback: T,
  ): Promise<T> {
    return exchange(machine.name, machine.proc, () => operation(machine), fallback);
  }

  /** A call over the network to a process. It times out after `callTimeoutUs`. */
  function exchange<T>(machine: string, proc: SimProcess, operation: () => Promise<T>, fallback: T): Promise<T> {
    return new Promise((resolve) => {
      let isSettled = false;
      function settle(x: T): void {
        if (isSettled) return;
        isSettled = true;
        resolve(x);
      }
      engine.at(engine.now() + callTimeoutUs, () => settle(fallback));
      const toMachine = createPipe(engine, network, 'operator', machine);
      const toOperator = createPipe(engine, network, machine, 'operator');
      const { incarnation } = proc;
      toMachine(() =>
        deliver(proc, incarnation, () => {
          void operation().then((x) => toOperator(() => settle(x)));
        }),
      );
    });
  }

  async function send(text: string, revision: number, baseRevision: number, valid: boolean): Promise<ChangeRecord> {
    const c: ChangeRecord = {
      revision,
      baseRevision,
      text,
      valid,
      at: engine.now(),
      answer: 'open',
      answeredAt: undefined,
    };
    history.changes.push(c);
    let delayUs = 100_000;
    while (engine.now() - c.at < submitTimeoutUs) {
      const { answer: x, by } = await callAny<SubmitAnswer>((machine) => machine.submit(text, baseRevision), 'not now');
      if (x !== 'not now') {
        c.answer = x;
        c.answeredAt = engine.now();
        if (x === 'taken') self.onAccepted?.(by!);
        return c;
      }
      await sleep(ground, delayUs);
      delayUs = Math.min(1_000_000, delayUs * 1.5);
    }
    c.answer = 'unclear';
    return c;
  }

  function newestAccepted(): number {
    return Math.max(0, ...history.changes.filter((c) => c.answer === 'taken').map((c) => c.revision));
  }
  // The revision in force as read back, else the newest accepted one.
  async function readCurrentRevision(): Promise<number> {
    const text = await readBack();
    return (text === undefined ? undefined : parseRouteTable(text)?.revision) ?? newestAccepted();
  }
  function drawChange(current: number): { text: string; revision: number } {
    const revision = current + 1 + Math.floor(random() * 4);
    return {
      text: JSON.stringify(drawTable(ground.d, current === 0 ? 1 : revision, random, ground.tenants.nextTenants())),
      revision: current === 0 ? 1 : revision,
    };
  }
  async function change(): Promise<void> {
    const current = await readCurrentRevision();
    const x = drawChange(current);
    await send(x.text, x.revision, current, true);
  }

  async function readBack(): Promise<string | undefined> {
    for (let i = 0; i < 8; i += 1) {
      const { answer: response } = await callAny<ControlResponse | undefined>((machine) => machine.read(), undefined);
      if (response?.status === 'value' && response.version > 0) return response.value.toString();
      if (response?.status === 'value') return undefined;
      await sleep(ground, 300_000);
    }
    return undefined;
  }

  async function readRepeatedly(length: number): Promise<void> {
    const until = engine.now() + length;
    while (engine.now() < until) {
      const text = await readBack();
      if (text !== undefined) history.readbacks.push({ text, at: engine.now() });
      await sleep(ground, readbackIntervalUs);
    }
  }

  const self: VirtualOperator = {
    onAccepted: undefined,
    newestAccepted,
    readRepeatedly,
    submitFirst: change,
    change,
    submitRace: async () => {
      const current = await readCurrentRevision();
      const [x, y] = [drawChange(current), drawChange(current)];
      // Two changes of the same revision could not be distinguished.
      const other = y.revision === x.revision ? { ...y, revision: y.revision + 4 } : y;
      const text = JSON.stringify({ ...(JSON.parse(y.text) as object), revision: other.revision });
      await Promise.all([send(x.text, x.revision, current, true), send(text, other.revision, current, true)]);
    },
    burst: async (n) => {
      for (let i = 0; i < n; i += 1) await change();
    },
    submitInvalid: async () => {
      const current = await readCurrentRevision();
      const text = drawInvalid(ground.d, current, random, ground.tenants.nextTenants());
      await send(text, current + 1, current, false);
    },
  };
  return self;
}
