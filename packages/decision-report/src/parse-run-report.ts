/** Parses the report of a run: the results and the worth earned by kind of request, the prices charged, and the score. */
import * as E from 'fp-ts/lib/Either.js';
import { UnusableReportError } from '@tansypost/inner-protocol';

/** The results of one kind of request, as clients saw them. */
export interface KindResult {
  readonly name: string;
  readonly requests: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** The earned share of the total worth of these requests, from 0 to 1. */
  readonly earnedShare: number;
}

/** A cost charged to the run, also as a share of the total worth of its requests. */
export interface Price {
  readonly name: string;
  readonly amount: number;
  readonly share: number;
}

/** A weighted component of the score of a run. */
export interface ScoreComponent {
  readonly name: string;
  readonly weight: number;
  readonly value: number;
}

/** The parts of a report that are rendered. */
export interface RunReport {
  readonly kinds: readonly KindResult[];
  readonly prices: readonly Price[];
  readonly parts: readonly ScoreComponent[];
}

type Json = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is Json {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function requireList(report: Json, field: string): readonly unknown[] {
  const list = report[field];
  if (!Array.isArray(list))
    throw new UnusableReportError(`The report has no list "${field}". Provide the report of a run.`);
  return list;
}

function requireNumber(value: unknown, what: string): number {
  if (typeof value !== 'number')
    throw new UnusableReportError(`The report's ${what} is not a number. Provide the report as it was written.`);
  return value;
}

function parseKind(value: unknown): KindResult {
  if (!isObject(value)) throw new UnusableReportError('The report has a kind of request that is not an object.');
  function field(name: string): number {
    return requireNumber((value as Json)[name], `"${name}" of a kind of request`);
  }
  return {
    name: String(value['name']),
    requests: field('n'),
    onTime: field('in_aim'),
    late: field('late'),
    refused: field('refused'),
    failed: field('failed'),
    earnedShare: field('worth'),
  };
}

function parsePrice(value: unknown): Price {
  const [name, amount, share] = Array.isArray(value) ? (value as unknown[]) : [];
  return { name: String(name), amount: requireNumber(amount, 'price'), share: requireNumber(share, 'price') };
}

function parseScoreComponent(value: unknown): ScoreComponent {
  const [name, weight, result] = Array.isArray(value) ? (value as unknown[]) : [];
  return { name: String(name), weight: requireNumber(weight, 'part'), value: requireNumber(result, 'part') };
}

function parseReport(text: string): RunReport {
  const report: unknown = JSON.parse(text);
  if (!isObject(report)) throw new UnusableReportError('The report is not an object. Provide the report of a run.');
  return {
    kinds: requireList(report, 'classes').map(parseKind),
    prices: requireList(report, 'prices').map(parsePrice),
    parts: requireList(report, 'parts').map(parseScoreComponent),
  };
}

/** Parses the text of a report; the error says what is wrong with it. */
export function parseRunReport(text: string, name: string): E.Either<Error, RunReport> {
  return E.tryCatch(
    () => parseReport(text),
    (error) =>
      error instanceof UnusableReportError
        ? error
        : new UnusableReportError(
            `${name} cannot be parsed as a report: it is not JSON or is truncated. Provide the complete file.`,
          ),
  );
}
