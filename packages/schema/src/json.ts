/** Decoding of JSON from outside of the program. */
import * as E from 'fp-ts/lib/Either.js';
import type { Schema } from './schema.js';

/**
 * Parses a JSON text and checks it. Left: why it was rejected; the text is not quoted, as it may contain credentials.
 */
export function decodeJson<T>(body: Buffer, schema: Schema<T>): E.Either<string, T> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch {
    return E.left('not valid JSON');
  }
  return schema.accepts(value) ? E.right(value) : E.left(`not ${schema.expected}`);
}
