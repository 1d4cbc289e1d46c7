/**
 * A small notation for message shapes. Both the TypeScript type and the avsc schema are derived from one literal, so
 * they can't diverge. Every field has a default: a reader uses it for a field that an older writer doesn't send, and it
 * ignores fields that it doesn't know.
 */
import avsc from 'avsc';

/** Types of scalar values. */
export type PrimitiveShape = 'long' | 'double' | 'string' | 'boolean' | 'bytes';

/** A scalar, a list whose items have one shape, or a record. */
export type Shape = PrimitiveShape | readonly [Shape] | { readonly [field: string]: Shape };

/** The TypeScript type that a shape describes. */
export type TypeOfShape<S> = S extends 'long' | 'double'
  ? number
  : S extends 'string'
    ? string
    : S extends 'boolean'
      ? boolean
      : S extends 'bytes'
        ? Buffer
        : S extends readonly [infer Item]
          ? TypeOfShape<Item>[]
          : S extends object
            ? { -readonly [K in keyof S]: TypeOfShape<S[K]> }
            : never;

function defaultOf(shape: Shape): unknown {
  if (shape === 'long' || shape === 'double') return 0;
  if (shape === 'string' || shape === 'bytes') return '';
  if (shape === 'boolean') return false;
  if (Array.isArray(shape)) return [];
  return Object.fromEntries(Object.entries(shape).map(([field, inner]) => [field, defaultOf(inner)]));
}

/** The avsc schema of a shape. A nested record is named after its parent and its field. */
export function toSchema(name: string, shape: Shape): avsc.Schema {
  if (typeof shape === 'string') return shape as avsc.Schema;
  if (Array.isArray(shape)) {
    return { type: 'array', items: toSchema(`${name}Item`, shape[0] as Shape) } as avsc.Schema;
  }
  const fields = Object.entries(shape as { [field: string]: Shape }).map(([field, inner]) => ({
    name: field,
    type: toSchema(`${name}_${field}`, inner),
    default: defaultOf(inner),
  }));
  return { type: 'record', name, fields } as avsc.Schema;
}
