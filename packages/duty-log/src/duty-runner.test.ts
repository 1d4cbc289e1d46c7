/**
 * One runner in virtual time with a granted lease: what it writes and calls, in which order and pace, and what it does
 * with each kind of answer. What must hold of several nodes under faults is in the model checker's duties.
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
const answerTime = 10_000;

interface SeenCall extends DutyCall {
  readonly at: number;
}

interface Scene {
  /** What is owed, by duty. */
  readonly owed: Map<string, PlannedCall[]>;
  /** `never` is no answer at all. */
  answer: (call: DutyCall) => CallOutcome | 'never';
  writable: boolean;
}

/** What is owed of each subject beyond the newest that the record knows of; contents are rising numbers. */
function planOf(owed: readonly PlannedCall[]): (record: DutyRecord) => PlannedCall[] {
  return function plan(record) {
    const known = [...record.open, ...record.outcomes];
    return owed.filter(
      (call) => !known.some((entry) => entry.subject === call.subject && Number(entry.content) >= Number(call.content)),
    );
  };
}

function createScene(duties: readonly Pick<Duty, 'name' | 'maySupersede'>[], callsPerSecond = 4) {
  const clock = createVirtualClock();
  const scene: Scene = {
    owed: new Map(duties.map(({ name }) => [name, []])),
    answer: () => 'accepted',
    writable: true,
  };
  const stored = new Map<string, StoredVersion>();
  const calls: SeenCall[] = [];
  const voter = createVoter(clock.world, {
    slot: () => 0,
    diskId: () => 'disk',
    isVoting: () => true,
    votingSince: () => -leaseDuration,
    membershipEpoch: () => 1,
    leaseDuration,
    store: { epoch: () => 0, save: (_duty, _epoch, done) => done(true) },
  });

  function newest(key: string): StoredVersion {
    return stored.get(key) ?? { version: 0, value: Buffer.alloc(0) };
  }
  function recordOf(key: string): StoredValue {
    async function write(base: number, value: Buffer): Promise<number | undefined> {
      if (!scene.writable || newest(key).version !== base) return undefined;
      stored.set(key, { version: base + 1, value });
      return base + 1;
    }
    return { read: async () => newest(key), write };
  }
  function call(made: DutyCall): Promise<CallOutcome> {
    calls.push({ ...made, at: clock.world.now() });
    const outcome = scene.answer(made);
    return new Promise((done) => {
      if (outcome !== 'never') clock.world.after(micros(answerTime), () => done(outcome));
    });
  }
  function send(_to: Address, message: Message): void {
    if (message.kind === 'Ballot') voter.requestVote(message, runner.handleVote);
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
      duties: duties.map((duty) => ({ ...duty, plan: (record) => planOf(scene.owed.get(duty.name)!)(record) })),
      record: recordOf,
      port: { call },
    },
  );
  function recordNow(duty: string): DutyRecord {
    const read = decodeDutyRecord(newest(dutyRecordKey(duty)).value);
    if (read._tag === 'Left') throw new Error(read.left);
    return read.right;
  }
  function events(event: number): number {
    return clock.logged.filter((entry) => entry.event === event).length;
  }
  return { clock, scene, calls, stored, runner, recordNow, events };
}

function windows(first: number, last: number): PlannedCall[] {
  const planned: PlannedCall[] = [];
  for (let window = first; window <= last; window += 1) planned.push({ subject: 'all', content: `${window}` });
  return planned;
}

const usage = { name: 'usage', maySupersede: false };
const scale = { name: 'scale', maySupersede: true };

it('makes calls in order under the fence of its term, and notes each outcome', async () => {
  const { clock, scene, calls, recordNow, events } = createScene([usage]);
  scene.owed.set('usage', [
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
  expect(events(3103)).toBe(1);
});

it('repeats a call without an answer to the letter, after pauses that grow, and reports it', async () => {
  const { clock, scene, calls, events, runner } = createScene([usage]);
  scene.owed.set('usage', windows(1, 2));
  scene.answer = () => 'never';
  await clock.runTo(40 * second);
  expect(new Set(calls.map(({ content, fence }) => `${content} ${fence}`))).toEqual(new Set(['1 1']));
  const gaps = calls.slice(1).map(({ at }, index) => at - calls[index]!.at);
  expect(gaps.length).toBeGreaterThan(4);
  expect(gaps.length).toBeLessThan(12);
  expect(gaps.at(-1)).toBeGreaterThan(2 * gaps[0]!);
  expect(events(3104)).toBe(2);
  const { fence, open } = runner.status().duties[0]!;
  expect([fence, open.length, open[0]!.failures >= 5, open[0]!.age > 30 * second]).toEqual([1, 2, true, true]);
  scene.answer = () => 'accepted';
  await clock.runTo(50 * second);
  expect(calls.slice(-2).map((call) => call.content)).toEqual(['1', '2']);
});

it('catches up in order within its pace, also beyond what the record holds', async () => {
  const { clock, scene, calls, recordNow, runner } = createScene([usage]);
  scene.owed.set('usage', windows(1, 40));
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

it('lets a duty whose calls are dark or refused for now hold up no other', async () => {
  for (const outcome of ['never', 'busy', 'unknown'] as const) {
    const { clock, scene, calls } = createScene([usage, scale]);
    scene.owed.set('usage', windows(1, 3));
    scene.answer = ({ duty }) => (duty === 'usage' ? outcome : 'accepted');
    await clock.runTo(10 * second);
    scene.owed.set('scale', [{ subject: 'a', content: '5' }]);
    await clock.runTo(11 * second);
    expect([outcome, calls.filter(({ duty }) => duty === 'scale').length]).toEqual([outcome, 1]);
  }
});

it('gives each of two duties its share of the pace', async () => {
  const { clock, scene, calls } = createScene([usage, scale]);
  scene.owed.set('usage', windows(1, 16));
  scene.owed.set(
    'scale',
    windows(1, 16).map(({ content }) => ({ subject: `s${content}`, content })),
  );
  await clock.runTo(5 * second);
  const counts = ['usage', 'scale'].map((name) => calls.filter(({ duty }) => duty === name).length);
  expect(Math.abs(counts[0]! - counts[1]!)).toBeLessThanOrEqual(1);
  expect(counts[0]).toBeGreaterThan(5);
});

it('ends its term at once when a higher fence was seen, and takes a higher one only later, after reading', async () => {
  const { clock, scene, calls, events, runner } = createScene([usage]);
  scene.owed.set('usage', windows(1, 1));
  scene.answer = ({ fence }) => (fence === 1 ? 'fenced' : 'accepted');
  await clock.runTo(2 * second);
  expect([calls.length, events(3105), runner.status().duties[0]!.fence]).toEqual([1, 1, undefined]);
  await clock.runTo(10 * second);
  expect(calls.map(({ content, fence }) => [content, fence > 1])).toEqual([
    ['1', false],
    ['1', true],
  ]);
  expect(calls[1]!.at - calls[0]!.at).toBeGreaterThan(3 * second);
});

it('closes a call that is refused for good, and says so', async () => {
  const { clock, scene, calls, events, recordNow } = createScene([usage]);
  scene.owed.set('usage', windows(1, 2));
  scene.answer = ({ content }) => (content === '1' ? 'refused' : 'accepted');
  await clock.runTo(5 * second);
  expect(calls.map(({ content }) => content)).toEqual(['1', '2']);
  expect([events(3106), recordNow('usage').open]).toEqual([1, []]);
});

it('makes no call that is not written down, and none by a record that cannot be read', async () => {
  const unwritten = createScene([usage]);
  unwritten.scene.owed.set('usage', windows(1, 1));
  unwritten.scene.writable = false;
  await unwritten.clock.runTo(10 * second);
  expect(unwritten.calls).toEqual([]);
  unwritten.scene.writable = true;
  await unwritten.clock.runTo(12 * second);
  expect(unwritten.calls).toHaveLength(1);

  const unreadable = createScene([usage, scale]);
  unreadable.stored.set(dutyRecordKey('usage'), { version: 3, value: Buffer.from('{') });
  for (const name of ['usage', 'scale']) unreadable.scene.owed.set(name, windows(1, 1));
  await unreadable.clock.runTo(10 * second);
  expect(unreadable.calls.map(({ duty }) => duty)).toEqual(['scale']);
  expect(unreadable.events(3107)).toBe(1);
});

it('finishes what its predecessor left open, under a higher fence', async () => {
  const { clock, stored, calls, scene } = createScene([usage]);
  const left: DutyRecord = {
    term: { holder: 'c1', id: 'x' },
    lastIntent: 4,
    open: [{ id: 4, subject: 'all', content: 'as it was' }],
    outcomes: [],
  };
  stored.set(dutyRecordKey('usage'), { version: 9, value: encodeDutyRecord(left) });
  scene.owed.set('usage', windows(1, 1));
  await clock.runTo(5 * second);
  expect(calls.map(({ content, fence }) => [content, fence])).toEqual([
    ['as it was', 10],
    ['1', 10],
  ]);
});

it('lets a newer order overtake an open one, under a higher fence if that got no answer', async () => {
  const { clock, scene, calls, events } = createScene([scale]);
  scene.owed.set('scale', [{ subject: 'a', content: '5' }]);
  scene.answer = () => 'never';
  await clock.runTo(3.5 * second);
  scene.owed.set('scale', [{ subject: 'a', content: '6' }]);
  scene.answer = () => 'accepted';
  await clock.runTo(10 * second);
  const [first, last] = [calls[0]!, calls.at(-1)!];
  expect([first.content, last.content, last.fence > first.fence, events(3108)]).toEqual(['5', '6', true, 1]);
  expect(calls.filter(({ content }) => content === '6')).toHaveLength(1);
});

it('does nothing more once it is stopped', async () => {
  const { clock, scene, calls, runner, stored } = createScene([usage]);
  scene.owed.set('usage', windows(1, 5));
  scene.answer = () => 'unknown';
  await clock.runTo(2 * second);
  runner.stop();
  const before = [calls.length, stored.get(dutyRecordKey('usage'))!.version];
  await clock.runTo(20 * second);
  expect([calls.length, stored.get(dutyRecordKey('usage'))!.version]).toEqual(before);
});
