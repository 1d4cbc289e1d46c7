/**
 * The runs of the control side through the operators' calls as the users' platform serves them: its own reading of the
 * configuration and of the version that an order builds on, in place of the simulator's.
 */
import { describe, expect, it } from 'vitest';
import { reportPartitions, reportRaces, type ConfigService } from '@tansypost/simulator';
import { getConfig, putConfig } from '../platform/src/config-calls.js';

const platformService: ConfigService = {
  put: async (w, text, base) => (await putConfig(w, Buffer.from(text), `"${base}"`)).code,
  get: async (w) => {
    const answer = await getConfig(w);
    return { code: answer.code, text: answer.body.toString() };
  },
  renderConfiguration: (revision, label) =>
    JSON.stringify({
      revision,
      routes: [
        { name: label, hostname: 'h', path_prefix: '/p/', route_kind: 'idempotent', deadline_ms: 8000, backend: 's' },
      ],
      backends: [{ name: 's' }],
      limits: {},
    }),
};

describe.each([3, 5])('with %i members', (members) => {
  const o = { members, service: platformService };

  it('serves nothing old and answers in time while one is cut off or frozen', async () => {
    const report = await reportPartitions({ ...o, seeds: { from: 11, count: 1 } });
    expect(report.breaches).toEqual([]);
  });

  it('takes one order of a race, and knows it again after three hundred others', async () => {
    const report = await reportRaces({ ...o, seeds: { from: 11, count: 1 }, others: 300 });
    expect(report.breaches).toEqual([]);
  });
});
