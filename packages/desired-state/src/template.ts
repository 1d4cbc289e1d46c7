/**
 * The template that an operator writes for each tenant: for each kind of request its priority (`worth`), its timeout
 * (`patienceMs`), its share of the fleet's capacity, and whether it is idempotent (`repeatable`).
 */
import { Type, type Static } from '@sinclair/typebox';

/** Schema of one kind of request. */
export const KindTemplate = Type.Object(
  {
    /** Priority under overload, relative to the other kinds. */
    worth: Type.Number({ exclusiveMinimum: 0, maximum: 1000 }),
    /** Timeout of a request, in milliseconds. */
    patienceMs: Type.Integer({ minimum: 100, maximum: 600_000 }),
    /** Weight of the kind in the division of capacity. */
    share: Type.Number({ minimum: 0, maximum: 1000 }),
    /** Whether a request may be run more than once. */
    repeatable: Type.Boolean(),
  },
  { additionalProperties: false },
);
/** Template of one kind of request. */
export type KindTemplate = Static<typeof KindTemplate>;

/** Pattern of the names of tenants and kinds. */
const namePattern = '^[a-z][a-z0-9_-]{0,63}$';

/** Schema of one tenant's template. */
export const TenantTemplate = Type.Object(
  {
    tenant: Type.String({ pattern: namePattern }),
    /** Who approves that a rehearsed change goes live; `automatic` by default. */
    approval: Type.Optional(Type.Union([Type.Literal('automatic'), Type.Literal('operator')])),
    kinds: Type.Record(Type.String({ pattern: namePattern }), KindTemplate, { additionalProperties: false }),
  },
  { additionalProperties: false },
);
/** Template of one tenant. */
export type TenantTemplate = Static<typeof TenantTemplate>;
