/**
 * Compression of the configuration, as stored in the control state and sent to routers. Long configurations are
 * compressed with zlib, since lists of routes are repetitive; others are left as they are. The first byte distinguishes
 * the two forms: no JSON text begins like a zlib stream (RFC 1950). Uncompressed configurations that an earlier release
 * has written can therefore be read too.
 */
import { deflateSync, inflateSync } from 'node:zlib';

/** Shorter configurations aren't compressed: they fit into one or two packets anyway. */
const minCompressedBytes = 2048;
/** A medium level; the higher ones take twice the time to save a few percent. */
const level = 4;
/** First byte of a zlib stream with a window of 32 KB. */
const zlibHeader = 0x78;
/** Maximum size after decompression; more than an operator can submit in one call of the API. */
const maxConfigurationBytes = 64 * 1024 * 1024;

/** Compresses a configuration for storing and sending if it is long; a short one is returned as it is. */
export function packConfiguration(json: Buffer): Buffer {
  return json.length < minCompressedBytes ? json : deflateSync(json, { level });
}

/**
 * Decompresses the result of `packConfiguration`. Returned as they are: bytes that aren't a valid zlib stream, and
 * streams of more than `maxConfigurationBytes` after decompression.
 */
export function unpackConfiguration(packed: Buffer): Buffer {
  if (packed[0] !== zlibHeader) return packed;
  try {
    return inflateSync(packed, { maxOutputLength: maxConfigurationBytes });
  } catch {
    return packed;
  }
}
