import { expect, it } from 'vitest';
import {
  drawSoakSchedule,
  judgeSoak,
  type SoakExit,
  type SoakLifetime,
  type SoakOutcome,
  type SoakExecution,
} from './index.js';

const lifetime: SoakLifetime = {
  machine: 'router-0',
  startedAt: 0,
  endedAt: 20_000,
  stopSignalAt: 10_000,
  killSignalAt: Infinity,
  processorMsAtReload: 0,
};
const outcome: SoakOutcome = {
  id: 'request',
  machine: 'router-0',
  sentAt: 11_000,
  endedAt: 12_000,
  ended: 'whole',
  status: 200,
  reusedConnection: true,
  malformed: false,
  misframed: false,
};
const exit: SoakExit = {
  machine: 'router-0',
  code: 0,
  signal: null,
  requested: 'stop',
  stopDurationMs: 4000,
  lifetime,
};

const neverExecuted: Partial<SoakExecution> = { count: 0 };

function judge(
  outcomeOverrides: Partial<SoakOutcome>,
  executionOverrides: Partial<SoakExecution> = {},
  exitOverrides: Partial<SoakExit> = {},
  lifetimes: readonly SoakLifetime[] = [lifetime],
): string[] {
  const execution = { count: 1, finishedAt: 11_500, spoilt: false, maxRuns: 1, ...executionOverrides };
  const executions = new Map(executionOverrides === neverExecuted ? [] : [['request', execution]]);
  const history = {
    outcomes: [{ ...outcome, ...outcomeOverrides }],
    executions,
    lifetimes,
    exits: [{ ...exit, ...exitOverrides }],
  };
  return judgeSoak({ ...history, maxStopMs: 6000, graceMs: 6000 }).map(({ rule }) => rule);
}

it('draws the same ordered schedule from the same seed, with all kinds of steps', () => {
  const scheduleOptions = { durationMs: 10_000, machines: 8 };
  for (let seed = 1; seed <= 20; seed += 1) {
    const steps = drawSoakSchedule({ seed, ...scheduleOptions });
    expect(drawSoakSchedule({ seed, ...scheduleOptions })).toEqual(steps);
    expect(steps.map(({ at }) => at)).toEqual(steps.map(({ at }) => at).sort((a, b) => a - b));
    expect(new Set(steps.map((step) => step.do)).size).toBeGreaterThan(3);
  }
  const kinds = new Set(
    Array.from({ length: 20 }, (_, seed) => drawSoakSchedule({ seed, ...scheduleOptions }))
      .flat()
      .map((step) => step.do),
  );
  expect([...kinds].sort()).toEqual(['change', 'kill', 'kill-all', 'reload', 'seeds', 'stop', 'stop-again']);
});

it('finds no violation when all requests are answered and all processes exit as requested', () => {
  expect(judge({})).toEqual([]);
});

it('reports a request as lost that reached a worker and was cut, unless its process was killed meanwhile', () => {
  expect(judge({ ended: 'cut' })).toEqual(['lost']);
  expect(judge({ ended: 'cut' }, neverExecuted)).toEqual([]);
  expect(judge({ ended: 'cut' }, undefined, {}, [{ ...lifetime, killSignalAt: 11_500 }])).toEqual([]);
  expect(judge({ ended: 'cut' }, undefined, {}, [{ ...lifetime, killSignalAt: 13_000 }])).toEqual(['lost']);
});

it('does not count a response as lost that its worker spoilt, but must not refuse its request either', () => {
  expect(judge({ ended: 'cut' }, { spoilt: true })).toEqual([]);
  expect(judge({ ended: 'refused', status: 503 }, { spoilt: true })).toEqual(['refused though run']);
});

it('allows cutting off a worker that outlasts the grace period, but not one that had finished or a request sent late', () => {
  const late = { sentAt: 10_500, endedAt: 15_800, ended: 'cut' } as const;
  expect(judge(late, { finishedAt: Infinity })).toEqual([]);
  expect(judge(late, { finishedAt: 15_100 })).toEqual([]);
  expect(judge(late, { finishedAt: 14_900 })).toEqual(['lost']);
  expect(judge({ ...late, sentAt: 13_100 }, { finishedAt: Infinity })).toEqual(['lost']);
});

it('reports requests that were executed twice or although they were rejected', () => {
  expect(judge({}, { count: 2 })).toEqual(['twice']);
  expect(judge({}, { count: 2, maxRuns: 2 })).toEqual([]);
  expect(judge({}, { count: 3, maxRuns: 2 })).toEqual(['twice']);
  expect(judge({ ended: 'refused', status: 503 })).toEqual(['refused though run']);
});

it('reports a client that received bytes that no run made, and a distrusted stream that was held open', () => {
  expect(judge({ malformed: true })).toEqual(['order']);
  expect(judge({ ended: 'cut', misframed: true }, { spoilt: true })).toEqual(['framing']);
  expect(judge({ ended: 'cut', malformed: true }, { spoilt: true })).toEqual(['order']);
  expect(judge({ ended: 'cut', endedAt: 41_000 }, { spoilt: true })).toEqual(['held']);
  expect(judge({ ended: 'cut', endedAt: 13_000 }, { spoilt: true })).toEqual([]);
});

it('allows an exit by SIGHUP only before Node.js can have run any line of the program', () => {
  const hangUp = { requested: 'nothing', code: null, signal: 'SIGHUP' } as const;
  const starting = { ...lifetime, startedAt: 25_000 };
  expect(judge({}, undefined, { ...hangUp, lifetime: { ...starting, processorMsAtReload: 40 } })).toEqual([]);
  expect(judge({}, undefined, { ...hangUp, lifetime: { ...starting, processorMsAtReload: 150 } })).toEqual([
    'ended by itself',
  ]);
});

it('reports processes that exit unrequested, by an unhandled signal, or late', () => {
  expect(judge({}, undefined, { requested: 'nothing', code: 1 })).toEqual(['ended by itself']);
  expect(judge({}, undefined, { code: null, signal: 'SIGTERM' })).toEqual(['ended by itself']);
  expect(judge({ sentAt: 30_000 }, undefined, { code: null, signal: 'SIGTERM' })).toEqual([]);
  expect(judge({}, undefined, { requested: 'kill', code: null, signal: 'SIGKILL' })).toEqual([]);
  expect(judge({}, undefined, { stopDurationMs: 6001 })).toEqual(['ended late']);
});
