/** The guards of all ports of a process. */
import { createConnectionGuard, type ConnectionGuard } from './connection-guard.js';
import type { PeerLimits, PortName } from './port-limits.js';

/** One guard for each port, and the limit of an operator's call. */
export interface PeerGuards extends Readonly<Record<PortName, ConnectionGuard>> {
  /** The longest body of an operator's call, in bytes. */
  readonly controlBodyBytes: number;
}

/** Creates guards that close connections and log event 1201. */
export function createPeerGuards(
  { ports, timeouts, controlBodyBytes }: PeerLimits,
  log: (event: number, fields: Record<string, unknown>) => void,
): PeerGuards {
  function guardOf(port: PortName): ConnectionGuard {
    return createConnectionGuard({ port, limits: ports[port], timeouts, log });
  }
  return {
    clients: guardOf('clients'),
    control: guardOf('control'),
    readiness: guardOf('readiness'),
    inner: guardOf('inner'),
    controlBodyBytes,
  };
}
