/**
 * The versions of the configuration that a control node has told lately, and how each follower is brought from the
 * version it has to the newest one: by a difference where that is known and clearly smaller, else by the whole.
 */
import type { MessageOf } from '@tansypost/inner-protocol';
import type { Configuration } from './configuration.js';
import { createPatch, digestOf, patchBytes } from './configuration-patch.js';

export interface ConfigurationHistory {
  readonly newest: () => Configuration | undefined;
  /** Takes in a version and says whether it is newer than all before. */
  readonly add: (configuration: Configuration) => boolean;
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

  function add(configuration: Configuration): boolean {
    if (configuration.version <= (newest?.version ?? 0)) return false;
    newest = configuration;
    patches.clear();
    versions.set(configuration.version, configuration.value);
    bytes += configuration.value.length;
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
    if (base === undefined || newest === undefined || version === newest.version) return undefined;
    const steps = createPatch(base, newest.value);
    if (patchBytes(steps) > worthwhileShare * newest.value.length) return undefined;
    return {
      kind: 'ConfigurationPatch',
      version: newest.version,
      base: version,
      digest: digestOf(newest.value),
      steps,
    };
  }

  return { newest: () => newest, add, patchFrom };
}
