/**
 * Branded types shared by all packages. A brand has no cost at run time; it keeps a time from being passed as a
 * version, or a worker id as a member id.
 */

declare const brand: unique symbol;

/** A nominal type: `T` values without this brand, or with another one, aren't assignable to it. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

/** Whole microseconds; a time of a monotonic clock unless the name says otherwise. */
export type Micros = Brand<number, 'Micros'>;
/** `host:port`. */
export type Address = Brand<string, 'Address'>;
/** Id of a process of the fleet. */
export type MemberId = Brand<string, 'MemberId'>;
/** Id of a worker. */
export type WorkerId = Brand<string, 'WorkerId'>;
/** Id of a request. */
export type RequestId = Brand<string, 'RequestId'>;
/** Id of a write, which makes repeating it idempotent. */
export type ChangeId = Brand<string, 'ChangeId'>;
/** Key in the control state. */
export type Key = Brand<string, 'Key'>;
/** Term of a key's leader, or of the leader of a singleton role. */
export type Epoch = Brand<number, 'Epoch'>;
/** Version of a key's value. */
export type Version = Brand<number, 'Version'>;

/** Reported as the applied version by a stopping router, so that nobody waits for it to apply later versions. */
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

/** Brands a string as an address without validating it. */
export function address(text: string): Address {
  return text as Address;
}

/** Brands a string as a member id without validating it. */
export function memberId(text: string): MemberId {
  return text as MemberId;
}

/** Brands a string as a key without validating it. */
export function key(text: string): Key {
  return text as Key;
}
