import { appendFileSync, mkdtempSync, readFileSync, readdirSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import { encodeRecord, type Disk, type JournalRecord } from '@tansypost/control-state';
import { openFileDisk } from './file-disk.js';

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
  expect(b.right.storedRecords.map((r) => `${r.key}${r.version}`)).toEqual(['b2', 'c3']);
  expect(b.right.truncatedBytes).toBe(8);
  await put(b.right.disk, rec('d', 4));
  await b.right.close();
  const c = await openFileDisk(folder);
  expect(E.isRight(c) && c.right.storedRecords.length).toBe(3);
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
    expect(d.right.storedRecords).toEqual([]);
    expect(d.right.quarantineReason).toContain(`place.journal.damaged.${n}`);
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
  expect(d.right.storedRecords.length).toBe(2);
  expect(statSync(name).ino).not.toBe(was);
  await d.right.close();
  rmSync(folder, { recursive: true });
});
