#!/usr/bin/env node
// The request-router as a process.
import { randomBytes } from 'node:crypto';
import { Agent } from 'undici';
import { RouterSettings, runProgram } from '@tansypost/boot';
import { createRealWorld, digest, splitAddress, type Address } from '@tansypost/inner-protocol';
import { createApp, forwardOverHttp } from './app.js';
import { createHttpWorkerClient } from './http-worker-client.js';
import { formatMetrics } from './metrics.js';
import { createRouterCore, routerDefaults } from './router-core.js';

await runProgram({
  name: 'request-router',
  about: 'Takes requests and streams their answers from a pair of workers.',
  schema: RouterSettings,
  flags: Object.keys(RouterSettings.properties),
  start: async (b, log) => {
    const real = await createRealWorld(b.listen as Address, log);
    const workers = createHttpWorkerClient();
    const others = new Agent({ connect: { timeout: 500 }, connections: 64, pipelining: 1, bodyTimeout: 60_000 });
    const core = createRouterCore(
      real.world,
      {
        ...routerDefaults,
        routerId: `${b.member}#${randomBytes(4).toString('hex')}`,
        httpAddress: b.http,
        agentAddress: b.agent as Address,
        service: b.service ?? 'main',
        ...(b.feedTenureMs === undefined ? {} : { leaseDurationUs: b.feedTenureMs * 1000 }),
        ...(b.promptLimit === undefined ? {} : { maxPromptTokens: b.promptLimit }),
        placement: { ...routerDefaults.placement, ...(b.explore === undefined ? {} : { explore: b.explore }) },
      },
      {
        workerClient: workers,
        digestPrompt: (p) => digest(p).slice(0, 32),
        forward: (to, r, reply, gone) => forwardOverHttp(to, r, reply, gone, others),
      },
    );
    real.onMessage((m) => core.receive(m));
    const app = createApp({
      core,
      bodyLimit: b.bodyLimit ?? 1024 * 1024,
      metricsText: () => formatMetrics(core.metrics()),
    });
    await app.listen(splitAddress(b.http));
    async function stop(): Promise<void> {
      core.stopAccepting();
      while (core.activeRequests() > 0) await new Promise((ok) => setTimeout(ok, 50));
      await app.close();
      core.stop();
      await new Promise((ok) => setTimeout(ok, 100));
      await Promise.all([workers.close(), others.destroy(), real.transport.close()]);
    }
    return { stop };
  },
});
