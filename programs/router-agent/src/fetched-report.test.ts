/** Load reports of workers, whatever they contain. */
import { createVirtualClock, encodeMessage, type Address, type Message } from '@tansypost/inner-protocol';
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { decodeFetchedReport } from './fetched-report.js';
import { createLoadReports } from './load-reports.js';

const self = 'a:1' as Address;
const entry = { worker: 'w', incarnation: 1, state: 0, address: '10.0.0.1:8080' };
const anyValue = fc.oneof(fc.jsonValue(), fc.double(), fc.constant(2 ** 64), fc.nat());
const anyReport = fc
  .record(
    { queued: anyValue, active: anyValue, kv_used: anyValue, part: anyValue, fence: anyValue },
    { requiredKeys: [], noNullPrototype: true },
  )
  .map((fields) => ({ queued: 1, active: 1, kv_used: 0.5, part: 'decode', incarnation: 1, fence: 1, ...fields }));

// Guards against agents that end at a report whose numbers no message can carry, or that is null.
it('sends only messages that can be encoded, whatever a worker reports', async () => {
  await fc.assert(
    fc.asyncProperty(fc.oneof(anyReport, fc.jsonValue()), async (report) => {
      const sent: Message[] = [];
      const clock = createVirtualClock({ send: (_to, message) => sent.push(message) });
      const reports = createLoadReports(clock.world, {
        self,
        isZoneLeader: () => true,
        zoneLeader: () => self,
        zoneLeaders: () => [self],
        subscribers: () => ['b:1' as Address],
        workers: () => [entry],
        fetchReport: async () => decodeFetchedReport(Buffer.from(JSON.stringify(report))),
        onChange: () => undefined,
      });
      reports.setProbeAllowance('r', 0, 0, 0);
      await clock.runTo(100_000);
      reports.setProbeAllowance('r', 0, 0, 1);
      await clock.runTo(300_000);
      reports.stop();
      expect(sent.length).toBe(1);
      expect(clock.logged.filter(({ event }) => event === 1005)).toEqual([]);
      for (const message of sent) expect(encodeMessage(message).length).toBeGreaterThan(0);
    }),
    { seed: 7, numRuns: 300 },
  );
});
