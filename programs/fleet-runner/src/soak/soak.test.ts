import { expect, it } from 'vitest';
import {
  drawSoakSchedule,
  judgeSoak,
  type SoakExit,
  type SoakLifetime,
  type SoakOutcome,
  type SoakExecution,
} from './index.js';

const life: SoakLifetime = {
  machine: 'router-0',
  startedAt: 0,
  endedAt: 20_000,
  stopSignalAt: 10_000,
  killSignalAt: Infinity,
};
const outcome: SoakOutcome = {
  id: 'request',
  machine: 'router-0',
  sentAt: 11_000,
  endedAt: 12_000,
  ended: 'whole',
  status: 200,
  reusedConnection: true,
};
const end: SoakExit = {
  machine: 'router-0',
  code: 0,
  signal: null,
  requested: 'stop',
  stopDurationMs: 4000,
  lifetime: life,
};

const neverRun: Partial<SoakExecution> = { count: 0 };

function judge(
  over: Partial<SoakOutcome>,
  run: Partial<SoakExecution> = {},
  exit: Partial<SoakExit> = {},
  lives: readonly SoakLifetime[] = [life],
): string[] {
  const ran = { count: 1, finishedAt: 11_500, ...run };
  const executions = new Map(run === neverRun ? [] : [['request', ran]]);
  const history = { outcomes: [{ ...outcome, ...over }], executions, lifetimes: lives, exits: [{ ...end, ...exit }] };
  return judgeSoak({ ...history, maxStopMs: 6000, graceMs: 6000 }).map(({ rule }) => rule);
}

it('draws the same schedule from the same seed, in order, and series that overlap', () => {
  const shape = { durationMs: 10_000, machines: 8 };
  for (let seed = 1; seed <= 20; seed += 1) {
    const steps = drawSoakSchedule({ seed, ...shape });
    expect(drawSoakSchedule({ seed, ...shape })).toEqual(steps);
    expect(steps.map(({ at }) => at)).toEqual(steps.map(({ at }) => at).sort((a, b) => a - b));
    expect(new Set(steps.map((step) => step.do)).size).toBeGreaterThan(3);
  }
  const kinds = new Set(
    Array.from({ length: 20 }, (_, seed) => drawSoakSchedule({ seed, ...shape }))
      .flat()
      .map((s) => s.do),
  );
  expect([...kinds].sort()).toEqual(['change', 'kill', 'kill-all', 'reload', 'seeds', 'stop', 'stop-again']);
});

it('finds nothing where all was answered and ended in order', () => {
  expect(judge({})).toEqual([]);
});

it('calls a request lost that reached a worker and was cut, unless its process was killed meanwhile', () => {
  expect(judge({ ended: 'cut' })).toEqual(['lost']);
  expect(judge({ ended: 'cut' }, neverRun)).toEqual([]);
  expect(judge({ ended: 'cut' }, undefined, {}, [{ ...life, killSignalAt: 11_500 }])).toEqual([]);
  expect(judge({ ended: 'cut' }, undefined, {}, [{ ...life, killSignalAt: 13_000 }])).toEqual(['lost']);
});

it('lets a router cut off a worker that outlasts the grace period, but not one that was done, or was asked late', () => {
  const late = { sentAt: 10_500, endedAt: 15_800, ended: 'cut' } as const;
  expect(judge(late, { finishedAt: Infinity })).toEqual([]);
  expect(judge(late, { finishedAt: 15_100 })).toEqual([]);
  expect(judge(late, { finishedAt: 14_900 })).toEqual(['lost']);
  expect(judge({ ...late, sentAt: 13_100 }, { finishedAt: Infinity })).toEqual(['lost']);
});

it('finds what ran twice, and what ran though it was refused', () => {
  expect(judge({}, { count: 2 })).toEqual(['twice']);
  expect(judge({ ended: 'refused', status: 503 })).toEqual(['refused though run']);
});

it('finds processes that end by themselves, by a signal that they should have taken, or late', () => {
  expect(judge({}, undefined, { requested: 'nothing', code: 1 })).toEqual(['ended by itself']);
  expect(judge({}, undefined, { code: null, signal: 'SIGTERM' })).toEqual(['ended by itself']);
  expect(judge({ sentAt: 30_000 }, undefined, { code: null, signal: 'SIGTERM' })).toEqual([]);
  expect(judge({}, undefined, { requested: 'kill', code: null, signal: 'SIGKILL' })).toEqual([]);
  expect(judge({}, undefined, { stopDurationMs: 6001 })).toEqual(['ended late']);
});
