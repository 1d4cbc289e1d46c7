/** Checks each invariant on a valid history and on histories that violate one invariant each. */
import { describe, expect, it } from 'vitest';
import { createControlHistory, type ConfigCall, type ControlHistory } from './control-history.js';
import { checkGrowth, type JournalSize } from './journal-run.js';
import { controlInvariants, checkControlInvariants } from './control-invariants.js';

const secondUs = 1_000_000;
const answerTimeUs = 20_000;

function put(at: number, expectedRevision: number, label: string, code: number | undefined, node = 'c0'): ConfigCall {
  const call: ConfigCall = {
    kind: 'put',
    node,
    sentAt: at * secondUs,
    text: `${expectedRevision + 1}${label}`,
    revision: expectedRevision + 1,
    expectedRevision,
    nodeWasAvailable: true,
  };
  if (code === undefined) return { ...call, nodeWasAvailable: false };
  return { ...call, code, answeredAt: at * secondUs + answerTimeUs };
}

function get(at: number, revision: number, label: string, node = 'c0'): ConfigCall {
  return {
    kind: 'get',
    node,
    sentAt: at * secondUs,
    answeredAt: at * secondUs + answerTimeUs,
    code: 200,
    readResult: { revision, text: `${revision}${label}` },
    nodeWasAvailable: true,
  };
}

function historyOf(...calls: ConfigCall[]): ControlHistory {
  const history = createControlHistory();
  history.calls.push(...calls);
  calls.forEach((call, i) => addRound(history, `r${i}`, call.node, call.sentAt + 1000, call.sentAt + 5000));
  return history;
}

function addRound(history: ControlHistory, id: string, node: string, startedAt: number, wonAt: number): void {
  history.rounds.set(id, { node, startedAt, majority: 2, slots: new Set([1]), wonAt });
}

function breachedChecks(history: ControlHistory): string[] {
  return [...new Set(checkControlInvariants(history).map((breach) => breach.check))].sort();
}

const validCalls = [
  put(1, 0, 'a', 200),
  get(2, 1, 'a'),
  put(3, 1, 'b', undefined),
  put(3, 1, 'c', 412, 'c1'),
  put(4, 1, 'b', 200, 'c2'),
  put(5, 1, 'b', 503),
  put(6, 1, 'b', 200),
  get(7, 2, 'b', 'c1'),
];

it('finds no breach in a valid history', () => {
  const history = historyOf(...validCalls);
  history.appliedConfigurations.push({ router: 'r', startedAt: secondUs, at: 2 * secondUs, revision: 1 });
  history.appliedConfigurations.push({ router: 'r', startedAt: secondUs, at: 5 * secondUs, revision: 2 });
  history.appliedConfigurations.push({ router: 'r', startedAt: 6 * secondUs, at: 7 * secondUs, revision: 2 });
  expect(checkControlInvariants(history)).toEqual([]);
});

const brokenHistories: Record<keyof typeof controlInvariants, () => ControlHistory> = {
  oneOrderPerBase: () => historyOf(...validCalls, put(8, 1, 'd', 200)),
  takenStaysTaken: () => historyOf(...validCalls, put(8, 1, 'b', 412)),
  refusedNeverInForce: () => historyOf(...validCalls, put(8, 2, 'e', 412), get(9, 3, 'e')),
  properOrdersNotRefused: () => historyOf(...validCalls, put(8, 2, 'e', 412)),
  answersStandOnRounds: () => {
    const history = historyOf(...validCalls);
    history.calls.push(put(8, 2, 'e', 200));
    return history;
  },
  readsAreCurrent: () => historyOf(...validCalls, get(8, 1, 'a', 'c1')),
  answeredInTime: () => historyOf(...validCalls, { ...put(8, 2, 'e', 503), answeredAt: 9.1 * secondUs }),
  routersNeverGoBack: () => {
    const history = historyOf(...validCalls);
    history.appliedConfigurations.push({ router: 'r', startedAt: secondUs, at: 5 * secondUs, revision: 2 });
    history.appliedConfigurations.push({ router: 'r', startedAt: secondUs, at: 6 * secondUs, revision: 1 });
    return history;
  },
  startedRoutersAreCurrent: () => {
    const history = historyOf(...validCalls);
    history.appliedConfigurations.push({ router: 'r', startedAt: 9 * secondUs, at: 9.5 * secondUs, revision: 1 });
    return history;
  },
};

describe('each check finds a violation of its invariant', () => {
  it.each(Object.keys(brokenHistories) as (keyof typeof controlInvariants)[])('%s', (check) => {
    const history = brokenHistories[check]();
    expect(controlInvariants[check](history).length).toBeGreaterThan(0);
    expect(breachedChecks(history)).toContain(check);
  });
});

describe('answersStandOnRounds', () => {
  const update = put(8, 2, 'e', 200, 'c1');

  it('does not accept a round that started before the call was sent or was won after its answer', () => {
    for (const [startedAt, wonAt] of [
      [update.sentAt - 1, update.sentAt + 5000],
      [update.sentAt + 1, update.answeredAt! + 1],
    ] as const) {
      const history = historyOf(...validCalls);
      history.calls.push(update);
      addRound(history, 'x', 'c1', startedAt, wonAt);
      expect(breachedChecks(history)).toContain('answersStandOnRounds');
    }
  });

  it('accepts a round of another machine only if that machine answered after winning it', () => {
    const history = historyOf(...validCalls);
    history.calls.push(update);
    addRound(history, 'x', 'c0', update.sentAt + 1000, update.sentAt + 5000);
    expect(breachedChecks(history)).toContain('answersStandOnRounds');
    history.answers.push({ from: 'c0', to: 'c1', at: update.sentAt + 4000 });
    expect(breachedChecks(history)).toContain('answersStandOnRounds');
    history.answers.push({ from: 'c0', to: 'c1', at: update.sentAt + 6000 });
    expect(checkControlInvariants(history)).toEqual([]);
  });
});

it('rejects a read that returns a text nobody submitted', () => {
  expect(breachedChecks(historyOf(...validCalls, get(8, 3, 'nobody')))).toContain('readsAreCurrent');
});

it('allows a started router to apply a just replaced revision, and any revision after the contact timeout', () => {
  const history = historyOf(...validCalls);
  history.appliedConfigurations.push({ router: 'r', startedAt: 5.5 * secondUs, at: 5.6 * secondUs, revision: 1 });
  history.appliedConfigurations.push({ router: 's', startedAt: 9 * secondUs, at: 12.1 * secondUs, revision: 1 });
  expect(checkControlInvariants(history)).toEqual([]);
});

it('finds a journal whose bytes per update grow with the number of updates', () => {
  function size(changes: number, bytesPerChange: number): JournalSize {
    return { changes, bytes: changes * bytesPerChange, bytesPerChange, readMs: 1 };
  }
  expect(checkGrowth([size(10, 100), size(100, 101), size(1000, 104)])).toEqual([]);
  expect(checkGrowth([size(10, 100), size(100, 140), size(1000, 151)]).length).toBe(1);
});
