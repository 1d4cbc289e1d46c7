/**
 * The agent's small file: views, worker marks and the last core record, so that a restart finds its
 * neighbours even when the seeds are gone. It is written whole to a second file, synced, and renamed; a file
 * that cannot be read is as good as none, since everything in it can be heard again.
 */
import { closeSync, fsyncSync, mkdirSync, openSync, readFileSync, renameSync, writeSync } from 'node:fs';
import { join } from 'node:path';
import { agentDefaults, type AgentOptions } from './agent-core.js';

export interface AgentStateFile {
  readonly read: () => AgentOptions['persisted'];
  readonly save: (p: AgentOptions['persisted']) => void;
}

export function createAgentStateFile(folder: string | undefined): AgentStateFile {
  if (folder === undefined) return { read: () => agentDefaults.persisted, save: () => undefined };
  mkdirSync(folder, { recursive: true });
  const path = join(folder, 'views.json');
  let lastWritten = '';
  return {
    read: () => {
      try {
        return { ...agentDefaults.persisted, ...(JSON.parse(readFileSync(path, 'utf8')) as AgentOptions['persisted']) };
      } catch {
        return agentDefaults.persisted;
      }
    },
    save: (p) => {
      const s = JSON.stringify({ ...p, entries: p.entries.map((e) => ({ ...e, beat: 0 })) });
      if (s === lastWritten) return;
      try {
        const fd = openSync(`${path}.next`, 'w');
        writeSync(fd, s);
        fsyncSync(fd);
        closeSync(fd);
        renameSync(`${path}.next`, path);
        lastWritten = s;
      } catch {
        lastWritten = '';
      }
    },
  };
}
