/** Parses socket addresses. */

/** Host and port, in the form of the options of `node:net`. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port` at its last colon. */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
