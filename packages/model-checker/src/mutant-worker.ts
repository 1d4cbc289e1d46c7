/** The entry of a bundle in which a mechanism is missing: one hunt, told to whoever started the thread. */
import { parentPort, workerData } from 'node:worker_threads';
import { checkModel, type CheckOptions } from './check-model.js';

parentPort?.postMessage(await checkModel(workerData as CheckOptions));
