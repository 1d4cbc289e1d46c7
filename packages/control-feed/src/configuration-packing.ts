/**
 * How the bytes of a configuration are kept in the control state and sent to routers: deflated where they are long, as
 * lists of routes repeat themselves. What is not deflated stands as it is, and the first byte tells the two apart: no
 * JSON text begins like a zlib stream (RFC 1950), so what an earlier release wrote is read too.
 */
import { deflateSync, inflateSync } from 'node:zlib';

/** Shorter ones fit into a packet or two either way. */
const leastPacked = 2048;
/** A middle level: the next ones take twice the time for a few parts in a hundred. */
const level = 4;
/** First byte of a zlib stream with a window of 32 KB. */
const zlibHeader = 0x78;
/** An operator's call is shorter than this. */
const longestConfiguration = 64 * 1024 * 1024;

/** The bytes to keep and to send. */
export function packConfiguration(whole: Buffer): Buffer {
  return whole.length < leastPacked ? whole : deflateSync(whole, { level });
}

/** The bytes that were packed; what is no sound zlib stream is given back as it is. */
export function unpackConfiguration(packed: Buffer): Buffer {
  if (packed[0] !== zlibHeader) return packed;
  try {
    return inflateSync(packed, { maxOutputLength: longestConfiguration });
  } catch {
    return packed;
  }
}
