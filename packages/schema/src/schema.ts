/**
 * Schemas of values that come from outside of the program: reports, lists, headers, settings. They check a value and give
 * it a type, and change nothing. They are a few small functions because loading a validation library takes longer at the
 * start of a program than all of its checks.
 */

/** A check that a value has type `T`. */
export interface Schema<T> {
  /** The accepted values, as a noun phrase for error messages. */
  readonly expected: string;
  readonly accepts: (value: unknown) => value is T;
}

/** The type of the values that a schema accepts. */
export type SchemaType<S> = S extends Schema<infer T> ? T : never;

/** The schema of each field of a record. */
export type FieldSchemas = Readonly<Record<string, Schema<unknown>>>;

/** A record whose fields have these schemas. */
export type RecordType<F extends FieldSchemas> = { readonly [K in keyof F]: SchemaType<F[K]> };

/** Numbers of at most this magnitude add up without loss of precision over the workers of any fleet. */
export const maxExternalNumber = 1e12;

/** A list of any values. */
export const list: Schema<readonly unknown[]> = {
  expected: 'a list',
  accepts: (value): value is readonly unknown[] => Array.isArray(value),
};

/** A non-empty string. */
export const text: Schema<string> = {
  expected: 'a non-empty string',
  accepts: (value): value is string => typeof value === 'string' && value !== '',
};

/** A string, which may be empty. */
export const textOrEmpty: Schema<string> = {
  expected: 'a string',
  accepts: (value): value is string => typeof value === 'string',
};

/** A finite number. */
export const finite: Schema<number> = {
  expected: 'a number',
  accepts: (value): value is number => Number.isFinite(value),
};

/** True or false. */
export const flag: Schema<boolean> = {
  expected: 'true or false',
  accepts: (value): value is boolean => typeof value === 'boolean',
};

/** A record or a table with any fields. */
export const object: Schema<Readonly<Record<string, unknown>>> = {
  expected: 'an object',
  accepts: (value): value is Readonly<Record<string, unknown>> =>
    typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date),
};

/** A finite number from 0 to `maximum`. */
export function nonNegative(maximum = maxExternalNumber): Schema<number> {
  return {
    expected: `a number from 0 to ${maximum}`,
    accepts: (value): value is number => typeof value === 'number' && value >= 0 && value <= maximum,
  };
}

/** A finite number above 0. */
export const positive: Schema<number> = {
  expected: `a number above 0, at most ${maxExternalNumber}`,
  accepts: (value): value is number => nonNegative().accepts(value) && value > 0,
};

/** A string that matches the pattern. */
export function textMatching(pattern: RegExp, expected: string): Schema<string> {
  return { expected, accepts: (value): value is string => typeof value === 'string' && pattern.test(value) };
}

/** Absent, null, or a value of the schema. */
export function optional<T>(schema: Schema<T>): Schema<T | undefined | null> {
  return {
    expected: `${schema.expected}, or nothing`,
    accepts: (value): value is T | undefined | null => value === undefined || value === null || schema.accepts(value),
  };
}

/** A list whose items all have the schema. */
export function listOf<T>(item: Schema<T>): Schema<readonly T[]> {
  return {
    expected: `a list, each item ${item.expected}`,
    accepts: (value): value is readonly T[] => Array.isArray(value) && value.every(item.accepts),
  };
}

/** A record with these fields; others are ignored. */
export function recordOf<F extends FieldSchemas>(fields: F): Schema<RecordType<F>> {
  const entries = Object.entries(fields);
  return {
    expected: `an object with ${entries.map(([name, field]) => `${name} (${field.expected})`).join(', ')}`,
    accepts: (value): value is RecordType<F> =>
      object.accepts(value) && entries.every(([name, field]) => field.accepts(value[name])),
  };
}
