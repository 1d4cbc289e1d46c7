/**
 * The configuration (desired state) of a service: its tenants' templates. It is taken whole or refused whole; a
 * refusal lists every fault that was found, each with its place in the document.
 */
import { Type, type Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import * as E from 'fp-ts/lib/Either.js';
import { TenantTemplate, type KindTemplate } from './template.js';

const maxTemplates = 1000;

/** Schema of a configuration. */
export const DesiredState = Type.Object(
  {
    templates: Type.Array(TenantTemplate, { minItems: 1, maxItems: maxTemplates }),
  },
  { additionalProperties: false },
);

/** A configuration. */
export type DesiredState = Static<typeof DesiredState>;

/** One thing that is wrong with a configuration. */
export interface ConfigurationFault {
  /** JSON pointer to its place; `/` for the whole. */
  readonly at: string;
  readonly why: string;
}

/** Checks shape and rules; on the left are all faults of the shape, or else all of the rules. */
export function checkDesiredState(document: unknown): E.Either<readonly ConfigurationFault[], DesiredState> {
  const shapeFaults = [...Value.Errors(DesiredState, document)].map((error): ConfigurationFault => ({
    at: error.path === '' ? '/' : error.path,
    why: error.message,
  }));
  if (shapeFaults.length > 0) return E.left(shapeFaults);
  const state = document as DesiredState;
  const faults = ruleFaults(state);
  return faults.length > 0 ? E.left(faults) : E.right(state);
}

function ruleFaults(state: DesiredState): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  const seen = new Set<string>();
  state.templates.forEach(({ tenant, kinds }, index) => {
    if (seen.has(tenant)) {
      faults.push({
        at: `/templates/${index}/tenant`,
        why: `tenant ${tenant} has a template already; keep one`,
      });
    }
    seen.add(tenant);
    if (Object.keys(kinds).length === 0) {
      faults.push({ at: `/templates/${index}/kinds`, why: 'name at least one kind of request' });
    }
  });
  if (state.templates.every(({ kinds }) => Object.values(kinds).every((kind) => kind.share === 0))) {
    faults.push({ at: '/templates', why: 'every share is 0; give at least one kind a share of credits' });
  }
  return faults;
}

/** The template of a tenant's kind, or which of the two is not stated. */
export function findKind(
  state: DesiredState,
  tenant: string,
  kind: string,
): 'unknown_tenant' | 'unknown_kind' | KindTemplate {
  const template = state.templates.find((candidate) => candidate.tenant === tenant);
  if (template === undefined) return 'unknown_tenant';
  return Object.hasOwn(template.kinds, kind) ? template.kinds[kind]! : 'unknown_kind';
}

/** Whether any tenant wants an operator to approve changes before they go live. */
export function needsApproval(state: DesiredState | undefined): boolean {
  return state?.templates.some((template) => template.approval === 'operator') ?? false;
}
