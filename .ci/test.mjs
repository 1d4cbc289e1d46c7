/**
 * Runs the tests, but for those that KNOWN-RED.txt lists (one a line: name | cause | issue; three at the most). These
 * are named, and run by themselves: one that passes must be taken off the list, so it fails the run.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));
const list = `${root}KNOWN-RED.txt`;
const most = 3;
/** It measures real processes, so it runs alone. */
const alone = 'tests/smoke.test.ts';

function readKnownRed() {
  if (!existsSync(list)) return [];
  const lines = readFileSync(list, 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '');
  return lines.map((line) => {
    const [name, cause, issue] = line.split('|').map((field) => field.trim());
    if (!name || !cause || !issue) throw new Error(`KNOWN-RED.txt: write "name | cause | issue", not "${line}"`);
    return { name, cause, issue };
  });
}

function escaped(name) {
  return name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
}

function vitest(args, stdio = 'inherit') {
  return spawnSync('npx', ['vitest', 'run', ...args], { cwd: root, stdio, encoding: 'utf8' });
}

const knownRed = readKnownRed();
if (knownRed.length > most) throw new Error(`KNOWN-RED.txt lists ${knownRed.length} tests; ${most} at the most.`);
const names = knownRed.map(({ name }) => escaped(name)).join('|');
const passedOver = knownRed.length === 0 ? [] : ['-t', `^(?!.*(${names})$)`];

let failed = vitest(['--exclude', alone, ...passedOver]).status !== 0;
if (vitest([alone]).status !== 0) failed = true;
for (const { name, cause, issue } of knownRed) {
  const run = vitest(['--exclude', alone, '-t', `${escaped(name)}$`, '--reporter=json'], 'pipe');
  const { numPassedTests, numFailedTests } = JSON.parse(run.stdout.slice(run.stdout.indexOf('{')));
  const isRed = numPassedTests === 0 && numFailedTests > 0;
  console.log(`${isRed ? 'KNOWN RED' : 'NOT RED'}: ${name} | ${cause} | ${issue}`);
  if (isRed) continue;
  console.log(numPassedTests > 0 ? 'It passes: take it off KNOWN-RED.txt.' : 'No test has this name.');
  failed = true;
}
process.exit(failed ? 1 : 0);
