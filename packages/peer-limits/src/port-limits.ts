/** The limits of the ports of a process, from the memory and the descriptors that its machine allows it. */
import type { PhaseTimeouts, PortLimits } from './port-budget.js';

/** The ports of a process: for clients, for operators, for readiness checks, and for other processes of the system. */
export type PortName = 'clients' | 'control' | 'readiness' | 'inner';

/** What a process may use. */
export interface MachineAllowance {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

/** Limits that an operator may set in place of the defaults. */
export interface PeerLimitSettings {
  readonly clientConnections?: number | undefined;
  readonly clientPendingKb?: number | undefined;
  readonly clientRequestKb?: number | undefined;
  readonly controlConnections?: number | undefined;
  readonly controlPendingKb?: number | undefined;
  readonly controlBodyKb?: number | undefined;
  readonly readinessConnections?: number | undefined;
  readonly innerConnections?: number | undefined;
  readonly innerPendingKb?: number | undefined;
  readonly bodyTimeoutMs?: number | undefined;
  readonly unreadTimeoutMs?: number | undefined;
  readonly workerPendingKb?: number | undefined;
}

/** The limits of a process. */
export interface PeerLimits {
  readonly ports: Readonly<Record<PortName, PortLimits>>;
  /** The longest body of an operator's call, in bytes. */
  readonly controlBodyBytes: number;
  /** What all workers together may make the process hold of events and bodies that are not complete, in bytes. */
  readonly workerPendingBytes: number;
  /** How many connections to workers may be in the course of being established. */
  readonly workerConnecting: number;
  readonly timeouts: PhaseTimeouts;
}

const bytesPerKb = 1024;
const bytesPerMb = 1024 * 1024;
/** Descriptors kept for files, and not for connections. */
const fileDescriptors = 200;
/** A connection holds about this much of its own: the socket, its parser, and the head of a request. */
const bytesPerConnection = 32 * bytesPerKb;
/** The share of the memory that the connections of a port may take by themselves. */
const connectionMemoryShare = 0.1;
const minConnections = 8;
/** Parsing a body as JSON may take some twenty times its length. */
const controlBodyShare = 1 / 80;
const workerPendingShare = 0.05;
/** The share of the descriptors for connections. */
const workerConnectingShare = 0.2;
const defaultTimeouts = { headMs: 10_000, bodyMs: 60_000, unreadMs: 30_000 } as const;

/** The shares of one port: of the descriptors for connections, and of the memory. */
interface PortShares {
  readonly connections: number;
  readonly pending: number;
  readonly requests: number;
}
const shares: Readonly<Record<PortName, PortShares>> = {
  clients: { connections: 0.4, pending: 0.05, requests: 0.05 },
  control: { connections: 0.05, pending: 0.03, requests: 0.03 },
  readiness: { connections: 0.03, pending: 0.01, requests: 0.01 },
  inner: { connections: 0.25, pending: 0.05, requests: 0 },
};

function kilobytes(setting: number | undefined): number | undefined {
  return setting === undefined ? undefined : setting * bytesPerKb;
}

/** The limits of a process that may use this much. */
export function createPeerLimits(allowance: MachineAllowance, settings: PeerLimitSettings = {}): PeerLimits {
  const memory = allowance.memoryMb * bytesPerMb;
  const sockets = Math.max(0, allowance.maxDescriptors - fileDescriptors);

  function portLimits(port: PortName, set: Partial<PortLimits>): PortLimits {
    const { connections, pending, requests } = shares[port];
    const byMemory = (connectionMemoryShare * memory) / bytesPerConnection;
    return {
      maxConnections:
        set.maxConnections ?? Math.max(minConnections, Math.floor(Math.min(connections * sockets, byMemory))),
      maxPendingBytes: set.maxPendingBytes ?? pending * memory,
      maxRequestBytes: set.maxRequestBytes ?? requests * memory,
    };
  }

  return {
    ports: {
      clients: portLimits('clients', {
        maxConnections: settings.clientConnections,
        maxPendingBytes: kilobytes(settings.clientPendingKb),
        maxRequestBytes: kilobytes(settings.clientRequestKb),
      }),
      control: portLimits('control', {
        maxConnections: settings.controlConnections,
        maxPendingBytes: kilobytes(settings.controlPendingKb),
      }),
      readiness: portLimits('readiness', { maxConnections: settings.readinessConnections }),
      inner: portLimits('inner', {
        maxConnections: settings.innerConnections,
        maxPendingBytes: kilobytes(settings.innerPendingKb),
      }),
    },
    controlBodyBytes: kilobytes(settings.controlBodyKb) ?? Math.floor(controlBodyShare * memory),
    workerPendingBytes: kilobytes(settings.workerPendingKb) ?? workerPendingShare * memory,
    workerConnecting: Math.max(minConnections, Math.floor(workerConnectingShare * sockets)),
    timeouts: {
      head: defaultTimeouts.headMs,
      body: settings.bodyTimeoutMs ?? defaultTimeouts.bodyMs,
      answer: settings.unreadTimeoutMs ?? defaultTimeouts.unreadMs,
    },
  };
}
