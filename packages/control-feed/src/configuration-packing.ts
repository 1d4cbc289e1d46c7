/**
 * Compression of the configuration, as stored in the control state and sent to routers. Long configurations are
 * deflated, since lists of routes are repetitive; others are left as they are. The first byte distinguishes the two
 * forms: no JSON text begins like a zlib stream (RFC 1950). So configurations written by an earlier release can be
 * read too.
 */
import { deflateSync, inflateSync } from 'node:zlib';

/** Shorter configurations aren't compressed: they fit into one or two packets anyway. */
const minCompressedBytes = 2048;
/** A medium level; the higher ones take twice the time to save a few percent. */
const level = 4;
/** First byte of a zlib stream with a window of 32 KB. */
const zlibHeader = 0x78;
/** Limit of decompression; more than an operator can submit in one call. */
const maxConfigurationBytes = 64 * 1024 * 1024;

/** Returns the form to store and to send. */
export function packConfiguration(whole: Buffer): Buffer {
  return whole.length < minCompressedBytes ? whole : deflateSync(whole, { level });
}

/** Reverses `packConfiguration`; bytes that aren't a valid zlib stream are returned as they are. */
export function unpackConfiguration(packed: Buffer): Buffer {
  if (packed[0] !== zlibHeader) return packed;
  try {
    return inflateSync(packed, { maxOutputLength: maxConfigurationBytes });
  } catch {
    return packed;
  }
}
