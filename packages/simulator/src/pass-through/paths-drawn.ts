/**
 * Random route tables. Each new one moves or splits a route, adds or drops one, or changes a timeout. Invalid ones
 * contain one typical operator error.
 */
import type { Route, RouteTable, Service, Tenant } from '@tansypost/paths';
import { defaultEngine, type EngineShape } from './engine-shape.js';
import { asideService, mainService, type PassedDeployment } from './passed-deployment.js';

export function hostOf(kind: string): string {
  return `${kind}.example`;
}
function prefixOf(kind: string): string {
  return `/${kind}/`;
}
export function targetOf(kind: string, task: number): string {
  return `${prefixOf(kind)}${task}`;
}
// The kind whose route moves between services, and the kind whose route comes and goes.
export const movedKind = 'look-up';
export const droppedKind = 'booking';

export function drawTable(
  d: PassedDeployment,
  revision: number,
  random: () => number,
  tenants?: readonly Tenant[],
): RouteTable {
  const move = revision === 1 ? 0 : random();
  const dropped = revision > 1 && random() < 0.4;
  const paths = d.kinds
    .filter((k) => k.name !== droppedKind || !dropped)
    .map((k): Route => {
      const shares =
        k.service !== undefined
          ? [{ service: k.service, weight: 1 }]
          : k.name !== movedKind || move < 0.4
            ? [{ service: mainService, weight: 1 }]
            : move < 0.7
              ? [{ service: asideService, weight: 1 }]
              : [
                  { service: mainService, weight: 70 },
                  { service: asideService, weight: 30 },
                ];
      return {
        name: k.name,
        host: hostOf(k.name),
        prefix: prefixOf(k.name),
        timeout: k.budget + (random() < 0.3 ? 500_000 : 0),
        targetLatency: k.aim,
        maxEventGap: k.pause,
        priority: k.rank,
        streaming: k.streaming,
        idempotent: k.repeatable,
        resumable: k.resumable,
        maxAttempts: k.sends,
        weightedServices: shares,
        ...(k.public === true ? { public: true } : {}),
      };
    });
  function serviceOf(name: string, engine: EngineShape): Service {
    const { slots, kvTokens, tokenBytes, linkMbps } = engine;
    const usual = { healthPath: '/health', maxConnections: 360, handleTtl: 5_000_000, stageSwitchTime: 1_800_000 };
    return { name, slots, kvCapacityTokens: kvTokens, kvBytesPerToken: tokenBytes, linkMbps, ...usual };
  }
  return {
    revision,
    routes: paths,
    services: d.services?.map((each) => serviceOf(each.name, each.engine)) ?? [
      serviceOf(mainService, defaultEngine(d.kvTokens)),
      serviceOf(asideService, defaultEngine(d.kvTokens)),
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeout: 3_000_000, idleTimeout: 15_000_000 },
    ...(tenants === undefined ? {} : { tenants }),
  };
}

/** A route table with one error. With tenants, the error may be a key shared by two of them. */
export function drawInvalid(
  d: PassedDeployment,
  base: number,
  random: () => number,
  tenants?: readonly Tenant[],
): string {
  const t = drawTable(d, base + 1, random, tenants);
  const p = t.routes[0]!;
  const wrong: readonly object[] = [
    { ...t, routes: [{ ...p, weightedServices: [{ service: 'nowhere', weight: 1 }] }, ...t.routes.slice(1)] },
    { ...t, routes: [...t.routes, { ...p, name: 'twice' }] },
    { ...t, routes: [{ ...p, weightedServices: [{ service: mainService, weight: 0 }] }, ...t.routes.slice(1)] },
    { ...t, routes: [{ ...p, timeout: 0 }, ...t.routes.slice(1)] },
    { ...t, revision: base },
    ...(tenants === undefined ? [] : [{ ...t, tenants: sharingKey(tenants) }]),
  ];
  const i = Math.floor(random() * (wrong.length + 1));
  return i === wrong.length ? JSON.stringify(t).slice(0, -9) : JSON.stringify(wrong[i]);
}

function sharingKey([first, ...others]: readonly Tenant[]): readonly Tenant[] {
  return [first!, ...others.map((other) => ({ ...other, keyDigests: [...other.keyDigests, first!.keyDigests[0]!] }))];
}
