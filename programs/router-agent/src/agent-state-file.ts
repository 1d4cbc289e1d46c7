/**
 * The agent's state file: its partial views, the worker states and the last known control membership, so that a restarted
 * agent finds its neighbours even if the seeds are gone. It is written to a second file, synced and renamed. A file that
 * cannot be read counts as missing, since all of its content can be received again.
 */
import { closeSync, fsyncSync, mkdirSync, openSync, readFileSync, renameSync, writeSync } from 'node:fs';
import { join } from 'node:path';
import { agentDefaults, type AgentOptions } from './agent-core.js';

/** The stored state. */
export interface AgentStateFile {
  readonly read: () => AgentOptions['persisted'];
  readonly save: (persisted: AgentOptions['persisted']) => void;
}

/** Uses the file in `folder`; without a folder nothing is stored. */
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
    save: (persisted) => {
      // Without the heartbeats, so that the file is written only if something else has changed.
      const text = JSON.stringify({
        ...persisted,
        entries: persisted.entries.map((entry) => ({ ...entry, beat: 0 })),
      });
      if (text === lastWritten) return;
      try {
        const descriptor = openSync(`${path}.next`, 'w');
        writeSync(descriptor, text);
        fsyncSync(descriptor);
        closeSync(descriptor);
        renameSync(`${path}.next`, path);
        lastWritten = text;
      } catch {
        lastWritten = '';
      }
    },
  };
}
