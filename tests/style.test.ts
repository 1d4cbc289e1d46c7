/** Checks the list of directories that do not meet the readability rules yet: it may only shrink. */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { ESLint } from 'eslint';
import tseslint from 'typescript-eslint';
import { expect, it } from 'vitest';
import { readability } from '../eslint-readability.js';
import { uncleaned } from '../eslint-uncleaned.js';

const root = fileURLToPath(new URL('..', import.meta.url));

/** The directories on the list when the rules were introduced. Nothing is ever added here. */
const baseline = readFileSync(new URL('./style-baseline.txt', import.meta.url), 'utf8')
  .trim()
  .split('\n');

/** Lints with the readability rules alone, in all directories. */
function createLinter(): ESLint {
  return new ESLint({
    cwd: root,
    overrideConfigFile: true,
    overrideConfig: [
      { ignores: ['**/dist/**', '**/node_modules/**'] },
      ...tseslint.configs.recommended,
      ...readability([]),
    ] as ESLint.Options['overrideConfig'],
  });
}

it('lists no directory that was not listed when the rules were introduced, and none twice', () => {
  expect(uncleaned.filter((directory) => !baseline.includes(directory))).toEqual([]);
  expect(new Set(uncleaned).size).toBe(uncleaned.length);
});

it('lists no directory that meets the rules', async () => {
  const eslint = createLinter();
  const faults = await Promise.all(
    uncleaned.map(async (directory) => {
      const results = await eslint.lintFiles([directory]);
      return { directory, count: results.reduce((sum, file) => sum + file.errorCount, 0) };
    }),
  );
  expect(faults.filter((entry) => entry.count === 0)).toEqual([]);
});

it('detects each kind of violation of the rules', async () => {
  const eslint = createLinter();
  async function rulesBroken(source: string): Promise<string[]> {
    const [result] = await eslint.lintText(source, { filePath: 'packages/sample/src/sample.ts' });
    return result!.messages.map((message) => message.ruleId ?? message.message);
  }
  const sound = '/** A module. */\nimport "x";\n\n/** Adds one. */\nexport function next(value: number): number {\n';
  expect(await rulesBroken(`${sound}  return value + 1;\n}\n`)).toEqual([]);
  expect(await rulesBroken('import "x";\n')).toEqual(['readability/module-comment']);
  expect(await rulesBroken(`#!/usr/bin/env node\n${sound}  return value + 1;\n}\n`)).toEqual([]);
  expect(await rulesBroken('#!/usr/bin/env node\nimport "x";\n')).toEqual(['readability/module-comment']);
  expect(await rulesBroken('import "x";\n\n/** Late. */\n')).toEqual(['readability/module-comment']);
  expect(await rulesBroken('/** A module. */\nimport "x";\n\n/** A limit. */\nexport const limit = 1;\n')).toEqual([]);
  expect(await rulesBroken('/** A module. */\nimport "x";\nexport const limit = 1;\n')).toEqual([
    'jsdoc/require-jsdoc',
  ]);
  expect(await rulesBroken('/** A module. */\nimport "x";\nexport interface Limits {}\n')).toContain(
    'jsdoc/require-jsdoc',
  );
  expect(await rulesBroken(`${sound}  const w = value;\n  return w;\n}\n`)).toEqual(['id-length']);
  expect(
    await rulesBroken('/** A module. */\ninterface Limits { w: number }\nlet value: Limits;\nvalue!;\n'),
  ).toContain('no-restricted-syntax');
  expect(await rulesBroken(`${sound}${'  value += 1;\n'.repeat(50)}  return value;\n}\n`)).toEqual([
    'max-lines-per-function',
  ]);
  expect(await rulesBroken(`/** A module. */\n${'import "x";\n'.repeat(300)}`)).toEqual(['max-lines']);
  expect(await rulesBroken(`${sound}${'  if (value > 1) value -= 1;\n'.repeat(12)}  return value;\n}\n`)).toEqual([
    'complexity',
  ]);
});
