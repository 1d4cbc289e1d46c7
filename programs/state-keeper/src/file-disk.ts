// The disk of a place: one append-only file. Records that wait together are written and synced together.
// A rewrite goes to a second file, is synced, and takes the first one's name. Any error is final for
// this process: what a disk did after a failed sync is not known.
import { closeSync, fsyncSync, mkdirSync, openSync, readFileSync, truncateSync, existsSync } from 'node:fs';
import { open, rename, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import * as E from 'fp-ts/lib/Either.js';
import { encodeRecord, readJournal, type Disk, type JournalRecord } from '@tansypost/control-state';

export interface FileDisk {
  readonly disk: Disk;
  readonly found: readonly JournalRecord[];
  readonly cut: number;
  readonly close: () => Promise<void>;
}
type Job =
  | { readonly rewrite: false; readonly b: Buffer; readonly done: (e?: Error) => void }
  | { readonly rewrite: true; readonly rs: readonly JournalRecord[]; readonly done: (e?: Error) => void };

function syncFolder(folder: string): void {
  const fd = openSync(folder, 'r');
  fsyncSync(fd);
  closeSync(fd);
}

export async function openFileDisk(folder: string): Promise<E.Either<Error, FileDisk>> {
  mkdirSync(folder, { recursive: true });
  const name = join(folder, 'place.journal');
  const r = readJournal(existsSync(name) ? readFileSync(name) : Buffer.alloc(0));
  if (E.isLeft(r)) return r;
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
  return E.right({ disk, found: r.right.records, cut: r.right.cut, close: async () => { await busy; await file.close(); } });
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const { mkdtempSync, rmSync, appendFileSync } = await import('node:fs');
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
    await new Promise<void>((ok) => { a.right.disk.rewrite([rec('b', 2)], () => ok()); });
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
}
