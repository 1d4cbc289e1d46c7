/** The loader of the deployed bundle, while it still waits for the bundle's file. */
import { spawn, spawnSync } from 'node:child_process';
import { closeSync, copyFileSync, mkdtempSync, rmSync, writeSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect, it } from 'vitest';
import { openWhenRead } from '../tests/platform-world.js';

it('FAULT: a SIGHUP that arrives before the bundle is loaded does not end the process', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'load-'));
  const loader = join(folder, 'tansypost.cjs');
  const bundle = join(folder, 'bundle.cjs');
  copyFileSync(fileURLToPath(new URL('./load.cjs', import.meta.url)), loader);
  expect(spawnSync('mkfifo', [bundle]).status).toBe(0);
  const child = spawn(process.execPath, [loader, 'router'], { stdio: 'ignore' });
  const exited = new Promise((resolve) => child.once('exit', (code, signal) => resolve({ code, signal })));
  const pipe = await openWhenRead(bundle);
  child.kill('SIGHUP');
  writeSync(pipe, '(function () { process.exitCode = 7; })');
  closeSync(pipe);
  expect(await exited).toEqual({ code: 7, signal: null });
  rmSync(folder, { recursive: true });
});
