// Starts the bundle beside it from the role's code cache, so that the functions used at the start need not
// be compiled again. Another release of Node.js refuses the cache; the bundle then starts without it.
'use strict';
const { readFileSync, existsSync } = require('node:fs');
const { Script } = require('node:vm');

const filename = `${__dirname}/bundle.cjs`;
const cache = `${__dirname}/${process.argv[2] === 'keeper' ? 'keeper' : 'router'}.cache`;
const script = new Script(readFileSync(filename, 'latin1'), {
  filename,
  cachedData: existsSync(cache) ? readFileSync(cache) : undefined,
});
if (script.cachedDataRejected === true)
  process.stderr.write(`tansypost: ${cache} is of another Node.js or made under other flags; build anew.\n`);
script.runInThisContext()(exports, require, module, filename, __dirname);
