/**
 * Points 1 to 4 of the control side in small, on real processes: control nodes are cut off, frozen, killed and emptied
 * while operators order and read through agents. The verdict is that of the judges of the simulator.
 */
import { join } from 'node:path';
import { request } from 'undici';
import {
  createControlHistory,
  oneOrderPerBase,
  properOrdersNotRefused,
  readsAreCurrent,
  refusedNeverInForce,
  takenStaysTaken,
  type ConfigCall,
  type ControlBreach,
  type ControlHistory,
} from '@tansypost/simulator';
import { coldStorage, templates, type Deployment } from '@tansypost/requester-stand-in';
import { createFleet, type Fleet } from './fleet.js';
import type { PlanOptions } from './plan.js';

export interface ControlScenarioOptions extends PlanOptions {
  readonly say: (s: string) => void;
}

export interface ControlVerdict {
  readonly breaches: readonly ControlBreach[];
  readonly orders: number;
  readonly taken: number;
  readonly reads: number;
  /** What was measured, for the reader. */
  readonly figures: readonly string[];
}

interface Order {
  readonly change: string;
  readonly base: number;
  readonly mark: number;
}

const deployment: Deployment = { ...coldStorage, zones: 3, machines: 4, workers: 3 };
const callPatience = 6000;
const cutLength = 4000;
const orderWithin = 15_000;
const voteWithin = 15_000;
const pause = 100;
const changesWhileAway = 10;
const copies = 8;
const microsPerMs = 1000;
const judges = [oneOrderPerBase, takenStaysTaken, refusedNeverInForce, properOrdersNotRefused, readsAreCurrent];

function sleep(ms: number): Promise<void> {
  return new Promise((ok) => setTimeout(ok, ms));
}

/** A state that differs from all others of a run by the worth of its first kind. */
function stateOf(mark: number): unknown {
  return templates(deployment, (k) => k.worth + mark);
}

/** The text by which the judges tell states apart. */
function textOf(state: unknown): string {
  return JSON.stringify((state as { templates: unknown[] }).templates[0]);
}

/** The operators of a run: they note every call and answer in the history. */
class Operators {
  private marks = 0;
  readonly history: ControlHistory = createControlHistory();

  constructor(private readonly fleet: Fleet) {}

  private http(agent: string): string {
    return this.fleet.member(agent).http;
  }

  private now(): number {
    return performance.now() * microsPerMs;
  }

  newOrder(base: number): Order {
    this.marks += 1;
    return { change: `order-${this.marks}`, base, mark: this.marks };
  }

  /** Notes the state that is in force before the first order as an order that was taken. */
  async noteInitial(agent: string): Promise<void> {
    const sentAt = this.now();
    const revision = await this.get(agent);
    const found = this.history.calls.at(-1)?.readResult;
    if (revision === undefined || found === undefined) return;
    const taken = { kind: 'put', node: agent, sentAt, answeredAt: sentAt, code: 200, nodeWasAvailable: true } as const;
    this.history.calls.unshift({ ...taken, text: found.text, revision, expectedRevision: revision - 1 });
  }

  /** Sends an order once; gives the answer's status, undefined where none came. */
  async put(agent: string, order: Order): Promise<number | undefined> {
    const state = stateOf(order.mark);
    const call: ConfigCall = {
      kind: 'put',
      node: agent,
      sentAt: this.now(),
      text: textOf(state),
      revision: order.base + 1,
      expectedRevision: order.base,
      nodeWasAvailable: true,
    };
    this.history.calls.push(call);
    const body = JSON.stringify({ base: order.base, change: order.change, state });
    const answer = await this.call(agent, 'POST', body);
    if (answer === undefined) return undefined;
    call.answeredAt = this.now();
    call.code = answer.code;
    return answer.code;
  }

  /** Reads once; gives the version, undefined where it was not given. */
  async get(agent: string): Promise<number | undefined> {
    const call: ConfigCall = { kind: 'get', node: agent, sentAt: this.now(), nodeWasAvailable: true };
    this.history.calls.push(call);
    const answer = await this.call(agent, 'GET');
    if (answer === undefined) return undefined;
    call.answeredAt = this.now();
    call.code = answer.code;
    const { version, state } = answer.body as { version?: number; state?: unknown };
    if (answer.code !== 200 || version === undefined) return undefined;
    call.readResult = { revision: version, text: textOf(state) };
    return version;
  }

  private async call(
    agent: string,
    method: 'GET' | 'POST',
    body?: string,
  ): Promise<{ code: number; body: unknown } | undefined> {
    try {
      const r = await request(`http://${this.http(agent)}/desired-state`, {
        method,
        headersTimeout: callPatience,
        bodyTimeout: callPatience,
        ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } }),
      });
      return { code: r.statusCode, body: await r.body.json() };
    } catch {
      return undefined;
    }
  }

  /** Reads a base and sends an order on it until the answer is clear; gives whether it was taken in time. */
  async change(agents: readonly string[], within = orderWithin): Promise<boolean> {
    const until = performance.now() + within;
    let order: Order | undefined;
    for (let n = 0; performance.now() < until; n += 1) {
      const agent = agents[n % agents.length]!;
      if (order === undefined) {
        const base = await this.get(agent);
        if (base !== undefined) order = this.newOrder(base);
      } else {
        const code = await this.put(agent, order);
        if (code === 200) return true;
        if (code !== undefined && code < 500) order = undefined;
      }
      await sleep(pause);
    }
    return false;
  }
}

/** Plays the scenario on a fleet of its own and stops it again. */
export async function runControlScenario(o: ControlScenarioOptions): Promise<ControlVerdict> {
  const fleet = createFleet(deployment, o);
  const operators = new Operators(fleet);
  const breaches: ControlBreach[] = [];
  const figures: string[] = [];
  const agents = ['agent0', 'agent1', 'agent2'];

  async function mustTake(what: string, by: readonly string[]): Promise<void> {
    const from = performance.now();
    if (await operators.change(by))
      figures.push(`${what}: an order was taken after ${Math.round(performance.now() - from)} ms`);
    else breaches.push({ check: 'majorityTakesOrders', what: `${what}: no order taken in ${orderWithin} ms` });
  }
  async function mustVote(node: string, what: string): Promise<void> {
    const { http } = fleet.member(node);
    try {
      const took = await fleet.until(
        `${node} votes`,
        async () => (await fleet.get(http, '/vitals')) !== undefined,
        voteWithin / 1000,
      );
      figures.push(`${what}: ${node} votes after ${Math.round(took)} ms`);
    } catch {
      breaches.push({ check: 'votesAgain', what: `${what}: ${node} does not vote within ${voteWithin} ms` });
    }
  }
  /** Orders and reads through some agents until told to stop. */
  async function operate(by: readonly string[], over: () => boolean): Promise<void> {
    while (!over()) await operators.change(by, cutLength);
  }

  async function playCut(kind: 'isolate' | 'one-way' | 'freeze', slot: number): Promise<void> {
    const node = `keeper${slot}`;
    const beside = `agent${slot}`;
    const others = agents.filter((a) => a !== beside);
    o.say(`${kind} ${node}`);
    const state = { over: false };
    await fleet.fault({ at: 0, do: kind, who: node });
    const both = [operate([beside], () => state.over), operate(others, () => state.over)];
    await sleep(cutLength);
    await fleet.fault({ at: 0, do: kind === 'freeze' ? 'wake' : 'rejoin', who: node });
    state.over = true;
    await Promise.all(both);
    await mustTake(`after ${kind} of ${node}`, [beside]);
  }

  async function playRaces(): Promise<void> {
    o.say('races');
    for (const rivals of [2, copies]) {
      const base = (await operators.get('agent0')) ?? 0;
      const orders = Array.from({ length: rivals }, () => operators.newOrder(base));
      const codes = await Promise.all(orders.map((x, i) => operators.put(agents[i % agents.length]!, x)));
      if (codes.filter((c) => c === 200).length !== 1)
        breaches.push({
          check: 'oneOfARaceIsTaken',
          what: `${rivals} orders on ${base} were answered ${codes.join()}`,
        });
      const winner = orders[codes.indexOf(200)];
      if (winner === undefined) continue;
      for (let i = 0; i < copies; i += 1) await operators.put(agents[i % agents.length]!, winner);
    }
  }

  async function playLosses(): Promise<void> {
    o.say('a disk lost, then another machine');
    await fleet.fault({ at: 0, do: 'empty', who: 'keeper0' });
    await mustVote('keeper0', 'after its disk was lost');
    await fleet.fault({ at: 0, do: 'kill', who: 'keeper1' });
    await mustTake('with keeper1 killed after keeper0 had copied', ['agent2']);
    await fleet.fault({ at: 0, do: 'restart', who: 'keeper1' });
    await mustVote('keeper1', 'after its restart');
  }

  async function playChanges(): Promise<void> {
    o.say('changes while keeper2 is away');
    await fleet.fault({ at: 0, do: 'kill', who: 'keeper2' });
    for (let i = 0; i < changesWhileAway; i += 1) await mustTakeQuietly(i);
    await fleet.fault({ at: 0, do: 'restart', who: 'keeper2' });
    await mustVote('keeper2', `after ${changesWhileAway} changes`);
    await fleet.fault({ at: 0, do: 'kill', who: 'keeper0' });
    await mustTake('with keeper0 killed after keeper2 had come back', ['agent2']);
    await operators.get('agent2');
  }
  async function mustTakeQuietly(n: number): Promise<void> {
    if (!(await operators.change(agents)))
      breaches.push({ check: 'majorityTakesOrders', what: `change ${n} with keeper2 away was not taken` });
  }

  try {
    await fleet.serve();
    o.say('the fleet serves');
    await operators.noteInitial('agent1');
    await mustTake('at first', agents);
    await playCut('isolate', 0);
    await playCut('one-way', 1);
    await playCut('freeze', 2);
    await playRaces();
    await playLosses();
    await playChanges();
  } finally {
    await fleet.stop();
  }
  const { history } = operators;
  const orders = history.calls.filter((c) => c.kind === 'put');
  return {
    breaches: [...breaches, ...judges.flatMap((judge) => judge(history))],
    orders: orders.length,
    taken: orders.filter((c) => c.code === 200).length,
    reads: history.calls.length - orders.length,
    figures,
  };
}

/** Where the logs and data of a scenario go. */
export function scenarioFolder(): string {
  return join('runs', `control-${process.pid}`);
}
