/**
 * Checks the field `packages` of the deploy file: exactly the system packages that a clean build needs.
 * docs/operating.md describes how they were determined, and names the programs that each provides.
 */
import { spawnSync } from 'node:child_process';
import { cpSync, mkdirSync, mkdtempSync, readFileSync, readdirSync, rmSync, symlinkSync, utimesSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parse } from 'smol-toml';
import { expect, it } from 'vitest';

interface DeployFile {
  readonly packages: unknown;
  readonly build: string;
}
interface LockedPackage {
  readonly resolved?: string;
  readonly hasInstallScript?: boolean;
  readonly os?: readonly string[];
}

const root = fileURLToPath(new URL('..', import.meta.url));
const deployFile = parse(readFileSync(join(root, 'deploy/system.toml'), 'utf8')) as unknown as DeployFile;
// Debian policy 5.6.7 (source) and 5.6.1: at least two lower case letters, digits, plus, minus, period.
const debianName = /^[a-z0-9][a-z0-9+.-]+$/;
// Every Debian system has the shell that runs the build line.
const shellPrograms = ['sh'];
const shellBuiltins = ['['];

/** The table of packages in docs/operating.md: each package with the programs that the build uses from it. */
function documentedPackages(): Map<string, string[]> {
  const page = readFileSync(join(root, 'docs/operating.md'), 'utf8');
  const section = page.split('\n## ').find((section) => section.startsWith('System packages of a build')) ?? '';
  const rows = [...section.matchAll(/^\| `([^`]+)` \| (.+?) \|/gm)];
  return new Map(rows.map((row) => [row[1]!, [...row[2]!.matchAll(/`([^`]+)`/g)].map((match) => match[1]!)]));
}

/** The first word of each command in a shell line without quotes, substitution or redirection. */
function commandsOf(line: string): string[] {
  const commands = line.split(/\|\||;/);
  for (const command of commands) expect(command).not.toMatch(/["'`$<>()|&]/);
  return commands.map((command) => command.trim().split(/\s+/)[0]!);
}

/** The processes that a script starts: the first argument of each call of node:child_process. */
function startedBy(script: string): string[] {
  const source = readFileSync(join(root, 'deploy', script), 'utf8');
  const calls = /\b(?:exec|execSync|execFile|execFileSync|spawn|spawnSync|fork)\(([^,)]+)/g;
  return [...source.matchAll(calls)].map((match) => match[1]!.trim());
}

function linksTo(folder: string, programs: readonly string[]): string {
  mkdirSync(folder);
  for (const program of programs) {
    const found = spawnSync('/bin/sh', ['-c', `command -v ${program}`], { encoding: 'utf8' }).stdout.trim();
    expect(found).toMatch(/^\//);
    symlinkSync(found, join(folder, program));
  }
  return folder;
}

it('is a sorted list of unique Debian package names, the same as in the documentation', () => {
  const packages = deployFile.packages as string[];
  expect(Array.isArray(packages)).toBe(true);
  expect(packages.length).toBeGreaterThan(0);
  for (const name of packages) expect(name).toMatch(debianName);
  expect(packages).toEqual([...new Set(packages)].sort());
  expect(packages).toEqual([...documentedPackages().keys()]);
});

it('provides each program that the build line and its scripts start, and each package provides one that is started', () => {
  const lineCommands = commandsOf(deployFile.build).filter((command) => !shellBuiltins.includes(command));
  expect(lineCommands).toEqual(['npm', 'node']);
  expect(startedBy('build.mjs')).toEqual(['process.execPath']);
  expect([...startedBy('warm.cjs'), ...startedBy('load.cjs')]).toEqual([]);
  const programs = documentedPackages();
  expect([...programs.values()].flat().sort()).toEqual([...lineCommands].sort());
  for (const given of programs.values()) expect(given.length).toBeGreaterThan(0);
});

it('needs no compiler and no git: of all locked packages only esbuild has an install script, and none comes from git', () => {
  const lock = JSON.parse(readFileSync(join(root, 'package-lock.json'), 'utf8')) as {
    readonly packages: Readonly<Record<string, LockedPackage>>;
  };
  const locked = Object.entries(lock.packages);
  expect(locked.length).toBeGreaterThan(100);
  const withScript = locked.filter(([, p]) => p.hasInstallScript === true && (p.os ?? ['linux']).includes('linux'));
  expect(withScript.map(([name]) => name)).toEqual(['node_modules/esbuild']);
  expect(locked.filter(([, p]) => /^(git|github:)|\.git/.test(p.resolved ?? ''))).toEqual([]);
});

it('builds with only the programs of the packages and the shell on PATH, and fails without them', () => {
  const folder = mkdtempSync(join(tmpdir(), 'packages-'));
  const copy = join(folder, 'copy');
  mkdirSync(copy);
  const parts = [
    'deploy',
    'packages',
    'programs',
    'platform',
    'package.json',
    'package-lock.json',
    'tsconfig.base.json',
  ];
  for (const part of parts)
    cpSync(join(root, part), join(copy, part), { recursive: true, filter: (f) => !/\/(dist|node_modules)$/.test(f) });
  // Uses the installed modules, so that the test needs no registry: they must look newer than the lock file.
  symlinkSync(join(root, 'node_modules'), join(copy, 'node_modules'));
  utimesSync(join(copy, 'package-lock.json'), 0, 0);
  const programs = [...documentedPackages().values()].flat();
  const path = linksTo(join(folder, 'bin'), [...programs, ...shellPrograms]);
  function build(PATH: string): { status: number | null; output: string } {
    const options = { cwd: copy, encoding: 'utf8' as const, env: { PATH, HOME: folder } };
    const ended = spawnSync('/bin/sh', ['-c', deployFile.build], options);
    return { status: ended.status, output: ended.stdout + ended.stderr };
  }
  expect(build(path)).toEqual({ status: 0, output: '' });
  expect(readdirSync(join(copy, 'target')).sort()).toEqual([
    'bundle.cjs',
    'bundle.json',
    'keeper.cache',
    'router.cache',
    'tansypost.cjs',
  ]);
  const without = build(linksTo(join(folder, 'shell'), shellPrograms));
  expect(without.status).toBe(127);
  expect(without.output).toContain('node');
  rmSync(folder, { recursive: true });
});
