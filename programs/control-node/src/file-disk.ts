/**
 * The disk of a place: one append-only file. Records that wait together are written and synced together.
 * A rewrite goes to a second file, is synced, and takes the first one's name. Any error is final for
 * this opening: what a disk did after a failed sync is not known, so the next one writes all that it finds to a new
 * file. A damaged file is put aside under another name and never served.
 */
import { dirname, join, resolve } from 'node:path';
import * as E from 'fp-ts/lib/Either.js';
import {
  encodeRecord,
  encodeSnapshot,
  joinRecords,
  readJournal,
  type Disk,
  type JournalRecord,
} from '@tansypost/control-state';
import { FailedDiskError } from '@tansypost/inner-protocol';
import type { OpenDisk } from './control-node-host.js';
import { nodeFiles, type FileSystem, type OpenFile } from './file-system.js';

export type FileDisk = OpenDisk & { readonly close: () => Promise<void> };
type Job =
  | { readonly rewrite: false; readonly b: Buffer; readonly done: (e?: Error) => void }
  | { readonly rewrite: true; readonly rs: readonly JournalRecord[]; readonly done: (e?: Error) => void };

async function syncFolder(files: FileSystem, folder: string): Promise<void> {
  const f = await files.open(folder, 'r');
  try {
    await f.sync();
  } finally {
    await f.close();
  }
}

// A folder lasts once the one above it was synced; so do those above it that were made with it.
async function makeFolder(files: FileSystem, folder: string): Promise<void> {
  const first = await files.mkdir(folder, { recursive: true });
  if (first === undefined) return;
  let made = resolve(folder);
  await syncFolder(files, dirname(made));
  while (made !== resolve(first) && made !== dirname(made)) {
    made = dirname(made);
    await syncFolder(files, dirname(made));
  }
}

// Gives the damaged file another name; of those put aside the newest two are kept.
async function putAside(files: FileSystem, folder: string, name: string): Promise<string> {
  const old = (await files.readdir(folder))
    .filter((f) => f.startsWith('place.journal.damaged.'))
    .map((f) => Number(f.split('.').at(-1)))
    .sort((a, b) => a - b);
  const to = `${name}.damaged.${(old.at(-1) ?? 0) + 1}`;
  await files.rename(name, to);
  for (const n of old.slice(0, -1)) await files.rm(`${name}.damaged.${n}`, { force: true });
  await syncFolder(files, folder);
  return to;
}

async function readIfThere(files: FileSystem, name: string): Promise<Buffer> {
  try {
    return await files.readFile(name);
  } catch (e) {
    if ((e as NodeJS.ErrnoException).code === 'ENOENT') return Buffer.alloc(0);
    throw e;
  }
}

// `afresh` writes what is found to a new file; `blank` throws it away.
export async function openFileDisk(
  folder: string,
  afresh = false,
  blank = false,
  files: FileSystem = nodeFiles,
): Promise<E.Either<Error, FileDisk>> {
  try {
    return E.right(await openNow(files, folder, afresh, blank));
  } catch (e) {
    return E.left(
      new FailedDiskError(
        `The data folder ${folder} cannot be used: ${e instanceof Error ? e.message : String(e)}. Give the keeper a folder on a sound disk that it may write to.`,
      ),
    );
  }
}

async function openNow(files: FileSystem, folder: string, afresh: boolean, blank: boolean): Promise<FileDisk> {
  await makeFolder(files, folder);
  const name = join(folder, 'place.journal');
  if (blank) await files.rm(name, { force: true });
  const read = readJournal(await readIfThere(files, name));
  const aside = E.isLeft(read) ? `${read.left.message} It is now ${await putAside(files, folder, name)}.` : undefined;
  const r = E.isLeft(read) ? { right: { records: [], validBytes: 0, tornBytes: 0 } } : read;
  if (r.right.tornBytes > 0) await files.truncate(name, r.right.validBytes);
  let file: OpenFile = await files.open(name, 'a');
  // The process before may have been killed before its sync: what is found is told to others, so it must last first.
  await file.datasync();
  await syncFolder(files, folder);
  let size = r.right.validBytes;
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
          const b = joinRecords(now.map((j) => (j as { b: Buffer }).b));
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
    const b = encodeSnapshot(rs);
    const next = await files.open(`${name}.next`, 'w');
    await next.writeFile(b);
    await next.sync();
    await next.close();
    await files.rename(`${name}.next`, name);
    await syncFolder(files, folder);
    await file.close();
    file = await files.open(name, 'a');
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
    storedRecords: r.right.records,
    truncatedBytes: r.right.tornBytes,
    ...(aside === undefined ? {} : { quarantineReason: aside }),
    close: async () => {
      await busy;
      await file.close();
    },
  };
}
