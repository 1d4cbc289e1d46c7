/** Encoding and decoding of the order record. */
import { expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import { decodeOrderRecord, appendOrder, type RecordedOrder, type OrderRecord } from './order-record.js';

function order(worker: string): RecordedOrder {
  return { worker, service: 's', stage: 'decode', holder: 'c0' };
}

it('decodes what was encoded, and keeps only the newest orders', () => {
  let record: OrderRecord = { orders: [] };
  for (let i = 0; i < 300; i += 1) record = appendOrder(record, order(`w${i}`)).record;
  const { bytes } = appendOrder(record, order('last'));
  const decoded = decodeOrderRecord(bytes);
  expect(E.isRight(decoded) && decoded.right.orders.length).toBe(256);
  expect(E.isRight(decoded) && decoded.right.orders.at(-1)).toEqual(order('last'));
  expect(decodeOrderRecord(Buffer.alloc(0))).toEqual(E.right({ orders: [] }));
});

it('rejects values that are not records', () => {
  for (const text of ['{', '[]', '{"orders":[{"worker":1}]}', '{"orders":[{"worker":"w","stage":"other"}]}'])
    expect(E.isLeft(decodeOrderRecord(Buffer.from(text)))).toBe(true);
});
