/**
 * The record of orders to workers, stored as a value in the replicated control state. Each order is written there before it
 * is sent. Its fence, the version of that write, is therefore higher than that of any earlier order, whichever node sent
 * that one and whichever disks have been lost since; and a new leader knows which orders were sent.
 */
import { Type, type Static } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import * as E from 'fp-ts/lib/Either.js';

/** The key of the record in the control state. */
export const orderRecordKey = 'stages/orders';

const RecordedOrder = Type.Object({
  worker: Type.String(),
  service: Type.String(),
  stage: Type.Union([Type.Literal('prefill'), Type.Literal('decode')]),
  holder: Type.String(),
});
const OrderRecord = Type.Object({ orders: Type.Array(RecordedOrder) });

/** An order that was recorded before it was sent. */
export type RecordedOrder = Static<typeof RecordedOrder>;
/** The most recent orders, oldest first. */
export type OrderRecord = Static<typeof OrderRecord>;

/** Number of orders kept. A worker whose order was dropped counts as one that started in its stage. */
const maxOrders = 256;

/** Decodes a stored record; an empty buffer is a record without orders. Left: why it is invalid. */
export function decodeOrderRecord(value: Buffer): E.Either<string, OrderRecord> {
  if (value.length === 0) return E.right({ orders: [] });
  try {
    const parsed: unknown = JSON.parse(value.toString('utf8'));
    return Value.Check(OrderRecord, parsed) ? E.right(parsed) : E.left('The order record does not match its schema.');
  } catch {
    return E.left('The order record is not valid JSON.');
  }
}

/** Appends an order; returns the new record and its encoding. */
export function appendOrder(record: OrderRecord, order: RecordedOrder): { record: OrderRecord; bytes: Buffer } {
  const next = { orders: [...record.orders, order].slice(-maxOrders) };
  return { record: next, bytes: Buffer.from(JSON.stringify(next)) };
}
