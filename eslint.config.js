import tseslint from 'typescript-eslint';
import { readability } from './eslint-readability.js';
import { uncleaned } from './eslint-uncleaned.js';

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', 'runs/**', 'target/**'] },
  ...tseslint.configs.recommended,
  {
    rules: {
      'func-style': ['error', 'declaration', { allowArrowFunctions: false }],
      '@typescript-eslint/no-unused-vars': [
        'error',
        { argsIgnorePattern: '^_', varsIgnorePattern: '^_', caughtErrors: 'none' },
      ],
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
    },
  },
  { files: ['deploy/*.cjs'], rules: { '@typescript-eslint/no-require-imports': 'off' } },
  ...readability(uncleaned),
);
