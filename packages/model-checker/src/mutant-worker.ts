/** The worker entry of a mutant bundle: runs one check and posts its result to the parent thread. */
import { parentPort, workerData } from 'node:worker_threads';
import { checkModel, type CheckOptions } from './check-model.js';

parentPort?.postMessage(await checkModel(workerData as CheckOptions));
