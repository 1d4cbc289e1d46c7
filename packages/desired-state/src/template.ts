/**
 * The template that an operator fills in for each tenant: for each kind of request its priority (worth), its
 * deadline (patience), its share of the fleet's capacity, and whether it may be repeated.
 */
import { Type, type Static } from '@sinclair/typebox';

/** Schema of one kind of request. */
export const KindTemplate = Type.Object(
  {
    /** Priority under overload, relative to other kinds. */
    worth: Type.Number({ exclusiveMinimum: 0, maximum: 1000 }),
    /** The longest that a request is held, in milliseconds. */
    patienceMs: Type.Integer({ minimum: 100, maximum: 600_000 }),
    /** Weight of the kind in the division of capacity. */
    share: Type.Number({ minimum: 0, maximum: 1000 }),
    /** Whether a request may run more than once. */
    repeatable: Type.Boolean(),
  },
  { additionalProperties: false },
);
/** What an operator states of one kind of request. */
export type KindTemplate = Static<typeof KindTemplate>;

/** Names of tenants and kinds. */
const namePattern = '^[a-z][a-z0-9_-]{0,63}$';

/** Schema of one tenant's template. */
export const TenantTemplate = Type.Object(
  {
    tenant: Type.String({ pattern: namePattern }),
    /** Who lets a rehearsed change go live; automatic where it is not stated. */
    approval: Type.Optional(Type.Union([Type.Literal('automatic'), Type.Literal('operator')])),
    kinds: Type.Record(Type.String({ pattern: namePattern }), KindTemplate, { additionalProperties: false }),
  },
  { additionalProperties: false },
);
/** What an operator states of one tenant. */
export type TenantTemplate = Static<typeof TenantTemplate>;
