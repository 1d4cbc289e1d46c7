/** The summary of a rehearsal that an operator sees. */
import { beginRehearsal, emptyRecord, endRehearsal, goLive, passStage, type Measured } from '@tansypost/rehearsal';
import { expect, it } from 'vitest';
import { summarizeRehearsals } from './rehearsal-summary.js';

it('describes at each stage the measurements and the next step', () => {
  const measured: Measured = {
    slice: { count: 210, failures: 0, meanLog: 0, sdLog: 1 },
    control: { count: 640, failures: 0, meanLog: 0, sdLog: 1 },
    why: 'TTFT -3.0 %',
  };
  const started = beginRehearsal(
    emptyRecord,
    'model-64-1',
    { type: 'model', model: { version: { epoch: 64, n: 1 }, hash: 'h', blob: 'b' } },
    0.1,
    'operator',
  );
  expect(summarizeRehearsals(emptyRecord)).toMatch(/No model is live.*\n.*none assigned.*\nNo rehearsal is running/);
  expect(summarizeRehearsals(started)).toMatch(/10 % of the requests[^]*no interim analysis yet[^]*widens to half/);
  const widened = passStage(started, measured);
  expect(summarizeRehearsals(widened)).toMatch(
    /50 %[^]*210 requests in the treatment cohort and 640[^]*waits for your approval/,
  );
  const awaitingApproval = passStage(widened, measured);
  expect(summarizeRehearsals(awaitingApproval)).toMatch(
    /It waits for your approval: tansypost rehearsal approve model-64-1/,
  );
  const live = goLive(awaitingApproval);
  expect(summarizeRehearsals(live)).toMatch(/Live model: 64\/1[^]*watched[^]*rolled back/);
  expect(summarizeRehearsals(endRehearsal(live, 'live', measured))).toMatch(
    /Ended, newest first:\n {2}model-64-1.*live; 210/,
  );
});
