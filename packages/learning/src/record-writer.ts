/**
 * Changes the rehearsal record: reads it, applies a change to it, and writes on the version read. When
 * another write came between, the change is worked out anew on the new record; when it no longer applies
 * it is dropped. One write at a time.
 */
import type { World } from '@tansypost/inner-protocol';
import { decodeRehearsalRecord, encodeRehearsalRecord, type RehearsalRecord } from '@tansypost/rehearsal';
import type { ControlStateClient } from './control-state-client.js';

export type RecordChange = (r: RehearsalRecord) => RehearsalRecord | undefined;
export interface RecordWriter {
  readonly update: (f: RecordChange, still: () => boolean) => Promise<RehearsalRecord | undefined>;
}

export function createRecordWriter(
  w: World,
  service: string,
  a: Pick<ControlStateClient, 'request'>,
  wrote: (version: number, epoch: number, value: Buffer) => void,
): RecordWriter {
  const key = `rehearsal/${service}`;
  async function change(f: RecordChange, still: () => boolean): Promise<RehearsalRecord | undefined> {
    for (let n = 0; n < 4; n += 1) {
      const r = await a.request({ op: 'read', key, timeoutUs: 5_000_000 });
      if (r.status !== 'value' || !still()) return undefined;
      const next = f(decodeRehearsalRecord(r.value));
      if (next === undefined) return undefined;
      const value = encodeRehearsalRecord(next);
      const x = await a.request({
        op: 'write',
        key,
        change: `${key}/${Math.floor(w.random() * 2 ** 48).toString(36)}`,
        base: r.version,
        value,
        timeoutUs: 5_000_000,
      });
      if (x.status === 'done') {
        wrote(x.version, x.epoch, value);
        return next;
      }
      if (x.status !== 'lost') return undefined;
    }
    return undefined;
  }
  return { update: change };
}
