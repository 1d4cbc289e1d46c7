/**
 * The configuration (desired state) of a service: the templates of its tenants. It is accepted or rejected as a whole; a
 * rejection lists all faults that were found, each with its place in the document.
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

/** One fault of a configuration. */
export interface ConfigurationFault {
  /** JSON pointer to its place; `/` for the whole document. */
  readonly at: string;
  readonly why: string;
}

/** Validates a document against the schema, then against further rules; the left holds all faults of the first that fails. */
export function checkDesiredState(document: unknown): E.Either<readonly ConfigurationFault[], DesiredState> {
  const schemaFaults = [...Value.Errors(DesiredState, document)].map((error): ConfigurationFault => ({
    at: error.path === '' ? '/' : error.path,
    why: error.message,
  }));
  if (schemaFaults.length > 0) return E.left(schemaFaults);
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
        why: `tenant ${tenant} has more than one template; keep one`,
      });
    }
    seen.add(tenant);
    if (Object.keys(kinds).length === 0) {
      faults.push({ at: `/templates/${index}/kinds`, why: 'define at least one kind of request' });
    }
  });
  if (state.templates.every(({ kinds }) => Object.values(kinds).every((kind) => kind.share === 0))) {
    faults.push({ at: '/templates', why: 'every share is 0; set a positive share for at least one kind' });
  }
  return faults;
}

/** The template of a tenant's kind of request, or which of the two is unknown. */
export function findKind(
  state: DesiredState,
  tenant: string,
  kind: string,
): 'unknown_tenant' | 'unknown_kind' | KindTemplate {
  const template = state.templates.find((candidate) => candidate.tenant === tenant);
  if (template === undefined) return 'unknown_tenant';
  return Object.hasOwn(template.kinds, kind) ? template.kinds[kind]! : 'unknown_kind';
}

/** Whether any tenant requires an operator's approval before changes go live. */
export function needsApproval(state: DesiredState | undefined): boolean {
  return state?.templates.some((template) => template.approval === 'operator') ?? false;
}
