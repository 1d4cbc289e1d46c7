/**
 * A request that is forwarded as it was received, with what its headers say about the prompt. Times are whole
 * microseconds.
 */

import type { KeyDigest } from '@tansypost/paths';

/** A part of a prompt that may be shared with other requests. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** One request of a client. */
export interface IncomingRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly host: string;
  /** Names and values in alternation, as received, without hop-by-hop headers and without credentials. */
  readonly headers: readonly string[];
  /** The headers that carry credentials, forwarded where the route table has no tenants; undefined once removed. */
  readonly credentialHeaders?: readonly string[] | undefined;
  /** Digest of the API key in the credentials, where they contain one. */
  readonly keyDigest?: KeyDigest | undefined;
  /** The authenticated tenant on whose behalf the request runs; never taken from what the client claims. */
  readonly tenant?: string | undefined;
  readonly body: Buffer;
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The leading segments of the prompt, in order; the last one belongs to this request or its session alone. */
  readonly promptSegments: readonly PromptSegment[];
  /** How long the client waits, from arrival. */
  readonly timeout: number;
  /** The last event that the client has received, where it resumes a stream. */
  readonly lastEventId: number | undefined;
}
