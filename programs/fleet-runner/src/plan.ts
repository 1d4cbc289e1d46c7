/**
 * The layout of a fleet on one host: every simulated machine has its own loopback address and every process its own
 * settings file. Control nodes, agents and workers are reached through a relay, so that their links can be disturbed.
 * Each machine runs a router and an agent; the first three run a control node as well.
 */
import type { Deployment } from '@tansypost/requester-stand-in';

export type Program = 'control-node' | 'router-agent' | 'request-router' | 'worker-stand-in';
/** One process of the fleet. */
export interface FleetMember {
  readonly name: string;
  readonly program: Program;
  readonly machine: string;
  readonly zone: string;
  readonly ip: string;
  readonly http: string;
  readonly settings: Record<string, unknown>;
  readonly dataFolder: string | undefined;
  readonly relay:
    { readonly advertised: string; readonly target: string; readonly isInternalLink: boolean } | undefined;
}
export interface FleetPlan {
  readonly deployment: Deployment;
  readonly members: readonly FleetMember[];
  readonly seeds: readonly string[];
}

export interface PlanOptions {
  readonly octet: number;
  readonly folder: string;
  readonly logLevel: number;
  readonly trainEvery?: number;
  readonly feedTenureMs?: number;
}

// Prefill throughput of the workers in tokens per second, assigned round-robin, so that workers differ.
const prefillRates = [14_000, 9000, 6000, 12_000];

/** Assigns names, zones, addresses and settings to all processes. */
export function planFleet(deployment: Deployment, options: PlanOptions): FleetPlan {
  const members: FleetMember[] = [];
  const machines = Array.from({ length: deployment.machines }, (_, index) => ({
    name: `m${index}`,
    zone: `z${index % deployment.zones}`,
    ip: `127.${options.octet}.${(index % deployment.zones) + 1}.${index + 1}`,
  }));
  const controlAddresses = machines.slice(0, 3).map((machine) => `${machine.ip}:7102`);
  const seeds = machines.slice(0, 3).map((machine) => `${machine.ip}:7100`);
  const common = { seeds, logLevel: options.logLevel };
  const leaseSettings = options.feedTenureMs === undefined ? {} : { feedTenureMs: options.feedTenureMs };
  machines.forEach((machine, index) => {
    if (index < 3) {
      const data = `${options.folder}/data/keeper${index}`;
      members.push({
        name: `keeper${index}`,
        program: 'control-node',
        machine: machine.name,
        zone: machine.zone,
        ip: machine.ip,
        http: `${machine.ip}:8002`,
        dataFolder: data,
        relay: { advertised: `${machine.ip}:7102`, target: `${machine.ip}:7002`, isInternalLink: true },
        settings: {
          ...common,
          ...leaseSettings,
          member: `keeper${index}`,
          zone: machine.zone,
          listen: `${machine.ip}:7002`,
          advertise: `${machine.ip}:7102`,
          slot: index,
          core: controlAddresses,
          data,
          http: `${machine.ip}:8002`,
        },
      });
    }
    const data = `${options.folder}/data/agent${index}`;
    members.push({
      name: `agent${index}`,
      program: 'router-agent',
      machine: machine.name,
      zone: machine.zone,
      ip: machine.ip,
      http: `${machine.ip}:8000`,
      dataFolder: data,
      relay: { advertised: `${machine.ip}:7100`, target: `${machine.ip}:7000`, isInternalLink: true },
      settings: {
        ...common,
        ...leaseSettings,
        member: `agent${index}`,
        zone: machine.zone,
        listen: `${machine.ip}:7000`,
        advertise: `${machine.ip}:7100`,
        data,
        http: `${machine.ip}:8000`,
        router: `${machine.ip}:7001`,
        routerHttp: `${machine.ip}:8001`,
        slot: index,
        ...(options.trainEvery === undefined ? {} : { trainEvery: options.trainEvery }),
      },
    });
    members.push({
      name: `router${index}`,
      program: 'request-router',
      machine: machine.name,
      zone: machine.zone,
      ip: machine.ip,
      http: `${machine.ip}:8001`,
      dataFolder: undefined,
      relay: undefined,
      settings: {
        ...leaseSettings,
        logLevel: options.logLevel,
        member: `router${index}`,
        zone: machine.zone,
        listen: `${machine.ip}:7001`,
        agent: `${machine.ip}:7000`,
        http: `${machine.ip}:8001`,
      },
    });
  });
  for (let index = 0; index < deployment.workers; index += 1) {
    const ip = `127.${options.octet}.9.${index + 1}`;
    members.push({
      name: `worker${index}`,
      program: 'worker-stand-in',
      machine: `w${index}`,
      zone: `z${index % deployment.zones}`,
      ip,
      http: `${ip}:9000`,
      dataFolder: undefined,
      relay: { advertised: `${ip}:9100`, target: `${ip}:9000`, isInternalLink: false },
      settings: {
        member: `worker${index}`,
        listen: `${ip}:9000`,
        advertise: `${ip}:9100`,
        incarnation: 1,
        prefillPace: prefillRates[index % prefillRates.length],
        logLevel: options.logLevel,
        runsFile: `${options.folder}/runs-worker${index}.txt`,
      },
    });
  }
  return { deployment, members, seeds };
}
