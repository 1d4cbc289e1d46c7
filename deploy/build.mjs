/**
 * Builds the deployed program directly from the TypeScript sources: one bundle, and a code cache for each role, which the
 * loader starts from. Output goes to target/, or to the directory given as first argument; the second argument is the
 * deploy file.
 */
import { build } from 'esbuild';
import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parse } from 'smol-toml';

const root = fileURLToPath(new URL('..', import.meta.url));
const target = process.argv[2] ?? `${root}target`;
const sources = Object.fromEntries(
  ['packages', 'programs'].flatMap((group) =>
    readdirSync(`${root}${group}`).map((name) => [`@tansypost/${name}`, `${root}${group}/${name}/src/index.ts`]),
  ),
);

rmSync(target, { recursive: true, force: true });
mkdirSync(target, { recursive: true });
const result = await build({
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
  // These libraries are imported in places only for types; none of them needs to run for its side effects.
  plugins: [{ name: 'unused', setup: markSideEffectFree }],
  logLevel: 'warning',
});
writeFileSync(`${target}/bundle.json`, JSON.stringify(result.metafile));
copyFileSync(`${root}deploy/load.cjs`, `${target}/tansypost.cjs`);
for (const { run } of Object.values(
  parse(readFileSync(process.argv[3] ?? `${root}deploy/system.toml`, 'utf8')).roles,
)) {
  const { flags, role } = parseCommand(run);
  createCodeCache(role, flags);
}

/** The Node.js flags in a command, which precede the program's file, and the role that follows the file. */
function parseCommand(run) {
  const [, ...words] = run.split(' ');
  const file = words.findIndex((word) => !word.startsWith('--'));
  return { flags: words.slice(0, file), role: words[file + 1] };
}

/** A code cache is valid only for the flags it was created with. Without one a role starts too, but more slowly. */
function createCodeCache(role, flags) {
  try {
    execFileSync(process.execPath, [...flags, `${root}deploy/warm.cjs`, role, target], {
      stdio: ['ignore', 'ignore', 'inherit'],
      timeout: 30_000,
    });
  } catch (error) {
    process.stderr.write(
      `build: cannot create the code cache for ${role} (${error.message}); the role starts without it, more slowly.\n`,
    );
  }
}

/** An esbuild plugin that drops these libraries wherever nothing of theirs is used. */
function markSideEffectFree(pluginBuild) {
  pluginBuild.onResolve({ filter: /^(consola|@sinclair\/typebox(\/.*)?|fastify|avsc)$/ }, async (args) => {
    if (args.pluginData === 'again') return undefined;
    const resolved = await pluginBuild.resolve(args.path, {
      kind: args.kind,
      resolveDir: args.resolveDir,
      importer: args.importer,
      pluginData: 'again',
    });
    return { ...resolved, sideEffects: false };
  });
}
