/** Schemas of network addresses. */
import { text, type Schema } from './schema.js';

const maxPort = 65_535;
const maxOctet = 255;
const dottedQuad = /^\d{1,3}(\.\d{1,3}){3}$/;

/** A TCP port. */
export const port: Schema<number> = {
  expected: `a port from 1 to ${maxPort}`,
  accepts: (value): value is number => Number.isInteger(value) && (value as number) > 0 && (value as number) <= maxPort,
};

/** An IPv4 address. */
export const ipv4: Schema<string> = {
  expected: 'an IPv4 address',
  accepts: (value): value is string =>
    text.accepts(value) && dottedQuad.test(value) && value.split('.').every((octet) => Number(octet) <= maxOctet),
};

/** An IPv4 address and a port, separated by a colon. */
export const socketAddress: Schema<string> = {
  expected: 'an IPv4 address with a port',
  accepts: (value): value is string => text.accepts(value) && isSocketAddress(value),
};

function isSocketAddress(value: string): boolean {
  const [host, portText, rest] = value.split(':');
  return rest === undefined && ipv4.accepts(host) && /^\d+$/.test(portText ?? '') && port.accepts(Number(portText));
}
