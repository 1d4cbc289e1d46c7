/**
 * Decides which configuration a router adopts.
 *
 * A starting router has none. It adopts one that is at least as new as the version that a control node with a serving
 * lease has just confirmed to be current. Until then, configurations received without a lease are only candidates. If
 * no confirmation arrives for `unconfirmedTimeout` after the first candidate, the newest candidate is adopted: serving
 * with a configuration that may be old is better than not serving, and by then a router that reaches no majority is
 * out of contact by the platform's own definition.
 *
 * A running router keeps its configuration and adopts only newer versions, with or without a lease: every version that
 * is sent is on a majority and stays part of the history.
 */
import { micros, type Cancel, type World } from '@tansypost/inner-protocol';
import type { Configuration } from './configuration.js';

/**
 * Why a version was adopted: it is newer than the previous one, or it is the first one and was confirmed by a node with
 * a lease, or it is the first one and no confirmation arrived in time.
 */
export type AdoptionReason = 'newer' | 'confirmed' | 'unconfirmed';

/** Options of the gate. */
export interface ConfigurationGateOptions {
  /** How long to wait for a confirmation before an unconfirmed configuration is adopted, in microseconds. */
  readonly unconfirmedTimeout: number;
  /** The router has adopted a configuration. */
  readonly onAdopted: (reason: AdoptionReason) => void;
}

/** The configuration of one router. */
export interface ConfigurationGate {
  /** Offers a configuration received from a control node. */
  readonly offer: (configuration: Configuration) => void;
  /** A control node with a serving lease has just confirmed this version to be current. */
  readonly confirmCurrent: (version: number) => void;
  /** The adopted configuration. */
  readonly current: () => Configuration | undefined;
  /** The newest known configuration, adopted or candidate. */
  readonly newest: () => Configuration | undefined;
  readonly stop: () => void;
}

/** Creates the gate of a starting router. */
export function createConfigurationGate(
  world: Pick<World, 'after'>,
  options: ConfigurationGateOptions,
): ConfigurationGate {
  let current: Configuration | undefined;
  let candidate: Configuration | undefined;
  let confirmedVersion: number | undefined;
  let cancelTimeout: Cancel | undefined;

  function adopt(configuration: Configuration, reason: AdoptionReason): void {
    cancelTimeout?.();
    cancelTimeout = undefined;
    candidate = undefined;
    current = configuration;
    options.onAdopted(reason);
  }

  function adoptIfConfirmed(): void {
    const confirmed =
      candidate !== undefined && confirmedVersion !== undefined && candidate.version >= confirmedVersion;
    if (confirmed) adopt(candidate!, 'confirmed');
  }

  function addCandidate(configuration: Configuration): void {
    candidate = configuration;
    cancelTimeout ??= world.after(micros(options.unconfirmedTimeout), () => {
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
    else addCandidate(configuration);
  }

  function confirmCurrent(version: number): void {
    confirmedVersion = Math.max(confirmedVersion ?? 0, version);
    adoptIfConfirmed();
  }

  return { offer, confirmCurrent, current: () => current, newest, stop: () => cancelTimeout?.() };
}
