/** The entry of a bundle in which a mechanism is missing: one hunt, told to whoever started the thread. */
import { parentPort, workerData } from 'node:worker_threads';
import { hunt, type HuntOptions } from './finder.js';

parentPort?.postMessage(await hunt(workerData as HuntOptions));
