// The branded types that the whole fleet shares. A brand costs nothing at run time; it keeps a
// time from being taken for a version, or a worker's name for a member's. Times are whole
// microseconds of a monotonic clock unless a name says otherwise.

declare const brand: unique symbol;
export type Brand<T, N extends string> = T & { readonly [brand]: N };

export type Micros = Brand<number, 'Micros'>;
export type Address = Brand<string, 'Address'>;
export type MemberId = Brand<string, 'MemberId'>;
export type WorkerId = Brand<string, 'WorkerId'>;
export type RequestId = Brand<string, 'RequestId'>;
export type ChangeId = Brand<string, 'ChangeId'>;
export type Key = Brand<string, 'Key'>;
export type Epoch = Brand<number, 'Epoch'>;
export type Version = Brand<number, 'Version'>;

// Said by a router that stops: it has applied every version there will be.
export const appliedAll = 2 ** 50;

export function micros(n: number): Micros {
  return Math.round(n) as Micros;
}
export function millis(n: number): Micros {
  return Math.round(n * 1000) as Micros;
}
export function seconds(n: number): Micros {
  return Math.round(n * 1_000_000) as Micros;
}
export function address(s: string): Address {
  return s as Address;
}
export function memberId(s: string): MemberId {
  return s as MemberId;
}
export function key(s: string): Key {
  return s as Key;
}
