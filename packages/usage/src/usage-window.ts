/** Windows of true time: window k begins k times the window's length after the beginning of 1970. */

/** The window in which a time lies; both are in milliseconds, the time since 1970. */
export function windowOf(time: number, windowLength: number): number {
  return Math.floor(time / windowLength);
}

/** When a window ends, in milliseconds since 1970. */
export function windowEnd(window: number, windowLength: number): number {
  return (window + 1) * windowLength;
}
