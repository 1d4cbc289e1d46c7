/** The runs of the control side in short form, with fixed seeds; `npm run simulate -- control` plays them at length. */
import { describe, expect, it } from 'vitest';
import { createSeededRandom } from '@tansypost/inner-protocol';
import {
  drawnLossJobs,
  lossJobs,
  playLossJob,
  reportEmptyDisks,
  reportChanges,
  reportPartitions,
  reportJournals,
  reportGracefulLeaves,
  reportLosses,
  reportRaces,
  reportRepairs,
  type LossOutcome,
} from './control-report.js';
import type { LossRunOptions } from './loss-run.js';

async function playAll(jobs: Iterable<LossRunOptions>): Promise<LossOutcome[]> {
  const outcomes: LossOutcome[] = [];
  for (const job of jobs) outcomes.push(await playLossJob(job));
  return outcomes;
}

describe.each([3, 5])('with %i members', (members) => {
  it('serves nothing old and answers in time while one is cut off or frozen for twenty seconds', async () => {
    const report = await reportPartitions({ members, seeds: { from: 1, count: 3 } });
    expect(report.breaches).toEqual([]);
    expect(report.runs).toBe(24);
  });

  it('takes one order of a race, and knows it again after five hundred others', async () => {
    const report = await reportRaces({ members, seeds: { from: 1, count: 2 }, interveningUpdates: 500 });
    expect(report.breaches).toEqual([]);
  });

  it('has a majority with all that was acknowledged after every second loss within the budget', async () => {
    const o = { members, seeds: { from: 1, count: 1 } };
    const outcomes = await playAll(lossJobs({ ...o, step: 1500, to: 6000 }));
    const drawn = await playAll(
      drawnLossJobs({ members, seeds: { from: 100, count: 40 } }, createSeededRandom(members)),
    );
    const report = reportLosses([...outcomes, ...drawn]);
    expect(report.breaches).toEqual([]);
    expect(outcomes.filter((x) => x.withinFaultBudget).length).toBeGreaterThan(30);
  });

  it('is whole again within the time allowed after a loss', async () => {
    for (const extraSyncMs of [0, 125]) {
      const report = await reportRepairs({ members, seeds: { from: 1, count: 2 }, extraSyncMs });
      expect(report.breaches).toEqual([]);
      expect(report.summaryLines.filter((f) => f.includes('NOT within'))).toEqual([]);
    }
  });

  it('catches up in time after every absence', async () => {
    const report = await reportChanges({ members, seeds: { from: 1, count: 1 }, changes: 600 });
    expect(report.breaches).toEqual([]);
  });

  it('adds as much to the journal for each change however many came before, and rewrites it', async () => {
    const limit = 20_000;
    const report = await reportJournals({
      members,
      seeds: { from: 1, count: 1 },
      changes: 500,
      compactAboveBytes: limit,
    });
    expect(report.breaches).toEqual([]);
    const [largest, last] = [Math.max(...report.sizes.map((s) => s.bytes)), report.sizes.at(-1)!];
    expect(last.changes).toBe(500);
    expect(largest).toBeLessThan(4 * limit);
  });
});

it('keeps what a leaver and one other hold though the other is lost once the time allowed has passed', async () => {
  const report = await reportGracefulLeaves({ from: 1, count: 2 }, 1000);
  expect(report.breaches).toEqual([]);
});

it('serves nothing from an empty disk and a copy that is behind', async () => {
  const report = await reportEmptyDisks({ from: 1, count: 6 });
  expect(report.breaches).toEqual([]);
});
