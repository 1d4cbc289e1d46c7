#!/usr/bin/env node
// The control-node as a process: one core place on its own disk.
import { randomBytes } from 'node:crypto';
import fastify from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import { ControlNodeSettings, runProgram } from '@tansypost/boot';
import { createRealWorld, splitAddress, type Address } from '@tansypost/inner-protocol';
import { openFileDisk } from './file-disk.js';
import { createControlNodeHost } from './control-node-host.js';

/** How long a stopping node may take to hand over what it holds, in microseconds. */
const longestHandOver = 3_000_000;

await runProgram({
  name: 'control-node',
  description: 'Holds one of the three places of the control state.',
  schema: ControlNodeSettings,
  flags: Object.keys(ControlNodeSettings.properties),
  start: async (b, log) => {
    const self = (b.advertise ?? b.listen) as Address;
    const real = await createRealWorld(b.listen as Address, log, self);
    const traces: { at: number; what: string; key: string; version: number }[] = [];
    const host = createControlNodeHost(real.world, {
      slot: b.slot,
      self,
      bootstrapMembers: b.core as Address[],
      seeds: b.seeds as Address[],
      open: (afresh, blank) => openFileDisk(b.data, afresh, blank),
      newDiskId: () => randomBytes(8).toString('hex'),
      routerLeaseUs: (b.feedTenureMs ?? 10_000) * 1000,
      dutyTenure: (b.dutyTenureMs ?? 3000) * 1000,
      observe: (what, key, version) => {
        if (!key.startsWith('desired/')) return;
        traces.push({ at: Date.now() * 1000, what, key, version });
        if (traces.length > 500) traces.shift();
      },
    });
    const opened = await host.begin();
    if (E.isLeft(opened)) throw opened.left;
    real.onMessage(host.receive);
    const app = fastify();
    app.get('/vitals', async (_q, a) => {
      const core = host.core();
      const ok = core?.replica.state() === 'voting';
      return a.code(ok ? 200 : 503).send({
        ok,
        state: core?.replica.state() ?? 'failed',
        disk: core?.replica.diskId(),
        core: core?.replica.membership(),
        owned: core?.ledKeys(),
        bytes: host.bytes(),
      });
    });
    app.get<{ Params: { version: string } }>('/trace/:version', async (q) =>
      traces.filter((t) => t.version === Number(q.params.version)),
    );
    app.get('/metrics', async (_q, a) =>
      a
        .type('text/plain; version=0.0.4')
        .send(
          `tansypost_place_voting ${host.core()?.replica.state() === 'voting' ? 1 : 0}\ntansypost_core_generation ${host.core()?.replica.membership().membershipEpoch ?? 0}\ntansypost_keys_owned ${host.core()?.ledKeys().length ?? 0}\ntansypost_file_bytes ${host.bytes()}\n`,
        ),
    );
    await app.listen(splitAddress(b.http));
    async function stop(): Promise<void> {
      await new Promise((done) => host.leave(longestHandOver, done));
      await Promise.all([app.close(), real.transport.close()]);
      await host.stop();
    }
    return { stop };
  },
});
