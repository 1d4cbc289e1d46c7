/** The entry of a bundle in which a guard of the duties is missing: one hunt, told to whoever started the thread. */
import { parentPort, workerData } from 'node:worker_threads';
import { checkDuties, type DutyCheckOptions } from './check-duties.js';

parentPort?.postMessage(await checkDuties(workerData as DutyCheckOptions));
