/**
 * Starts the bundle beside it from the role's code cache, so that the functions used at the start need not
 * be compiled again. Another release of Node.js or other flags refuse the cache; the bundle then starts without.
 */

'use strict';
const { existsSync, readFileSync } = require('node:fs');
const { Script } = require('node:vm');

const filename = `${__dirname}/bundle.cjs`;
const cache = `${__dirname}/${process.argv[2]}.cache`;
const cached = ['router', 'keeper'].includes(process.argv[2]) && existsSync(cache);
const script = new Script(readFileSync(filename, 'latin1'), {
  filename,
  cachedData: cached ? readFileSync(cache) : undefined,
});
if (script.cachedDataRejected === true) {
  process.stderr.write(`tansypost: ${cache} was made by another Node.js or under other flags; build anew.\n`);
}
script.runInThisContext()(exports, require, module, filename, __dirname);
