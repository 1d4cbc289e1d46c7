#!/usr/bin/env node
/** Runs a control node as a process: one replica of the control state on its own disk. */
import { randomBytes } from 'node:crypto';
import { createGuardedApp } from '@tansypost/guarded-app';
import { listenBacklog } from '@tansypost/peer-limits';
import * as E from 'fp-ts/lib/Either.js';
import { ControlNodeSettings, runProgram } from '@tansypost/boot';
import { createRealWorld, splitAddress, type Address } from '@tansypost/inner-protocol';
import { openFileDisk } from './file-disk.js';
import { createControlNodeHost } from './control-node-host.js';

/** How long a stopping node may take to transfer what it leads, in microseconds. */
const leaveTimeoutUs = 3_000_000;

await runProgram({
  name: 'control-node',
  description: 'Runs one of the three replicas of the control state.',
  schema: ControlNodeSettings,
  flags: Object.keys(ControlNodeSettings.properties),
  start: async (settings, log, guards) => {
    const self = (settings.advertise ?? settings.listen) as Address;
    const real = await createRealWorld(settings.listen as Address, log, { advertise: self, guard: guards.inner });
    const traces: { at: number; what: string; key: string; version: number }[] = [];
    const host = createControlNodeHost(real.world, {
      slot: settings.slot,
      self,
      restartsOnError: true,
      bootstrapMembers: settings.core as Address[],
      seeds: settings.seeds as Address[],
      open: (rewrite, discard) => openFileDisk(settings.data, rewrite, discard),
      newDiskId: () => randomBytes(8).toString('hex'),
      routerLeaseUs: (settings.feedTenureMs ?? 10_000) * 1000,
      roleLeaseUs: (settings.dutyTenureMs ?? 3000) * 1000,
      observe: (what, key, version) => {
        if (!key.startsWith('desired/')) return;
        traces.push({ at: Date.now() * 1000, what, key, version });
        if (traces.length > 500) traces.shift();
      },
    });
    const opened = await host.start();
    if (E.isLeft(opened)) throw opened.left;
    real.onMessage(host.receive);
    const app = createGuardedApp({ guard: guards.control, maxBodyBytes: guards.controlBodyBytes, bodies: 'json' });
    app.get('/vitals', async (_request, reply) => {
      const node = host.controlNode();
      const ok = node?.replica.state() === 'voting';
      return reply.code(ok ? 200 : 503).send({
        ok,
        state: node?.replica.state() ?? 'failed',
        disk: node?.replica.diskId(),
        core: node?.replica.membership(),
        owned: node?.ledKeys(),
        bytes: host.diskBytes(),
      });
    });
    app.get<{ Params: { version: string } }>('/trace/:version', async (request) =>
      traces.filter((event) => event.version === Number(request.params.version)),
    );
    app.get('/metrics', async (_request, reply) =>
      reply
        .type('text/plain; version=0.0.4')
        .send(
          `tansypost_place_voting ${host.controlNode()?.replica.state() === 'voting' ? 1 : 0}\ntansypost_core_generation ${host.controlNode()?.replica.membership().membershipEpoch ?? 0}\ntansypost_keys_owned ${host.controlNode()?.ledKeys().length ?? 0}\ntansypost_file_bytes ${host.diskBytes()}\n`,
        ),
    );
    await app.listen({ ...splitAddress(settings.http), backlog: listenBacklog(guards.control) });
    async function stop(): Promise<void> {
      await new Promise((done) => host.leave(leaveTimeoutUs, done));
      await Promise.all([app.close(), real.transport.close()]);
      await host.stop();
    }
    return { stop };
  },
});
