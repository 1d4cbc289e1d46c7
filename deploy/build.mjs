/**
 * Builds what the machines run, straight from the TypeScript sources: one bundle with the tests stripped,
 * and the code cache that the loader starts it from. Everything goes under target/, or under the folder named.
 */
import { build } from 'esbuild';
import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parse } from 'smol-toml';

const root = fileURLToPath(new URL('..', import.meta.url));
const target = process.argv[2] ?? `${root}target`;
const sources = Object.fromEntries(
  ['packages', 'programs'].flatMap((g) =>
    readdirSync(`${root}${g}`).map((n) => [`@tansypost/${n}`, `${root}${g}/${n}/src/index.ts`]),
  ),
);

rmSync(target, { recursive: true, force: true });
mkdirSync(target, { recursive: true });
const made = await build({
  entryPoints: [`${root}platform/src/entry.ts`],
  outfile: `${target}/bundle.cjs`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  legalComments: 'none',
  supported: { 'dynamic-import': false },
  banner: { js: '(function(exports,require,module,__filename,__dirname){' },
  footer: { js: '})' },
  metafile: true,
  alias: sources,
  define: { 'import.meta.vitest': 'undefined' },
  // Used only where a type is asked for in passing; nothing of theirs has to run for its own sake.
  plugins: [{ name: 'unused', setup: dropUnused }],
  logLevel: 'warning',
});
writeFileSync(`${target}/bundle.json`, JSON.stringify(made.metafile));
copyFileSync(`${root}deploy/load.cjs`, `${target}/tansypost.cjs`);
for (const { run } of Object.values(
  parse(readFileSync(process.argv[3] ?? `${root}deploy/system.toml`, 'utf8')).roles,
)) {
  const { flags, program } = partsOf(run);
  warm(program, flags);
}

/** The flags of Node.js in a run line, which stand before the program's file, and the role that the program is given. */
function partsOf(run) {
  const [, ...words] = run.split(' ');
  const file = words.findIndex((word) => !word.startsWith('--'));
  return { flags: words.slice(0, file), program: words[file + 1] };
}

// A code cache holds only for the flags it was made under. Without one a role starts all the same, later.
function warm(role, flags) {
  try {
    execFileSync(process.execPath, [...flags, `${root}deploy/warm.cjs`, role, target], {
      stdio: ['ignore', 'ignore', 'inherit'],
      timeout: 30_000,
    });
  } catch (e) {
    process.stderr.write(`build: no code cache for ${role} (${e.message}); it starts without.\n`);
  }
}

function dropUnused(b) {
  b.onResolve({ filter: /^(consola|@sinclair\/typebox(\/.*)?|fastify|avsc)$/ }, async (a) => {
    if (a.pluginData === 'again') return undefined;
    const r = await b.resolve(a.path, {
      kind: a.kind,
      resolveDir: a.resolveDir,
      importer: a.importer,
      pluginData: 'again',
    });
    return { ...r, sideEffects: false };
  });
}
