// A small notation for message shapes. One literal gives both the TypeScript type and the avsc
// schema, so the two cannot drift. Every field has a default: a reader that knows a newer field
// takes the default from an older writer, and drops a field it does not know.
import avsc from 'avsc';

export type Prim = 'long' | 'double' | 'string' | 'boolean' | 'bytes';
export type Shape = Prim | readonly [Shape] | { readonly [k: string]: Shape };

export type Of<S> = S extends 'long' | 'double'
  ? number
  : S extends 'string'
    ? string
    : S extends 'boolean'
      ? boolean
      : S extends 'bytes'
        ? Buffer
        : S extends readonly [infer E]
          ? Of<E>[]
          : S extends object
            ? { -readonly [K in keyof S]: Of<S[K]> }
            : never;

function zero(s: Shape): unknown {
  if (s === 'long' || s === 'double') return 0;
  if (s === 'string' || s === 'bytes') return '';
  if (s === 'boolean') return false;
  if (Array.isArray(s)) return [];
  return Object.fromEntries(Object.entries(s).map(([k, v]) => [k, zero(v)]));
}

export function toSchema(name: string, s: Shape): avsc.Schema {
  if (typeof s === 'string') return s as avsc.Schema;
  if (Array.isArray(s)) return { type: 'array', items: toSchema(`${name}Item`, s[0] as Shape) } as avsc.Schema;
  const fields = Object.entries(s as { [k: string]: Shape }).map(([k, v]) => ({
    name: k,
    type: toSchema(`${name}_${k}`, v),
    default: zero(v),
  }));
  return { type: 'record', name, fields } as avsc.Schema;
}
