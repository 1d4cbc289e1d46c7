/**
 * Records which change produced which version of a key, so that a repeated write is recognised as already applied.
 *
 * Each Accept carries only the change of its own version, so the cost of a change does not grow with the history. A
 * chosen change is on a majority, so the union of the histories of any majority contains every chosen change. A change
 * that was accepted but never chosen may exist under the same version. The chosen one then has the higher epoch,
 * because a leader writes a version only after a majority has promised its epoch and reported no chosen value of that
 * version.
 */

/** A change that produced one version of a key. */
export interface AppliedChange {
  readonly id: string;
  readonly version: number;
  /** Epoch of the leader that wrote it. */
  readonly epoch: number;
}

/**
 * Number of versions for which a change is remembered: ten minutes at 13 changes per second, two weeks at 500 per day.
 * A leader writes changes one at a time, each with a disk sync, so at 5 ms per sync the history covers at least 40 s.
 */
export const maxKeptChanges = 8192;

/** The remembered changes of one key. */
export interface ChangeHistory {
  /**
   * Adds a change. Returns false if it is too old, or if that version already has a change of the same or a higher
   * epoch.
   */
  readonly add: (change: AppliedChange) => boolean;
  /** The version that a change produced, if it is at most `upTo`. */
  readonly versionOf: (id: string, upTo: number) => number | undefined;
  readonly at: (version: number) => AppliedChange | undefined;
  /** All remembered changes up to a version, oldest first. */
  readonly list: (upTo?: number) => AppliedChange[];
  /** Drops all changes above a version: they were accepted somewhere but never chosen. */
  readonly dropAbove: (version: number) => void;
}

/** Creates an empty history that remembers the changes of the last `maxVersions` versions. */
export function createChangeHistory(maxVersions = maxKeptChanges): ChangeHistory {
  const byVersion = new Map<number, AppliedChange>();
  const versionById = new Map<string, number>();
  let oldest = Infinity;
  let newest = 0;

  function add(change: AppliedChange): boolean {
    const existing = byVersion.get(change.version);
    if (change.version <= newest - maxVersions || (existing !== undefined && existing.epoch >= change.epoch))
      return false;
    if (existing !== undefined) remove(existing);
    byVersion.set(change.version, change);
    versionById.set(change.id, Math.max(versionById.get(change.id) ?? 0, change.version));
    oldest = Math.min(oldest, change.version);
    newest = Math.max(newest, change.version);
    dropExpired();
    return true;
  }

  function remove(change: AppliedChange): void {
    byVersion.delete(change.version);
    if (versionById.get(change.id) === change.version) versionById.delete(change.id);
  }

  function dropExpired(): void {
    for (; oldest <= newest - maxVersions; oldest += 1) {
      const change = byVersion.get(oldest);
      if (change !== undefined) remove(change);
    }
  }

  function list(upTo = Infinity): AppliedChange[] {
    return [...byVersion.values()].filter((change) => change.version <= upTo).sort((a, b) => a.version - b.version);
  }

  function dropAbove(version: number): void {
    for (const change of list()) if (change.version > version) remove(change);
    newest = Math.min(newest, version);
  }

  return {
    add,
    versionOf: (id, upTo) => {
      const version = versionById.get(id);
      return version === undefined || version > upTo ? undefined : version;
    },
    at: (version) => byVersion.get(version),
    list,
    dropAbove,
  };
}

/** Encodes a change for the journal. */
export function encodeChange(change: AppliedChange): string {
  return `#${change.version}@${change.epoch}@${change.id}`;
}

/** Decodes a change from the journal, also in the format `id@version` of earlier releases, which has no epoch. */
export function decodeChange(text: string): AppliedChange {
  const current = /^#(\d+)@(\d+)@(.*)$/s.exec(text);
  if (current !== null) return { version: Number(current[1]), epoch: Number(current[2]), id: current[3]! };
  const separator = text.lastIndexOf('@');
  return { id: text.slice(0, separator), version: Number(text.slice(separator + 1)), epoch: 0 };
}
