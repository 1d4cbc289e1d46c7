/**
 * For each kind of internal message in turn, some messages are dropped, repeated, delayed past their successors, or
 * preceded by an older one of the same kind, throughout a run with a replaced control node, concurrent operators and a
 * released worker. No invariant may be violated.
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
type Tampering = 'dropped' | 'repeated' | 'late' | 'stale';

/** Kinds that are so infrequent that every second message is tampered with. */
const infrequentKinds: ReadonlySet<MessageKind> = new Set(['HoldsNoState']);

function tamper(kind: MessageKind, tampering: Tampering, tampered: { count: number }): (network: Network) => void {
  let seen = 0;
  const olderMessages = new Map<string, Message>();
  return function set(network) {
    network.intercept((message, from, to) => {
      if (message.kind !== kind) return undefined;
      seen += 1;
      if (seen % (infrequentKinds.has(kind) ? 2 : 3) !== 0) {
        if (seen % 7 === 1) olderMessages.set(`${from}>${to}`, message);
        return undefined;
      }
      tampered.count += 1;
      if (tampering === 'dropped') return [];
      if (tampering === 'repeated') return [{ message: message }, { message: message }];
      if (tampering === 'late') return [{ message: message, delayUs: 400_000 }];
      const older = olderMessages.get(`${from}>${to}`);
      return older === undefined ? undefined : [{ message: older }, { message: message }];
    });
  };
}

// These kinds occur only in some runs of this size; all others must occur.
const rareKinds = new Set<MessageKind>([
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

// These kinds occur only in pass-through fleets: between control nodes and routers, and when a machine joins the control
// cluster. The kinds within the control cluster occur there as well.
const passThroughOnlyKinds: readonly MessageKind[] = [
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
// These kinds belong to usage reports; packages/usage/src/usage-fleet.test.ts tampers with them in the same ways.
const usageKinds = new Set<MessageKind>(['UsageAsk', 'UsageTold']);
const passThroughKinds = new Set<MessageKind>([
  ...passThroughOnlyKinds,
  'Committed',
  'News',
  'Accept',
  'Vote',
  'ReplicaHello',
]);
const troubles: PassedTrouble[] = [
  { at: 1, do: 'config-race', for: 1, who: 0 },
  { at: 2, do: 'core-replaced', for: 2, who: 0.5 },
  { at: 2.5, do: 'release', for: 1, who: 0 },
  { at: 3, do: 'config-change', for: 1, who: 0 },
  { at: 4, do: 'router-kill', for: 1, who: 0.4 },
];

describe.each(['dropped', 'repeated', 'late', 'stale'] as const)('%s', (tampering) => {
  it.each(messageKinds.filter((kind) => !usageKinds.has(kind)))('%s', async (kind) => {
    const tampered = { count: 0 };
    const result = await runOne(small, 5, faults, {
      span: 10,
      calm: 16,
      rate: 5,
      breakIt: tamper(kind, tampering, tampered),
    });
    expect(result.breaches).toEqual([]);
    if (!rareKinds.has(kind) && !passThroughOnlyKinds.includes(kind)) expect(tampered.count).toBeGreaterThan(0);
    if (!passThroughKinds.has(kind)) return;
    tampered.count = 0;
    const passThroughDay = await playPassedOne(passedDeployments['cold-storage']!, 5, {
      troubles,
      closing: 'none',
      span: 10,
      replicas: 3,
      rate: 0.5,
      net: tamper(kind, tampering, tampered),
      // Occurs only if a machine without control state is among the seeds at the first start.
      ...(kind === 'HoldsNoState' ? { shared: true, gatewaySeeds: 1 } : {}),
      // Occurs only if no seed of the first start holds control state.
      ...(kind.startsWith('Founding') ? { shared: true, gatewaySeeds: 3 } : {}),
    });
    expect(passThroughDay.breaches).toEqual([]);
    expect(tampered.count).toBeGreaterThan(0);
  });
});

it('violates no invariant while every second machine runs a release without the newest fields', async () => {
  function dropNewestFields(network: Network): void {
    network.intercept((message, from) => {
      if (!/^m[13]$/.test(from)) return undefined;
      if (message.kind === 'Feed') return [{ message: { ...message, contact: false } }];
      if (message.kind === 'RouterState') return [{ message: { ...message, have: [] } }];
      if (message.kind === 'Reports') return [{ message: { ...message, relay: false } }];
      return message.kind === 'Claim' || message.kind === 'MarksDigest' ? [] : undefined;
    });
  }
  const drains = [0, 1, 2, 3, 4].map((i): SimFault => ({ at: 1 + 1.5 * i, do: 'drain', who: `router${i}`, for: 2 }));
  const result = await runOne(small, 6, drains, {
    span: 12,
    calm: 14,
    rate: 8,
    plain: true,
    breakIt: dropNewestFields,
  });
  expect(result.breaches).toEqual([]);
  expect(result.history.requests.filter((request) => !['whole', 'unreachable'].includes(request.ended))).toEqual([]);
});

it('rejects every truncated or extended frame, and decodes a frame with one altered byte without an exception', () => {
  const decode = decoderForOwnSchemas();
  const message: Message = {
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
  const frame = encodeMessage(message);
  for (let i = 0; i < frame.length; i += 1) {
    expect(decode(frame.subarray(0, i))._tag).toBe('Left');
    const altered = Buffer.from(frame);
    altered[i] = altered[i]! ^ 0x81;
    expect(() => decode(altered)).not.toThrow();
  }
  expect(decode(Buffer.concat([frame, Buffer.from([0])]))._tag).toBe('Left');
});
