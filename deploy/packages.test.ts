/**
 * Holds the field `packages` of the deploy file: the system packages that a clean build needs, no more and no fewer.
 * docs/operating.md tells how they were found out, and names the programs that each gives.
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
// Debian policy 5.6.7 (source) and 5.6.1: lower case letters, digits, plus, minus, period; two at the least.
const debianName = /^[a-z0-9][a-z0-9+.-]+$/;
// What every Debian system has: the shell that is handed the build line.
const shellPrograms = ['sh'];
const shellBuiltins = ['['];

/** The rows of the table of packages in docs/operating.md: the package, and the programs that the build takes of it. */
function documentedPackages(): Map<string, string[]> {
  const page = readFileSync(join(root, 'docs/operating.md'), 'utf8');
  const section = page.split('\n## ').find((s) => s.startsWith('System packages of a build')) ?? '';
  const rows = [...section.matchAll(/^\| `([^`]+)` \| (.+?) \|/gm)];
  return new Map(rows.map((r) => [r[1]!, [...r[2]!.matchAll(/`([^`]+)`/g)].map((m) => m[1]!)]));
}

/** The first word of each command of a shell line that holds no quotes, no substitution and no redirection. */
function commandsOf(line: string): string[] {
  const commands = line.split(/\|\||;/);
  for (const command of commands) expect(command).not.toMatch(/["'`$<>()|&]/);
  return commands.map((command) => command.trim().split(/\s+/)[0]!);
}

/** What a script starts as other processes: the first argument of each call of node:child_process. */
function startedBy(script: string): string[] {
  const source = readFileSync(join(root, 'deploy', script), 'utf8');
  const calls = /\b(?:exec|execSync|execFile|execFileSync|spawn|spawnSync|fork)\(([^,)]+)/g;
  return [...source.matchAll(calls)].map((m) => m[1]!.trim());
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

it('is a sorted list of Debian package names, each once, and just those that the page tells of', () => {
  const packages = deployFile.packages as string[];
  expect(Array.isArray(packages)).toBe(true);
  expect(packages.length).toBeGreaterThan(0);
  for (const name of packages) expect(name).toMatch(debianName);
  expect(packages).toEqual([...new Set(packages)].sort());
  expect(packages).toEqual([...documentedPackages().keys()]);
});

it('gives each program that the build line and its scripts start, and each package gives one that is started', () => {
  const lineCommands = commandsOf(deployFile.build).filter((command) => !shellBuiltins.includes(command));
  expect(lineCommands).toEqual(['npm', 'node']);
  expect(startedBy('build.mjs')).toEqual(['process.execPath']);
  expect([...startedBy('warm.cjs'), ...startedBy('load.cjs')]).toEqual([]);
  const programs = documentedPackages();
  expect([...programs.values()].flat().sort()).toEqual([...lineCommands].sort());
  for (const given of programs.values()) expect(given.length).toBeGreaterThan(0);
});

it('needs no compiler and no git: of all locked packages only esbuild runs a script here, and none is fetched from git', () => {
  const lock = JSON.parse(readFileSync(join(root, 'package-lock.json'), 'utf8')) as {
    readonly packages: Readonly<Record<string, LockedPackage>>;
  };
  const locked = Object.entries(lock.packages);
  expect(locked.length).toBeGreaterThan(100);
  const withScript = locked.filter(([, p]) => p.hasInstallScript === true && (p.os ?? ['linux']).includes('linux'));
  expect(withScript.map(([name]) => name)).toEqual(['node_modules/esbuild']);
  expect(locked.filter(([, p]) => /^(git|github:)|\.git/.test(p.resolved ?? ''))).toEqual([]);
});

it('builds with nothing on PATH but the programs of the packages and the shell, and not without them', () => {
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
  // What is installed stands, so that the test asks no registry: the line takes it for newer than the lock file.
  symlinkSync(join(root, 'node_modules'), join(copy, 'node_modules'));
  utimesSync(join(copy, 'package-lock.json'), 0, 0);
  const programs = [...documentedPackages().values()].flat();
  const path = linksTo(join(folder, 'bin'), [...programs, ...shellPrograms]);
  function build(PATH: string): { status: number | null; said: string } {
    const options = { cwd: copy, encoding: 'utf8' as const, env: { PATH, HOME: folder } };
    const ended = spawnSync('/bin/sh', ['-c', deployFile.build], options);
    return { status: ended.status, said: ended.stdout + ended.stderr };
  }
  expect(build(path)).toEqual({ status: 0, said: '' });
  expect(readdirSync(join(copy, 'target')).sort()).toEqual([
    'bundle.cjs',
    'bundle.json',
    'keeper.cache',
    'router.cache',
    'tansypost.cjs',
  ]);
  const without = build(linksTo(join(folder, 'shell'), shellPrograms));
  expect(without.status).toBe(127);
  expect(without.said).toContain('node');
  rmSync(folder, { recursive: true });
});
