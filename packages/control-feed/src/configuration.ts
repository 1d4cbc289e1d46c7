/**
 * The configuration as control nodes send it to routers.
 *
 * A version alone identifies its bytes; the term under which it was written doesn't have to be compared. A control
 * node sends only rows that it knows to be synced to disk on a majority. The next leader of the key reads a majority
 * before it writes, finds the highest row among them and writes that row again, with the same version and bytes, under
 * its own term; only then does it write the next version. So once a row with version v has been on a majority, every
 * later row of version v has the same bytes. A row of version v with other bytes can only have existed on a minority,
 * and is never sent.
 */

/** The key of the configuration in the control state. */
export const configurationKey = 'paths/main';

/** One version of the configuration. */
export interface Configuration {
  readonly version: number;
  readonly value: Buffer;
}
