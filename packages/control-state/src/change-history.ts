/**
 * Which change made which version of one key. It answers whether an order that is sent again has been taken already.
 *
 * Each Accept carries only the change of its own version, so a change costs the same however many came before. What was
 * chosen is on a majority, so the union of the histories of any majority holds every chosen change. A change that was
 * accepted but never chosen may stand beside it under the same version; the chosen one bears the higher epoch, as a
 * leader writes a version only after a majority has promised its epoch and shown no chosen value of that version.
 */

/** A change that made one version of a key. */
export interface AppliedChange {
  readonly id: string;
  readonly version: number;
  /** The epoch of the leader that wrote it. */
  readonly epoch: number;
}

/**
 * How many versions back a change stays known: at 13 changes a second ten minutes, at 500 a day two weeks. A leader
 * writes one change after the other, each with a sync, so a disk of 5 ms a sync cannot use it up in less than 40 s.
 */
export const maxKeptChanges = 8192;

/** The changes of one key that are still known. */
export interface ChangeHistory {
  /** Takes a change in. Gives false where one of a higher or the same epoch stands under that version already. */
  readonly add: (change: AppliedChange) => boolean;
  /** The version that a change made, among versions up to `upTo`. */
  readonly versionOf: (id: string, upTo: number) => number | undefined;
  readonly at: (version: number) => AppliedChange | undefined;
  /** All that are kept up to a version, the oldest first. */
  readonly list: (upTo?: number) => AppliedChange[];
  /** Drops all above a version: they were accepted somewhere, but never chosen. */
  readonly dropAbove: (version: number) => void;
}

/** Makes an empty history that keeps the changes of so many versions. */
export function createChangeHistory(kept = maxKeptChanges): ChangeHistory {
  const byVersion = new Map<number, AppliedChange>();
  const versions = new Map<string, number>();
  let oldest = Infinity;
  let newest = 0;

  function add(change: AppliedChange): boolean {
    const present = byVersion.get(change.version);
    if (change.version <= newest - kept || (present !== undefined && present.epoch >= change.epoch)) return false;
    if (present !== undefined) remove(present);
    byVersion.set(change.version, change);
    versions.set(change.id, Math.max(versions.get(change.id) ?? 0, change.version));
    oldest = Math.min(oldest, change.version);
    newest = Math.max(newest, change.version);
    dropOld();
    return true;
  }

  function remove(change: AppliedChange): void {
    byVersion.delete(change.version);
    if (versions.get(change.id) === change.version) versions.delete(change.id);
  }

  function dropOld(): void {
    for (; oldest <= newest - kept; oldest += 1) {
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
      const version = versions.get(id);
      return version === undefined || version > upTo ? undefined : version;
    },
    at: (version) => byVersion.get(version),
    list,
    dropAbove,
  };
}

/** The form in which a change stands in the journal. */
export function encodeChange(change: AppliedChange): string {
  return `#${change.version}@${change.epoch}@${change.id}`;
}

/** Reads that form, and the `id@version` of earlier releases, which kept no epoch. */
export function decodeChange(text: string): AppliedChange {
  const present = /^#(\d+)@(\d+)@(.*)$/s.exec(text);
  if (present !== null) return { version: Number(present[1]), epoch: Number(present[2]), id: present[3]! };
  const cut = text.lastIndexOf('@');
  return { id: text.slice(0, cut), version: Number(text.slice(cut + 1)), epoch: 0 };
}
