/** When an agent passes feed leases on to its router: only once its stored worker states are known to be current. */
import {
  micros,
  type Address,
  type MemberEntry,
  type Message,
  type MessageOf,
  type WorkerStateEntry,
} from '@tansypost/inner-protocol';
import { expect, it } from 'vitest';
import { agentDefaults, createAgentCore, type AgentCore } from './agent-core.js';

function createFixture(
  marks: readonly WorkerStateEntry[],
  entries: readonly MemberEntry[],
): {
  agent: AgentCore;
  step: (durationUs: number) => void;
  isLeasePassedOn: () => boolean;
  deliver: (message: Message, from: string) => void;
} {
  let now = 0;
  let timers: { at: number; task: () => void }[] = [];
  let feeds: MessageOf<'Feed'>[] = [];
  const replicas = [0, 1, 2].map((slot) => ({ slot, address: `keeper${slot}:1`, disk: `d${slot}` }));
  const agent = createAgentCore(
    {
      now: () => micros(now),
      random: () => 0.3,
      log: () => undefined,
      send: (_address, message) => {
        if (message.kind === 'Feed') feeds.push(message);
      },
      after: (delay, task) => {
        const timer = { at: now + delay, task };
        timers.push(timer);
        return () => {
          timers = timers.filter((other) => other !== timer);
        };
      },
    },
    {
      ...agentDefaults,
      member: 'a1',
      self: 'a1:1' as Address,
      zone: 'z',
      routerAddress: 'r1:1' as Address,
      routerHttpAddress: 'r1',
      service: 'main',
      seeds: [],
      slot: 1,
      incarnation: 9,
      persisted: { entries, marks, membershipEpoch: 1, replicas },
    },
    {
      fetchReport: async () => undefined,
      orderStage: async () => undefined,
      trainer: { add: () => undefined, train: async () => Buffer.alloc(0) },
      save: () => undefined,
      wallClockUs: () => now,
    },
  );
  function step(durationUs: number): void {
    const end = now + durationUs;
    for (;;) {
      const next = timers.filter((timer) => timer.at <= end).sort((left, right) => left.at - right.at)[0];
      if (next === undefined) break;
      timers = timers.filter((timer) => timer !== next);
      now = next.at;
      next.task();
    }
    now = end;
  }
  function deliver(message: Message, from: string): void {
    agent.receive(message, from as Address);
  }
  // The router asks for a lease and the control cluster grants it; tells whether the agent passes it on to the router.
  function isLeasePassedOn(): boolean {
    deliver(
      {
        kind: 'RouterState',
        router: 'r1#1',
        http: 'r1',
        asked: now,
        applied: 1,
        first: 0,
        extra: 0,
        allowance: 0,
        arms: [],
        have: [],
      },
      'r1:1',
    );
    deliver({ kind: 'Leases', grants: [{ router: 'r1#1', asked: now, version: 1 }] }, 'keeper0:1');
    const isPassedOn = feeds.at(-1)!.grants.length > 0;
    feeds = [];
    return isPassedOn;
  }
  return { agent, step, isLeasePassedOn, deliver };
}
const storedState: WorkerStateEntry = { worker: 'w', incarnation: 1, state: 1, address: 'w:1' };
function entry(member: string, beat: number): MemberEntry {
  return { member, address: `${member}:1`, zone: 'z', born: 1, beat, http: member, tenured: true };
}
function gossipExchange(beat: number): Message {
  return {
    kind: 'Shuffle',
    answer: false,
    from: 'a2:1',
    entries: [entry('a2', beat), entry('a3', beat)],
    membershipEpoch: 1,
    replicas: [],
    duties: [],
  };
}
it('gives its router no lease on stored worker states until it has compared them with a current member', () => {
  const fixture = createFixture([storedState], [entry('a2', 0), entry('a3', 0)]);
  fixture.step(200_000);
  expect(fixture.isLeasePassedOn()).toBe(false);
  fixture.deliver(gossipExchange(1), 'a2:1');
  fixture.step(100_000);
  expect(fixture.isLeasePassedOn()).toBe(false);
  fixture.deliver({ kind: 'Marks', marks: [{ ...storedState, worker: 'v' }], whole: false, warm: true }, 'a2:1');
  fixture.deliver({ kind: 'MarksDigest', from: 'a2:1', digest: 'another', answer: false, warm: true }, 'a2:1');
  expect(fixture.isLeasePassedOn()).toBe(false);
  fixture.deliver({ kind: 'Marks', marks: [{ ...storedState, state: 2 }], whole: true, warm: true }, 'a2:1');
  expect(fixture.isLeasePassedOn()).toBe(true);
  expect(fixture.agent.workerStates().find((entry) => entry.worker === 'w')!.state).toBe(2);
});
it('passes leases on after all agents have restarted together, and as the only agent of a fleet', () => {
  const fixture = createFixture([storedState], [entry('a2', 0), entry('a3', 0)]);
  fixture.deliver(gossipExchange(1), 'a2:1');
  fixture.step(1_600_000);
  fixture.deliver(gossipExchange(2), 'a2:1');
  expect(fixture.isLeasePassedOn()).toBe(false);
  fixture.deliver({ kind: 'Marks', marks: [storedState], whole: true, warm: false }, 'a2:1');
  expect(fixture.isLeasePassedOn()).toBe(true);
  const single = createFixture([storedState], []);
  single.step(3_200_000);
  expect(single.isLeasePassedOn()).toBe(true);
});
