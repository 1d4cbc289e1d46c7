/**
 * The record of a duty, stored as a value in the replicated control state: who holds the term, which calls are open, and
 * how the last call for each subject ended. Every write is conditional on the version that was read, so all writes of a
 * record are linearly ordered.
 */
import { Type, type Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import * as E from 'fp-ts/lib/Either.js';
import type { PlannedCall } from './ports.js';

/** The key of a duty's record in the control state. */
export function dutyRecordKey(duty: string): string {
  return `duties/${duty}`;
}

const Term = Type.Object({
  holder: Type.String(),
  /** Random for each term, as one node may hold several terms one after the other. */
  id: Type.String(),
});
const Intent = Type.Object({
  /** Increases with each intent of the duty. */
  id: Type.Integer({ minimum: 1 }),
  subject: Type.String(),
  content: Type.String(),
});
const LastOutcome = Type.Object({
  subject: Type.String(),
  content: Type.String(),
  outcome: Type.Union([Type.Literal('accepted'), Type.Literal('refused')]),
  /** The fence with which the call was made. */
  fence: Type.Integer({ minimum: 1 }),
});
const DutyRecord = Type.Object({
  /** Null before the first term. */
  term: Type.Union([Term, Type.Null()]),
  /** Id of the newest intent; 0 before the first one. */
  lastIntent: Type.Integer({ minimum: 0 }),
  /** Oldest first. */
  open: Type.Array(Intent),
  /** One for each subject, newest last. */
  outcomes: Type.Array(LastOutcome),
});

/** A call that is recorded and not known to have ended. */
export type Intent = Static<typeof Intent>;
/** How the last call for a subject ended. */
export type LastOutcome = Static<typeof LastOutcome>;
/** The record of a duty. */
export type DutyRecord = Static<typeof DutyRecord>;
/** Who holds the duty's term. */
export type Term = Static<typeof Term>;
/** An outcome that closes an intent. */
export type FinalOutcome = LastOutcome['outcome'];

/** Limit on open intents; further planned calls wait outside the record. */
export const maxOpenIntents = 16;
/** Number of subjects whose last outcome is kept. */
export const maxOutcomes = 256;

const emptyRecord: DutyRecord = { term: null, lastIntent: 0, open: [], outcomes: [] };

/** Decodes a stored record; an empty buffer is the record of a duty without any term. Left: why it is invalid. */
export function decodeDutyRecord(value: Buffer): E.Either<string, DutyRecord> {
  if (value.length === 0) return E.right(emptyRecord);
  try {
    const parsed: unknown = JSON.parse(value.toString('utf8'));
    return Value.Check(DutyRecord, parsed) ? E.right(parsed) : E.left('The duty record does not match its schema.');
  } catch {
    return E.left('The duty record is not valid JSON.');
  }
}

/** Encodes a record for the control state. */
export function encodeDutyRecord(record: DutyRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Returns the record with one intent closed, or the same record if that intent is not open. */
export function closeIntent(record: DutyRecord, id: number, outcome: FinalOutcome, fence: number): DutyRecord {
  const intent = record.open.find((entry) => entry.id === id);
  if (intent === undefined) return record;
  const { subject, content } = intent;
  const others = record.outcomes.filter((entry) => entry.subject !== subject);
  const outcomes = [...others, { subject, content, outcome, fence }].slice(-maxOutcomes);
  return { ...record, open: record.open.filter((entry) => entry.id !== id), outcomes };
}

/** The record with new intents, the intents that they superseded, and the number of planned calls that did not fit. */
export interface PlannedRecord {
  readonly record: DutyRecord;
  readonly superseded: readonly Intent[];
  readonly waiting: number;
}

/** Adds an intent for each planned call that is not already open with the same content, up to `maxOpenIntents`. */
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
    next = appendIntent(next, call, replaced);
  }
  return { record: next, superseded, waiting };
}

function appendIntent(record: DutyRecord, call: PlannedCall, replaced: readonly Intent[]): DutyRecord {
  const lastIntent = record.lastIntent + 1;
  const kept = record.open.filter((intent) => !replaced.includes(intent));
  const open = [...kept, { id: lastIntent, subject: call.subject, content: call.content }];
  return { ...record, lastIntent, open };
}
