/** The limits of the ports, from what the machine allows. */
import { expect, it } from 'vitest';
import { createPeerLimits, type PeerLimitSettings } from './port-limits.js';

const allowance = { memoryMb: 350, maxDescriptors: 4100 };
const bytesPerMb = 1024 * 1024;

it('leaves memory and descriptors for the process itself', () => {
  for (const memoryMb of [64, 220, 350, 4000])
    for (const maxDescriptors of [256, 500, 4100]) {
      const ports = Object.values(createPeerLimits({ memoryMb, maxDescriptors }).ports);
      const connections = ports.reduce((sum, { maxConnections }) => sum + maxConnections, 0);
      const bytes = ports.reduce(
        (sum, { maxPendingBytes, maxRequestBytes }) => sum + maxPendingBytes + maxRequestBytes,
        0,
      );
      expect(connections).toBeLessThan(maxDescriptors - 200);
      expect(bytes).toBeLessThan(0.3 * memoryMb * bytesPerMb);
    }
});

it('has room for several bodies of common length on a common machine', () => {
  const { ports } = createPeerLimits(allowance);
  expect(ports.clients.maxPendingBytes).toBeGreaterThan(4 * 4 * bytesPerMb);
  expect(ports.clients.maxConnections).toBeGreaterThan(1000);
  expect(ports.inner.maxConnections).toBeGreaterThan(900);
});

it.each<[keyof PeerLimitSettings, (limits: ReturnType<typeof createPeerLimits>) => number | undefined, number]>([
  ['clientConnections', ({ ports }) => ports.clients.maxConnections, 7],
  ['clientPendingKb', ({ ports }) => ports.clients.maxPendingBytes, 7 * 1024],
  ['clientRequestKb', ({ ports }) => ports.clients.maxRequestBytes, 7 * 1024],
  ['controlConnections', ({ ports }) => ports.control.maxConnections, 7],
  ['controlPendingKb', ({ ports }) => ports.control.maxPendingBytes, 7 * 1024],
  ['controlBodyKb', ({ controlBodyBytes }) => controlBodyBytes, 7 * 1024],
  ['readinessConnections', ({ ports }) => ports.readiness.maxConnections, 7],
  ['innerConnections', ({ ports }) => ports.inner.maxConnections, 7],
  ['innerPendingKb', ({ ports }) => ports.inner.maxPendingBytes, 7 * 1024],
  ['bodyTimeoutMs', ({ timeouts }) => timeouts.body, 7],
  ['unreadTimeoutMs', ({ timeouts }) => timeouts.answer, 7],
  ['workerPendingKb', ({ workerPendingBytes }) => workerPendingBytes, 7 * 1024],
])('takes %s from the settings', (setting, read, expected) => {
  expect(read(createPeerLimits(allowance, { [setting]: 7 }))).toBe(expected);
  expect(read(createPeerLimits(allowance))).not.toBe(expected);
});
