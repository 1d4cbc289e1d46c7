/**
 * The soak in short: real processes on loopback under series of signals, restarts and changes that overlap, with clients
 * that go on using their open connections. `npm run soak` plays more seeds, longer ones, and more processes.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { runSoak } from '../programs/fleet-runner/src/index.js';
import { platformDialect } from '../platform/dist/soak-dialect.js';

it.each([
  [5, false],
  [14, true],
])(
  'breaks nothing under series of signals, restarts and changes (seed %d, shared machines: %s)',
  async (seed, shared) => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const octet = 200 + (process.pid % 50);
    const report = await runSoak({
      adapter: platformDialect,
      seed,
      routers: 4,
      controlMachines: 3,
      sharesRouters: shared,
      durationMs: 8000,
      folder,
      octet,
    });
    expect(report.violations).toEqual([]);
    expect(report.requests.whole).toBeGreaterThan(50);
    expect(report.onReusedConnections).toBeGreaterThan(20);
    rmSync(folder, { recursive: true });
  },
);
