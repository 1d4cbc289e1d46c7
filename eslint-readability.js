/** The rules that keep code readable: length, complexity, whole names and doc comments. */
import jsdoc from 'eslint-plugin-jsdoc';

/** Indices, the operands of a comparison, fp-ts's usual import name, and common short words. */
const shortNames = [
  'a',
  'b',
  'i',
  'j',
  'E',
  'at',
  'by',
  'id',
  'is',
  'it',
  'kv',
  'ms',
  'of',
  'ok',
  'or',
  'to',
  'up',
  'us',
];
const shortName = `/^(?!(${shortNames.join('|')})$).{1,2}$/`;
const shortNameMessage = 'Use a whole name.';

/** The declarations that need a doc comment where they are exported. */
const exported = [
  'ExportNamedDeclaration > FunctionDeclaration',
  'ExportNamedDeclaration > ClassDeclaration',
  'ExportNamedDeclaration > TSInterfaceDeclaration',
  'ExportNamedDeclaration > TSTypeAliasDeclaration',
  'ExportNamedDeclaration[declaration.type="VariableDeclaration"]',
];

/** Each module begins with a comment that says what it is for; the line that names its interpreter may come before. */
const moduleComment = {
  meta: { type: 'suggestion', messages: { missing: 'Begin the module with a doc comment (/** ... */).' } },
  create(context) {
    function check(program) {
      const comments = context.sourceCode.getAllComments();
      const shebang = comments[0]?.type === 'Shebang' ? comments.shift() : undefined;
      const first = comments[0];
      const start = shebang === undefined ? 0 : shebang.range[1] + 1;
      const startsWithComment = first?.type === 'Block' && first.value.startsWith('*') && first.range[0] === start;
      if (!startsWithComment) context.report({ node: program, messageId: 'missing' });
    }
    return { Program: check };
  },
};

/** Holds for code and tests alike. */
const everywhere = {
  complexity: ['error', 12],
  'readability/module-comment': 'error',
};

/** Holds outside tests. */
const outsideTests = {
  'max-lines': ['error', 300],
  'max-lines-per-function': ['error', 50],
  'id-length': ['error', { min: 3, exceptions: shortNames, properties: 'always' }],
  // id-length passes over the names in types.
  'no-restricted-syntax': [
    'error',
    { selector: `TSPropertySignature > Identifier.key[name=${shortName}]`, message: shortNameMessage },
    { selector: `TSMethodSignature > Identifier.key[name=${shortName}]`, message: shortNameMessage },
    { selector: `TSFunctionType > Identifier.params[name=${shortName}]`, message: shortNameMessage },
  ],
  'jsdoc/require-jsdoc': ['error', { enableFixer: false, require: { FunctionDeclaration: false }, contexts: exported }],
  'jsdoc/require-description': ['error', { contexts: ['any'] }],
};

const tests = ['**/*.test.ts', 'tests/**', '**/vitest.config.ts'];

/** The configuration for all files but those below the directories given. */
export function readability(uncleaned) {
  const ignores = uncleaned.map((directory) => `${directory}/**`);
  const files = ['packages/**/*.ts', 'programs/**/*.ts', 'platform/**/*.ts', 'tests/**/*.ts', 'deploy/**'];
  return [
    {
      files,
      ignores,
      plugins: { jsdoc, readability: { rules: { 'module-comment': moduleComment } } },
      rules: everywhere,
    },
    { files, ignores: [...ignores, ...tests], rules: outsideTests },
    { files: ['**/index.ts'], ignores, rules: { 'readability/module-comment': 'off' } },
  ];
}
