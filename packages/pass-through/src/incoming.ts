/** A request that is passed on as it came, with what its head says about the prompt. Times are whole microseconds. */

import type { KeyDigest } from '@tansypost/paths';

export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}
export interface IncomingRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly host: string;
  // Names and values in turn, as they came, without those of one connection and without its credentials.
  readonly headers: readonly string[];
  // The heads that bear credentials, to be passed on where the route table has no tenants; undefined once they are withheld.
  readonly credentialHeaders?: readonly string[] | undefined;
  // Of the API key that the credentials hold, where they hold one.
  readonly keyDigest?: KeyDigest | undefined;
  // The tenant on whose behalf it is run; never what its sender claims.
  readonly tenant?: string | undefined;
  readonly body: Buffer;
  // The whole prompt, and the most tokens of the answer.
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  // What the prompt opens with, in order; the last part belongs to this request alone or to its session.
  readonly promptSegments: readonly PromptSegment[];
  // How long its requester waits, from its arrival.
  readonly timeout: number;
  // The last event that its requester has, where it takes up a stream.
  readonly lastEventId: number | undefined;
}
