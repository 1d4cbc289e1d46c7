/**
 * The branded types that the whole fleet shares. A brand costs nothing at run time; it keeps a time from being taken
 * for a version, or a worker's name for a member's.
 */

declare const brand: unique symbol;

/** A type that no other of the same representation is assigned to. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

/** Whole microseconds of a monotonic clock unless a name says otherwise. */
export type Micros = Brand<number, 'Micros'>;
/** Host and port. */
export type Address = Brand<string, 'Address'>;
/** Name of a process in the fleet. */
export type MemberId = Brand<string, 'MemberId'>;
/** Name of a worker. */
export type WorkerId = Brand<string, 'WorkerId'>;
/** Name of a request. */
export type RequestId = Brand<string, 'RequestId'>;
/** Id of a write, under which it takes effect once. */
export type ChangeId = Brand<string, 'ChangeId'>;
/** Key of the control state. */
export type Key = Brand<string, 'Key'>;
/** Term of a key's leader, or epoch of a role's holder. */
export type Epoch = Brand<number, 'Epoch'>;
/** Version of a key's value. */
export type Version = Brand<number, 'Version'>;

/** Said by a router that stops: it has applied every version there will be. */
export const appliedAllVersions = 2 ** 50;

const microsPerMillisecond = 1000;
const microsPerSecond = 1_000_000;

/** Rounds to whole microseconds. */
export function micros(count: number): Micros {
  return Math.round(count) as Micros;
}

/** Milliseconds as microseconds. */
export function millis(count: number): Micros {
  return micros(count * microsPerMillisecond);
}

/** Seconds as microseconds. */
export function seconds(count: number): Micros {
  return micros(count * microsPerSecond);
}

/** Brands a text as an address; it is not checked. */
export function address(text: string): Address {
  return text as Address;
}

/** Brands a text as a member's name; it is not checked. */
export function memberId(text: string): MemberId {
  return text as MemberId;
}

/** Brands a text as a key; it is not checked. */
export function key(text: string): Key {
  return text as Key;
}
