/**
 * Decides which configuration a router adopts.
 *
 * A starting router has none, and treats the configurations that it receives as candidates. A control node that holds a
 * serving lease knows the current version, and confirms it in its heartbeats. The router adopts the first candidate
 * that is at least as new as a confirmed version. If no confirmation arrives for `unconfirmedTimeout` after the first
 * candidate, the newest candidate is adopted: serving with a configuration that may be old is better than not serving.
 * The timeout is the setting `contact_ms`; a router that has reached no majority for that long counts as out of contact
 * anyway.
 *
 * A running router keeps its configuration and adopts only newer versions, without a confirmation: control nodes send
 * only versions that a majority has stored, and such a version is never undone.
 */
import { micros, type Cancel, type World } from '@tansypost/inner-protocol';
import type { Configuration } from './configuration.js';

/**
 * Why a version was adopted:
 * - `newer`: it is newer than the version adopted before.
 * - `confirmed`: it is the first one, and at least as new as a version that a node with a serving lease confirmed.
 * - `unconfirmed`: it is the first one, and no confirmation arrived in time.
 */
export type AdoptionReason = 'newer' | 'confirmed' | 'unconfirmed';

/** Options of `createConfigurationGate`. */
export interface ConfigurationGateOptions {
  /** How long to wait for a confirmation before an unconfirmed configuration is adopted, in microseconds. */
  readonly unconfirmedTimeout: number;
  /** Called after a configuration has been adopted. */
  readonly onAdopted: (reason: AdoptionReason) => void;
}

/** Decides which configuration one router adopts. */
export interface ConfigurationGate {
  /** Offers a configuration received from a control node. */
  readonly offer: (configuration: Configuration) => void;
  /** A control node with a serving lease has just confirmed this version to be current. */
  readonly confirmCurrent: (version: number) => void;
  /** The adopted configuration. */
  readonly current: () => Configuration | undefined;
  /** The adopted configuration, or else the newest candidate. */
  readonly newest: () => Configuration | undefined;
  /** Cancels the timeout after which an unconfirmed candidate is adopted. */
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
    const isNewEnough =
      candidate !== undefined && confirmedVersion !== undefined && candidate.version >= confirmedVersion;
    if (isNewEnough) adopt(candidate!, 'confirmed');
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
