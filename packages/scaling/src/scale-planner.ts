/**
 * Plans the scale orders for each scaled service and each zone in which it runs. Nothing is planned on an empty or outdated
 * worker list. The number ordered last comes from the duty's record, so a new leader continues from there. The planner's
 * own state is only the recent load, and it removes no worker before it has observed enough of that.
 */
import type { ListedWorker, WorkerLoad } from '@tansypost/control-feed';
import type { ScalingBounds } from '@tansypost/paths';
import { createLoadHistory, type LoadHistory } from './load-history.js';
import { toPlannedOrder, scaleSubject, type PlannedOrder } from './scale-order.js';
import {
  toleratesZoneLoss,
  scaledDownCount,
  scaledUpCount,
  scalingWindows,
  defaultThresholds,
  clampToBounds,
  type ScalingThresholds,
  type ScalingWindows,
} from './worker-targets.js';
import { zoneLoads, type ZoneLoad } from './zone-load.js';

/** A service of the configuration in force. */
export interface ScaledService {
  readonly name: string;
  readonly scaling?: ScalingBounds | undefined;
}

/** The fleet as a control node sees it at one point in time. */
export interface FleetView {
  readonly workers: readonly ListedWorker[];
  /** Age of the worker list, in microseconds. */
  readonly listAge: number;
  readonly loads: ReadonlyMap<string, WorkerLoad>;
}

/** Dependencies and settings of the planner. */
export interface ScalePlannerOptions {
  readonly services: () => readonly ScaledService[];
  /** The number ordered last for a subject, by an open or ended order; undefined before the first order. */
  readonly lastOrdered: (subject: string) => number | undefined;
  readonly thresholds?: ScalingThresholds;
}

/** Plans scale orders. Times are in microseconds of one clock. */
export interface ScalePlanner {
  /** Adds an observation; to be called about twice a second, even while another node is the leader. */
  readonly observe: (now: number, view: FleetView) => void;
  /** The orders that differ from what was ordered last. */
  readonly plan: (now: number) => readonly PlannedOrder[];
}

interface ZoneState {
  readonly zone: string;
  readonly history: LoadHistory;
  present: ZoneLoad;
  readonly firstSeenAt: number;
  /** Since when the number of listed workers has been the same. */
  unchangedSince: number;
  /** The highest number of listed workers since the zone was first seen. */
  maxListed: number;
  /** The number ordered last as of the latest observation or plan, and since when. */
  ordered: number | undefined;
  orderedSince: number;
}

interface ServiceState {
  readonly name: string;
  bounds: ScalingBounds;
  windows: ScalingWindows;
  /** Demand over all zones. Workers that do not report count with the mean load, so it may be overestimated. */
  total: LoadHistory;
  readonly zones: Map<string, ZoneState>;
  /** When a zone last had less than `minZoneShare` of the workers ordered. */
  lastShortageAt: number;
}

interface PlannerState {
  readonly options: ScalePlannerOptions;
  readonly thresholds: ScalingThresholds;
  readonly services: Map<string, ServiceState>;
  /** When a worker list was last observed that was neither empty nor outdated. */
  observedAt: number;
}

/** Nothing is planned on a worker list older than this. */
const maxListAgeUs = 6_000_000;
/** Nothing is planned if the last valid observation is older than this. */
const maxObservationAgeUs = 3_000_000;
/** The first order waits until the number of listed workers has been stable for `settleTimeUs`, at most `maxSettleTimeUs`. */
const settleTimeUs = 3_000_000;
const maxSettleTimeUs = 10_000_000;
const minZoneShare = 0.5;
/** The mean load of all zones is weighted like this many workers when it is blended into the load of a zone. */
const serviceLoadWeight = 24;

/** Creates a planner without any observations. */
export function createScalePlanner(options: ScalePlannerOptions): ScalePlanner {
  const state: PlannerState = {
    options,
    thresholds: options.thresholds ?? defaultThresholds,
    services: new Map(),
    observedAt: -Infinity,
  };
  return {
    observe: (now, view) => observe(state, now, view),
    plan: (now) => plan(state, now),
  };
}

function observe(state: PlannerState, now: number, view: FleetView): void {
  updateServices(state);
  if (view.workers.length === 0 || view.listAge > maxListAgeUs) {
    state.observedAt = -Infinity;
    return;
  }
  state.observedAt = now;
  for (const service of state.services.values()) observeService(state, service, now, view);
}

/** Applies the services and bounds of the current configuration, and drops services that are no longer scaled. */
function updateServices({ options, services }: PlannerState): void {
  const scaled = new Map(options.services().flatMap(({ name, scaling }) => (scaling ? [[name, scaling]] : [])));
  for (const name of services.keys()) if (!scaled.has(name)) services.delete(name);
  for (const [name, bounds] of scaled) {
    const known = services.get(name);
    if (known?.bounds.bootTime === bounds.bootTime) known.bounds = bounds;
    else services.set(name, newService(name, bounds));
  }
}

function newService(name: string, bounds: ScalingBounds): ServiceState {
  const windows = scalingWindows(bounds);
  return { name, bounds, windows, total: newHistory(windows), zones: new Map(), lastShortageAt: -Infinity };
}

function newHistory({ sustain, trend, stabilization }: ScalingWindows): LoadHistory {
  return createLoadHistory(sustain, Math.max(trend, stabilization) + sustain);
}

function observeService(state: PlannerState, service: ServiceState, now: number, view: FleetView): void {
  const present = zoneLoads(service.name, view.workers, view.loads, now);
  for (const zone of present.keys()) {
    if (!service.zones.has(zone)) service.zones.set(zone, newZone(zone, service.windows, now));
  }
  const serviceLoad = meanLoad([...present.values()]);
  for (const zone of service.zones.values()) {
    observeZone(zone, present.get(zone.zone) ?? { listed: 0, reported: 0, load: undefined }, serviceLoad, now);
    updateLastOrdered(state, service, zone, now);
  }
  observeTotal(service, now);
}

/** The mean load of the zones, weighted by workers; routers forward requests to other zones if their own is overloaded. */
function meanLoad(zones: readonly ZoneLoad[]): number {
  const known = zones.filter(({ load }) => load !== undefined);
  const workers = known.reduce((sum, { reported }) => sum + reported, 0);
  return workers === 0 ? 0 : known.reduce((sum, { load, reported }) => sum + load! * reported, 0) / workers;
}

function newZone(zone: string, windows: ScalingWindows, now: number): ZoneState {
  const noLoad: ZoneLoad = { listed: 0, reported: 0, load: undefined };
  return {
    zone,
    history: newHistory(windows),
    present: noLoad,
    firstSeenAt: now,
    unchangedSince: now,
    maxListed: 0,
    ordered: undefined,
    orderedSince: now,
  };
}

function observeZone(zone: ZoneState, present: ZoneLoad, serviceLoad: number, now: number): void {
  if (present.listed !== zone.present.listed) zone.unchangedSince = now;
  zone.present = present;
  zone.maxListed = Math.max(zone.maxListed, present.listed);
  const { load, reported } = present;
  if (load === undefined) return;
  // Reports of few workers fluctuate, so the load of a zone is weighted by its number of reporting workers.
  const smoothed = (load * reported + serviceLoad * serviceLoadWeight) / (reported + serviceLoadWeight);
  // Listed workers that do not report may be booting, so they add no demand, which would order even more workers.
  zone.history.add(now, smoothed * reported, load * reported);
}

function updateLastOrdered(state: PlannerState, service: ServiceState, zone: ZoneState, now: number): void {
  const ordered = state.options.lastOrdered(scaleSubject(service.name, zone.zone));
  if (ordered !== zone.ordered) zone.orderedSince = now;
  zone.ordered = ordered;
  if (ordered !== undefined && zone.present.listed < minZoneShare * ordered) service.lastShortageAt = now;
}

function observeTotal(service: ServiceState, now: number): void {
  const zones = [...service.zones.values()].filter(({ present }) => present.listed > 0);
  if (zones.length === 0 || zones.some(({ present }) => present.load === undefined)) return;
  const demand = zones.reduce((sum, { present }) => sum + present.load! * present.listed, 0);
  service.total.add(now, demand, demand);
}

function plan(state: PlannerState, now: number): readonly PlannedOrder[] {
  if (now - state.observedAt > maxObservationAgeUs) return [];
  return [...state.services.values()].flatMap((service) => planService(state, service, now));
}

function planService(state: PlannerState, service: ServiceState, now: number): PlannedOrder[] {
  const zones = [...service.zones.values()];
  for (const zone of zones) updateLastOrdered(state, service, zone, now);
  const targets = new Map(zones.map((zone) => [zone, targetWithoutScaleDown(state, service, zone, now)]));
  planScaleDown(state, service, zones, targets, now);
  return zones.flatMap((zone) => {
    const workers = targets.get(zone);
    if (workers === undefined || workers === zone.ordered) return [];
    return [toPlannedOrder({ service: service.name, zone: zone.zone, workers })];
  });
}

/**
 * The target before scaling down: at first the number of workers present, later the number ordered last or more. Undefined
 * while the number of workers present is not known.
 */
function targetWithoutScaleDown(
  state: PlannerState,
  service: ServiceState,
  zone: ZoneState,
  now: number,
): number | undefined {
  const { bounds } = service;
  if (zone.ordered === undefined)
    return isReadyForFirstOrder(zone, now) ? clampToBounds(initialCount(zone, now), bounds) : undefined;
  const demand = zone.history.level(now);
  if (demand === undefined) return clampToBounds(zone.ordered, bounds);
  return clampToBounds(
    scaledUpCount(zone.ordered, demand, expectedGrowth(service, zone, now), state.thresholds),
    bounds,
  );
}

/** The expected growth of demand until a worker ordered now can serve. */
function expectedGrowth({ bounds, windows }: ServiceState, zone: ZoneState, now: number): number {
  return zone.history.growth(now, windows.trend, bounds.bootTime);
}

/** Whether the number of workers present is stable, or the longest wait for that is over. */
function isReadyForFirstOrder(zone: ZoneState, now: number): boolean {
  return zone.maxListed > 0 && (isStable(zone, now) || now - zone.firstSeenAt >= maxSettleTimeUs);
}

function isStable(zone: ZoneState, now: number): boolean {
  return zone.present.listed > 0 && now - zone.unchangedSince >= settleTimeUs;
}

/** The number of the first order: the number of listed workers if stable, else the highest number seen. */
function initialCount(zone: ZoneState, now: number): number {
  return isStable(zone, now) ? zone.present.listed : zone.maxListed;
}

/** Plans one scale-down step in each zone where that is safe, given the steps planned for the zones before it. */
function planScaleDown(
  { thresholds }: PlannerState,
  service: ServiceState,
  zones: readonly ZoneState[],
  targets: Map<ZoneState, number | undefined>,
  now: number,
): void {
  const { windows, bounds } = service;
  const total = service.total.peak(now, windows.stabilization);
  if (total === undefined || now - service.lastShortageAt < windows.stabilization) return;
  const remaining = new Map(zones.map((zone) => [zone, Math.min(zone.present.listed, zone.ordered ?? 0)]));
  for (const zone of zones) {
    const { ordered } = zone;
    const peak = zone.history.peak(now, windows.stabilization);
    if (ordered === undefined || peak === undefined || now - zone.orderedSince < windows.cooldown) continue;
    const workers = clampToBounds(
      scaledDownCount(ordered, peak, expectedGrowth(service, zone, now), thresholds),
      bounds,
    );
    if (workers >= ordered) continue;
    const afterStep = new Map(remaining).set(zone, Math.min(remaining.get(zone)!, workers));
    if (!toleratesZoneLoss([...afterStep.values()], total.burst, thresholds)) continue;
    remaining.set(zone, afterStep.get(zone)!);
    targets.set(zone, workers);
  }
}
