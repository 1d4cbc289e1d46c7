/** A worker's load report as its HTTP endpoint gives it. */
import * as E from 'fp-ts/lib/Either.js';
import { decodeJson, finite, nonNegative, recordOf, textOrEmpty, type SchemaType } from '@tansypost/schema';

const counter = nonNegative(Number.MAX_SAFE_INTEGER);

/** Impossible loads pass: the worker that reports them is to be known for it. */
const fetchedReportSchema = recordOf({
  queued: finite,
  active: finite,
  kv_used: finite,
  part: textOrEmpty,
  incarnation: counter,
  fence: counter,
});

/** A report whose fields have the right types. */
export type FetchedReport = SchemaType<typeof fetchedReportSchema>;

/** Parses a report; undefined if it is malformed. */
export function decodeFetchedReport(body: Buffer): FetchedReport | undefined {
  return E.getOrElseW(() => undefined)(decodeJson(body, fetchedReportSchema));
}
