/**
 * The windows for which usage is reported. They divide true time, which a process estimates as the median of several
 * machines' clocks (fleet-clock.ts): window k starts k window lengths after the start of 1970 (the Unix epoch).
 */

/** The number of the window that contains `time`, in milliseconds since 1970; the length is in milliseconds. */
export function windowOf(time: number, windowLength: number): number {
  return Math.floor(time / windowLength);
}

/** The end (exclusive) of the window with this number, in milliseconds since 1970; the length is in milliseconds. */
export function windowEnd(window: number, windowLength: number): number {
  return (window + 1) * windowLength;
}
