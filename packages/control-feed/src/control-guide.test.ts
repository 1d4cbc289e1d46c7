import { expect, it } from 'vitest';
import type { Address, Message, MessageOf } from '@tansypost/inner-protocol';
import { createControlGateway } from './control-guide.js';

const self = 'gateway:1' as Address;
const stranger = 'stranger:1' as Address;
const replicas = ['a:1', 'b:1'].map((address, slot) => ({ slot, address, disk: `disk ${slot}` }));
const join: MessageOf<'Join'> = { kind: 'Join', from: stranger, disk: 'new', first: false, caughtUp: false };

function follow(membershipEpoch: number): MessageOf<'Follow'> {
  const asked = { key: 'paths/main', version: 0, list: 0, peers: -1, confirmOnly: false, takesPatches: true, asked: 1 };
  return { kind: 'Follow', membershipEpoch, ...asked };
}

function guide(membershipEpoch: number) {
  const sent: [Address, Message][] = [];
  const known = { membershipEpoch, replicas: membershipEpoch === 0 ? [] : replicas };
  const take = createControlGateway(
    { send: (to, message) => sent.push([to, message]) },
    { self, membership: () => known, firstStart: true },
  );
  return { take, sent };
}

it('shows the replicas to a follower that does not know them, and nothing else', () => {
  const { take, sent } = guide(7);
  expect(take(follow(3), stranger)).toBe(true);
  expect(sent).toEqual([[stranger, { kind: 'News', news: [], membershipEpoch: 7, replicas }]]);
  expect(take(follow(7), stranger)).toBe(true);
  expect(sent.length).toBe(1);
});

it('passes the wish to join on to the replicas, and knows nobody to pass it on to at first', () => {
  const { take, sent } = guide(7);
  take(join, stranger);
  expect(sent.map(([to, message]) => [to, message])).toEqual([
    ['a:1', join],
    ['b:1', join],
  ]);
  const blank = guide(0);
  expect([blank.take(follow(0), stranger), blank.sent]).toEqual([true, []]);
});

it('tells machines with disks of each other while it knows no replica, and lists those of the first start only', () => {
  const { take, sent } = guide(0);
  take({ ...join, first: true }, stranger);
  take({ ...join, from: 'late:1' as Address, disk: 'other', first: false }, 'late:1' as Address);
  const listed = {
    kind: 'FoundingRoster',
    from: self,
    firstStart: true,
    candidates: [{ address: stranger, disk: 'new' }],
  };
  expect(sent).toEqual([
    [stranger, listed],
    ['late:1', listed],
  ]);
});

it('tells a replica that it holds no state, and leaves all other messages to the rest of the process', () => {
  const { take, sent } = guide(0);
  take({ kind: 'ReplicaHello', from: stranger } as unknown as MessageOf<'ReplicaHello'>, stranger);
  expect(sent).toEqual([[stranger, { kind: 'HoldsNoState', from: self }]]);
  expect(take({ kind: 'Reading', reads: [] }, stranger)).toBe(false);
});
