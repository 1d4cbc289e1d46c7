/** The worker entry of a duty mutant's bundle: runs one check and posts its result to the parent thread. */
import { parentPort, workerData } from 'node:worker_threads';
import { checkDuties, type DutyCheckOptions } from './check-duties.js';

parentPort?.postMessage(await checkDuties(workerData as DutyCheckOptions));
