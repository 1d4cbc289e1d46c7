/**
 * Starts the bundle in the same directory from the role's code cache, so that functions used at start-up need not be
 * compiled again. Another release of Node.js, or other flags, reject the cache; the bundle then starts without it.
 */

'use strict';
// Until the role reacts to it, a SIGHUP must not end the process. Reading and compiling the bundle takes a while.
process.on('SIGHUP', () => undefined);
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
  process.stderr.write(`tansypost: ${cache} was created by another Node.js release or with other flags; rebuild it.\n`);
}
script.runInThisContext()(exports, require, module, filename, __dirname);
