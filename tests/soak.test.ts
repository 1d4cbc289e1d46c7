/**
 * A short soak test: real processes on loopback under overlapping series of signals, restarts and changes, with clients
 * that keep using their open connections; workers, the worker list, clients and an operator send invalid input now and
 * then. `npm run soak` runs more seeds, longer runs, and more processes.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { runSoak } from '../programs/fleet-runner/src/index.js';
import { platformSoakAdapter } from '../platform/dist/soak-adapter.js';

it.each([
  [5, false],
  [14, true],
])(
  'violates no invariant under series of signals, restarts and changes (seed %d, shared machines: %s)',
  async (seed, shared) => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const octet = 200 + (process.pid % 50);
    const report = await runSoak({
      adapter: platformSoakAdapter,
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
