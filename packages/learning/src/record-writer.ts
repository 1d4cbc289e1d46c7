/**
 * Updates the rehearsal record by compare-and-set: reads it, applies a change, and writes the result on condition that the
 * version read is still current. Where another write came first, the change is applied again to the new record; where it
 * no longer applies, nothing is written.
 */
import type { World } from '@tansypost/inner-protocol';
import { decodeRehearsalRecord, encodeRehearsalRecord, type RehearsalRecord } from '@tansypost/rehearsal';
import type { ControlStateClient } from './control-state-client.js';

/** A change of the record; undefined where it does not apply. */
export type RecordChange = (record: RehearsalRecord) => RehearsalRecord | undefined;
/** Writes the rehearsal record. */
export interface RecordWriter {
  /** Resolves to the record written, or undefined. Nothing is written once `isStillWanted` returns false. */
  readonly update: (change: RecordChange, isStillWanted: () => boolean) => Promise<RehearsalRecord | undefined>;
}

/** Creates a writer of a service's record; `onWritten` is called after each write. */
export function createRecordWriter(
  world: World,
  service: string,
  controlClient: Pick<ControlStateClient, 'request'>,
  onWritten: (version: number, epoch: number, value: Buffer) => void,
): RecordWriter {
  const key = `rehearsal/${service}`;
  async function update(change: RecordChange, isStillWanted: () => boolean): Promise<RehearsalRecord | undefined> {
    for (let attempt = 0; attempt < 4; attempt += 1) {
      const read = await controlClient.request({ op: 'read', key, timeoutUs: 5_000_000 });
      if (read.status !== 'value' || !isStillWanted()) return undefined;
      const next = change(decodeRehearsalRecord(read.value));
      if (next === undefined) return undefined;
      const value = encodeRehearsalRecord(next);
      const written = await controlClient.request({
        op: 'write',
        key,
        change: `${key}/${Math.floor(world.random() * 2 ** 48).toString(36)}`,
        base: read.version,
        value,
        timeoutUs: 5_000_000,
      });
      if (written.status === 'done') {
        onWritten(written.version, written.epoch, value);
        return next;
      }
      if (written.status !== 'lost') return undefined;
    }
    return undefined;
  }
  return { update };
}
