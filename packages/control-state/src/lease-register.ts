/** Encoding of the register of routers that may hold a lease, which is stored in the control state. */
import { DamagedFileError } from '@tansypost/inner-protocol';

/** Encodes a list of router names. */
export function encodeRegister(routers: readonly string[]): Buffer {
  return Buffer.from(JSON.stringify(routers));
}

/** Decodes a register; an empty value is an empty register. Throws `DamagedFileError` if it is not a list of names. */
export function decodeRegister(value: Buffer): string[] {
  if (value.length === 0) return [];
  const parsed: unknown = JSON.parse(value.toString());
  if (!Array.isArray(parsed) || !parsed.every((name) => typeof name === 'string'))
    throw new DamagedFileError(
      'The register of router leases in the control state is invalid: it is not a JSON array of router names.',
    );
  return parsed;
}
