/**
 * The versions of the configuration that a control node has told lately, and how each follower is brought from the
 * version it has to the newest one: by a difference where that is known and clearly smaller than the packed whole, else
 * by that.
 */
import type { MessageOf } from '@tansypost/inner-protocol';
import type { Configuration } from './configuration.js';
import { unpackConfiguration } from './configuration-packing.js';
import { createPatch, digestOf, patchBytes } from './configuration-patch.js';

export interface ConfigurationHistory {
  /** The newest version, packed. */
  readonly newest: () => Configuration | undefined;
  /** Takes in a version, packed, and says whether it is newer than all before. */
  readonly add: (packed: Configuration) => boolean;
  /** The difference from that version to the newest, where one is worth sending. */
  readonly patchFrom: (version: number) => MessageOf<'ConfigurationPatch'> | undefined;
}

const mostVersions = 32;
const mostBytes = 4 * 1024 * 1024;
/** A difference is sent where it is smaller than this part of the whole. */
const worthwhileShare = 0.7;

export function createConfigurationHistory(): ConfigurationHistory {
  const versions = new Map<number, Buffer>();
  const patches = new Map<number, MessageOf<'ConfigurationPatch'> | undefined>();
  let newest: Configuration | undefined;
  let bytes = 0;

  function add(packed: Configuration): boolean {
    if (packed.version <= (newest?.version ?? 0)) return false;
    newest = packed;
    patches.clear();
    const whole = unpackConfiguration(packed.value);
    versions.set(packed.version, whole);
    bytes += whole.length;
    dropOldest();
    return true;
  }

  function dropOldest(): void {
    for (const [version, value] of versions) {
      const fits = versions.size <= mostVersions && bytes <= mostBytes;
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
    if (patchBytes(steps) > worthwhileShare * newest.value.length) return undefined;
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
