/**
 * The record of a duty, a value of the control state: whose term it is, which calls are open, and how the last call for
 * each subject ended. It is only written on top of the version that was read, so all its writes are in one order.
 */
import { Type, type Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import * as E from 'fp-ts/lib/Either.js';
import type { PlannedCall } from './ports.js';

/** The key of a duty's record. */
export function dutyRecordKey(duty: string): string {
  return `duties/${duty}`;
}

const Term = Type.Object({
  holder: Type.String(),
  /** Drawn anew for each term, as one node may take several. */
  id: Type.String(),
});
const Intent = Type.Object({
  /** Rises with each intent of the duty. */
  id: Type.Integer({ minimum: 1 }),
  subject: Type.String(),
  content: Type.String(),
});
const LastOutcome = Type.Object({
  subject: Type.String(),
  content: Type.String(),
  outcome: Type.Union([Type.Literal('accepted'), Type.Literal('refused')]),
  /** Under which the call was made. */
  fence: Type.Integer({ minimum: 1 }),
});
const DutyRecord = Type.Object({
  /** Nobody's before the first. */
  term: Type.Union([Term, Type.Null()]),
  /** Id of the newest intent; 0 before the first. */
  lastIntent: Type.Integer({ minimum: 0 }),
  /** The oldest first. */
  open: Type.Array(Intent),
  /** One for each subject, the newest last. */
  outcomes: Type.Array(LastOutcome),
});

/** A call that is written down and not known to have ended. */
export type Intent = Static<typeof Intent>;
/** How the last call for a subject ended. */
export type LastOutcome = Static<typeof LastOutcome>;
/** The record of a duty. */
export type DutyRecord = Static<typeof DutyRecord>;
/** Whose term it is. */
export type Term = Static<typeof Term>;
/** An answer that closes an intent. */
export type FinalOutcome = LastOutcome['outcome'];

/** Open intents at most; what else is owed waits outside the record. */
export const maxOpenIntents = 16;
/** Subjects of which the last outcome is kept. */
export const maxOutcomes = 256;

const noRecord: DutyRecord = { term: null, lastIntent: 0, open: [], outcomes: [] };

/** The record in bytes of the control state; no bytes are a duty that was never held. Left: it cannot be read. */
export function decodeDutyRecord(value: Buffer): E.Either<string, DutyRecord> {
  if (value.length === 0) return E.right(noRecord);
  try {
    const parsed: unknown = JSON.parse(value.toString('utf8'));
    return Value.Check(DutyRecord, parsed) ? E.right(parsed) : E.left('The record of the duty has another form.');
  } catch {
    return E.left('The record of the duty is not JSON.');
  }
}

/** The record as it is stored. */
export function encodeDutyRecord(record: DutyRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** The record with one intent closed; unchanged where that intent is not open. */
export function closeIntent(record: DutyRecord, id: number, outcome: FinalOutcome, fence: number): DutyRecord {
  const intent = record.open.find((entry) => entry.id === id);
  if (intent === undefined) return record;
  const { subject, content } = intent;
  const others = record.outcomes.filter((entry) => entry.subject !== subject);
  const outcomes = [...others, { subject, content, outcome, fence }].slice(-maxOutcomes);
  return { ...record, open: record.open.filter((entry) => entry.id !== id), outcomes };
}

/** The record with more intents, those that they overtook, and how many planned calls had no place in it. */
export interface PlannedRecord {
  readonly record: DutyRecord;
  readonly superseded: readonly Intent[];
  readonly waiting: number;
}

/** The record with an intent for each planned call that is not open as it is, as far as there is room. */
export function addPlannedIntents(
  record: DutyRecord,
  planned: readonly PlannedCall[],
  maySupersede: boolean,
): PlannedRecord {
  let next = record;
  let waiting = 0;
  const superseded: Intent[] = [];
  for (const call of planned) {
    const sameSubject = next.open.filter((intent) => intent.subject === call.subject);
    if (sameSubject.some((intent) => intent.content === call.content)) continue;
    const replaced = maySupersede ? sameSubject : [];
    if (next.open.length - replaced.length >= maxOpenIntents) {
      waiting += 1;
      continue;
    }
    superseded.push(...replaced);
    next = withIntent(next, call, replaced);
  }
  return { record: next, superseded, waiting };
}

function withIntent(record: DutyRecord, call: PlannedCall, replaced: readonly Intent[]): DutyRecord {
  const lastIntent = record.lastIntent + 1;
  const kept = record.open.filter((intent) => !replaced.includes(intent));
  const open = [...kept, { id: lastIntent, subject: call.subject, content: call.content }];
  return { ...record, lastIntent, open };
}
