import { defineConfig } from 'vitest/config';
import { readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('.', import.meta.url));
const alias = Object.fromEntries(
  ['packages', 'programs'].flatMap((g) =>
    readdirSync(`${root}${g}`).map((n) => [`@tansypost/${n}`, `${root}${g}/${n}/src/index.ts`]),
  ),
);

export default defineConfig({
  resolve: { alias },
  test: {
    include: ['tests/**/*.test.ts', '{packages/*,programs/*,platform}/src/**/*.test.ts', 'deploy/*.test.ts'],
    testTimeout: 120_000,
    hookTimeout: 120_000,
  },
});
