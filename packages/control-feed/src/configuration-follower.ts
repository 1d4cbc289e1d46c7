/**
 * The router's side of the configuration. The router polls every control node; one of them, its source, sends the
 * configuration, the others only confirm versions. If another node has a newer version that the source doesn't send
 * soon after, the router fetches it from that node and avoids the source for a while.
 */
import { micros, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';
import type { Configuration } from './configuration.js';
import { createConfigurationGate, type AdoptionReason } from './configuration-gate.js';
import { applyPatch } from './configuration-patch.js';
import type { ControlNodeTable } from './control-node-table.js';

/** How a control node is polled. */
export interface FollowOptions {
  /** Whether the node is to send the configuration if it has a newer one, instead of only confirming its version. */
  readonly wantsConfiguration: boolean;
  /** Whether the configuration may be sent as a patch; false after a patch that didn't apply. */
  readonly acceptsPatches: boolean;
}

/** How the current configuration was adopted. The fields are logged under these names. */
export interface Adoption {
  readonly reason: AdoptionReason;
  /** Whether it was sent whole or as a patch. */
  readonly form: 'whole' | 'difference';
  /** Time from the first heartbeat with this version or a newer one to the adoption, in microseconds. */
  readonly toldBefore: number;
}

/** Options of the follower. */
export interface ConfigurationFollowerOptions {
  readonly nodes: ControlNodeTable;
  /** How long to wait for a confirmation before an unconfirmed configuration is adopted, in microseconds. */
  readonly unconfirmedTimeout: number;
  /** Sends a `Follow` to a control node. */
  readonly follow: (address: Address, options: FollowOptions) => void;
  readonly onAdopted: () => void;
}

/** Keeps the configuration of one router up to date. */
export interface ConfigurationFollower {
  /** The adopted configuration. */
  readonly current: () => Configuration | undefined;
  /** How the current configuration was adopted. */
  readonly adoption: () => Adoption | undefined;
  /** The version of the adopted configuration, or else of the newest candidate; 0 if there is none. */
  readonly newestVersion: () => number;
  readonly handleConfiguration: (configuration: Configuration) => void;
  readonly handlePatch: (patch: MessageOf<'ConfigurationPatch'>, from: Address) => void;
  /** Handles a heartbeat that has been recorded in the table of nodes. */
  readonly handleHeartbeat: (heartbeat: MessageOf<'Beat'>, from: Address, fresh: boolean) => void;
  readonly stop: () => void;
}

/** How long the source may take to send a version that another node has. */
const sourceDelayTolerance = micros(100_000);

/** Creates the follower of a starting router. */
export function createConfigurationFollower(
  world: World,
  options: ConfigurationFollowerOptions,
): ConfigurationFollower {
  const { nodes, follow } = options;
  const gate = createConfigurationGate(world, {
    unconfirmedTimeout: options.unconfirmedTimeout,
    onAdopted: recordAdoption,
  });
  let awaitingSource = false;
  let adoption: Adoption | undefined;
  let form: Adoption['form'] = 'whole';
  /** When a heartbeat first had a version newer than the adopted one. */
  let newerSeenAt: number | undefined;

  function recordAdoption(reason: AdoptionReason): void {
    adoption = { reason, form, toldBefore: newerSeenAt === undefined ? 0 : world.now() - newerSeenAt };
    newerSeenAt = undefined;
    options.onAdopted();
  }

  function offer(configuration: Configuration, receivedAs: Adoption['form']): void {
    form = receivedAs;
    gate.offer(configuration);
  }

  function newestVersion(): number {
    return gate.newest()?.version ?? 0;
  }

  function handleConfiguration(configuration: Configuration): void {
    offer(configuration, 'whole');
  }

  function handlePatch(patch: MessageOf<'ConfigurationPatch'>, from: Address): void {
    if (patch.version <= newestVersion()) return;
    const base = gate.newest();
    const value = base?.version === patch.base ? applyPatch(base.value, patch.steps, patch.digest) : undefined;
    if (value === undefined) return follow(from, { wantsConfiguration: true, acceptsPatches: false });
    offer({ version: patch.version, value }, 'difference');
  }

  function handleHeartbeat(heartbeat: MessageOf<'Beat'>, from: Address, fresh: boolean): void {
    if (heartbeat.version > (gate.current()?.version ?? 0)) newerSeenAt ??= world.now();
    if (fresh && heartbeat.leased && heartbeat.voting) gate.confirmCurrent(heartbeat.version);
    if (nodes.source() === undefined) chooseSourceNow();
    if (heartbeat.version > newestVersion() && from !== nodes.source()) awaitSource(heartbeat.version);
  }

  /** A router without a source chooses the first node with a lease, without waiting for its next polling round. */
  function chooseSourceNow(): void {
    if (!nodes.anyLeased()) return;
    nodes.chooseSource();
    const source = nodes.source();
    if (source !== undefined) follow(source, { wantsConfiguration: true, acceptsPatches: true });
  }

  /**
   * Waits for the source to send this version. During a burst of changes another node always has something newer, so
   * the source is only late if it hasn't sent the version that the wait began with.
   */
  function awaitSource(version: number): void {
    if (awaitingSource) return;
    awaitingSource = true;
    world.after(sourceDelayTolerance, () => {
      awaitingSource = false;
      if (newestVersion() < version) fetchFromNewestNode();
    });
  }

  function fetchFromNewestNode(): void {
    const [newest] = nodes
      .voting()
      .map(nodes.state)
      .sort((a, b) => b.version - a.version);
    if (newest === undefined || newest.version <= newestVersion()) return;
    if (newest.address !== nodes.source()) nodes.markSourceLate();
    follow(newest.address, { wantsConfiguration: true, acceptsPatches: true });
  }

  return {
    current: gate.current,
    adoption: () => adoption,
    newestVersion,
    handleConfiguration,
    handlePatch,
    handleHeartbeat,
    stop: gate.stop,
  };
}
