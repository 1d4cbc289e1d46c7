/** The record of orders in bytes. */
import { expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import { decodeOrderRecord, appendOrder, type RecordedOrder, type OrderRecord } from './order-record.js';

function order(worker: string): RecordedOrder {
  return { worker, service: 's', stage: 'decode', holder: 'c0' };
}

it('gives back what was written, and keeps the newest orders only', () => {
  let record: OrderRecord = { orders: [] };
  for (let i = 0; i < 300; i += 1) record = appendOrder(record, order(`w${i}`)).record;
  const { bytes } = appendOrder(record, order('last'));
  const read = decodeOrderRecord(bytes);
  expect(E.isRight(read) && read.right.orders.length).toBe(256);
  expect(E.isRight(read) && read.right.orders.at(-1)).toEqual(order('last'));
  expect(decodeOrderRecord(Buffer.alloc(0))).toEqual(E.right({ orders: [] }));
});

it('refuses what is no record', () => {
  for (const text of ['{', '[]', '{"orders":[{"worker":1}]}', '{"orders":[{"worker":"w","stage":"other"}]}'])
    expect(E.isLeft(decodeOrderRecord(Buffer.from(text)))).toBe(true);
});
