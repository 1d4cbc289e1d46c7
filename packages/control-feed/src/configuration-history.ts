/**
 * The latest versions of the configuration on a control node. A follower is brought from its version to the newest one
 * by a patch, if its version is still known and the patch is clearly smaller than the packed configuration; otherwise
 * the whole configuration is sent.
 */
import type { MessageOf } from '@tansypost/inner-protocol';
import type { Configuration } from './configuration.js';
import { unpackConfiguration } from './configuration-packing.js';
import { createPatch, digestOf, patchBytes } from './configuration-patch.js';

/** The latest versions of the configuration. */
export interface ConfigurationHistory {
  /** The newest version, packed. */
  readonly newest: () => Configuration | undefined;
  /** Adds a packed version; returns whether it is newer than all others. */
  readonly add: (packed: Configuration) => boolean;
  /** The patch from that version to the newest; undefined if the whole configuration is to be sent instead. */
  readonly patchFrom: (version: number) => MessageOf<'ConfigurationPatch'> | undefined;
}

const maxVersions = 32;
const maxBytes = 4 * 1024 * 1024;
/** A patch is sent if its size is at most this fraction of the packed configuration's. */
const maxPatchRatio = 0.7;

/** Creates an empty history. */
export function createConfigurationHistory(): ConfigurationHistory {
  const versions = new Map<number, Buffer>();
  const patches = new Map<number, MessageOf<'ConfigurationPatch'> | undefined>();
  let newest: Configuration | undefined;
  let bytes = 0;

  function add(packed: Configuration): boolean {
    if (packed.version <= (newest?.version ?? 0)) return false;
    newest = packed;
    patches.clear();
    const json = unpackConfiguration(packed.value);
    versions.set(packed.version, json);
    bytes += json.length;
    dropOldest();
    return true;
  }

  function dropOldest(): void {
    for (const [version, value] of versions) {
      const fits = versions.size <= maxVersions && bytes <= maxBytes;
      if (fits || version === newest?.version) return;
      versions.delete(version);
      bytes -= value.length;
    }
  }

  function patchFrom(version: number): MessageOf<'ConfigurationPatch'> | undefined {
    if (!patches.has(version)) patches.set(version, computePatch(version));
    return patches.get(version);
  }

  function computePatch(version: number): MessageOf<'ConfigurationPatch'> | undefined {
    const base = versions.get(version);
    const next = newest === undefined ? undefined : versions.get(newest.version);
    if (base === undefined || newest === undefined || next === undefined || version === newest.version)
      return undefined;
    const steps = createPatch(base, next);
    if (patchBytes(steps) > maxPatchRatio * newest.value.length) return undefined;
    return {
      kind: 'ConfigurationPatch',
      version: newest.version,
      base: version,
      digest: digestOf(next),
      steps,
    };
  }

  return { newest: () => newest, add, patchFrom };
}
