/** Each check of the simulator finds the breach that it is for, and none in a sound history. */
import { emptyRecord } from '@tansypost/rehearsal';
import { expect, it } from 'vitest';
import { checks, checkAll } from './checks.js';
import { newHistory, type History } from './history.js';

function req(x: Partial<History['requests'][number]> = {}): History['requests'][number] {
  return {
    id: 'q',
    kind: 'k',
    tenant: 't',
    repeatable: false,
    patience: 5e6,
    at: 0,
    router: 'r',
    end: 1e6,
    ended: 'whole',
    ran: undefined,
    verdict: 'whole',
    ttft: 1,
    retryAfter: false,
    excused: false,
    zone: 0,
    via: new Set(),
    ...x,
  };
}
function run(x: Partial<History['runs'][number]> = {}): History['runs'][number] {
  return { at: 1, request: 'q', worker: 'w', incarnation: 1, what: 'decode', memoryOf: 'q', ...x };
}
function send(x: Partial<History['sends'][number]> = {}): History['sends'][number] {
  return {
    at: 0,
    request: 'q',
    router: 'r',
    worker: 'w/1',
    extra: false,
    phase: 'prefill',
    decided: true,
    version: 1,
    ...x,
  };
}
function change(x: Partial<History['changes'][number]> = {}): History['changes'][number] {
  return { id: 'c', tag: 1, whole: 'one', at: 0, base: undefined, end: 1, answer: 'acknowledged', version: 2, ...x };
}
const o = { faultless: false, overloaded: false };
it('finds each breach in a history that holds it, and none in one that does not', () => {
  const cases: [keyof typeof checks, Partial<History>][] = [
    ['noSecondRun', { requests: [req()], runs: [run(), run({ at: 2 })] }],
    ['oneRunPerKey', { claims: [{ at: 0, key: 'k', ids: ['q', 'q2'] }], runs: [run(), run({ request: 'q2' })] }],
    ['noRunAfterRefusal', { requests: [req({ ran: 'no', ended: 'overloaded' })], runs: [run()] }],
    ['rightAnswers', { requests: [req({ verdict: 'cut' })] }],
    ['rightAnswers', { requests: [req({ ended: 'answer_cut', verdict: 'foreign' })] }],
    ['ownMemory', { runs: [run({ memoryOf: 'other' })] }],
    ['leavingLeftAlone', { leaving: [{ at: 0, worker: 'w', incarnation: 1 }], sends: [send({ at: 3_100_000 })] }],
    ['acknowledgedGoverns', { requests: [req({ at: 3e6 })], changes: [change()], sends: [send({ at: 3e6 })] }],
    ['noSlipBack', { sends: [send({ version: 2 }), send({ version: 1 })] }],
    ['ackSurvives', { changes: [change()], readBack: { version: 1, whole: '' } }],
    ['ackSurvives', { changes: [change()], readBack: { version: 2, whole: 'another' } }],
    [
      'ackSurvives',
      {
        changes: [change()],
        reads: [{ from: 5, end: 6, version: 1, whole: '' }],
        readBack: { version: 2, whole: 'one' },
      },
    ],
    [
      'losersNeverTakeEffect',
      { changes: [change({ answer: 'refused' })], reads: [{ from: 5, end: 6, version: 3, whole: 'one' }] },
    ],
    [
      'losersNeverTakeEffect',
      { changes: [change({ answer: 'lost the race' })], applied: [{ at: 1, router: 'r', version: 2, tag: 1 }] },
    ],
    ['oneWinner', { changes: [change(), change({ tag: 2 })] }],
    ['oneWinner', { changes: [change({ base: 1 }), change({ base: 1, version: 3, tag: 2 })] }],
    ['extrasBounded', { end: 20e6, sends: [send()], probes: [1, 2, 3, 4, 5, 6] }],
    [
      'extrasBounded',
      {
        end: 20e6,
        sends: [send(), send({ at: 1, extra: true }), send({ at: 2, extra: true }), send({ at: 3, extra: true })],
      },
    ],
    [
      'extrasBounded',
      {
        end: 30e6,
        sends: [
          ...Array.from({ length: 40 }, (_, i) => send({ at: 1e6 + i, request: `q${i}` })),
          ...[1, 2, 3, 4].map((i) => send({ at: 12e6, request: `q${i}`, extra: true })),
        ],
      },
    ],
    [
      'oneOrderer',
      {
        orders: [
          { at: 1, worker: 'a', epoch: 9, part: 'prefill', obeyed: true, by: 'x' },
          { at: 2, worker: 'b', epoch: 8, part: 'decode', obeyed: true, by: 'y' },
        ],
      },
    ],
    [
      'neverOnFaith',
      {
        records: [
          {
            at: 1,
            version: 1,
            record: { ...emptyRecord, live: { version: { epoch: 64, n: 1 }, hash: 'h', blob: 'b' } },
          },
        ],
      },
    ],
    [
      'neverOnFaith',
      {
        records: (['prefill', 'decode'] as const).map((part, i) => ({
          at: i,
          version: i + 1,
          record: { ...emptyRecord, parts: { w: { part, incarnation: 1 } } },
        })),
      },
    ],
    ['oneOrderer', { holders: [{ at: 1, duty: 'parts', members: ['a', 'b'] }] }],
    ['backInService', { requests: Array.from({ length: 30 }, () => req({ at: 13e6, ended: 'no_tenure' })) }],
    [
      'backInService',
      {
        disturbed: [{ at: 0, until: 90e6, what: 'worker-dark', who: 'worker1' }],
        calmFrom: 90e6,
        requests: Array.from({ length: 30 }, () => req({ at: 13e6, ended: 'workers_failed' })),
      },
    ],
    [
      'backInService',
      {
        calmFrom: 0,
        requests: [
          ...Array.from({ length: 200 }, () => req({ at: 13e6 })),
          ...[1, 2, 3].map(() => req({ at: 13e6, ended: 'no_tenure', zone: 1 })),
        ],
      },
    ],
    [
      'nothingTurnedAway',
      {
        requests: Array.from({ length: 30 }, (_, i) =>
          req({ ended: i < 4 ? 'workers_refused' : 'whole', ran: i < 4 ? 'no' : undefined }),
        ),
      },
    ],
    [
      'answeredAtOnce',
      {
        requests: [req({ ended: 'budget_spent', end: 1e6 })],
        gaveUp: [{ at: 0.5e6, request: 'q', router: 'r', kind: 'budget_spent' }],
      },
    ],
    ['answeredAtOnce', { requests: [req({ end: 5.2e6 })] }],
    ['answeredAtOnce', { requests: [req({ ended: 'no_tenure', ran: 'no', end: 2.2e6, retryAfter: true })] }],
    ['answeredAtOnce', { requests: [req({ ended: 'overloaded', ran: 'no', end: 4e6, retryAfter: true })] }],
    ['answeredAtOnce', { requests: [req({ ended: 'overloaded', ran: 'no' })] }],
  ];
  for (const [name, h] of cases) expect([name, checks[name]!({ ...newHistory(), ...h }, o).length]).toEqual([name, 1]);
  const fine: Partial<History> = {
    requests: [req()],
    runs: [run()],
    sends: [send({ version: 2 })],
    changes: [change()],
    readBack: { version: 2, whole: 'one' },
  };
  expect(checkAll({ ...newHistory(), ...fine }, o)).toEqual([]);
});
