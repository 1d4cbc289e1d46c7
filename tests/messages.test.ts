/**
 * One kind of inner message at a time is dropped, repeated, delayed past its successors, or answered with an
 * older one of its kind, all through a run with a replaced core machine, a race of operators and a released
 * worker. Nothing that must never happen may follow from it.
 */
import { describe, expect, it } from 'vitest';
import {
  decoderForOwnSchemas,
  encodeMessage,
  messageKinds,
  type MessageKind,
  type Message,
} from '../packages/inner-protocol/src/index.js';
import {
  passedDeployments,
  playPassedOne,
  runOne,
  type Network,
  type PassedTrouble,
  type SimFault,
} from '../packages/simulator/src/index.js';
import { coldStorage, type Deployment } from '../programs/requester-stand-in/src/index.js';

const small: Deployment = { ...coldStorage, machines: 5, workers: 4 };
const faults: SimFault[] = [
  { at: 1, do: 'race', who: '', for: 1 },
  { at: 2, do: 'replace-core', who: 'keeper1', for: 1 },
  { at: 2.5, do: 'worker-release', who: 'worker1', for: 3 },
  { at: 3, do: 'submit', who: '', for: 1 },
  { at: 4, do: 'kill', who: 'agent2', for: 1 },
];
type Way = 'dropped' | 'repeated' | 'late' | 'stale';

/** Kinds of which so few travel that every second one is changed. */
const fewOnly: ReadonlySet<MessageKind> = new Set(['HoldsNoState']);

function tamper(kind: MessageKind, way: Way, counted: { n: number }): (n: Network) => void {
  let seen = 0;
  const old = new Map<string, Message>();
  return function set(net) {
    net.intercept((m, from, to) => {
      if (m.kind !== kind) return undefined;
      seen += 1;
      if (seen % (fewOnly.has(kind) ? 2 : 3) !== 0) {
        if (seen % 7 === 1) old.set(`${from}>${to}`, m);
        return undefined;
      }
      counted.n += 1;
      if (way === 'dropped') return [];
      if (way === 'repeated') return [{ message: m }, { message: m }];
      if (way === 'late') return [{ message: m, delayUs: 400_000 }];
      const o = old.get(`${from}>${to}`);
      return o === undefined ? undefined : [{ message: o }, { message: m }];
    });
  };
}

// These travel only in some runs of this size; the rest must have been met.
const rare = new Set<MessageKind>([
  'Samples',
  'MarksDigest',
  'CopyAsk',
  'CopyPage',
  'Arms',
  'Marks',
  'Leases',
  'Demand',
  'Reports',
]);

// These travel where traffic is passed on: between the core and its routers, and when a machine of the core asks for
// a place. The kinds of the core itself are met there as well.
const onlyPassed: readonly MessageKind[] = [
  'Beat',
  'ConfigurationPatch',
  'Follow',
  'FoundingRoster',
  'FoundingView',
  'HoldsNoState',
  'Join',
  'WorkerList',
  'WorkerLoads',
  'Peers',
  'Reading',
];
// These travel where usage is reported: packages/usage/src/usage-fleet.test.ts changes each in the same ways.
const ofUsage = new Set<MessageKind>(['UsageAsk', 'UsageTold']);
const passed = new Set<MessageKind>([...onlyPassed, 'Committed', 'News', 'Accept', 'Vote', 'ReplicaHello']);
const troubles: PassedTrouble[] = [
  { at: 1, do: 'config-race', for: 1, who: 0 },
  { at: 2, do: 'core-replaced', for: 2, who: 0.5 },
  { at: 2.5, do: 'release', for: 1, who: 0 },
  { at: 3, do: 'config-change', for: 1, who: 0 },
  { at: 4, do: 'router-kill', for: 1, who: 0.4 },
];

describe.each(['dropped', 'repeated', 'late', 'stale'] as const)('%s', (way) => {
  it.each(messageKinds.filter((kind) => !ofUsage.has(kind)))('%s', async (kind) => {
    const counted = { n: 0 };
    const x = await runOne(small, 5, faults, { span: 10, calm: 16, rate: 5, breakIt: tamper(kind, way, counted) });
    expect(x.breaches).toEqual([]);
    if (!rare.has(kind) && !onlyPassed.includes(kind)) expect(counted.n).toBeGreaterThan(0);
    if (!passed.has(kind)) return;
    counted.n = 0;
    const y = await playPassedOne(passedDeployments['cold-storage']!, 5, {
      troubles,
      closing: 'none',
      span: 10,
      replicas: 3,
      rate: 0.5,
      net: tamper(kind, way, counted),
      // Met only where a machine without control state is among the seeds at the first start.
      ...(kind === 'HoldsNoState' ? { shared: true, gatewaySeeds: 1 } : {}),
      // Met only where no seed of the first start holds control state.
      ...(kind.startsWith('Founding') ? { shared: true, gatewaySeeds: 3 } : {}),
    });
    expect(y.breaches).toEqual([]);
    expect(counted.n).toBeGreaterThan(0);
  });
});

it('serves without a breach while every second machine is of a release that lacks the newest fields', async () => {
  function old(net: Network): void {
    net.intercept((m, from) => {
      if (!/^m[13]$/.test(from)) return undefined;
      if (m.kind === 'Feed') return [{ message: { ...m, contact: false } }];
      if (m.kind === 'RouterState') return [{ message: { ...m, have: [] } }];
      if (m.kind === 'Reports') return [{ message: { ...m, relay: false } }];
      return m.kind === 'Claim' || m.kind === 'MarksDigest' ? [] : undefined;
    });
  }
  const drains = [0, 1, 2, 3, 4].map((i): SimFault => ({ at: 1 + 1.5 * i, do: 'drain', who: `router${i}`, for: 2 }));
  const x = await runOne(small, 6, drains, { span: 12, calm: 14, rate: 8, plain: true, breakIt: old });
  expect(x.breaches).toEqual([]);
  expect(x.history.requests.filter((q) => !['whole', 'unreachable'].includes(q.ended))).toEqual([]);
});

it('calls every cut or lengthened frame bad and every single altered byte either bad or a message of the same kind', () => {
  const decode = decoderForOwnSchemas();
  const m: Message = {
    kind: 'Accept',
    id: 'a',
    from: 'b',
    key: 'desired/main',
    epoch: 9,
    membershipEpoch: 1,
    version: 3,
    value: Buffer.from('{}'),
    changes: ['c@3'],
  };
  const b = encodeMessage(m);
  for (let i = 0; i < b.length; i += 1) {
    expect(decode(b.subarray(0, i))._tag).toBe('Left');
    const x = Buffer.from(b);
    x[i] = x[i]! ^ 0x81;
    expect(() => decode(x)).not.toThrow();
  }
  expect(decode(Buffer.concat([b, Buffer.from([0])]))._tag).toBe('Left');
});
