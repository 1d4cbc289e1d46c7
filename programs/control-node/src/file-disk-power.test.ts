/**
 * Power is lost between any two calls of the file system. Of the names changed since the last sync of their folder any
 * subset is kept, and of the writes since the last sync of their file each is present, missing or torn. Whatever is
 * left must open, and must hold all that had been acknowledged.
 */
import { dirname } from 'node:path';
import { expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import { encodeRecord, type JournalRecord } from '@tansypost/control-state';
import { openFileDisk, type FileDisk } from './file-disk.js';
import type { FileSystem, OpenFile } from './file-system.js';

/** What one write, or one cut, makes of a file's bytes. */
type Change = (bytes: Buffer) => Buffer;
interface ModelFile {
  synced: Buffer;
  /** Since the last sync: each change, and what is left of it where the loss of power tore it. */
  unsynced: { readonly whole: Change; readonly torn: Change }[];
}
type Entry = ModelFile | 'folder' | undefined;
interface Snapshot {
  /** For each path all that it may hold after a loss of power: what was synced, and each later state. */
  readonly names: ReadonlyMap<string, readonly Entry[]>;
  readonly acknowledged: number;
  readonly begun: number;
}

function bytesOf(file: ModelFile): Buffer {
  return file.unsynced.reduce((bytes, change) => change.whole(bytes), file.synced);
}

function writeAt(at: number, bytes: Buffer): Change {
  return (was) => Buffer.concat([was.subarray(0, at), Buffer.alloc(Math.max(0, at - was.length)), bytes]);
}
function cutAt(length: number): Change {
  return (was) => was.subarray(0, length);
}
async function nothing(): Promise<void> {
  // A file of the model has nothing to give back.
}

async function refuseFolder(): Promise<void> {
  throw Object.assign(new Error('EISDIR'), { code: 'EISDIR' });
}

/** A file system in memory that tells, before each call, all that a loss of power could leave at that moment. */
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

  /** From the write after so many on, the disk is full. */
  fillAfter(writes: number): void {
    this.writesUntilFull = writes;
  }

  /** What a restart finds where the power stayed: unsynced writes and names are there, and still not synced. */
  restarted(before?: (names: ReadonlyMap<string, readonly Entry[]>) => void): ModelFileSystem {
    const next = new ModelFileSystem(this.now, before);
    for (const [path, states] of this.states) next.states.set(path, [...states]);
    return next;
  }

  look(): void {
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
    this.look();
    if (this.now.get(folder) !== undefined) return undefined;
    const first = this.now.get(dirname(folder)) === undefined ? await this.mkdir(dirname(folder)) : folder;
    this.set(folder, 'folder');
    return first;
  }
  async readFile(path: string): Promise<Buffer> {
    this.look();
    return bytesOf(this.file(path));
  }
  async readdir(folder: string): Promise<string[]> {
    this.look();
    const there = [...this.now].filter(([path, entry]) => entry !== undefined && dirname(path) === folder);
    return there.map(([path]) => path.slice(folder.length + 1));
  }
  async rename(from: string, to: string): Promise<void> {
    this.look();
    const file = this.file(from);
    this.set(to, file);
    this.set(from, undefined);
  }
  async rm(path: string): Promise<void> {
    this.look();
    if (this.now.get(path) !== undefined) this.set(path, undefined);
  }
  async truncate(path: string, length: number): Promise<void> {
    this.look();
    this.file(path).unsynced.push({ whole: cutAt(length), torn: cutAt(length) });
  }
  async open(path: string, flags: 'r' | 'a' | 'w'): Promise<OpenFile> {
    this.look();
    if (this.now.get(path) === 'folder') return this.openFolder(path);
    if (flags === 'r') this.file(path);
    if (this.now.get(path) === undefined) this.set(path, { synced: Buffer.alloc(0), unsynced: [] });
    const file = this.file(path);
    if (flags === 'w') file.unsynced.push({ whole: cutAt(0), torn: cutAt(0) });
    return this.openFile(file);
  }
  private openFile(file: ModelFile): OpenFile {
    const append = (bytes: Buffer): Promise<void> => this.write(file, bytes);
    const sync = (): Promise<void> => this.syncFile(file);
    return { appendFile: append, writeFile: append, sync, datasync: sync, close: nothing };
  }
  private async write(file: ModelFile, bytes: Buffer): Promise<void> {
    this.look();
    if (this.writesUntilFull <= 0) throw Object.assign(new Error('ENOSPC'), { code: 'ENOSPC' });
    this.writesUntilFull -= 1;
    const at = bytesOf(file).length;
    file.unsynced.push({ whole: writeAt(at, bytes), torn: writeAt(at, bytes.subarray(0, bytes.length >> 1)) });
  }
  private async syncFile(file: ModelFile): Promise<void> {
    this.look();
    file.synced = bytesOf(file);
    file.unsynced = [];
  }
  private openFolder(folder: string): OpenFile {
    const sync = (): Promise<void> => this.syncNames(folder);
    return { appendFile: refuseFolder, writeFile: refuseFolder, sync, datasync: sync, close: nothing };
  }
  private async syncNames(folder: string): Promise<void> {
    this.look();
    for (const [path, entry] of this.now) if (dirname(path) === folder) this.states.set(path, [entry]);
  }
}

/** All that a loss of power may leave of one file. */
function remainsOf(file: ModelFile): Buffer[] {
  return file.unsynced.reduce(
    (outcomes, change) => outcomes.flatMap((bytes) => [bytes, change.whole(bytes), change.torn(bytes)]),
    [file.synced],
  );
}

/** Every combination of the names and of the bytes that may be left; what stands in a lost folder is lost. */
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
  return records.map((r) => `${r.key}${r.version}`).join(' ');
}
const folder = '/data/replica';
const journal = `${folder}/place.journal`;
function withFolder(more: readonly (readonly [string, Buffer])[] = []): Map<string, Entry> {
  const files = more.map(([path, synced]): [string, Entry] => [path, { synced, unsynced: [] }]);
  return new Map<string, Entry>([['/', 'folder'], ['/data', 'folder'], [folder, 'folder'], ...files]);
}
async function opened(files: FileSystem, afresh = false, blank = false): Promise<FileDisk> {
  const disk = await openFileDisk(folder, afresh, blank, files);
  if (E.isLeft(disk)) throw disk.left;
  return disk.right;
}

/** Keeps what the journal must hold after each step, and a snapshot before each call of the file system. */
class Script {
  readonly snapshots: Snapshot[] = [];
  readonly expected: string[];
  private records: JournalRecord[];
  private acknowledged = 0;
  readonly watch = (names: Snapshot['names']): void => {
    this.snapshots.push({ names, acknowledged: this.acknowledged, begun: this.expected.length - 1 });
  };
  constructor(found: readonly JournalRecord[] = []) {
    this.records = [...found];
    this.expected = [named(found)];
  }
  private begin(next: JournalRecord[]): (e?: Error) => void {
    this.records = next;
    const step = this.expected.push(named(next)) - 1;
    return (e) => {
      if (e === undefined) this.acknowledged = step;
    };
  }
  append(disk: FileDisk, ...rs: readonly JournalRecord[]): Promise<unknown> {
    const each = rs.map((r) => {
      const acknowledge = this.begin([...this.records, r]);
      return new Promise<void>((ended) => {
        disk.disk.append(r, (e) => {
          acknowledge(e);
          ended();
        });
      });
    });
    return Promise.all(each);
  }
  rewrite(disk: FileDisk, rs: readonly JournalRecord[]): Promise<void> {
    const acknowledge = this.begin([...rs]);
    return new Promise((ended) => {
      disk.disk.rewrite(rs, (e) => {
        acknowledge(e);
        ended();
      });
    });
  }
  /** Opens all that may be left at each moment; gives how many states that were. */
  async check(): Promise<number> {
    let states = 0;
    for (const snapshot of this.snapshots) {
      for (const left of remains(snapshot.names)) {
        const found = named((await opened(new ModelFileSystem(left))).storedRecords);
        expect(this.expected.slice(snapshot.acknowledged, snapshot.begun + 1)).toContain(found);
        states += 1;
      }
    }
    return states;
  }
}

it('holds what was acknowledged through appends and rewrites, whichever names and writes a loss of power keeps', async () => {
  const script = new Script();
  const files = new ModelFileSystem(withFolder(), script.watch);
  const disk = await opened(files);
  await script.append(disk, record('a', 1));
  await script.append(disk, record('b', 1), record('c', 1));
  await script.rewrite(disk, [record('a', 1), record('b', 2)]);
  await script.append(disk, record('c', 3));
  await script.rewrite(disk, [record('a', 4)]);
  await script.append(disk, record('d', 5));
  files.look();
  expect(await script.check()).toBeGreaterThan(60);
});

it('makes its folder so that it lasts, where there was none', async () => {
  const script = new Script();
  const files = new ModelFileSystem(new Map<string, Entry>([['/', 'folder']]), script.watch);
  const disk = await opened(files);
  await script.append(disk, record('a', 1));
  files.look();
  expect(await script.check()).toBeGreaterThan(8);
});

it('syncs what it finds before it tells of it: a process was killed before its sync, and then the power goes', async () => {
  const killed = new ModelFileSystem(withFolder([[journal, encodeRecord(record('a', 1))]]));
  const unsynced = await killed.open(journal, 'a');
  await unsynced.appendFile(encodeRecord(record('a', 2)));
  const files = killed.restarted();
  const disk = await opened(files);
  expect(named(disk.storedRecords)).toBe('a1 a2');
  const script = new Script(disk.storedRecords);
  files.restarted(script.watch).look();
  expect(await script.check()).toBeGreaterThan(0);
});

it('cuts a torn tail, and never lets what was cut stand behind what is written after it', async () => {
  const whole = encodeRecord(record('a', 1));
  const torn = Buffer.concat([whole, encodeRecord(record('z', 9)).subarray(0, 20)]);
  const script = new Script([record('a', 1)]);
  const files = new ModelFileSystem(withFolder([[journal, torn]]), script.watch);
  const disk = await opened(files);
  expect(disk.truncatedBytes).toBe(20);
  await script.append(disk, record('b', 2));
  await script.append(disk, record('c', 3));
  files.look();
  expect(await script.check()).toBeGreaterThan(10);
});

it('never serves a damaged file again, and keeps what is acknowledged after it was put aside', async () => {
  const damaged = Buffer.concat([record('x', 1), record('y', 1), record('z', 1)].map(encodeRecord));
  damaged[20] = damaged[20]! ^ 1;
  const script = new Script();
  const older: [string, Buffer][] = [1, 2].map((n) => [`${journal}.damaged.${n}`, damaged]);
  const files = new ModelFileSystem(withFolder([[journal, damaged], ...older]), script.watch);
  const disk = await opened(files);
  expect(disk.quarantineReason).toContain('place.journal.damaged.3');
  await script.append(disk, record('a', 1));
  await script.rewrite(disk, [record('a', 2)]);
  files.look();
  expect(await script.check()).toBeGreaterThan(20);
});

it('gives what it found to a new file after a disk was full in the middle of a rewrite', async () => {
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
  files.look();
  expect(await script.check()).toBeGreaterThan(20);
});

it('shows nothing of what was thrown away once it has opened blank', async () => {
  const found = new Script();
  const files = new ModelFileSystem(withFolder([[journal, encodeRecord(record('a', 1))]]));
  const disk = await opened(files, false, true);
  expect(disk.storedRecords).toEqual([]);
  const after = files.restarted(found.watch);
  const again = await opened(after);
  await found.append(again, record('b', 1));
  after.look();
  expect(await found.check()).toBeGreaterThan(5);
});
