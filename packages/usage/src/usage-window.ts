/** Windows of true time: window k starts k window lengths after the start of 1970 (the Unix epoch). */

/** The window that contains `time`, in milliseconds since 1970; the length is in milliseconds. */
export function windowOf(time: number, windowLength: number): number {
  return Math.floor(time / windowLength);
}

/** The end of a window, in milliseconds since 1970. */
export function windowEnd(window: number, windowLength: number): number {
  return (window + 1) * windowLength;
}
