/** Short control runs with fixed seeds; `npm run simulate -- control` plays the full-length ones. */
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
  it('serves nothing outdated and answers in time while one member is partitioned or frozen for 20 s', async () => {
    const report = await reportPartitions({ members, seeds: { from: 1, count: 3 } });
    expect(report.breaches).toEqual([]);
    expect(report.runs).toBe(24);
  });

  it('acknowledges one of several concurrent updates, and recognizes it again after 500 others', async () => {
    const report = await reportRaces({ members, seeds: { from: 1, count: 2 }, interveningUpdates: 500 });
    expect(report.breaches).toEqual([]);
  });

  it('keeps a majority with everything acknowledged after every second loss within the fault budget', async () => {
    const options = { members, seeds: { from: 1, count: 1 } };
    const outcomes = await playAll(lossJobs({ ...options, step: 1500, to: 6000 }));
    const drawn = await playAll(
      drawnLossJobs({ members, seeds: { from: 100, count: 40 } }, createSeededRandom(members)),
    );
    const report = reportLosses([...outcomes, ...drawn]);
    expect(report.breaches).toEqual([]);
    expect(outcomes.filter((outcome) => outcome.withinFaultBudget).length).toBeGreaterThan(30);
  });

  it('restores full redundancy within the time limit after a loss', async () => {
    for (const extraSyncMs of [0, 125]) {
      const report = await reportRepairs({ members, seeds: { from: 1, count: 2 }, extraSyncMs });
      expect(report.breaches).toEqual([]);
      expect(report.summaryLines.filter((line) => line.includes('NOT within'))).toEqual([]);
    }
  });

  it('catches up in time after every kind of absence', async () => {
    const report = await reportChanges({ members, seeds: { from: 1, count: 1 }, changes: 600 });
    expect(report.breaches).toEqual([]);
  });

  it('keeps the journal bytes per update constant, and compacts the journal', async () => {
    const compactAboveBytes = 20_000;
    const report = await reportJournals({
      members,
      seeds: { from: 1, count: 1 },
      changes: 500,
      compactAboveBytes,
    });
    expect(report.breaches).toEqual([]);
    const [largest, last] = [Math.max(...report.sizes.map((size) => size.bytes)), report.sizes.at(-1)!];
    expect(last.changes).toBe(500);
    expect(largest).toBeLessThan(4 * compactAboveBytes);
  });
});

it('keeps what only a leaving member and one other hold when that other is lost after the catch-up time', async () => {
  const report = await reportGracefulLeaves({ from: 1, count: 2 }, 1000);
  expect(report.breaches).toEqual([]);
});

it('serves nothing outdated from an empty disk and an outdated copy', async () => {
  const report = await reportEmptyDisks({ from: 1, count: 6 });
  expect(report.breaches).toEqual([]);
});
