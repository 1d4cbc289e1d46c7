/**
 * The plan of a fleet on one machine: every member of it has a loopback address of its own and a boot file;
 * keepers, agents and workers are reached through a relay of the run. The
 * first three machines are core. Each machine has a router and an agent, core machines a keeper as well.
 */
import type { Deployment } from '@tansypost/requester-stand-in';

export type Program = 'control-node' | 'router-agent' | 'request-router' | 'worker-stand-in';
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

const paces = [14_000, 9000, 6000, 12_000];

export function planFleet(d: Deployment, o: PlanOptions): FleetPlan {
  const members: FleetMember[] = [];
  const ms = Array.from({ length: d.machines }, (_, i) => ({
    name: `m${i}`,
    zone: `z${i % d.zones}`,
    ip: `127.${o.octet}.${(i % d.zones) + 1}.${i + 1}`,
  }));
  const core = ms.slice(0, 3).map((m) => `${m.ip}:7102`);
  const seeds = ms.slice(0, 3).map((m) => `${m.ip}:7100`);
  const common = { seeds, logLevel: o.logLevel };
  const tenure = o.feedTenureMs === undefined ? {} : { feedTenureMs: o.feedTenureMs };
  ms.forEach((m, i) => {
    if (i < 3) {
      const data = `${o.folder}/data/keeper${i}`;
      members.push({
        name: `keeper${i}`,
        program: 'control-node',
        machine: m.name,
        zone: m.zone,
        ip: m.ip,
        http: `${m.ip}:8002`,
        dataFolder: data,
        relay: { advertised: `${m.ip}:7102`, target: `${m.ip}:7002`, isInternalLink: true },
        settings: {
          ...common,
          ...tenure,
          member: `keeper${i}`,
          zone: m.zone,
          listen: `${m.ip}:7002`,
          advertise: `${m.ip}:7102`,
          slot: i,
          core,
          data,
          http: `${m.ip}:8002`,
        },
      });
    }
    const data = `${o.folder}/data/agent${i}`;
    members.push({
      name: `agent${i}`,
      program: 'router-agent',
      machine: m.name,
      zone: m.zone,
      ip: m.ip,
      http: `${m.ip}:8000`,
      dataFolder: data,
      relay: { advertised: `${m.ip}:7100`, target: `${m.ip}:7000`, isInternalLink: true },
      settings: {
        ...common,
        ...tenure,
        member: `agent${i}`,
        zone: m.zone,
        listen: `${m.ip}:7000`,
        advertise: `${m.ip}:7100`,
        data,
        http: `${m.ip}:8000`,
        router: `${m.ip}:7001`,
        routerHttp: `${m.ip}:8001`,
        slot: i,
        ...(o.trainEvery === undefined ? {} : { trainEvery: o.trainEvery }),
      },
    });
    members.push({
      name: `router${i}`,
      program: 'request-router',
      machine: m.name,
      zone: m.zone,
      ip: m.ip,
      http: `${m.ip}:8001`,
      dataFolder: undefined,
      relay: undefined,
      settings: {
        ...tenure,
        logLevel: o.logLevel,
        member: `router${i}`,
        zone: m.zone,
        listen: `${m.ip}:7001`,
        agent: `${m.ip}:7000`,
        http: `${m.ip}:8001`,
      },
    });
  });
  for (let i = 0; i < d.workers; i += 1) {
    const ip = `127.${o.octet}.9.${i + 1}`;
    members.push({
      name: `worker${i}`,
      program: 'worker-stand-in',
      machine: `w${i}`,
      zone: `z${i % d.zones}`,
      ip,
      http: `${ip}:9000`,
      dataFolder: undefined,
      relay: { advertised: `${ip}:9100`, target: `${ip}:9000`, isInternalLink: false },
      settings: {
        member: `worker${i}`,
        listen: `${ip}:9000`,
        advertise: `${ip}:9100`,
        incarnation: 1,
        prefillPace: paces[i % paces.length],
        logLevel: o.logLevel,
        runsFile: `${o.folder}/runs-worker${i}.txt`,
      },
    });
  }
  return { deployment: d, members, seeds };
}
