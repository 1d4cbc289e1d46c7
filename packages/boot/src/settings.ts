/**
 * Settings of the programs: read from a file, overridden by flags, checked by TypeBox. An invalid field ends the program
 * with one line that names the field. Fields named `...Ms` are in milliseconds.
 */
import { readFileSync } from 'node:fs';
import { Type, type Static, type TSchema } from '@sinclair/typebox';
import { Value, type ValueError } from '@sinclair/typebox/value';
import * as E from 'fp-ts/lib/Either.js';
import { BadSettingsError } from '@tansypost/inner-protocol';

/** IPv4 address and port. */
const SocketAddress = Type.String({ pattern: '^\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}$' });
/** Fields that several programs have. */
const common = {
  member: Type.String({ minLength: 1, maxLength: 64 }),
  zone: Type.String({ minLength: 1, maxLength: 64 }),
  listen: SocketAddress,
  advertise: Type.Optional(SocketAddress),
  seeds: Type.Array(SocketAddress, { minItems: 3, maxItems: 3 }),
  data: Type.Optional(Type.String()),
  logLevel: Type.Optional(Type.Integer({ minimum: 0, maximum: 5 })),
  memoryMb: Type.Optional(Type.Integer({ minimum: 64 })),
  maxDescriptors: Type.Optional(Type.Integer({ minimum: 256 })),
};

/** Schema of the settings of a control node. */
export const ControlNodeSettings = Type.Object(
  {
    ...common,
    slot: Type.Integer({ minimum: 0, maximum: 2 }),
    core: Type.Array(SocketAddress, { minItems: 3, maxItems: 3 }),
    data: Type.String({ minLength: 1 }),
    http: SocketAddress,
    feedTenureMs: Type.Optional(Type.Integer({ minimum: 1000, maximum: 60000 })),
    dutyTenureMs: Type.Optional(Type.Integer({ minimum: 500, maximum: 10000 })),
  },
  { additionalProperties: false },
);
/** Settings of a control node. */
export type ControlNodeSettings = Static<typeof ControlNodeSettings>;

/** Schema of the settings of a router-agent. */
export const AgentSettings = Type.Object(
  {
    ...common,
    http: SocketAddress,
    router: SocketAddress,
    routerHttp: SocketAddress,
    service: Type.Optional(Type.String({ minLength: 1 })),
    slot: Type.Integer({ minimum: 0, maximum: 63 }),
    feedTenureMs: Type.Optional(Type.Integer({ minimum: 1000, maximum: 60000 })),
    dutyTenureMs: Type.Optional(Type.Integer({ minimum: 500, maximum: 10000 })),
    trainEvery: Type.Optional(Type.Integer({ minimum: 100, maximum: 100000 })),
    eventSink: Type.Optional(Type.String({ pattern: '^http://' })),
    shiftParts: Type.Optional(Type.Boolean()),
  },
  { additionalProperties: false },
);
/** Settings of a router-agent. */
export type AgentSettings = Static<typeof AgentSettings>;

/** Schema of the settings of a request-router. */
export const RouterSettings = Type.Object(
  {
    member: common.member,
    zone: common.zone,
    listen: common.listen,
    logLevel: common.logLevel,
    memoryMb: common.memoryMb,
    maxDescriptors: common.maxDescriptors,
    agent: SocketAddress,
    http: SocketAddress,
    service: Type.Optional(Type.String({ minLength: 1 })),
    feedTenureMs: Type.Optional(Type.Integer({ minimum: 1000, maximum: 60000 })),
    bodyLimit: Type.Optional(Type.Integer({ minimum: 1024 })),
    promptLimit: Type.Optional(Type.Integer({ minimum: 16 })),
    explore: Type.Optional(Type.Number({ minimum: 0, maximum: 1 })),
  },
  { additionalProperties: false },
);
/** Settings of a request-router. */
export type RouterSettings = Static<typeof RouterSettings>;

/** Where settings come from; flags override the file. */
export interface SettingsSource {
  /** Path of a JSON file. */
  readonly file?: string;
  readonly flags: { readonly [field: string]: string | undefined };
}

/** Fields whose flag is a comma-separated list. */
const listFields: readonly string[] = ['seeds', 'core'];

/**
 * Reads and checks the settings of a program.
 * @returns the settings, or a `BadSettingsError` whose message, a single line, names the first invalid field
 */
export function readSettings<S extends TSchema>(schema: S, source: SettingsSource): E.Either<Error, Static<S>> {
  const fromFile = source.file === undefined ? E.right({}) : readJson(source.file);
  if (E.isLeft(fromFile)) return fromFile;
  const settings: Record<string, unknown> = { ...fromFile.right };
  for (const [field, flag] of Object.entries(source.flags)) {
    if (flag !== undefined) settings[field] = listFields.includes(field) ? flag.split(',') : parseFlag(flag);
  }
  const invalid = Value.Errors(schema, settings).First();
  return invalid === undefined ? E.right(settings as Static<S>) : E.left(fieldError(invalid));
}

function readJson(file: string): E.Either<Error, Record<string, unknown>> {
  return E.tryCatch(
    () => JSON.parse(readFileSync(file, 'utf8')) as Record<string, unknown>,
    (error) => {
      const reason = error instanceof Error ? error.message : String(error);
      return new BadSettingsError(`settings file ${file}: ${reason}; provide a readable JSON file.`);
    },
  );
}

/** Parses numbers and booleans; everything else is a string. */
function parseFlag(flag: string): unknown {
  if (/^-?\d+(\.\d+)?$/.test(flag)) return Number(flag);
  if (flag === 'true' || flag === 'false') return flag === 'true';
  return flag;
}

function fieldError(invalid: ValueError): Error {
  const field = invalid.path === '' ? '(file)' : invalid.path.slice(1).replace(/\//g, '.');
  const got = JSON.stringify(invalid.value) ?? 'nothing';
  const remedy = `Set it in the file or with --set ${field.split('.')[0]}=...`;
  return new BadSettingsError(`settings field ${field}: ${invalid.message}; got ${got}. ${remedy}`);
}
