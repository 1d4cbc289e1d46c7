/**
 * One of the system's own processes on loopback, and what it holds of the machine: memory, bytes that have arrived at its
 * sockets and are not read yet, and descriptors. Read from /proc, as Linux states them.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync, readdirSync, readlinkSync } from 'node:fs';

const bytesPerMb = 1024 * 1024;
const kilobyte = 1024;
const sampleIntervalMs = 20;
/** Column of /proc/net/tcp that holds `tx_queue:rx_queue`, in hexadecimal, and the column of the inode. */
const queueColumn = 4;
const inodeColumn = 9;

/** The most that a process has held since it started. */
export interface PeakUsage {
  /** Resident memory together with the bytes that had arrived and were not read. */
  readonly megabytes: number;
  readonly descriptors: number;
}

/** A running process of the system. */
export interface PeerProcess {
  readonly pid: number;
  /** Undefined as long as the process lives. */
  readonly exit: () => string | undefined;
  readonly peak: () => PeakUsage;
  readonly exited: Promise<void>;
  readonly kill: () => Promise<void>;
}

/** The command and the surroundings of a process. */
export interface PeerProcessOptions {
  readonly args: readonly string[];
  readonly environment: Readonly<Record<string, string>>;
  readonly logFile: string;
}

function statusField(status: string, field: string): number {
  const line = status.split('\n').find((text) => text.startsWith(`${field}:`));
  return line === undefined ? 0 : Number(line.replace(/\D/g, '')) * kilobyte;
}

function socketInodes(pid: number): { readonly descriptors: number; readonly inodes: ReadonlySet<string> } {
  const folder = `/proc/${pid}/fd`;
  const names = readdirSync(folder);
  const inodes = new Set<string>();
  for (const name of names) {
    try {
      const inode = /^socket:\[(\d+)\]$/.exec(readlinkSync(`${folder}/${name}`))?.[1];
      if (inode !== undefined) inodes.add(inode);
    } catch {
      // The descriptor was closed meanwhile.
    }
  }
  return { descriptors: names.length, inodes };
}

function unreadBytes(pid: number, inodes: ReadonlySet<string>): number {
  const rows = readFileSync(`/proc/${pid}/net/tcp`, 'utf8').split('\n').slice(1);
  return rows.reduce((sum, row) => {
    const columns = row.trim().split(/\s+/);
    if (!inodes.has(columns[inodeColumn] ?? '')) return sum;
    return sum + parseInt(columns[queueColumn]!.split(':')[1]!, 16);
  }, 0);
}

interface Usage {
  readonly resident: number;
  readonly peakResident: number;
  readonly unread: number;
  readonly descriptors: number;
}

function usageOf(pid: number): Usage | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const { descriptors, inodes } = socketInodes(pid);
    return {
      resident: statusField(status, 'VmRSS'),
      peakResident: statusField(status, 'VmHWM'),
      unread: unreadBytes(pid, inodes),
      descriptors,
    };
  } catch {
    return undefined;
  }
}

/** Starts a process and samples what it holds until it exits. */
export function startPeerProcess({ args, environment, logFile }: PeerProcessOptions): PeerProcess {
  const log = openSync(logFile, 'a');
  const env = { PATH: process.env['PATH'], ...environment };
  const child: ChildProcess = spawn(process.execPath, args, { stdio: ['ignore', log, log], env });
  closeSync(log);
  const pid = child.pid!;
  let exit: string | undefined;
  let [peakBytes, peakDescriptors] = [0, 0];

  function sample(): void {
    const usage = usageOf(pid);
    if (usage === undefined) return;
    peakBytes = Math.max(peakBytes, usage.peakResident, usage.resident + usage.unread);
    peakDescriptors = Math.max(peakDescriptors, usage.descriptors);
  }
  const timer = setInterval(sample, sampleIntervalMs);
  const exited = new Promise<void>((resolve) => {
    child.once('exit', (code, signalName) => {
      exit = `exit code ${code}, signal ${signalName}`;
      clearInterval(timer);
      resolve();
    });
  });
  return {
    pid,
    exit: () => exit,
    peak: () => {
      sample();
      return { megabytes: peakBytes / bytesPerMb, descriptors: peakDescriptors };
    },
    exited,
    kill: () => {
      child.kill('SIGKILL');
      return exited;
    },
  };
}
