/**
 * Decides which configuration a router works by.
 *
 * A router that starts has none. It takes one that is at least as new as what a control node with a serving lease has
 * just called current. Until such an answer comes, what is told without a lease is held aside; if that lasts for
 * `contactTime` from the first one held, the newest of them is taken, as serving by a configuration that may be old is
 * better than not serving, and a router that reaches no majority is out of touch by the platform's own measure.
 * A router that runs keeps what it has and takes only newer versions, with or without a lease: whatever is told is on
 * a majority and stays part of the history.
 */
import { micros, type Cancel, type World } from '@tansypost/inner-protocol';
import type { Configuration } from './configuration.js';

/**
 * Why a version came into force: it is newer than what the router worked by, or the first that a leased answer confirmed,
 * or the first without one after the time of contact.
 */
export type AdoptionReason = 'newer' | 'confirmed' | 'unconfirmed';

export interface ConfigurationGateOptions {
  /** How long only answers without a lease are to be had before one of them is taken, in microseconds. */
  readonly unconfirmedTimeout: number;
  /** A configuration has come into force at this router. */
  readonly onAdopted: (reason: AdoptionReason) => void;
}

export interface ConfigurationGate {
  /** Takes in a version that a control node has told. */
  readonly offer: (configuration: Configuration) => void;
  /** A control node with a serving lease has just called this version current. */
  readonly confirmCurrent: (version: number) => void;
  /** What the router works by. */
  readonly current: () => Configuration | undefined;
  /** The newest version known, in force or held aside. */
  readonly newest: () => Configuration | undefined;
  readonly stop: () => void;
}

export function createConfigurationGate(
  world: Pick<World, 'after'>,
  options: ConfigurationGateOptions,
): ConfigurationGate {
  let current: Configuration | undefined;
  let candidate: Configuration | undefined;
  let currentVersion: number | undefined;
  let stopWaiting: Cancel | undefined;

  function adopt(configuration: Configuration, reason: AdoptionReason): void {
    stopWaiting?.();
    stopWaiting = undefined;
    candidate = undefined;
    current = configuration;
    options.onAdopted(reason);
  }

  function adoptIfConfirmed(): void {
    const confirmed = candidate !== undefined && currentVersion !== undefined && candidate.version >= currentVersion;
    if (confirmed) adopt(candidate!, 'confirmed');
  }

  function holdAside(configuration: Configuration): void {
    candidate = configuration;
    stopWaiting ??= world.after(micros(options.unconfirmedTimeout), () => {
      if (candidate !== undefined) adopt(candidate, 'unconfirmed');
    });
    adoptIfConfirmed();
  }

  function newest(): Configuration | undefined {
    return current ?? candidate;
  }

  function offer(configuration: Configuration): void {
    if (configuration.version <= (newest()?.version ?? 0)) return;
    if (current !== undefined) adopt(configuration, 'newer');
    else holdAside(configuration);
  }

  function confirmCurrent(version: number): void {
    currentVersion = Math.max(currentVersion ?? 0, version);
    adoptIfConfirmed();
  }

  return { offer, confirmCurrent, current: () => current, newest, stop: () => stopWaiting?.() };
}
