/** Reads the report of a run: what was asked for and earned by kind of request, and what was charged. */
import * as E from 'fp-ts/lib/Either.js';
import { UnusableReportError } from '@tansypost/inner-protocol';

/** The requests of one kind, as their clients saw them. */
export interface KindResult {
  readonly name: string;
  readonly requests: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** The share of the worth owed that was earned, from 0 to 1. */
  readonly valueShare: number;
}

/** A price as a share of the worth owed. */
export interface Price {
  readonly name: string;
  readonly amount: number;
  readonly share: number;
}

/** A part of what a run is measured by. */
export interface ScoreComponent {
  readonly name: string;
  readonly weight: number;
  readonly value: number;
}

/** What a report says that decisions are judged by. */
export interface RunReport {
  readonly kinds: readonly KindResult[];
  readonly prices: readonly Price[];
  readonly parts: readonly ScoreComponent[];
}

type Json = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is Json {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function listOf(report: Json, field: string): readonly unknown[] {
  const list = report[field];
  if (!Array.isArray(list))
    throw new UnusableReportError(`The report has no list "${field}". Give the report of a run.`);
  return list;
}

function numberOf(value: unknown, what: string): number {
  if (typeof value !== 'number')
    throw new UnusableReportError(`The report's ${what} is no number. Give it as it was written.`);
  return value;
}

function kindOf(value: unknown): KindResult {
  if (!isObject(value)) throw new UnusableReportError('The report has a kind of request that is no object.');
  function field(name: string): number {
    return numberOf((value as Json)[name], `"${name}" of a kind of request`);
  }
  return {
    name: String(value['name']),
    requests: field('n'),
    onTime: field('in_aim'),
    late: field('late'),
    refused: field('refused'),
    failed: field('failed'),
    valueShare: field('worth'),
  };
}

function priceOf(value: unknown): Price {
  const [name, amount, share] = Array.isArray(value) ? (value as unknown[]) : [];
  return { name: String(name), amount: numberOf(amount, 'price'), share: numberOf(share, 'price') };
}

function partOf(value: unknown): ScoreComponent {
  const [name, weight, result] = Array.isArray(value) ? (value as unknown[]) : [];
  return { name: String(name), weight: numberOf(weight, 'part'), value: numberOf(result, 'part') };
}

function toReport(text: string): RunReport {
  const report: unknown = JSON.parse(text);
  if (!isObject(report)) throw new UnusableReportError('The report is no object. Give the report of a run.');
  return {
    kinds: listOf(report, 'classes').map(kindOf),
    prices: listOf(report, 'prices').map(priceOf),
    parts: listOf(report, 'parts').map(partOf),
  };
}

/** Reads the text of a report; the error names what is wrong with it. */
export function parseRunReport(text: string, name: string): E.Either<Error, RunReport> {
  return E.tryCatch(
    () => toReport(text),
    (error) =>
      error instanceof UnusableReportError
        ? error
        : new UnusableReportError(
            `${name} cannot be read as a report: it is no JSON or cut short. Give the whole file.`,
          ),
  );
}
