/**
 * Power failures between any two calls of the file system. Of the names changed since the last sync of their folder any
 * subset survives, and each write since the last sync of its file is present, missing or torn. Every state that can be left
 * must open, and must hold all acknowledged records.
 */
import { dirname } from 'node:path';
import { expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import { encodeRecord, type JournalRecord } from '@tansypost/control-state';
import { openFileDisk, type FileDisk } from './file-disk.js';
import type { FileSystem, OpenFile } from './file-system.js';

/** The effect of one write or one truncation on a file's bytes. */
type Change = (bytes: Buffer) => Buffer;
interface ModelFile {
  synced: Buffer;
  /** Each change since the last sync, and the part of it that is left if a power failure tore it. */
  unsynced: { readonly whole: Change; readonly torn: Change }[];
}
type Entry = ModelFile | 'folder' | undefined;
interface Snapshot {
  /** All states that each path may have after a power failure: the synced state and each later one. */
  readonly names: ReadonlyMap<string, readonly Entry[]>;
  readonly acknowledged: number;
  readonly started: number;
}

function bytesOf(file: ModelFile): Buffer {
  return file.unsynced.reduce((bytes, change) => change.whole(bytes), file.synced);
}

function writeAt(at: number, bytes: Buffer): Change {
  return (was) => Buffer.concat([was.subarray(0, at), Buffer.alloc(Math.max(0, at - was.length)), bytes]);
}
function truncateAt(length: number): Change {
  return (was) => was.subarray(0, length);
}
async function closeNothing(): Promise<void> {
  // Closing a model file releases nothing.
}

async function rejectFolderWrite(): Promise<void> {
  throw Object.assign(new Error('EISDIR'), { code: 'EISDIR' });
}

/** A file system in memory that reports, before each call, all states that a power failure could leave at that moment. */
class ModelFileSystem implements FileSystem {
  private readonly now = new Map<string, Entry>();
  private readonly states = new Map<string, Entry[]>();
  private writesUntilFull = Infinity;

  constructor(
    entries: ReadonlyMap<string, Entry>,
    private readonly before: (names: ReadonlyMap<string, readonly Entry[]>) => void = () => undefined,
  ) {
    for (const [path, entry] of entries) {
      this.now.set(path, entry);
      this.states.set(path, [entry]);
    }
  }

  /** The disk is full after this number of further writes. */
  fillAfter(writes: number): void {
    this.writesUntilFull = writes;
  }

  /** The state after a process restart without a power failure: unsynced writes and names exist, and are still unsynced. */
  restarted(before?: (names: ReadonlyMap<string, readonly Entry[]>) => void): ModelFileSystem {
    const next = new ModelFileSystem(this.now, before);
    for (const [path, states] of this.states) next.states.set(path, [...states]);
    return next;
  }

  recordState(): void {
    this.before(
      new Map(
        [...this.states].map(([path, entries]) => [
          path,
          entries.map((e) => (e === undefined || e === 'folder' ? e : { synced: e.synced, unsynced: [...e.unsynced] })),
        ]),
      ),
    );
  }

  private set(path: string, entry: Entry): void {
    this.now.set(path, entry);
    this.states.set(path, [...(this.states.get(path) ?? [undefined]), entry]);
  }
  private file(path: string): ModelFile {
    const entry = this.now.get(path);
    if (entry === undefined) throw Object.assign(new Error(`ENOENT: ${path}`), { code: 'ENOENT' });
    if (entry === 'folder') throw Object.assign(new Error(`EISDIR: ${path}`), { code: 'EISDIR' });
    return entry;
  }

  async mkdir(folder: string): Promise<string | undefined> {
    this.recordState();
    if (this.now.get(folder) !== undefined) return undefined;
    const first = this.now.get(dirname(folder)) === undefined ? await this.mkdir(dirname(folder)) : folder;
    this.set(folder, 'folder');
    return first;
  }
  async readFile(path: string): Promise<Buffer> {
    this.recordState();
    return bytesOf(this.file(path));
  }
  async readdir(folder: string): Promise<string[]> {
    this.recordState();
    const present = [...this.now].filter(([path, entry]) => entry !== undefined && dirname(path) === folder);
    return present.map(([path]) => path.slice(folder.length + 1));
  }
  async rename(from: string, to: string): Promise<void> {
    this.recordState();
    const file = this.file(from);
    this.set(to, file);
    this.set(from, undefined);
  }
  async rm(path: string): Promise<void> {
    this.recordState();
    if (this.now.get(path) !== undefined) this.set(path, undefined);
  }
  async truncate(path: string, length: number): Promise<void> {
    this.recordState();
    this.file(path).unsynced.push({ whole: truncateAt(length), torn: truncateAt(length) });
  }
  async open(path: string, flags: 'r' | 'a' | 'w'): Promise<OpenFile> {
    this.recordState();
    if (this.now.get(path) === 'folder') return this.openFolder(path);
    if (flags === 'r') this.file(path);
    if (this.now.get(path) === undefined) this.set(path, { synced: Buffer.alloc(0), unsynced: [] });
    const file = this.file(path);
    if (flags === 'w') file.unsynced.push({ whole: truncateAt(0), torn: truncateAt(0) });
    return this.openFile(file);
  }
  private openFile(file: ModelFile): OpenFile {
    const append = (bytes: Buffer): Promise<void> => this.write(file, bytes);
    const sync = (): Promise<void> => this.syncFile(file);
    return { appendFile: append, writeFile: append, sync, datasync: sync, close: closeNothing };
  }
  private async write(file: ModelFile, bytes: Buffer): Promise<void> {
    this.recordState();
    if (this.writesUntilFull <= 0) throw Object.assign(new Error('ENOSPC'), { code: 'ENOSPC' });
    this.writesUntilFull -= 1;
    const at = bytesOf(file).length;
    file.unsynced.push({ whole: writeAt(at, bytes), torn: writeAt(at, bytes.subarray(0, bytes.length >> 1)) });
  }
  private async syncFile(file: ModelFile): Promise<void> {
    this.recordState();
    file.synced = bytesOf(file);
    file.unsynced = [];
  }
  private openFolder(folder: string): OpenFile {
    const sync = (): Promise<void> => this.syncNames(folder);
    return { appendFile: rejectFolderWrite, writeFile: rejectFolderWrite, sync, datasync: sync, close: closeNothing };
  }
  private async syncNames(folder: string): Promise<void> {
    this.recordState();
    for (const [path, entry] of this.now) if (dirname(path) === folder) this.states.set(path, [entry]);
  }
}

/** All contents that a power failure may leave of one file. */
function remainsOf(file: ModelFile): Buffer[] {
  return file.unsynced.reduce(
    (outcomes, change) => outcomes.flatMap((bytes) => [bytes, change.whole(bytes), change.torn(bytes)]),
    [file.synced],
  );
}

/** Every combination of names and contents that may be left; the content of a lost folder is lost. */
function remains(names: Snapshot['names']): Map<string, Entry>[] {
  let all: Map<string, Entry>[] = [new Map()];
  const paths = [...names.keys()].sort();
  for (const path of paths) {
    const entries = names.get(path)!;
    const left = entries.flatMap((e): Entry[] =>
      e === undefined || e === 'folder' ? [e] : remainsOf(e).map((synced) => ({ synced, unsynced: [] })),
    );
    const distinct = [...new Map(left.map((e) => [keyOf(e), e])).values()];
    all = all.flatMap((m) =>
      m.get(dirname(path)) === undefined && path !== '/' ? [m] : distinct.map((e) => new Map(m).set(path, e)),
    );
  }
  return all;
}
function keyOf(e: Entry): string {
  return e === undefined ? 'none' : e === 'folder' ? e : `file ${e.synced.toString('hex')}`;
}

function record(key: string, version: number): JournalRecord {
  return { kind: 'row', key, promised: 1, epoch: 1, version, value: Buffer.from('value'), changes: [] };
}
function named(records: readonly JournalRecord[]): string {
  return records.map((stored) => `${stored.key}${stored.version}`).join(' ');
}
const folder = '/data/replica';
const journal = `${folder}/place.journal`;
function withFolder(more: readonly (readonly [string, Buffer])[] = []): Map<string, Entry> {
  const files = more.map(([path, synced]): [string, Entry] => [path, { synced, unsynced: [] }]);
  return new Map<string, Entry>([['/', 'folder'], ['/data', 'folder'], [folder, 'folder'], ...files]);
}
async function opened(files: FileSystem, rewrite = false, discard = false): Promise<FileDisk> {
  const disk = await openFileDisk(folder, rewrite, discard, files);
  if (E.isLeft(disk)) throw disk.left;
  return disk.right;
}

/** Records what the journal must hold after each step, and takes a snapshot before each call of the file system. */
class Script {
  readonly snapshots: Snapshot[] = [];
  readonly expected: string[];
  private records: JournalRecord[];
  private acknowledged = 0;
  readonly watch = (names: Snapshot['names']): void => {
    this.snapshots.push({ names, acknowledged: this.acknowledged, started: this.expected.length - 1 });
  };
  constructor(found: readonly JournalRecord[] = []) {
    this.records = [...found];
    this.expected = [named(found)];
  }
  private begin(next: JournalRecord[]): (error?: Error) => void {
    this.records = next;
    const step = this.expected.push(named(next)) - 1;
    return (error) => {
      if (error === undefined) this.acknowledged = step;
    };
  }
  append(disk: FileDisk, ...records: readonly JournalRecord[]): Promise<unknown> {
    const each = records.map((appended) => {
      const acknowledge = this.begin([...this.records, appended]);
      return new Promise<void>((ended) => {
        disk.disk.append(appended, (error) => {
          acknowledge(error);
          ended();
        });
      });
    });
    return Promise.all(each);
  }
  rewrite(disk: FileDisk, records: readonly JournalRecord[]): Promise<void> {
    const acknowledge = this.begin([...records]);
    return new Promise((ended) => {
      disk.disk.rewrite(records, (error) => {
        acknowledge(error);
        ended();
      });
    });
  }
  /** Opens every state that may be left at each moment; returns the number of states. */
  async check(): Promise<number> {
    let states = 0;
    for (const snapshot of this.snapshots) {
      for (const left of remains(snapshot.names)) {
        const found = named((await opened(new ModelFileSystem(left))).storedRecords);
        expect(this.expected.slice(snapshot.acknowledged, snapshot.started + 1)).toContain(found);
        states += 1;
      }
    }
    return states;
  }
}

it('keeps acknowledged records through appends and rewrites, whichever names and writes survive a power failure', async () => {
  const script = new Script();
  const files = new ModelFileSystem(withFolder(), script.watch);
  const disk = await opened(files);
  await script.append(disk, record('a', 1));
  await script.append(disk, record('b', 1), record('c', 1));
  await script.rewrite(disk, [record('a', 1), record('b', 2)]);
  await script.append(disk, record('c', 3));
  await script.rewrite(disk, [record('a', 4)]);
  await script.append(disk, record('d', 5));
  files.recordState();
  expect(await script.check()).toBeGreaterThan(60);
});

it('creates a missing folder durably', async () => {
  const script = new Script();
  const files = new ModelFileSystem(new Map<string, Entry>([['/', 'folder']]), script.watch);
  const disk = await opened(files);
  await script.append(disk, record('a', 1));
  files.recordState();
  expect(await script.check()).toBeGreaterThan(8);
});

it('syncs the records it finds before it returns them: the writer was killed before its sync, and then the power fails', async () => {
  const killed = new ModelFileSystem(withFolder([[journal, encodeRecord(record('a', 1))]]));
  const unsynced = await killed.open(journal, 'a');
  await unsynced.appendFile(encodeRecord(record('a', 2)));
  const files = killed.restarted();
  const disk = await opened(files);
  expect(named(disk.storedRecords)).toBe('a1 a2');
  const script = new Script(disk.storedRecords);
  files.restarted(script.watch).recordState();
  expect(await script.check()).toBeGreaterThan(0);
});

it('truncates a torn tail, which never reappears behind records that are written later', async () => {
  const whole = encodeRecord(record('a', 1));
  const torn = Buffer.concat([whole, encodeRecord(record('z', 9)).subarray(0, 20)]);
  const script = new Script([record('a', 1)]);
  const files = new ModelFileSystem(withFolder([[journal, torn]]), script.watch);
  const disk = await opened(files);
  expect(disk.truncatedBytes).toBe(20);
  await script.append(disk, record('b', 2));
  await script.append(disk, record('c', 3));
  files.recordState();
  expect(await script.check()).toBeGreaterThan(10);
});

it('never uses a damaged file again, and keeps the records acknowledged after it was quarantined', async () => {
  const damaged = Buffer.concat([record('x', 1), record('y', 1), record('z', 1)].map(encodeRecord));
  damaged[20] = damaged[20]! ^ 1;
  const script = new Script();
  const older: [string, Buffer][] = [1, 2].map((n) => [`${journal}.damaged.${n}`, damaged]);
  const files = new ModelFileSystem(withFolder([[journal, damaged], ...older]), script.watch);
  const disk = await opened(files);
  expect(disk.quarantineReason).toContain('place.journal.damaged.3');
  await script.append(disk, record('a', 1));
  await script.rewrite(disk, [record('a', 2)]);
  files.recordState();
  expect(await script.check()).toBeGreaterThan(20);
});

it('writes the stored records to a new file after the disk was full during a rewrite', async () => {
  const script = new Script([record('a', 1)]);
  const files = new ModelFileSystem(withFolder([[journal, encodeRecord(record('a', 1))]]), script.watch);
  const disk = await opened(files);
  await script.append(disk, record('b', 2));
  files.fillAfter(0);
  await script.rewrite(disk, [record('a', 1), record('b', 2)]);
  files.fillAfter(Infinity);
  const again = await opened(files, true);
  expect(named(again.storedRecords)).toBe('a1 b2');
  await script.append(again, record('c', 3));
  files.recordState();
  expect(await script.check()).toBeGreaterThan(20);
});

it('returns no discarded records once it has been opened with discard', async () => {
  const script = new Script();
  const files = new ModelFileSystem(withFolder([[journal, encodeRecord(record('a', 1))]]));
  const disk = await opened(files, false, true);
  expect(disk.storedRecords).toEqual([]);
  const restarted = files.restarted(script.watch);
  const again = await opened(restarted);
  await script.append(again, record('b', 1));
  restarted.recordState();
  expect(await script.check()).toBeGreaterThan(5);
});
