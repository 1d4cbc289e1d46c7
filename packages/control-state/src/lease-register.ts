/** The register of the routers that may hold a lease, as it stands in the control state. */
import { DamagedFileError } from '@tansypost/inner-protocol';

/** Encodes the names of the routers. */
export function encodeRegister(routers: readonly string[]): Buffer {
  return Buffer.from(JSON.stringify(routers));
}

/** Reads a register; an empty value is an empty one. Throws `DamagedFileError` for anything that is no list of names. */
export function decodeRegister(value: Buffer): string[] {
  if (value.length === 0) return [];
  const parsed: unknown = JSON.parse(value.toString());
  if (!Array.isArray(parsed) || !parsed.every((name) => typeof name === 'string'))
    throw new DamagedFileError('A register of router leases in the control state is no list of names.');
  return parsed;
}
