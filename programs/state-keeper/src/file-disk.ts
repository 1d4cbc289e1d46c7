// The disk of a place: one append-only file. Records that wait together are written and synced together.
// A rewrite goes to a second file, is synced, and takes the first one's name. Any error is final for
// this opening: what a disk did after a failed sync is not known, so the next one writes all that it finds to a new
// file. A damaged file is put aside under another name and never served.
import {
  closeSync,
  existsSync,
  fsyncSync,
  mkdirSync,
  openSync,
  readFileSync,
  readdirSync,
  renameSync,
  rmSync,
  truncateSync,
} from 'node:fs';
import { open, rename, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import * as E from 'fp-ts/lib/Either.js';
import { encodeRecord, readJournal, type Disk, type JournalRecord } from '@tansypost/control-state';
import { FailedDisk } from '@tansypost/inner-protocol';
import type { OpenDisk } from './keeper-host.js';

export type FileDisk = OpenDisk & { readonly close: () => Promise<void> };
type Job =
  | { readonly rewrite: false; readonly b: Buffer; readonly done: (e?: Error) => void }
  | { readonly rewrite: true; readonly rs: readonly JournalRecord[]; readonly done: (e?: Error) => void };

function syncFolder(folder: string): void {
  const fd = openSync(folder, 'r');
  fsyncSync(fd);
  closeSync(fd);
}

// Gives the damaged file another name; of those put aside the newest two are kept.
function putAside(folder: string, name: string): string {
  const old = readdirSync(folder)
    .filter((f) => f.startsWith('place.journal.damaged.'))
    .map((f) => Number(f.split('.').at(-1)))
    .sort((a, b) => a - b);
  const to = `${name}.damaged.${(old.at(-1) ?? 0) + 1}`;
  renameSync(name, to);
  for (const n of old.slice(0, -1)) rmSync(`${name}.damaged.${n}`, { force: true });
  syncFolder(folder);
  return to;
}

export async function openFileDisk(folder: string, afresh = false): Promise<E.Either<Error, FileDisk>> {
  try {
    return E.right(await openNow(folder, afresh));
  } catch (e) {
    return E.left(
      new FailedDisk(
        `The data folder ${folder} cannot be used: ${e instanceof Error ? e.message : String(e)}. Give the keeper a folder on a sound disk that it may write to.`,
      ),
    );
  }
}

async function openNow(folder: string, afresh: boolean): Promise<FileDisk> {
  mkdirSync(folder, { recursive: true });
  const name = join(folder, 'place.journal');
  const read = readJournal(existsSync(name) ? readFileSync(name) : Buffer.alloc(0));
  const aside = E.isLeft(read) ? `${read.left.message} It is now ${putAside(folder, name)}.` : undefined;
  const r = E.isLeft(read) ? { right: { records: [], good: 0, cut: 0 } } : read;
  if (r.right.cut > 0) truncateSync(name, r.right.good);
  let file: FileHandle = await open(name, 'a');
  syncFolder(folder);
  let size = r.right.good;
  let jobs: Job[] = [];
  let working = false;
  let busy: Promise<void> = Promise.resolve();
  let broken: Error | undefined;

  async function work(): Promise<void> {
    working = true;
    while (jobs.length > 0) {
      const n = jobs.findIndex((j) => j.rewrite);
      const now = n === 0 ? jobs.slice(0, 1) : jobs.slice(0, n < 0 ? jobs.length : n);
      jobs = jobs.slice(now.length);
      try {
        if (broken !== undefined) throw broken;
        if (now[0]!.rewrite) await rewriteNow(now[0]!.rs);
        else {
          const b = Buffer.concat(now.map((j) => (j as { b: Buffer }).b));
          await file.appendFile(b);
          await file.datasync();
          size += b.length;
        }
        for (const j of now) j.done();
      } catch (e) {
        broken = e instanceof Error ? e : new Error(String(e));
        for (const j of now) j.done(broken);
      }
    }
    working = false;
  }

  async function rewriteNow(rs: readonly JournalRecord[]): Promise<void> {
    const b = Buffer.concat(rs.map(encodeRecord));
    const next = await open(`${name}.next`, 'w');
    await next.writeFile(b);
    await next.sync();
    await next.close();
    await rename(`${name}.next`, name);
    syncFolder(folder);
    await file.close();
    file = await open(name, 'a');
    size = b.length;
  }

  function add(j: Job): void {
    jobs.push(j);
    if (!working) busy = work();
  }

  const disk: Disk = {
    append: (x, done) => add({ rewrite: false, b: encodeRecord(x), done }),
    rewrite: (rs, done) => add({ rewrite: true, rs, done }),
    size: () => size,
  };
  if (afresh) await rewriteNow(r.right.records);
  return {
    disk,
    found: r.right.records,
    cut: r.right.cut,
    ...(aside === undefined ? {} : { aside }),
    close: async () => {
      await busy;
      await file.close();
    },
  };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { mkdtempSync, appendFileSync, writeFileSync, statSync } = await import('node:fs');
  const { tmpdir } = await import('node:os');
  function rec(key: string, version: number): JournalRecord {
    return { kind: 'row', key, promised: 1, epoch: 1, version, value: Buffer.from('x'), changes: [] };
  }
  it('finds after a restart what was synced, through a rewrite and a torn tail', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'place-'));
    const a = await openFileDisk(folder);
    if (E.isLeft(a)) throw a.left;
    function put(d: Disk, r: JournalRecord): Promise<void> {
      return new Promise((ok, no) => d.append(r, (e) => (e === undefined ? ok() : no(e))));
    }
    await Promise.all([put(a.right.disk, rec('a', 1)), put(a.right.disk, rec('b', 1))]);
    await new Promise<void>((ok) => {
      a.right.disk.rewrite([rec('b', 2)], () => ok());
    });
    await put(a.right.disk, rec('c', 3));
    await a.right.close();
    appendFileSync(join(folder, 'place.journal'), Buffer.from('TPJ1torn'));
    const b = await openFileDisk(folder);
    if (E.isLeft(b)) throw b.left;
    expect(b.right.found.map((r) => `${r.key}${r.version}`)).toEqual(['b2', 'c3']);
    expect(b.right.cut).toBe(8);
    await put(b.right.disk, rec('d', 4));
    await b.right.close();
    const c = await openFileDisk(folder);
    expect(E.isRight(c) && c.right.found.length).toBe(3);
    if (E.isRight(c)) await c.right.close();
    rmSync(folder, { recursive: true });
  });
  it('puts a damaged file aside under another name, begins blank, and says why a folder cannot be used', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'place-'));
    const name = join(folder, 'place.journal');
    const all = Buffer.concat([rec('a', 1), rec('b', 1), rec('c', 1)].map(encodeRecord));
    for (let n = 1; n <= 3; n += 1) {
      const bad = Buffer.from(all);
      bad[20] = bad[20]! ^ n;
      writeFileSync(name, bad);
      const d = await openFileDisk(folder);
      if (E.isLeft(d)) throw d.left;
      expect(d.right.found).toEqual([]);
      expect(d.right.aside).toContain(`place.journal.damaged.${n}`);
      expect(readFileSync(`${name}.damaged.${n}`)).toEqual(bad);
      await d.right.close();
    }
    expect(
      readdirSync(folder)
        .filter((f) => f.includes('damaged'))
        .sort(),
    ).toEqual(['place.journal.damaged.2', 'place.journal.damaged.3']);
    const no = await openFileDisk(name);
    expect(E.isLeft(no) && no.left.message).toMatch(/cannot be used.*Give the keeper a folder/);
    rmSync(folder, { recursive: true });
  });
  it('writes what it finds to a new file when it is opened after a failure', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'place-'));
    const name = join(folder, 'place.journal');
    writeFileSync(name, Buffer.concat([rec('a', 1), rec('b', 2)].map(encodeRecord)));
    const was = statSync(name).ino;
    const d = await openFileDisk(folder, true);
    if (E.isLeft(d)) throw d.left;
    expect(d.right.found.length).toBe(2);
    expect(statSync(name).ino).not.toBe(was);
    await d.right.close();
    rmSync(folder, { recursive: true });
  });
}
