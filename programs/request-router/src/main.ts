#!/usr/bin/env node
// The request-router as a process.
import { randomBytes } from 'node:crypto';
import { Agent } from 'undici';
import { RouterSettings, runProgram } from '@tansypost/boot';
import { createRealWorld, digest, splitAddress, type Address } from '@tansypost/inner-protocol';
import { createApp, sendOnHttp } from './app.js';
import { createHttpWorkers } from './http-workers.js';
import { metrics } from './metrics.js';
import { createRouterCore, routerDefaults } from './router-core.js';

await runProgram({
  name: 'request-router',
  description: 'Takes requests and streams their answers from a pair of workers.',
  schema: RouterSettings,
  flags: Object.keys(RouterSettings.properties),
  start: async (b, log) => {
    const real = await createRealWorld(b.listen as Address, log);
    const workers = createHttpWorkers();
    const others = new Agent({ connect: { timeout: 500 }, connections: 64, pipelining: 1, bodyTimeout: 60_000 });
    const core = createRouterCore(
      real.world,
      {
        ...routerDefaults,
        router: `${b.member}#${randomBytes(4).toString('hex')}`,
        http: b.http,
        agent: b.agent as Address,
        service: b.service ?? 'main',
        ...(b.feedTenureMs === undefined ? {} : { tenure: b.feedTenureMs * 1000 }),
        ...(b.promptLimit === undefined ? {} : { promptLimit: b.promptLimit }),
        placement: { ...routerDefaults.placement, ...(b.explore === undefined ? {} : { explorationRate: b.explore }) },
      },
      {
        workers,
        digest: (p) => digest(p).slice(0, 32),
        sendOn: (to, r, reply, gone) => sendOnHttp(to, r, reply, gone, others),
      },
    );
    real.onMessage((m) => core.receive(m));
    const app = createApp({ core, bodyLimit: b.bodyLimit ?? 1024 * 1024, metrics: () => metrics(core.figures()) });
    await app.listen(splitAddress(b.http));
    async function stop(): Promise<void> {
      core.stopTaking();
      while (core.active() > 0) await new Promise((ok) => setTimeout(ok, 50));
      await app.close();
      core.stop();
      await new Promise((ok) => setTimeout(ok, 100));
      await Promise.all([workers.close(), others.destroy(), real.transport.close()]);
    }
    return { stop };
  },
});
