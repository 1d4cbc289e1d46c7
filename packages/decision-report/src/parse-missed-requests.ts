/**
 * Reads the events of lost requests (5109) out of routers' logs. Lines of any other kind are passed over; a line of
 * that kind that cannot be read counts as damaged, and more than a few of these mean that the log is cut short.
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

/** What a log holds. */
export interface MissedRequestLog {
  readonly missed: readonly MissedRequest[];
  /** Lines of lost requests that could not be read: at most the last one of each log. */
  readonly damagedLines: number;
}

/** An event as routers write it: their clock, the number, the level, the program and the member. */
const eventLine = /(\d+) E(\d{4}) \w+ (\S+) (\S+) .*?(\{.*)$/;
/** The time and the machine that a collector puts before a line. */
const collected = /^\s*(-?\d+(?:\.\d+)?) \S+ \d+ E\d{4} /;
const microsPerSecond = 1_000_000;
const mostDamaged = 3;

function isLossEvent(value: unknown): value is RequestLogFields {
  if (typeof value !== 'object' || value === null) return false;
  const { path, outcome, cause, prompt } = value as Partial<RequestLogFields>;
  return [path, outcome, cause].every((text) => typeof text === 'string') && typeof prompt === 'number';
}

function fieldsOf(json: string): RequestLogFields | undefined {
  try {
    const fields: unknown = JSON.parse(json);
    return isLossEvent(fields) ? fields : undefined;
  } catch {
    return undefined;
  }
}

function secondOf(line: string, clock: string): number {
  const prefix = collected.exec(line);
  return prefix === null ? Number(clock) / microsPerSecond : Number(prefix[1]);
}

/** Reads a log's text; `name` is for the error, which says what to do about a log that cannot be used. */
export function parseMissedRequests(text: string, name: string): E.Either<Error, MissedRequestLog> {
  const losses: MissedRequest[] = [];
  let events = 0;
  let damaged = 0;
  for (const line of text.split('\n')) {
    const found = eventLine.exec(line);
    if (found === null) {
      if (line.includes(' E5109 ')) damaged += 1;
      continue;
    }
    events += 1;
    if (found[2] !== '5109') continue;
    const fields = fieldsOf(found[5]!);
    if (fields === undefined) damaged += 1;
    else losses.push({ ...fields, second: secondOf(line, found[1]!), router: found[4]! });
  }
  if (events === 0) return E.left(new UnusableReportError(`${name} holds no events. Give the output of routers.`));
  if (damaged > mostDamaged)
    return E.left(
      new UnusableReportError(`${name} has ${damaged} damaged lines of lost requests. Give the whole log.`),
    );
  return E.right({ missed: losses, damagedLines: damaged });
}
