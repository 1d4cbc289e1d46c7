/**
 * The simulator's control runs through the platform's operator API: its parsing of configurations and of If-Match takes
 * the place of the simulator's own.
 */
import { describe, expect, it } from 'vitest';
import { reportPartitions, reportRaces, type ConfigService } from '@tansypost/simulator';
import { getConfig, putConfig } from '../platform/src/config-calls.js';

const platformService: ConfigService = {
  put: async (access, body, base) => (await putConfig(access, Buffer.from(body), `"${base}"`)).code,
  get: async (access) => {
    const answer = await getConfig(access);
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
  const options = { members, service: platformService };

  it('serves nothing stale and answers in time while one member is cut off or frozen', async () => {
    const report = await reportPartitions({ ...options, seeds: { from: 11, count: 1 } });
    expect(report.breaches).toEqual([]);
  });

  it('accepts one of two concurrent changes, and recognizes it after three hundred others', async () => {
    const report = await reportRaces({ ...options, seeds: { from: 11, count: 1 }, others: 300 });
    expect(report.breaches).toEqual([]);
  });
});
