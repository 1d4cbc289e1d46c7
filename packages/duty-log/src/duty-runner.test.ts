/**
 * One runner in virtual time that always gets the lease: what it writes and calls, in which order and at which rate, and
 * how it handles each kind of answer. The model checker's duties cover several nodes with faults.
 */
import { expect, it } from 'vitest';
import type { StoredValue, StoredVersion } from '@tansypost/control-feed';
import { createVoter } from '@tansypost/duty';
import { createVirtualClock, micros, type Address, type Message } from '@tansypost/inner-protocol';
import { createDutyRunner } from './duty-runner.js';
import { encodeDutyRecord, dutyRecordKey, maxOpenIntents, decodeDutyRecord, type DutyRecord } from './duty-record.js';
import type { CallOutcome, Duty, DutyCall, PlannedCall } from './ports.js';

const second = 1_000_000;
const leaseDuration = 4.5 * second;
const answerDelay = 10_000;

interface RecordedCall extends DutyCall {
  readonly at: number;
}

interface Scene {
  /** The calls to make, by duty. */
  readonly wanted: Map<string, PlannedCall[]>;
  /** How the platform answers; `never` stands for no answer at all. */
  answer: (call: DutyCall) => CallOutcome | 'never';
  writable: boolean;
}

/** Plans the wanted calls that are newer than those in the record for their subject; contents are increasing numbers. */
function planOf(wanted: readonly PlannedCall[]): (record: DutyRecord) => PlannedCall[] {
  return function plan(record) {
    const known = [...record.open, ...record.outcomes];
    return wanted.filter(
      (call) => !known.some((entry) => entry.subject === call.subject && Number(entry.content) >= Number(call.content)),
    );
  };
}

function createScene(duties: readonly Pick<Duty, 'name' | 'maySupersede'>[], callsPerSecond = 4) {
  const clock = createVirtualClock();
  const scene: Scene = {
    wanted: new Map(duties.map(({ name }) => [name, []])),
    answer: () => 'accepted',
    writable: true,
  };
  const stored = new Map<string, StoredVersion>();
  const calls: RecordedCall[] = [];
  const voter = createVoter(clock.world, {
    slot: () => 0,
    diskId: () => 'disk',
    isVoting: () => true,
    votingSince: () => -leaseDuration,
    membershipEpoch: () => 1,
    leaseDuration,
    store: { epoch: () => 0, save: (_duty, _epoch, done) => done(true) },
  });

  function newestVersion(key: string): StoredVersion {
    return stored.get(key) ?? { version: 0, value: Buffer.alloc(0) };
  }
  function recordOf(key: string): StoredValue {
    async function write(base: number, value: Buffer): Promise<number | undefined> {
      if (!scene.writable || newestVersion(key).version !== base) return undefined;
      stored.set(key, { version: base + 1, value });
      return base + 1;
    }
    return { read: async () => newestVersion(key), write };
  }
  function call(request: DutyCall): Promise<CallOutcome> {
    calls.push({ ...request, at: clock.world.now() });
    const outcome = scene.answer(request);
    return new Promise((resolve) => {
      if (outcome !== 'never') clock.world.after(micros(answerDelay), () => resolve(outcome));
    });
  }
  function send(_to: Address, message: Message): void {
    if (message.kind === 'Ballot') voter.requestVote(message, runner.receiveVote);
  }
  const runner = createDutyRunner(
    { ...clock.world, send },
    {
      member: 'c0',
      self: 'c0:1' as Address,
      slot: () => 0,
      replicas: () => ({ membershipEpoch: 1, replicas: [{ slot: 0, address: 'c0:1', disk: 'disk' }] }),
      isEligible: () => true,
      leaseDuration,
      minTakeoverGap: 3 * second,
      callsPerSecond,
      callTimeout: 2 * second,
      duties: duties.map((duty) => ({ ...duty, plan: (record) => planOf(scene.wanted.get(duty.name)!)(record) })),
      record: recordOf,
      port: { call },
    },
  );
  function recordNow(duty: string): DutyRecord {
    const decoded = decodeDutyRecord(newestVersion(dutyRecordKey(duty)).value);
    if (decoded._tag === 'Left') throw new Error(decoded.left);
    return decoded.right;
  }
  function countEvents(event: number): number {
    return clock.logged.filter((entry) => entry.event === event).length;
  }
  return { clock, scene, calls, stored, runner, recordNow, countEvents };
}

function windows(first: number, last: number): PlannedCall[] {
  const planned: PlannedCall[] = [];
  for (let window = first; window <= last; window += 1) planned.push({ subject: 'all', content: `${window}` });
  return planned;
}

const usage = { name: 'usage', maySupersede: false };
const scale = { name: 'scale', maySupersede: true };

it('makes calls in order with the fence of its term, and records each outcome', async () => {
  const { clock, scene, calls, recordNow, countEvents } = createScene([usage]);
  scene.wanted.set('usage', [
    { subject: 'a', content: '1' },
    { subject: 'b', content: '2' },
  ]);
  await clock.runTo(5 * second);
  expect(calls.map(({ subject, content, fence, holder }) => [subject, content, fence, holder])).toEqual([
    ['a', '1', 1, 'c0'],
    ['b', '2', 1, 'c0'],
  ]);
  const { open, outcomes } = recordNow('usage');
  expect([open, outcomes.map(({ content, outcome }) => [content, outcome])]).toEqual([
    [],
    [
      ['1', 'accepted'],
      ['2', 'accepted'],
    ],
  ]);
  expect(countEvents(3103)).toBe(1);
});

it('retries a call without an answer unchanged, with increasing backoff, and logs it as overdue', async () => {
  const { clock, scene, calls, countEvents, runner } = createScene([usage]);
  scene.wanted.set('usage', windows(1, 2));
  scene.answer = () => 'never';
  await clock.runTo(40 * second);
  expect(new Set(calls.map(({ content, fence }) => `${content} ${fence}`))).toEqual(new Set(['1 1']));
  const gaps = calls.slice(1).map(({ at }, index) => at - calls[index]!.at);
  expect(gaps.length).toBeGreaterThan(4);
  expect(gaps.length).toBeLessThan(12);
  expect(gaps.at(-1)).toBeGreaterThan(2 * gaps[0]!);
  expect(countEvents(3104)).toBe(2);
  const { fence, open } = runner.status().duties[0]!;
  expect([fence, open.length, open[0]!.failures >= 5, open[0]!.age > 30 * second]).toEqual([1, 2, true, true]);
  scene.answer = () => 'accepted';
  await clock.runTo(50 * second);
  expect(calls.slice(-2).map((call) => call.content)).toEqual(['1', '2']);
});

it('catches up in order within the rate limit, including calls that did not fit into the record', async () => {
  const { clock, scene, calls, recordNow, runner } = createScene([usage]);
  scene.wanted.set('usage', windows(1, 40));
  scene.answer = () => 'busy';
  await clock.runTo(10 * second);
  scene.answer = () => 'accepted';
  const before = calls.length;
  expect(recordNow('usage').open).toHaveLength(maxOpenIntents);
  expect(runner.status().duties[0]!.waiting).toBe(40 - maxOpenIntents);
  await clock.runTo(30 * second);
  const accepted = calls.slice(before);
  expect(accepted.map((call) => Number(call.content))).toEqual(windows(1, 40).map(({ content }) => Number(content)));
  expect(recordNow('usage').open).toEqual([]);
  for (const [index, { at }] of calls.entries()) {
    const next = calls[index + 4];
    if (next !== undefined) expect(next.at - at).toBeGreaterThanOrEqual(second);
  }
});

it('does not let a duty whose calls are unanswered or rejected for now block another duty', async () => {
  for (const outcome of ['never', 'busy', 'unknown'] as const) {
    const { clock, scene, calls } = createScene([usage, scale]);
    scene.wanted.set('usage', windows(1, 3));
    scene.answer = ({ duty }) => (duty === 'usage' ? outcome : 'accepted');
    await clock.runTo(10 * second);
    scene.wanted.set('scale', [{ subject: 'a', content: '5' }]);
    await clock.runTo(11 * second);
    expect([outcome, calls.filter(({ duty }) => duty === 'scale').length]).toEqual([outcome, 1]);
  }
});

it('shares the rate limit evenly between two duties', async () => {
  const { clock, scene, calls } = createScene([usage, scale]);
  scene.wanted.set('usage', windows(1, 16));
  scene.wanted.set(
    'scale',
    windows(1, 16).map(({ content }) => ({ subject: `s${content}`, content })),
  );
  await clock.runTo(5 * second);
  const counts = ['usage', 'scale'].map((name) => calls.filter(({ duty }) => duty === name).length);
  expect(Math.abs(counts[0]! - counts[1]!)).toBeLessThanOrEqual(1);
  expect(counts[0]).toBeGreaterThan(5);
});

it('ends its term at once when the platform has seen a higher fence, and acquires a new term only after the hold-off', async () => {
  const { clock, scene, calls, countEvents, runner } = createScene([usage]);
  scene.wanted.set('usage', windows(1, 1));
  scene.answer = ({ fence }) => (fence === 1 ? 'fenced' : 'accepted');
  await clock.runTo(2 * second);
  expect([calls.length, countEvents(3105), runner.status().duties[0]!.fence]).toEqual([1, 1, undefined]);
  await clock.runTo(10 * second);
  expect(calls.map(({ content, fence }) => [content, fence > 1])).toEqual([
    ['1', false],
    ['1', true],
  ]);
  expect(calls[1]!.at - calls[0]!.at).toBeGreaterThan(3 * second);
});

it('closes a call that is permanently refused, and logs it', async () => {
  const { clock, scene, calls, countEvents, recordNow } = createScene([usage]);
  scene.wanted.set('usage', windows(1, 2));
  scene.answer = ({ content }) => (content === '1' ? 'refused' : 'accepted');
  await clock.runTo(5 * second);
  expect(calls.map(({ content }) => content)).toEqual(['1', '2']);
  expect([countEvents(3106), recordNow('usage').open]).toEqual([1, []]);
});

it('makes no call that is not recorded, and none based on a record that cannot be decoded', async () => {
  const unwritten = createScene([usage]);
  unwritten.scene.wanted.set('usage', windows(1, 1));
  unwritten.scene.writable = false;
  await unwritten.clock.runTo(10 * second);
  expect(unwritten.calls).toEqual([]);
  unwritten.scene.writable = true;
  await unwritten.clock.runTo(12 * second);
  expect(unwritten.calls).toHaveLength(1);

  const unreadable = createScene([usage, scale]);
  unreadable.stored.set(dutyRecordKey('usage'), { version: 3, value: Buffer.from('{') });
  for (const name of ['usage', 'scale']) unreadable.scene.wanted.set(name, windows(1, 1));
  await unreadable.clock.runTo(10 * second);
  expect(unreadable.calls.map(({ duty }) => duty)).toEqual(['scale']);
  expect(unreadable.countEvents(3107)).toBe(1);
});

it('finishes the calls that its predecessor left open, with a higher fence', async () => {
  const { clock, stored, calls, scene } = createScene([usage]);
  const predecessorRecord: DutyRecord = {
    term: { holder: 'c1', id: 'x' },
    lastIntent: 4,
    open: [{ id: 4, subject: 'all', content: 'as it was' }],
    outcomes: [],
  };
  stored.set(dutyRecordKey('usage'), { version: 9, value: encodeDutyRecord(predecessorRecord) });
  scene.wanted.set('usage', windows(1, 1));
  await clock.runTo(5 * second);
  expect(calls.map(({ content, fence }) => [content, fence])).toEqual([
    ['as it was', 10],
    ['1', 10],
  ]);
});

it('lets a newer order supersede an open one, with a higher fence if that one got no answer', async () => {
  const { clock, scene, calls, countEvents } = createScene([scale]);
  scene.wanted.set('scale', [{ subject: 'a', content: '5' }]);
  scene.answer = () => 'never';
  await clock.runTo(3.5 * second);
  scene.wanted.set('scale', [{ subject: 'a', content: '6' }]);
  scene.answer = () => 'accepted';
  await clock.runTo(10 * second);
  const [first, last] = [calls[0]!, calls.at(-1)!];
  expect([first.content, last.content, last.fence > first.fence, countEvents(3108)]).toEqual(['5', '6', true, 1]);
  expect(calls.filter(({ content }) => content === '6')).toHaveLength(1);
});

it('does nothing after it is stopped', async () => {
  const { clock, scene, calls, runner, stored } = createScene([usage]);
  scene.wanted.set('usage', windows(1, 5));
  scene.answer = () => 'unknown';
  await clock.runTo(2 * second);
  runner.stop();
  const before = [calls.length, stored.get(dutyRecordKey('usage'))!.version];
  await clock.runTo(20 * second);
  expect([calls.length, stored.get(dutyRecordKey('usage'))!.version]).toEqual(before);
});
