// The desired state of a service: its tenants' templates. It is taken whole or refused whole; a
// refusal lists every fault that was found, each with its place in the document.
import { Type, type Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import * as E from 'fp-ts/lib/Either.js';
import { TenantTemplate, type KindTemplate } from './template.js';

export const DesiredState = Type.Object(
  {
    templates: Type.Array(TenantTemplate, { minItems: 1, maxItems: 1000 }),
  },
  { additionalProperties: false },
);
export type DesiredState = Static<typeof DesiredState>;

export interface Fault {
  readonly at: string;
  readonly why: string;
}

export function checkDesiredState(x: unknown): E.Either<readonly Fault[], DesiredState> {
  const faults: Fault[] = [...Value.Errors(DesiredState, x)].map((e) => ({
    at: e.path === '' ? '/' : e.path,
    why: e.message,
  }));
  if (faults.length > 0) return E.left(faults);
  const d = x as DesiredState;
  const seen = new Set<string>();
  d.templates.forEach((t, i) => {
    if (seen.has(t.tenant))
      faults.push({ at: `/templates/${i}/tenant`, why: `tenant ${t.tenant} has a template already; keep one` });
    seen.add(t.tenant);
    if (Object.keys(t.kinds).length === 0)
      faults.push({ at: `/templates/${i}/kinds`, why: 'name at least one kind of request' });
  });
  if (d.templates.every((t) => Object.values(t.kinds).every((k) => k.share === 0))) {
    faults.push({ at: '/templates', why: 'every share is 0; give at least one kind a share of credits' });
  }
  return faults.length > 0 ? E.left(faults) : E.right(d);
}

export function kindOf(
  d: DesiredState,
  tenant: string,
  kind: string,
): 'unknown_tenant' | 'unknown_kind' | KindTemplate {
  const t = d.templates.find((x) => x.tenant === tenant);
  if (t === undefined) return 'unknown_tenant';
  return Object.hasOwn(t.kinds, kind) ? t.kinds[kind]! : 'unknown_kind';
}

export function needsApproval(d: DesiredState | undefined): boolean {
  return d?.templates.some((t) => t.approval === 'operator') ?? false;
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  function good(): DesiredState {
    return {
      templates: [{ tenant: 'ferry', kinds: { quote: { worth: 2, patienceMs: 3000, share: 5, repeatable: true } } }],
    };
  }
  it('reports every fault at its place, and takes a sound state', () => {
    expect(E.isRight(checkDesiredState(good()))).toBe(true);
    const bad = {
      templates: [{ tenant: 'Ferry!', colour: 1, kinds: { quote: { worth: -1, patienceMs: 3000.5, share: 5 } } }],
      x: 1,
    };
    const r = checkDesiredState(bad);
    const at = E.isLeft(r) ? r.left.map((f) => f.at) : [];
    for (const p of [
      '/x',
      '/templates/0/tenant',
      '/templates/0/colour',
      '/templates/0/kinds/quote/worth',
      '/templates/0/kinds/quote/patienceMs',
      '/templates/0/kinds/quote/repeatable',
    ]) {
      expect(at).toContain(p);
    }
    const twice = { templates: [...good().templates, ...good().templates] };
    expect(E.isLeft(checkDesiredState(twice))).toBe(true);
  });
}
