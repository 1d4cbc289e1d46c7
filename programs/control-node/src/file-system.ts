/**
 * The calls of the file system that the journal of a replica is written with. `nodeFiles` uses the machine's file system; tests
 * pass a model that can lose power between any two calls.
 */
import { mkdir, open, readFile, readdir, rename, rm, truncate } from 'node:fs/promises';

/** An open file or folder. Writes may be lost in a power failure until `sync` or `datasync` has ended. */
export interface OpenFile {
  readonly appendFile: (bytes: Buffer) => Promise<void>;
  readonly writeFile: (bytes: Buffer) => Promise<void>;
  readonly sync: () => Promise<void>;
  readonly datasync: () => Promise<void>;
  readonly close: () => Promise<void>;
}

/**
 * Each call rejects like the function of the same name in `node:fs/promises`. A created, renamed or removed name is durable
 * once its folder has been synced.
 */
export interface FileSystem {
  /** Creates the folder and its missing parents; returns the uppermost folder that was created. */
  readonly mkdir: (folder: string, options: { readonly recursive: true }) => Promise<string | undefined>;
  readonly open: (path: string, flags: 'r' | 'a' | 'w') => Promise<OpenFile>;
  readonly readFile: (path: string) => Promise<Buffer>;
  readonly readdir: (folder: string) => Promise<string[]>;
  readonly rename: (from: string, to: string) => Promise<void>;
  readonly rm: (path: string, options: { readonly force: true }) => Promise<void>;
  readonly truncate: (path: string, length: number) => Promise<void>;
}

/** The file system of the machine. */
export const nodeFiles: FileSystem = { mkdir, open, readFile, readdir, rename, rm, truncate };
