/**
 * The record of orders to workers, a value of the control state. Each order is written there before it is given, so
 * its fence, the version of that write, is higher than that of any order before it, whoever gave that one and whichever
 * disks have been lost since; and whoever takes over knows what was ordered.
 */
import { Type, type Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import * as E from 'fp-ts/lib/Either.js';

/** The key of the record. */
export const orderRecordKey = 'stages/orders';

const RecordedOrder = Type.Object({
  worker: Type.String(),
  service: Type.String(),
  stage: Type.Union([Type.Literal('prefill'), Type.Literal('decode')]),
  holder: Type.String(),
});
const OrderRecord = Type.Object({ orders: Type.Array(RecordedOrder) });

/** An order that was written down, and then given. */
export type RecordedOrder = Static<typeof RecordedOrder>;
/** The newest orders, the oldest first. */
export type OrderRecord = Static<typeof OrderRecord>;

/** Orders kept. A worker whose order was forgotten counts as one that had its stage by itself. */
const mostKept = 256;

/** The record in bytes of the control state; no bytes are a record without orders. Left: it cannot be read. */
export function decodeOrderRecord(value: Buffer): E.Either<string, OrderRecord> {
  if (value.length === 0) return E.right({ orders: [] });
  try {
    const parsed: unknown = JSON.parse(value.toString('utf8'));
    return Value.Check(OrderRecord, parsed) ? E.right(parsed) : E.left('The record of orders has another form.');
  } catch {
    return E.left('The record of orders is not JSON.');
  }
}

/** The record with one more order, and its bytes. */
export function appendOrder(record: OrderRecord, order: RecordedOrder): { record: OrderRecord; bytes: Buffer } {
  const next = { orders: [...record.orders, order].slice(-mostKept) };
  return { record: next, bytes: Buffer.from(JSON.stringify(next)) };
}
