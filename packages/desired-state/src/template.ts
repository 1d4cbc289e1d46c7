// The one template that an operator fills in for each tenant: for each kind of request its worth, its
// patience, its share of credits, and whether it may be repeated. Nothing else is asked of an operator.
import { Type, type Static } from '@sinclair/typebox';

export const KindTemplate = Type.Object(
  {
    worth: Type.Number({ exclusiveMinimum: 0, maximum: 1000 }),
    patienceMs: Type.Integer({ minimum: 100, maximum: 600_000 }),
    share: Type.Number({ minimum: 0, maximum: 1000 }),
    repeatable: Type.Boolean(),
  },
  { additionalProperties: false },
);
export type KindTemplate = Static<typeof KindTemplate>;

const Name = '^[a-z][a-z0-9_-]{0,63}$';

export const TenantTemplate = Type.Object(
  {
    tenant: Type.String({ pattern: Name }),
    approval: Type.Optional(Type.Union([Type.Literal('automatic'), Type.Literal('operator')])),
    kinds: Type.Record(Type.String({ pattern: Name }), KindTemplate, { additionalProperties: false }),
  },
  { additionalProperties: false },
);
export type TenantTemplate = Static<typeof TenantTemplate>;
