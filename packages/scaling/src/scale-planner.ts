/**
 * The orders of workers that are owed, for each service with scaling and each zone in which it runs. Nothing is decided on
 * a list that is empty or old. The number ordered last comes from the duty's record, so a new holder goes on from there;
 * what a planner remembers itself is only the recent load, and it gives up no worker before it has seen enough of that.
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

/** What a control node sees at one moment. */
export interface FleetView {
  readonly workers: readonly ListedWorker[];
  /** How old the list is, in microseconds. */
  readonly listAge: number;
  readonly loads: ReadonlyMap<string, WorkerLoad>;
}

/** What the planner is told when it is made. */
export interface ScalePlannerOptions {
  readonly services: () => readonly ScaledService[];
  /** The number that was ordered last for a subject, whether the order has ended or not; undefined before the first. */
  readonly lastOrdered: (subject: string) => number | undefined;
  readonly thresholds?: ScalingThresholds;
}

/** Decides what is owed. Times are microseconds of one clock. */
export interface ScalePlanner {
  /** Takes in what is seen now; to be called about twice a second, also while the role is another's. */
  readonly observe: (now: number, view: FleetView) => void;
  /** The orders that differ from what was ordered last. */
  readonly plan: (now: number) => readonly PlannedOrder[];
}

interface ZoneState {
  readonly zone: string;
  readonly history: LoadHistory;
  present: ZoneLoad;
  /** Since when the number on the list has been the same, and the most since the zone was first seen. */
  readonly firstSeenAt: number;
  unchangedSince: number;
  mostListed: number;
  /** The number ordered last, as it was last seen, and since when. */
  ordered: number | undefined;
  orderedSince: number;
}

interface ServiceState {
  readonly name: string;
  terms: ScalingBounds;
  windows: ScalingWindows;
  /** Demand over all zones; higher than real where workers do not report. */
  total: LoadHistory;
  readonly zones: Map<string, ZoneState>;
  /** When a zone last had less than half of the workers ordered. */
  shortAt: number;
}

interface PlannerState {
  readonly options: ScalePlannerOptions;
  readonly loads: ScalingThresholds;
  readonly services: Map<string, ServiceState>;
  /** The last look at a list that was neither empty nor old. */
  observedAt: number;
}

/** No order is made on a list that is older. */
const longestListAge = 6_000_000;
const longestSinceLook = 3_000_000;
/** The first order waits until the number on the list has been the same for so long, but no longer than that. */
const settleTime = 3_000_000;
const longestSettle = 10_000_000;
const leastShareOfZone = 0.5;
/** The load of all zones counts in each as that of so many workers. */
const sharedWeight = 24;

/** A planner that has seen nothing yet. */
export function createScalePlanner(options: ScalePlannerOptions): ScalePlanner {
  const state: PlannerState = {
    options,
    loads: options.thresholds ?? defaultThresholds,
    services: new Map(),
    observedAt: -Infinity,
  };
  return {
    observe: (now, view) => observe(state, now, view),
    plan: (now) => plan(state, now),
  };
}

function observe(state: PlannerState, now: number, view: FleetView): void {
  followServices(state);
  if (view.workers.length === 0 || view.listAge > longestListAge) {
    state.observedAt = -Infinity;
    return;
  }
  state.observedAt = now;
  for (const service of state.services.values()) observeService(state, service, now, view);
}

/** Takes up services and terms of a new configuration, and forgets what is no longer scaled. */
function followServices({ options, services }: PlannerState): void {
  const scaled = new Map(options.services().flatMap(({ name, scaling }) => (scaling ? [[name, scaling]] : [])));
  for (const name of services.keys()) if (!scaled.has(name)) services.delete(name);
  for (const [name, terms] of scaled) {
    const known = services.get(name);
    if (known?.terms.bootTime === terms.bootTime) known.terms = terms;
    else services.set(name, newService(name, terms));
  }
}

function newService(name: string, terms: ScalingBounds): ServiceState {
  const windows = scalingWindows(terms);
  return { name, terms, windows, total: newHistory(windows), zones: new Map(), shortAt: -Infinity };
}

function newHistory({ sustain, trend, stabilization }: ScalingWindows): LoadHistory {
  return createLoadHistory(sustain, Math.max(trend, stabilization) + sustain);
}

function observeService(state: PlannerState, service: ServiceState, now: number, view: FleetView): void {
  const present = zoneLoads(service.name, view.workers, view.loads, now);
  for (const zone of present.keys()) {
    if (!service.zones.has(zone)) service.zones.set(zone, newZone(zone, service.windows, now));
  }
  const shared = sharedLoad([...present.values()]);
  for (const zone of service.zones.values()) {
    observeZone(zone, present.get(zone.zone) ?? { listed: 0, reported: 0, load: undefined }, shared, now);
    noteOrdered(state, service, zone, now);
  }
  observeTotal(service, now);
}

/** The mean load of the zones, by their workers; routers send requests on to other zones where their own is crowded. */
function sharedLoad(zones: readonly ZoneLoad[]): number {
  const known = zones.filter(({ load }) => load !== undefined);
  const workers = known.reduce((sum, { reported }) => sum + reported, 0);
  return workers === 0 ? 0 : known.reduce((sum, { load, reported }) => sum + load! * reported, 0) / workers;
}

function newZone(zone: string, windows: ScalingWindows, now: number): ZoneState {
  const none: ZoneLoad = { listed: 0, reported: 0, load: undefined };
  return {
    zone,
    history: newHistory(windows),
    present: none,
    firstSeenAt: now,
    unchangedSince: now,
    mostListed: 0,
    ordered: undefined,
    orderedSince: now,
  };
}

function observeZone(zone: ZoneState, present: ZoneLoad, shared: number, now: number): void {
  if (present.listed !== zone.present.listed) zone.unchangedSince = now;
  zone.present = present;
  zone.mostListed = Math.max(zone.mostListed, present.listed);
  const { load, reported } = present;
  if (load === undefined) return;
  // Reports of few workers swing, so a zone counts for as much as it has.
  const smoothed = (load * reported + shared * sharedWeight) / (reported + sharedWeight);
  // Workers that are listed and do not report may be booting: they add no demand that would call for more of them.
  zone.history.add(now, smoothed * reported, load * reported);
}

function noteOrdered(state: PlannerState, service: ServiceState, zone: ZoneState, now: number): void {
  const ordered = state.options.lastOrdered(scaleSubject(service.name, zone.zone));
  if (ordered !== zone.ordered) zone.orderedSince = now;
  zone.ordered = ordered;
  if (ordered !== undefined && zone.present.listed < leastShareOfZone * ordered) service.shortAt = now;
}

function observeTotal(service: ServiceState, now: number): void {
  const zones = [...service.zones.values()].filter(({ present }) => present.listed > 0);
  if (zones.length === 0 || zones.some(({ present }) => present.load === undefined)) return;
  const demand = zones.reduce((sum, { present }) => sum + present.load! * present.listed, 0);
  service.total.add(now, demand, demand);
}

function plan(state: PlannerState, now: number): readonly PlannedOrder[] {
  if (now - state.observedAt > longestSinceLook) return [];
  return [...state.services.values()].flatMap((service) => planService(state, service, now));
}

function planService(state: PlannerState, service: ServiceState, now: number): PlannedOrder[] {
  const zones = [...service.zones.values()];
  for (const zone of zones) noteOrdered(state, service, zone, now);
  const wanted = new Map(zones.map((zone) => [zone, wantedAtLeast(state, service, zone, now)]));
  lower(state, service, zones, wanted, now);
  return zones.flatMap((zone) => {
    const workers = wanted.get(zone);
    if (workers === undefined || workers === zone.ordered) return [];
    return [toPlannedOrder({ service: service.name, zone: zone.zone, workers })];
  });
}

/** What is there at the start, and what was ordered or more later; undefined while it is not known what is there. */
function wantedAtLeast(state: PlannerState, service: ServiceState, zone: ZoneState, now: number): number | undefined {
  const { terms } = service;
  if (zone.ordered === undefined)
    return hasSettled(zone, now) ? clampToBounds(firstNumber(zone, now), terms) : undefined;
  const demand = zone.history.level(now);
  if (demand === undefined) return clampToBounds(zone.ordered, terms);
  return clampToBounds(scaledUpCount(zone.ordered, demand, growthAhead(service, zone, now), state.loads), terms);
}

/** What demand will have grown by when a worker ordered now serves. */
function growthAhead({ terms, windows }: ServiceState, zone: ZoneState, now: number): number {
  return zone.history.growth(now, windows.trend, terms.bootTime);
}

/** Whether it is known how many workers there are, or has been waited for long enough. */
function hasSettled(zone: ZoneState, now: number): boolean {
  return zone.mostListed > 0 && (isAtRest(zone, now) || now - zone.firstSeenAt >= longestSettle);
}

function isAtRest(zone: ZoneState, now: number): boolean {
  return zone.present.listed > 0 && now - zone.unchangedSince >= settleTime;
}

/** Where the number does not come to rest, or the zone was lost at once, the most that were seen. */
function firstNumber(zone: ZoneState, now: number): number {
  return isAtRest(zone, now) ? zone.present.listed : zone.mostListed;
}

/** Takes one step down in each zone where that is safe, with those taken before it in mind. */
function lower(
  { loads }: PlannerState,
  service: ServiceState,
  zones: readonly ZoneState[],
  wanted: Map<ZoneState, number | undefined>,
  now: number,
): void {
  const { windows, terms } = service;
  const total = service.total.peak(now, windows.stabilization);
  if (total === undefined || now - service.shortAt < windows.stabilization) return;
  const bearing = new Map(zones.map((zone) => [zone, Math.min(zone.present.listed, zone.ordered ?? 0)]));
  for (const zone of zones) {
    const { ordered } = zone;
    const peak = zone.history.peak(now, windows.stabilization);
    if (ordered === undefined || peak === undefined || now - zone.orderedSince < windows.cooldown) continue;
    const workers = clampToBounds(scaledDownCount(ordered, peak, growthAhead(service, zone, now), loads), terms);
    if (workers >= ordered) continue;
    const left = new Map(bearing).set(zone, Math.min(bearing.get(zone)!, workers));
    if (!toleratesZoneLoss([...left.values()], total.burst, loads)) continue;
    bearing.set(zone, left.get(zone)!);
    wanted.set(zone, workers);
  }
}
