/** Worker thread of the `control` command that plays the pairs of losses it receives, one after the other. */
import { parentPort } from 'node:worker_threads';
import { playLossJob } from './control-report.js';
import type { LossRunOptions } from './loss-run.js';

parentPort?.on('message', (job: LossRunOptions) => {
  void playLossJob(job).then((outcome) => parentPort!.postMessage(outcome));
});
