/** The journal file of a replica on the machine's own file system. */
import { appendFileSync, mkdtempSync, readFileSync, readdirSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import { encodeRecord, type Disk, type JournalRecord } from '@tansypost/control-state';
import { openFileDisk } from './file-disk.js';

function record(key: string, version: number): JournalRecord {
  return { kind: 'row', key, promised: 1, epoch: 1, version, value: Buffer.from('x'), changes: [] };
}
it('restores synced records after a restart, despite a rewrite and a torn tail', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'place-'));
  const a = await openFileDisk(folder);
  if (E.isLeft(a)) throw a.left;
  function append(disk: Disk, appended: JournalRecord): Promise<void> {
    return new Promise((resolve, reject) =>
      disk.append(appended, (error) => (error === undefined ? resolve() : reject(error))),
    );
  }
  await Promise.all([append(a.right.disk, record('a', 1)), append(a.right.disk, record('b', 1))]);
  await new Promise<void>((ok) => {
    a.right.disk.rewrite([record('b', 2)], () => ok());
  });
  await append(a.right.disk, record('c', 3));
  await a.right.close();
  appendFileSync(join(folder, 'place.journal'), Buffer.from('TPJ1torn'));
  const b = await openFileDisk(folder);
  if (E.isLeft(b)) throw b.left;
  expect(b.right.storedRecords.map((r) => `${r.key}${r.version}`)).toEqual(['b2', 'c3']);
  expect(b.right.truncatedBytes).toBe(8);
  await append(b.right.disk, record('d', 4));
  await b.right.close();
  const c = await openFileDisk(folder);
  expect(E.isRight(c) && c.right.storedRecords.length).toBe(3);
  if (E.isRight(c)) await c.right.close();
  rmSync(folder, { recursive: true });
});
it('quarantines a damaged file, starts empty, and explains why a folder cannot be used', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'place-'));
  const name = join(folder, 'place.journal');
  const journal = Buffer.concat([record('a', 1), record('b', 1), record('c', 1)].map(encodeRecord));
  for (let n = 1; n <= 3; n += 1) {
    const damaged = Buffer.from(journal);
    damaged[20] = damaged[20]! ^ n;
    writeFileSync(name, damaged);
    const d = await openFileDisk(folder);
    if (E.isLeft(d)) throw d.left;
    expect(d.right.storedRecords).toEqual([]);
    expect(d.right.quarantineReason).toContain(`place.journal.damaged.${n}`);
    expect(readFileSync(`${name}.damaged.${n}`)).toEqual(damaged);
    await d.right.close();
  }
  expect(
    readdirSync(folder)
      .filter((f) => f.includes('damaged'))
      .sort(),
  ).toEqual(['place.journal.damaged.2', 'place.journal.damaged.3']);
  const unusable = await openFileDisk(name);
  expect(E.isLeft(unusable) && unusable.left.message).toMatch(/cannot be used.*Configure a folder on a healthy disk/);
  rmSync(folder, { recursive: true });
});
it('writes the stored records to a new file when it is reopened after a failure', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'place-'));
  const name = join(folder, 'place.journal');
  writeFileSync(name, Buffer.concat([record('a', 1), record('b', 2)].map(encodeRecord)));
  const previousInode = statSync(name).ino;
  const d = await openFileDisk(folder, true);
  if (E.isLeft(d)) throw d.left;
  expect(d.right.storedRecords.length).toBe(2);
  expect(statSync(name).ino).not.toBe(previousInode);
  await d.right.close();
  rmSync(folder, { recursive: true });
});
