#!/usr/bin/env node
/** Runs the router agent as a process. */
import { Agent, request } from 'undici';
import { AgentSettings, runProgram } from '@tansypost/boot';
import { listenBacklog } from '@tansypost/peer-limits';
import { createRealWorld, splitAddress, type Address, type WorkerStateEntry } from '@tansypost/inner-protocol';
import { agentDefaults, createAgentCore } from './agent-core.js';
import { createAgentApp } from './app.js';
import { decodeFetchedReport, type FetchedReport } from './fetched-report.js';
import { createEventSink } from './event-sink.js';
import { createThreadTrainer } from './trainer-port.js';
import { createAgentStateFile } from './agent-state-file.js';

await runProgram({
  name: 'router-agent',
  description: 'Connects the request router on its machine to the control cluster.',
  schema: AgentSettings,
  flags: Object.keys(AgentSettings.properties),
  start: async (settings, log, guards) => {
    const self = (settings.advertise ?? settings.listen) as Address;
    const real = await createRealWorld(settings.listen as Address, log, { advertise: self, guard: guards.inner });
    const connections = new Agent({ connect: { timeout: 800 }, headersTimeout: 1500, bodyTimeout: 1500 });
    const trainer = createThreadTrainer();
    const stateFile = createAgentStateFile(settings.data);
    async function fetchReport(worker: WorkerStateEntry): Promise<FetchedReport | undefined> {
      try {
        const response = await request(`http://${worker.address}/report`, { dispatcher: connections });
        const body = Buffer.from(await response.body.arrayBuffer());
        return response.statusCode === 200 ? decodeFetchedReport(body) : undefined;
      } catch {
        return undefined;
      }
    }
    async function orderStage(worker: WorkerStateEntry, epoch: number, stage: string): Promise<boolean | undefined> {
      try {
        const response = await request(`http://${worker.address}/part`, {
          method: 'POST',
          dispatcher: connections,
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ epoch, part: stage }),
        });
        await response.body.dump();
        return response.statusCode === 200;
      } catch {
        return undefined;
      }
    }
    const sinkUrl = settings.eventSink;
    const sink =
      sinkUrl === undefined
        ? undefined
        : createEventSink(real.world, {
            member: settings.member,
            post: async (body) => {
              const response = await request(sinkUrl, {
                method: 'POST',
                dispatcher: connections,
                headers: { 'content-type': 'application/cloudevents-batch+json' },
                body,
              });
              await response.body.dump();
              return response.statusCode >= 200 && response.statusCode < 300;
            },
          });
    const service = settings.service ?? 'main';
    const core = createAgentCore(
      real.world,
      {
        ...agentDefaults,
        member: settings.member,
        self,
        zone: settings.zone,
        routerAddress: settings.router as Address,
        routerHttpAddress: settings.routerHttp,
        service,
        seeds: settings.seeds as Address[],
        slot: settings.slot,
        incarnation: Date.now(),
        persisted: stateFile.read(),
        ...(settings.dutyTenureMs === undefined ? {} : { roleLeaseUs: settings.dutyTenureMs * 1000 }),
        ...(settings.trainEvery === undefined ? {} : { samplesPerTraining: settings.trainEvery }),
        ...(settings.shiftParts === undefined ? {} : { shiftStages: settings.shiftParts }),
      },
      {
        fetchReport,
        orderStage,
        trainer,
        save: stateFile.save,
        wallClockUs: () => Date.now() * 1000,
        ...(sink === undefined ? {} : { onTraceEvent: sink.add }),
      },
    );
    real.onMessage(core.receive);
    const app = createAgentApp({
      core,
      guard: guards.control,
      service,
      ...(sink === undefined ? {} : { sinkStatistics: sink.statistics }),
    });
    await app.listen({ ...splitAddress(settings.http), backlog: listenBacklog(guards.control) });
    async function stop(): Promise<void> {
      core.stop();
      sink?.stop();
      await Promise.all([app.close(), connections.destroy(), trainer.close(), real.transport.close()]);
    }
    return { stop };
  },
});
