/** The heap in use once all that can be let go of is gone. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

export function heapNow(): number {
  setFlagsFromString('--expose-gc');
  const gc = runInNewContext('gc') as () => void;
  gc();
  gc();
  return process.memoryUsage().heapUsed;
}
