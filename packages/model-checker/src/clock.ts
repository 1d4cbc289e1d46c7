/**
 * Local clocks with bounded drift. A process reads `offset + rate * global`; its timers fire by that clock.
 */

/** How a process's clock relates to the global virtual time, both in microseconds. */
export interface ClockSettings {
  readonly rate: number;
  readonly offset: number;
}

/** The clock's reading at a global time. */
export function localTime(clock: ClockSettings, global: number): number {
  return Math.floor(clock.offset + clock.rate * global);
}

/** The first whole global microsecond at which the clock reads at least `local`. */
export function globalTime(clock: ClockSettings, local: number): number {
  let global = Math.ceil((local - clock.offset) / clock.rate);
  while (localTime(clock, global) < local) global += 1;
  return global;
}
