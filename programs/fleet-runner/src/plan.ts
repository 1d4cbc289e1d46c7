/**
 * The plan of a fleet on one machine: every member of it has a loopback address of its own and a boot file;
 * keepers, agents and workers are reached through a relay of the run. The
 * first three machines are core. Each machine has a router and an agent, core machines a keeper as well.
 */
import type { Deployment } from '@tansypost/requester-stand-in';

export type Program = 'control-node' | 'router-agent' | 'request-router' | 'worker-stand-in';
export interface Member {
  readonly name: string;
  readonly program: Program;
  readonly machine: string;
  readonly zone: string;
  readonly ip: string;
  readonly http: string;
  readonly boot: Record<string, unknown>;
  readonly data: string | undefined;
  readonly relay: { readonly shown: string; readonly real: string; readonly inner: boolean } | undefined;
}
export interface Plan {
  readonly deployment: Deployment;
  readonly members: readonly Member[];
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

export function planFleet(d: Deployment, o: PlanOptions): Plan {
  const members: Member[] = [];
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
        data,
        relay: { shown: `${m.ip}:7102`, real: `${m.ip}:7002`, inner: true },
        boot: {
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
      data,
      relay: { shown: `${m.ip}:7100`, real: `${m.ip}:7000`, inner: true },
      boot: {
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
      data: undefined,
      relay: undefined,
      boot: {
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
      data: undefined,
      relay: { shown: `${ip}:9100`, real: `${ip}:9000`, inner: false },
      boot: {
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
