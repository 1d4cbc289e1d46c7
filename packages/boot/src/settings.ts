// Boot settings: read from a file, overridden by flags, checked by TypeBox. A fault ends the program
// with one line that names the field. A record of the core places, the tenures and the like has
// one default for the whole fleet.
import { readFileSync } from 'node:fs';
import { Type, type Static, type TSchema } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import * as E from 'fp-ts/lib/Either.js';
import { BadBoot } from '@tansypost/inner-protocol';

const Addr = Type.String({ pattern: '^\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}$' });
const common = {
  member: Type.String({ minLength: 1, maxLength: 64 }),
  zone: Type.String({ minLength: 1, maxLength: 64 }),
  listen: Addr,
  advertise: Type.Optional(Addr),
  seeds: Type.Array(Addr, { minItems: 3, maxItems: 3 }),
  data: Type.Optional(Type.String()),
  logLevel: Type.Optional(Type.Integer({ minimum: 0, maximum: 5 })),
};

export const ControlNodeSettings = Type.Object(
  {
    ...common,
    slot: Type.Integer({ minimum: 0, maximum: 2 }),
    core: Type.Array(Addr, { minItems: 3, maxItems: 3 }),
    data: Type.String({ minLength: 1 }),
    http: Addr,
    feedTenureMs: Type.Optional(Type.Integer({ minimum: 1000, maximum: 60000 })),
    dutyTenureMs: Type.Optional(Type.Integer({ minimum: 500, maximum: 10000 })),
  },
  { additionalProperties: false },
);
export type ControlNodeSettings = Static<typeof ControlNodeSettings>;

export const AgentBoot = Type.Object(
  {
    ...common,
    http: Addr,
    router: Addr,
    routerHttp: Addr,
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
export type AgentBoot = Static<typeof AgentBoot>;

export const RouterBoot = Type.Object(
  {
    member: common.member,
    zone: common.zone,
    listen: common.listen,
    logLevel: common.logLevel,
    agent: Addr,
    http: Addr,
    service: Type.Optional(Type.String({ minLength: 1 })),
    feedTenureMs: Type.Optional(Type.Integer({ minimum: 1000, maximum: 60000 })),
    bodyLimit: Type.Optional(Type.Integer({ minimum: 1024 })),
    promptLimit: Type.Optional(Type.Integer({ minimum: 16 })),
    explore: Type.Optional(Type.Number({ minimum: 0, maximum: 1 })),
  },
  { additionalProperties: false },
);
export type RouterBoot = Static<typeof RouterBoot>;

export interface BootSource {
  readonly file?: string;
  readonly flags: { readonly [k: string]: string | undefined };
}

function fromFlag(s: string): unknown {
  if (/^-?\d+(\.\d+)?$/.test(s)) return Number(s);
  if (s === 'true' || s === 'false') return s === 'true';
  return s;
}

export function readBoot<S extends TSchema>(schema: S, src: BootSource): E.Either<Error, Static<S>> {
  let raw: Record<string, unknown> = {};
  if (src.file !== undefined) {
    try {
      raw = JSON.parse(readFileSync(src.file, 'utf8')) as Record<string, unknown>;
    } catch (e) {
      return E.left(
        new BadBoot(`boot file ${src.file}: ${e instanceof Error ? e.message : String(e)}; give a readable JSON file.`),
      );
    }
  }
  for (const [k, v] of Object.entries(src.flags)) {
    if (v !== undefined) raw[k] = k === 'seeds' || k === 'core' ? v.split(',') : fromFlag(v);
  }
  const first = [...Value.Errors(schema, raw)][0];
  if (first !== undefined) {
    const f = first.path === '' ? '(file)' : first.path.slice(1).replace(/\//g, '.');
    return E.left(
      new BadBoot(
        `boot field ${f}: ${first.message}; got ${JSON.stringify(first.value) ?? 'nothing'}. Set it in the file or with --set ${f.split('.')[0]}=...`,
      ),
    );
  }
  return E.right(raw as Static<S>);
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const good = { member: 'm', zone: 'z', listen: '127.0.0.1:1', agent: '127.0.0.1:2', http: '127.0.0.1:3' };
  it('names the field at fault in one line, for every field altered one at a time', () => {
    expect(E.isRight(readBoot(RouterBoot, { flags: good }))).toBe(true);
    for (const [k, v] of [
      ['member', ''],
      ['zone', ''],
      ['listen', 'localhost'],
      ['agent', '5'],
      ['http', undefined],
      ['bodyLimit', 'x'],
      ['colour', 'red'],
    ] as const) {
      const r = readBoot(RouterBoot, { flags: { ...good, [k]: v } });
      expect(E.isLeft(r) && r.left.message).toContain(`boot field ${k}`);
      expect(E.isLeft(r) && r.left.message.includes('\n')).toBe(false);
    }
  });
}
