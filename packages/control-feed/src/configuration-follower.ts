/**
 * The router's side of the configuration: it asks every control node, has the configuration sent by one of them, its
 * source, and lets the others confirm versions. When another node tells a newer version and the source does not follow
 * within moments, the router fetches from that other node and passes the source over for a while.
 */
import { micros, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';
import type { Configuration } from './configuration.js';
import { createConfigurationGate, type AdoptionReason } from './configuration-gate.js';
import { applyPatch } from './configuration-patch.js';
import type { ControlNodeTable } from './control-node-table.js';

/** How a control node is asked. */
export interface FollowOptions {
  /** The node is to send the configuration itself where it has a newer one, not only to confirm its version. */
  readonly wantsConfiguration: boolean;
  /** Whether differences are taken; false after one that did not fit. */
  readonly acceptsPatches: boolean;
}

/** How the version in force came to be it, for the log. */
export interface Adoption {
  readonly reason: AdoptionReason;
  /** Whether it was sent whole or as a difference. */
  readonly form: 'whole' | 'difference';
  /** How long before it was in force some control node first told of it or of a newer one, in microseconds. */
  readonly toldBefore: number;
}

export interface ConfigurationFollowerOptions {
  readonly nodes: ControlNodeTable;
  readonly unconfirmedTimeout: number;
  readonly follow: (address: Address, asking: FollowOptions) => void;
  readonly onAdopted: () => void;
}

export interface ConfigurationFollower {
  readonly current: () => Configuration | undefined;
  /** Of the version in force. */
  readonly adoption: () => Adoption | undefined;
  /** The newest version known, in force or held aside; 0 if there is none. */
  readonly newestVersion: () => number;
  readonly handleConfiguration: (configuration: Configuration) => void;
  readonly handlePatch: (patch: MessageOf<'ConfigurationPatch'>, from: Address) => void;
  /** A beat has come, and the table of nodes has taken it in. */
  readonly handleBeat: (beat: MessageOf<'Beat'>, from: Address, fresh: boolean) => void;
  readonly stop: () => void;
}

/** How long the source may take to send what another node has told of. */
const sourcePatience = micros(100_000);

export function createConfigurationFollower(
  world: World,
  options: ConfigurationFollowerOptions,
): ConfigurationFollower {
  const { nodes, follow: ask } = options;
  const gate = createConfigurationGate(world, { unconfirmedTimeout: options.unconfirmedTimeout, onAdopted: adopted });
  let awaiting = false;
  let adoption: Adoption | undefined;
  let form: Adoption['form'] = 'whole';
  /** Since when some control node has told of a version that is not in force here. */
  let toldAt: number | undefined;

  function adopted(reason: AdoptionReason): void {
    adoption = { reason, form, toldBefore: toldAt === undefined ? 0 : world.now() - toldAt };
    toldAt = undefined;
    options.onAdopted();
  }

  function offer(configuration: Configuration, sentAs: Adoption['form']): void {
    form = sentAs;
    gate.offer(configuration);
  }

  function newestVersion(): number {
    return gate.newest()?.version ?? 0;
  }

  function take(configuration: Configuration): void {
    offer(configuration, 'whole');
  }

  function takePatch(patch: MessageOf<'ConfigurationPatch'>, from: Address): void {
    if (patch.version <= newestVersion()) return;
    const base = gate.newest();
    const value = base?.version === patch.base ? applyPatch(base.value, patch.steps, patch.digest) : undefined;
    if (value === undefined) return ask(from, { wantsConfiguration: true, acceptsPatches: false });
    offer({ version: patch.version, value }, 'difference');
  }

  function heard(beat: MessageOf<'Beat'>, from: Address, fresh: boolean): void {
    if (beat.version > (gate.current()?.version ?? 0)) toldAt ??= world.now();
    if (fresh && beat.leased && beat.voting) gate.confirmCurrent(beat.version);
    if (nodes.source() === undefined) chooseSourceNow();
    if (beat.version > newestVersion() && from !== nodes.source()) awaitSource(beat.version);
  }

  /** A router without a source takes the first node with a lease, without waiting for its next round of questions. */
  function chooseSourceNow(): void {
    if (!nodes.anyLeased()) return;
    nodes.chooseSource();
    const source = nodes.source();
    if (source !== undefined) ask(source, { wantsConfiguration: true, acceptsPatches: true });
  }

  /** In a storm there is always something newer; the source is late when it has not sent what was told back then. */
  function awaitSource(version: number): void {
    if (awaiting) return;
    awaiting = true;
    world.after(sourcePatience, () => {
      awaiting = false;
      if (newestVersion() < version) fetchFromNewest();
    });
  }

  function fetchFromNewest(): void {
    const [newest] = nodes
      .voting()
      .map(nodes.state)
      .sort((a, b) => b.version - a.version);
    if (newest === undefined || newest.version <= newestVersion()) return;
    if (newest.address !== nodes.source()) nodes.markSourceLate();
    ask(newest.address, { wantsConfiguration: true, acceptsPatches: true });
  }

  return {
    current: gate.current,
    adoption: () => adoption,
    newestVersion,
    handleConfiguration: take,
    handlePatch: takePatch,
    handleBeat: heard,
    stop: gate.stop,
  };
}
