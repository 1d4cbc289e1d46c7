/**
 * Local clocks with a bounded drift. A process reads `offset + rate * global`; its timers come due by that clock.
 */

/** How the clock of one process stands to the global virtual time, both in microseconds. */
export interface ClockSettings {
  readonly rate: number;
  readonly offset: number;
}

/** What the clock shows at a global time. */
export function localTime(clock: ClockSettings, global: number): number {
  return Math.floor(clock.offset + clock.rate * global);
}

/** The first whole global microsecond at which the clock shows at least `local`. */
export function globalTime(clock: ClockSettings, local: number): number {
  let global = Math.ceil((local - clock.offset) / clock.rate);
  while (localTime(clock, global) < local) global += 1;
  return global;
}
