/**
 * The configuration as it travels from control nodes to routers.
 *
 * A version alone names its bytes; the epoch under which it was written need not be compared. A control node tells
 * only what it knows to be on a majority of synced disks. Whoever leads the key next reads a majority before it writes,
 * finds the highest row among them and writes that row again, with the same version and bytes, under its own epoch;
 * only then does it write the next version. So once any row with version v has been on a majority, every later row of
 * version v has the same bytes, and one with other bytes can have existed only on a minority, which is never told.
 */

/** The key of the control state under which the configuration stands. */
export const configurationKey = 'paths/main';

/** One version of the configuration. */
export interface Configuration {
  readonly version: number;
  readonly value: Buffer;
}
