#!/usr/bin/env node
// The router-agent as a process.
import { Agent, request } from 'undici';
import { AgentSettings, runProgram } from '@tansypost/boot';
import { createRealWorld, splitAddress, type Address, type WorkerStateEntry } from '@tansypost/inner-protocol';
import { agentDefaults, createAgentCore } from './agent-core.js';
import { createAgentApp } from './app.js';
import type { FetchedReport } from './reports.js';
import { createEventSink } from './event-sink.js';
import { createThreadTrainer } from './trainer-port.js';
import { createViewsFile } from './views-file.js';

await runProgram({
  name: 'router-agent',
  description: 'Links the router on its machine to the control plane.',
  schema: AgentSettings,
  flags: Object.keys(AgentSettings.properties),
  start: async (b, log) => {
    const self = (b.advertise ?? b.listen) as Address;
    const real = await createRealWorld(b.listen as Address, log, self);
    const http = new Agent({ connect: { timeout: 800 }, headersTimeout: 1500, bodyTimeout: 1500 });
    const trainer = createThreadTrainer();
    const file = createViewsFile(b.data);
    async function fetchReport(m: WorkerStateEntry): Promise<FetchedReport | undefined> {
      try {
        const r = await request(`http://${m.address}/report`, { dispatcher: http });
        const x = (await r.body.json()) as FetchedReport;
        return r.statusCode === 200 &&
          typeof x.queued === 'number' &&
          typeof x.active === 'number' &&
          typeof x.kv_used === 'number'
          ? x
          : undefined;
      } catch {
        return undefined;
      }
    }
    async function order(m: WorkerStateEntry, epoch: number, part: string): Promise<boolean | undefined> {
      try {
        const r = await request(`http://${m.address}/part`, {
          method: 'POST',
          dispatcher: http,
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ epoch, part }),
        });
        await r.body.dump();
        return r.statusCode === 200;
      } catch {
        return undefined;
      }
    }
    const sinkAt = b.eventSink;
    const sink =
      sinkAt === undefined
        ? undefined
        : createEventSink(real.world, {
            member: b.member,
            post: async (body) => {
              const r = await request(sinkAt, {
                method: 'POST',
                dispatcher: http,
                headers: { 'content-type': 'application/cloudevents-batch+json' },
                body,
              });
              await r.body.dump();
              return r.statusCode >= 200 && r.statusCode < 300;
            },
          });
    const service = b.service ?? 'main';
    const core = createAgentCore(
      real.world,
      {
        ...agentDefaults,
        member: b.member,
        self,
        zone: b.zone,
        router: b.router as Address,
        routerHttp: b.routerHttp,
        service,
        seeds: b.seeds as Address[],
        slot: b.slot,
        born: Date.now(),
        persisted: file.read(),
        ...(b.dutyTenureMs === undefined ? {} : { dutyTenure: b.dutyTenureMs * 1000 }),
        ...(b.trainEvery === undefined ? {} : { trainEvery: b.trainEvery }),
        ...(b.shiftParts === undefined ? {} : { shiftParts: b.shiftParts }),
      },
      {
        fetchReport,
        order,
        trainer,
        save: file.save,
        wall: () => Date.now() * 1000,
        ...(sink === undefined ? {} : { changed: sink.add }),
      },
    );
    real.onMessage(core.receive);
    const app = createAgentApp({ core, service, ...(sink === undefined ? {} : { sink: sink.figures }) });
    await app.listen(splitAddress(b.http));
    async function stop(): Promise<void> {
      core.stop();
      sink?.stop();
      await Promise.all([app.close(), http.destroy(), trainer.close(), real.transport.close()]);
    }
    return { stop };
  },
});
