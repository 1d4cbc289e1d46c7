/**
 * Parses the events of requests that did not end in time (5109) from the logs of routers. Other lines are skipped. A line
 * of such an event that cannot be parsed counts as damaged; more than a few of them mean that the log is truncated.
 */
import * as E from 'fp-ts/lib/Either.js';
import { UnusableReportError } from '@tansypost/inner-protocol';
import type { RequestLogFields } from '@tansypost/pass-through';

/** One request that did not end in time. */
export interface MissedRequest extends RequestLogFields {
  /** Seconds from the start of traffic, or by the router's clock where the log has no other. */
  readonly second: number;
  readonly router: string;
}

/** The missed requests of a log. */
export interface MissedRequestLog {
  readonly missed: readonly MissedRequest[];
  /** Lines of missed requests that could not be parsed; in an intact log at most the last line, which may be cut off. */
  readonly damagedLines: number;
}

/** An event as routers write it: clock, number, level, program, member, meaning, and fields as JSON. */
const eventLine = /(\d+) E(\d{4}) \w+ (\S+) (\S+) .*?(\{.*)$/;
/** The time and the machine that a log collector may put before a line. */
const collectorPrefix = /^\s*(-?\d+(?:\.\d+)?) \S+ \d+ E\d{4} /;
const microsPerSecond = 1_000_000;
const maxDamagedLines = 3;

function isMissedRequest(value: unknown): value is RequestLogFields {
  if (typeof value !== 'object' || value === null) return false;
  const { path, outcome, cause, prompt } = value as Partial<RequestLogFields>;
  return [path, outcome, cause].every((text) => typeof text === 'string') && typeof prompt === 'number';
}

function parseFields(json: string): RequestLogFields | undefined {
  try {
    const fields: unknown = JSON.parse(json);
    return isMissedRequest(fields) ? fields : undefined;
  } catch {
    return undefined;
  }
}

function secondOf(line: string, clock: string): number {
  const prefix = collectorPrefix.exec(line);
  return prefix === null ? Number(clock) / microsPerSecond : Number(prefix[1]);
}

/** Parses a log's text. The error names the log by `name` and says what to do. */
export function parseMissedRequests(text: string, name: string): E.Either<Error, MissedRequestLog> {
  const missed: MissedRequest[] = [];
  let events = 0;
  let damagedLines = 0;
  for (const line of text.split('\n')) {
    const match = eventLine.exec(line);
    if (match === null) {
      if (line.includes(' E5109 ')) damagedLines += 1;
      continue;
    }
    events += 1;
    if (match[2] !== '5109') continue;
    const fields = parseFields(match[5]!);
    if (fields === undefined) damagedLines += 1;
    else missed.push({ ...fields, second: secondOf(line, match[1]!), router: match[4]! });
  }
  if (events === 0)
    return E.left(new UnusableReportError(`${name} contains no events. Provide the log output of routers.`));
  if (damagedLines > maxDamagedLines)
    return E.left(
      new UnusableReportError(
        `${name} has ${damagedLines} damaged lines of missed requests. Provide the complete log.`,
      ),
    );
  return E.right({ missed, damagedLines });
}
