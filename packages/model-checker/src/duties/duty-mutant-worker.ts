/** The entry of a bundle in which a guard of the duties is missing: one hunt, told to whoever started the thread. */
import { parentPort, workerData } from 'node:worker_threads';
import { huntDuties, type DutyHuntOptions } from './duty-hunt.js';

parentPort?.postMessage(await huntDuties(workerData as DutyHuntOptions));
