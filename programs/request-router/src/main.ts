#!/usr/bin/env node
/** Runs the request router as a process. */
import { randomBytes } from 'node:crypto';
import { Agent } from 'undici';
import { RouterSettings, runProgram } from '@tansypost/boot';
import { listenBacklog } from '@tansypost/peer-limits';
import { createRealWorld, digest, splitAddress, type Address } from '@tansypost/inner-protocol';
import { createApp, forwardOverHttp } from './app.js';
import { createHttpWorkerClient } from './http-worker-client.js';
import { formatMetrics } from './metrics.js';
import { createRouterCore, routerDefaults } from './router-core.js';

await runProgram({
  name: 'request-router',
  description: 'Accepts completion requests and streams the responses from a prefill and a decode worker.',
  schema: RouterSettings,
  flags: Object.keys(RouterSettings.properties),
  start: async (settings, log, guards) => {
    const real = await createRealWorld(settings.listen as Address, log, { guard: guards.inner });
    const workerClient = createHttpWorkerClient();
    const peerConnections = new Agent({
      connect: { timeout: 500 },
      connections: 64,
      pipelining: 1,
      bodyTimeout: 60_000,
    });
    const core = createRouterCore(
      real.world,
      {
        ...routerDefaults,
        routerId: `${settings.member}#${randomBytes(4).toString('hex')}`,
        httpAddress: settings.http,
        agentAddress: settings.agent as Address,
        service: settings.service ?? 'main',
        ...(settings.feedTenureMs === undefined ? {} : { leaseDurationUs: settings.feedTenureMs * 1000 }),
        ...(settings.promptLimit === undefined ? {} : { maxPromptTokens: settings.promptLimit }),
        placement: {
          ...routerDefaults.placement,
          ...(settings.explore === undefined ? {} : { explorationRate: settings.explore }),
        },
      },
      {
        workerClient,
        digestPrompt: (prompt) => digest(prompt).slice(0, 32),
        forward: (router, request, response, clientGone) =>
          forwardOverHttp(router, request, response, clientGone, peerConnections),
      },
    );
    real.onMessage((message) => core.receive(message));
    const app = createApp({
      core,
      guard: guards.clients,
      bodyLimit: settings.bodyLimit ?? 1024 * 1024,
      metricsText: () => formatMetrics(core.metrics()),
    });
    await app.listen({ ...splitAddress(settings.http), backlog: listenBacklog(guards.clients) });
    async function stop(): Promise<void> {
      core.stopAccepting();
      while (core.activeRequests() > 0) await new Promise((resolve) => setTimeout(resolve, 50));
      await app.close();
      core.stop();
      await new Promise((resolve) => setTimeout(resolve, 100));
      await Promise.all([workerClient.close(), peerConnections.destroy(), real.transport.close()]);
    }
    return { stop };
  },
});
