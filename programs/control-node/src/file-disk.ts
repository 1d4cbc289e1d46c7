/**
 * The disk of a replica: one append-only journal. Queued records are written and synced together. A rewrite goes to a
 * second file, which is synced and renamed to the journal. After an error the open journal accepts no more writes: what
 * the disk holds after a failed sync is unknown, so the next opening writes all records that it finds to a new file. A
 * damaged file is renamed and never used again.
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

/** An open journal. */
export type FileDisk = OpenDisk & { readonly close: () => Promise<void> };
type WriteJob =
  | { readonly rewrite: false; readonly bytes: Buffer; readonly done: (error?: Error) => void }
  | { readonly rewrite: true; readonly records: readonly JournalRecord[]; readonly done: (error?: Error) => void };

async function syncFolder(files: FileSystem, folder: string): Promise<void> {
  const handle = await files.open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

// A created folder is durable once its parent has been synced; this holds for each parent that was created with it.
async function makeFolder(files: FileSystem, folder: string): Promise<void> {
  const uppermost = await files.mkdir(folder, { recursive: true });
  if (uppermost === undefined) return;
  let current = resolve(folder);
  await syncFolder(files, dirname(current));
  while (current !== resolve(uppermost) && current !== dirname(current)) {
    current = dirname(current);
    await syncFolder(files, dirname(current));
  }
}

// Renames the damaged file. Of all quarantined files the newest two are kept.
async function quarantineFile(files: FileSystem, folder: string, path: string): Promise<string> {
  const numbers = (await files.readdir(folder))
    .filter((name) => name.startsWith('place.journal.damaged.'))
    .map((name) => Number(name.split('.').at(-1)))
    .sort((a, b) => a - b);
  const target = `${path}.damaged.${(numbers.at(-1) ?? 0) + 1}`;
  await files.rename(path, target);
  for (const number of numbers.slice(0, -1)) await files.rm(`${path}.damaged.${number}`, { force: true });
  await syncFolder(files, folder);
  return target;
}

async function readOrEmpty(files: FileSystem, path: string): Promise<Buffer> {
  try {
    return await files.readFile(path);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return Buffer.alloc(0);
    throw error;
  }
}

/** Opens the journal in `folder`. `rewrite` writes the stored records to a new file; `discard` deletes them. */
export async function openFileDisk(
  folder: string,
  rewrite = false,
  discard = false,
  files: FileSystem = nodeFiles,
): Promise<E.Either<Error, FileDisk>> {
  try {
    return E.right(await openJournal(files, folder, rewrite, discard));
  } catch (error) {
    return E.left(
      new FailedDiskError(
        `The data folder ${folder} cannot be used: ${error instanceof Error ? error.message : String(error)}. Configure a folder on a healthy disk that the control node may write to.`,
      ),
    );
  }
}

async function openJournal(files: FileSystem, folder: string, rewrite: boolean, discard: boolean): Promise<FileDisk> {
  await makeFolder(files, folder);
  const path = join(folder, 'place.journal');
  if (discard) await files.rm(path, { force: true });
  const read = readJournal(await readOrEmpty(files, path));
  const quarantineReason = E.isLeft(read)
    ? `${read.left.message} It was renamed to ${await quarantineFile(files, folder, path)}.`
    : undefined;
  const journal = E.isLeft(read) ? { right: { records: [], validBytes: 0, tornBytes: 0 } } : read;
  if (journal.right.tornBytes > 0) await files.truncate(path, journal.right.validBytes);
  let file: OpenFile = await files.open(path, 'a');
  // The previous process may have been killed before its sync. The records found are sent to other nodes, so they must be
  // durable first.
  await file.datasync();
  await syncFolder(files, folder);
  let size = journal.right.validBytes;
  let queue: WriteJob[] = [];
  let isWorking = false;
  let busy: Promise<void> = Promise.resolve();
  let failure: Error | undefined;

  async function runQueue(): Promise<void> {
    isWorking = true;
    while (queue.length > 0) {
      const firstRewrite = queue.findIndex((job) => job.rewrite);
      const batch =
        firstRewrite === 0 ? queue.slice(0, 1) : queue.slice(0, firstRewrite < 0 ? queue.length : firstRewrite);
      queue = queue.slice(batch.length);
      try {
        if (failure !== undefined) throw failure;
        if (batch[0]!.rewrite) await rewriteFile(batch[0]!.records);
        else {
          const bytes = joinRecords(batch.map((job) => (job as { bytes: Buffer }).bytes));
          await file.appendFile(bytes);
          await file.datasync();
          size += bytes.length;
        }
        for (const job of batch) job.done();
      } catch (error) {
        failure = error instanceof Error ? error : new Error(String(error));
        for (const job of batch) job.done(failure);
      }
    }
    isWorking = false;
  }

  async function rewriteFile(records: readonly JournalRecord[]): Promise<void> {
    const bytes = encodeSnapshot(records);
    const nextFile = await files.open(`${path}.next`, 'w');
    await nextFile.writeFile(bytes);
    await nextFile.sync();
    await nextFile.close();
    await files.rename(`${path}.next`, path);
    await syncFolder(files, folder);
    await file.close();
    file = await files.open(path, 'a');
    size = bytes.length;
  }

  function enqueue(job: WriteJob): void {
    queue.push(job);
    if (!isWorking) busy = runQueue();
  }

  const disk: Disk = {
    append: (record, done) => enqueue({ rewrite: false, bytes: encodeRecord(record), done }),
    rewrite: (records, done) => enqueue({ rewrite: true, records, done }),
    size: () => size,
  };
  if (rewrite) await rewriteFile(journal.right.records);
  return {
    disk,
    storedRecords: journal.right.records,
    truncatedBytes: journal.right.tornBytes,
    ...(quarantineReason === undefined ? {} : { quarantineReason }),
    close: async () => {
      await busy;
      await file.close();
    },
  };
}
