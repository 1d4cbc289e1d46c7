/**
 * The calls of the file system that the journal of a replica is written with. `nodeFiles` are those of the machine; tests
 * pass a model that can lose power between any two calls.
 */
import { mkdir, open, readFile, readdir, rename, rm, truncate } from 'node:fs/promises';

/** An open file or folder. Writes may be lost with the power until `sync` or `datasync` has ended. */
export interface OpenFile {
  readonly appendFile: (bytes: Buffer) => Promise<void>;
  readonly writeFile: (bytes: Buffer) => Promise<void>;
  readonly sync: () => Promise<void>;
  readonly datasync: () => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Each call rejects as its namesake of `node:fs/promises` does. A changed name is durable once its folder was synced. */
export interface FileSystem {
  /** Makes the folder and those above it; gives the uppermost one that was made. */
  readonly mkdir: (folder: string, options: { readonly recursive: true }) => Promise<string | undefined>;
  readonly open: (path: string, flags: 'r' | 'a' | 'w') => Promise<OpenFile>;
  readonly readFile: (path: string) => Promise<Buffer>;
  readonly readdir: (folder: string) => Promise<string[]>;
  readonly rename: (from: string, to: string) => Promise<void>;
  readonly rm: (path: string, options: { readonly force: true }) => Promise<void>;
  readonly truncate: (path: string, length: number) => Promise<void>;
}

export const nodeFiles: FileSystem = { mkdir, open, readFile, readdir, rename, rm, truncate };
