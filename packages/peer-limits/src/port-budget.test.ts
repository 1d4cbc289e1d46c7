/** The budget of a port under any order of events: its limits hold, and those that make the least progress give way. */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createPortBudget, type ConnectionPhase, type PeerConnection, type PortLimits } from './port-budget.js';

const limits: PortLimits = { maxConnections: 12, maxPendingBytes: 1000, maxRequestBytes: 1000 };

interface Step {
  readonly what: 'open' | 'close' | 'report' | 'enter' | 'begin' | 'end';
  readonly who: number;
  readonly bytes: number;
  readonly phase: ConnectionPhase;
  readonly elapsedMs: number;
}
const step: fc.Arbitrary<Step> = fc.record({
  what: fc.constantFrom('open', 'open', 'close', 'report', 'report', 'enter', 'begin', 'end'),
  who: fc.nat(50),
  bytes: fc.nat(600),
  phase: fc.constantFrom<ConnectionPhase>('idle', 'head', 'body', 'request', 'answer'),
  elapsedMs: fc.nat(900),
});

/** Plays one step; returns the connections that it closes. */
function playStep({ budget, open, requests, now }: PlayState, { what, who, bytes, phase }: Step): PeerConnection[] {
  const connection = open[who % Math.max(1, open.length)];
  if (what === 'open') open.push(budget.open(now));
  if (what === 'end') {
    const ended = requests.pop();
    if (ended !== undefined) budget.endRequest(ended.connection, ended.bytes);
  }
  if (connection === undefined) return [];
  if (what === 'close') return [connection];
  if (what === 'report') budget.report(connection, bytes, bytes, now);
  if (what === 'enter') budget.enter(connection, phase, now);
  if (what === 'begin' && budget.beginRequest(connection, bytes)) requests.push({ connection, bytes });
  return [];
}

/** Plays steps as a guard would: after each of them the connections in excess are closed. */
function play(steps: readonly Step[], check: (state: PlayState) => void): void {
  const state: PlayState = { budget: createPortBudget(limits), open: [], requests: [], now: 0 };
  for (const next of steps) {
    state.now += next.elapsedMs;
    const closed = [...playStep(state, next), ...state.budget.excess(state.now)];
    for (const gone of new Set(closed)) {
      state.budget.close(gone);
      state.open.splice(state.open.indexOf(gone), 1);
    }
    check(state);
  }
}
interface PlayState {
  readonly budget: ReturnType<typeof createPortBudget>;
  readonly open: PeerConnection[];
  readonly requests: { connection: PeerConnection; bytes: number }[];
  now: number;
}
function isBusy(connection: PeerConnection): boolean {
  return connection.requests > 0 && connection.phase !== 'answer';
}

it('keeps its limits, but for what a single peer holds and for requests in progress', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      play(steps, ({ budget, open, requests, now }) => {
        if (budget.excess(now).length > 0) return;
        const usage = budget.usage();
        const holders = open.filter(({ pendingBytes }) => pendingBytes > 0);
        const idle = open.filter((connection) => !isBusy(connection));
        expect(usage.connections <= limits.maxConnections || idle.length === 0).toBe(true);
        const free = holders.filter((connection) => !isBusy(connection));
        expect(usage.pendingBytes <= limits.maxPendingBytes || free.length === 0 || holders.length === 1).toBe(true);
        expect(
          usage.requestBytes <= limits.maxRequestBytes || requests.filter(({ bytes }) => bytes > 0).length <= 1,
        ).toBe(true);
      });
    }),
    { numRuns: 500 },
  );
});

it('counts exactly what its connections and requests hold', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 100 }), (steps) => {
      play(steps, ({ budget, open, requests }) => {
        const usage = budget.usage();
        expect(usage.connections).toBe(open.length);
        expect(usage.pendingBytes).toBe(open.reduce((sum, { pendingBytes }) => sum + pendingBytes, 0));
        expect(usage.requests).toBe(requests.length);
        expect(usage.requestBytes).toBe(requests.reduce((sum, { bytes }) => sum + bytes, 0));
      });
    }),
  );
});

it('closes stalled connections before one that makes progress, however much the crowd holds', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 2, maxLength: 12 }), (crowd) => {
      const budget = createPortBudget(limits);
      const stalled = crowd.map((bytes) => {
        const connection = budget.open(0);
        budget.enter(connection, 'body', 0);
        budget.report(connection, bytes, bytes, 0);
        for (const gone of budget.excess(0)) budget.close(gone);
        return connection;
      });
      const ordinary = budget.open(5000);
      budget.enter(ordinary, 'body', 5000);
      for (let at = 5000; at < 9000; at += 500) {
        budget.report(ordinary, (at - 4900) / 10, 50, at);
        const closed = budget.excess(at);
        expect(closed).not.toContain(ordinary);
        for (const gone of closed) budget.close(gone);
      }
      expect(stalled).not.toContain(ordinary);
    }),
  );
});

it('lets a newcomer in where all others hold an unfinished head or nothing, and they gave way', () => {
  const budget = createPortBudget(limits);
  for (let index = 0; index < limits.maxConnections; index += 1) budget.open(0);
  const newcomer = budget.open(3000);
  const closed = budget.excess(3000);
  expect(closed.length).toBeGreaterThan(0);
  expect(closed).not.toContain(newcomer);
});

it('closes connections that were never served before kept ones', () => {
  const budget = createPortBudget(limits);
  const kept = Array.from({ length: limits.maxConnections - 2 }, () => budget.open(0));
  for (const connection of kept) budget.markServed(connection);
  const unserved = [budget.open(10), budget.open(10)];
  budget.open(5000);
  const closed = budget.excess(5000);
  expect(closed.slice(0, 2)).toEqual(unserved);
});

it('refuses the larger request first, and never a single one', () => {
  const budget = createPortBudget(limits);
  const connection = budget.open(0);
  expect(budget.beginRequest(connection, 5000)).toBe(true);
  expect(budget.beginRequest(connection, 1)).toBe(false);
  budget.endRequest(connection, 5000);
  expect(budget.beginRequest(connection, 600)).toBe(true);
  expect(budget.beginRequest(connection, 300)).toBe(false);
  expect(budget.beginRequest(connection, 100)).toBe(true);
});

it('names connections that stay too long in a phase; reading output starts the time anew', () => {
  const budget = createPortBudget(limits);
  const timeouts = { body: 1000, answer: 1000 };
  const [body, answer, idle] = [budget.open(0), budget.open(0), budget.open(0)];
  budget.enter(body, 'body', 0);
  budget.report(body, 10, 10, 900);
  budget.enter(answer, 'answer', 0);
  budget.report(answer, 10, 10, 900);
  expect(budget.overdue(1001, timeouts)).toEqual([body]);
  expect(budget.overdue(1901, timeouts)).toEqual([body, answer]);
  expect(budget.overdue(1e9, timeouts)).not.toContain(idle);
});

it('names output that is not read when a request finds no room', () => {
  const budget = createPortBudget(limits);
  const [unread, reading] = [budget.open(0), budget.open(0)];
  for (const connection of [unread, reading]) {
    budget.beginRequest(connection, 1);
    budget.enter(connection, 'answer', 0);
    budget.report(connection, 100, 0, 0);
  }
  budget.report(reading, 90, 10, 2500);
  expect(budget.unread(3000)).toEqual([unread]);
});
