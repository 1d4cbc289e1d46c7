/** Each judge on a sound history, in which it finds nothing, and on histories broken in one way each. */
import { describe, expect, it } from 'vitest';
import { createControlHistory, type ConfigCall, type ControlHistory } from './control-history.js';
import { checkGrowth, type JournalSize } from './journal-run.js';
import { controlInvariants, checkControlInvariants } from './control-invariants.js';

const second = 1_000_000;
const answerTime = 20_000;

function put(at: number, base: number, label: string, code: number | undefined, node = 'c0'): ConfigCall {
  const call: ConfigCall = {
    kind: 'put',
    node,
    sentAt: at * second,
    text: `${base + 1}${label}`,
    revision: base + 1,
    expectedRevision: base,
    nodeWasAvailable: true,
  };
  if (code === undefined) return { ...call, nodeWasAvailable: false };
  return { ...call, code, answeredAt: at * second + answerTime };
}

function get(at: number, revision: number, label: string, node = 'c0'): ConfigCall {
  return {
    kind: 'get',
    node,
    sentAt: at * second,
    answeredAt: at * second + answerTime,
    code: 200,
    readResult: { revision, text: `${revision}${label}` },
    nodeWasAvailable: true,
  };
}

function historyOf(...calls: ConfigCall[]): ControlHistory {
  const h = createControlHistory();
  h.calls.push(...calls);
  calls.forEach((c, i) => addRound(h, `r${i}`, c.node, c.sentAt + 1000, c.sentAt + 5000));
  return h;
}

function addRound(h: ControlHistory, id: string, node: string, startedAt: number, wonAt: number): void {
  h.rounds.set(id, { node, startedAt, majority: 2, slots: new Set([1]), wonAt });
}

function found(h: ControlHistory): string[] {
  return [...new Set(checkControlInvariants(h).map((b) => b.check))].sort();
}

const sound = [
  put(1, 0, 'a', 200),
  get(2, 1, 'a'),
  put(3, 1, 'b', undefined),
  put(3, 1, 'c', 412, 'c1'),
  put(4, 1, 'b', 200, 'c2'),
  put(5, 1, 'b', 503),
  put(6, 1, 'b', 200),
  get(7, 2, 'b', 'c1'),
];

it('finds nothing in a sound history', () => {
  const h = historyOf(...sound);
  h.appliedConfigurations.push({ router: 'r', startedAt: second, at: 2 * second, revision: 1 });
  h.appliedConfigurations.push({ router: 'r', startedAt: second, at: 5 * second, revision: 2 });
  h.appliedConfigurations.push({ router: 'r', startedAt: 6 * second, at: 7 * second, revision: 2 });
  expect(checkControlInvariants(h)).toEqual([]);
});

const broken: Record<keyof typeof controlInvariants, () => ControlHistory> = {
  oneOrderPerBase: () => historyOf(...sound, put(8, 1, 'd', 200)),
  takenStaysTaken: () => historyOf(...sound, put(8, 1, 'b', 412)),
  refusedNeverInForce: () => historyOf(...sound, put(8, 2, 'e', 412), get(9, 3, 'e')),
  properOrdersNotRefused: () => historyOf(...sound, put(8, 2, 'e', 412)),
  answersStandOnRounds: () => {
    const h = historyOf(...sound);
    h.calls.push(put(8, 2, 'e', 200));
    return h;
  },
  readsAreCurrent: () => historyOf(...sound, get(8, 1, 'a', 'c1')),
  answeredInTime: () => historyOf(...sound, { ...put(8, 2, 'e', 503), answeredAt: 9.1 * second }),
  routersNeverGoBack: () => {
    const h = historyOf(...sound);
    h.appliedConfigurations.push({ router: 'r', startedAt: second, at: 5 * second, revision: 2 });
    h.appliedConfigurations.push({ router: 'r', startedAt: second, at: 6 * second, revision: 1 });
    return h;
  },
  startedRoutersAreCurrent: () => {
    const h = historyOf(...sound);
    h.appliedConfigurations.push({ router: 'r', startedAt: 9 * second, at: 9.5 * second, revision: 1 });
    return h;
  },
};

describe('each judge finds what it is for', () => {
  it.each(Object.keys(broken) as (keyof typeof controlInvariants)[])('%s', (check) => {
    const h = broken[check]();
    expect(controlInvariants[check](h).length).toBeGreaterThan(0);
    expect(found(h)).toContain(check);
  });
});

describe('answersStandOnRounds', () => {
  const order = put(8, 2, 'e', 200, 'c1');

  it('does not take a round that began before the order came, or was won after its answer', () => {
    for (const [startedAt, wonAt] of [
      [order.sentAt - 1, order.sentAt + 5000],
      [order.sentAt + 1, order.answeredAt! + 1],
    ] as const) {
      const h = historyOf(...sound);
      h.calls.push(order);
      addRound(h, 'x', 'c1', startedAt, wonAt);
      expect(found(h)).toContain('answersStandOnRounds');
    }
  });

  it('takes the round of another machine only where that machine answered afterwards', () => {
    const h = historyOf(...sound);
    h.calls.push(order);
    addRound(h, 'x', 'c0', order.sentAt + 1000, order.sentAt + 5000);
    expect(found(h)).toContain('answersStandOnRounds');
    h.answers.push({ from: 'c0', to: 'c1', at: order.sentAt + 4000 });
    expect(found(h)).toContain('answersStandOnRounds');
    h.answers.push({ from: 'c0', to: 'c1', at: order.sentAt + 6000 });
    expect(checkControlInvariants(h)).toEqual([]);
  });
});

it('counts a text that nobody had sent as no current read', () => {
  expect(found(historyOf(...sound, get(8, 3, 'nobody')))).toContain('readsAreCurrent');
});

it('lets a started router take what was replaced just before, and after a while whatever it can get', () => {
  const h = historyOf(...sound);
  h.appliedConfigurations.push({ router: 'r', startedAt: 5.5 * second, at: 5.6 * second, revision: 1 });
  h.appliedConfigurations.push({ router: 's', startedAt: 9 * second, at: 12.1 * second, revision: 1 });
  expect(checkControlInvariants(h)).toEqual([]);
});

it('finds a journal in which a change costs more the more came before', () => {
  function size(changes: number, bytesPerChange: number): JournalSize {
    return { changes, bytes: changes * bytesPerChange, bytesPerChange, readMs: 1 };
  }
  expect(checkGrowth([size(10, 100), size(100, 101), size(1000, 104)])).toEqual([]);
  expect(checkGrowth([size(10, 100), size(100, 140), size(1000, 151)]).length).toBe(1);
});
