/**
 * Runs the tests, but for those that KNOWN-RED.txt lists (its form: known-red.mjs). These are named, and run by
 * themselves: one that passes must be taken off the list, so it fails the run. An entry that is no test of vitest is
 * printed and not run.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parseKnownRed } from './known-red.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const list = `${root}KNOWN-RED.txt`;
/** They measure real processes, so each file runs alone. */
const alone = [
  'tests/smoke.test.ts',
  'tests/peer-limits-clients.test.ts',
  'tests/peer-limits-inside.test.ts',
  'tests/peer-limits-programs.test.ts',
  'tests/worker-streams.test.ts',
];

function escaped(name) {
  return name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
}

function vitest(args, stdio = 'inherit') {
  return spawnSync('npx', ['vitest', 'run', ...args], { cwd: root, stdio, encoding: 'utf8' });
}

const knownRed = existsSync(list) ? parseKnownRed(readFileSync(list, 'utf8')) : [];
const tests = knownRed.filter(({ isVitest }) => isVitest);
const names = tests.map(({ name }) => escaped(name)).join('|');
const passedOver = tests.length === 0 ? [] : ['-t', `^(?!.*(${names})$)`];

let failed = vitest([...alone.flatMap((file) => ['--exclude', file]), ...passedOver]).status !== 0;
for (const file of alone) if (vitest([file, ...passedOver]).status !== 0) failed = true;
for (const { name, command, seen, issue, isVitest } of knownRed) {
  const entry = `${name} | ${command} | ${seen} | ${issue}`;
  if (!isVitest) {
    console.log(`KNOWN RED, not run: ${entry}`);
    continue;
  }
  const run = vitest(['-t', `${escaped(name)}$`, '--reporter=json'], 'pipe');
  const { numPassedTests, numFailedTests } = JSON.parse(run.stdout.slice(run.stdout.indexOf('{')));
  const isRed = numPassedTests === 0 && numFailedTests > 0;
  console.log(`${isRed ? 'KNOWN RED' : 'NOT RED'}: ${entry}`);
  if (isRed) continue;
  console.log(numPassedTests > 0 ? 'It passes: take it off KNOWN-RED.txt.' : 'No test has this name.');
  failed = true;
}
process.exit(failed ? 1 : 0);
