/**
 * True time, estimated on a machine whose time of day may be off or jump. Control nodes tell theirs; each is taken as an
 * offset to this machine's monotonic clock, and the estimate is the median of these offsets and that of the machine's
 * own time of day. So clocks that are off change nothing as long as they are fewer than the others.
 */
import type { World } from '@tansypost/inner-protocol';

/** The clocks of the machine itself. */
export interface FleetClockOptions {
  /** Its time of day, in milliseconds since 1970. */
  readonly wallClock: () => number;
}

/** An estimate of true time. */
export interface FleetClock {
  /**
   * A source's time of day, `wall`, in milliseconds since 1970, was read between `askedAt` and `heardAt` of the
   * monotonic clock, in microseconds. Samples that took too long are passed over.
   */
  readonly addSample: (source: string, wall: number, askedAt: number, heardAt: number) => void;
  /**
   * Milliseconds since 1970. It never goes back by less than a second: after a small correction downwards it stands
   * still until true time has caught up, so a window that it has left is not entered again. A larger correction, as
   * after a start with a wrong time of day, takes effect at once, and a window may then be entered twice; what is
   * counted is still counted once, in the window that was given out at that moment.
   */
  readonly now: () => number;
}

/** Sources not heard for so long drop out; in microseconds. */
const sourceKeptFor = 5_000_000;
/** Samples that took longer say too little, as the time may have been read anywhere in between; in microseconds. */
const longestRoundTrip = 500_000;
/** Corrections downwards below this are waited out; in microseconds. */
const largestWait = 1_000_000;
const microsPerMillisecond = 1000;

interface Sample {
  /** True time minus the monotonic clock, in microseconds. */
  readonly offset: number;
  readonly heardAt: number;
}

interface ClockState {
  readonly samples: Map<string, Sample>;
  /** The offset in use, in microseconds. */
  offset: number | undefined;
  /** What was given out last, in microseconds since 1970. */
  given: number;
}

/** Makes a clock that begins with the machine's own time of day. */
export function createFleetClock(world: Pick<World, 'now'>, options: FleetClockOptions): FleetClock {
  const state: ClockState = { samples: new Map(), offset: undefined, given: -Infinity };

  function told(source: string, wall: number, askedAt: number, heardAt: number): void {
    const roundTrip = heardAt - askedAt;
    if (roundTrip < 0 || roundTrip > longestRoundTrip) return;
    const readAt = askedAt + roundTrip / 2;
    state.samples.set(source, { offset: wall * microsPerMillisecond - readAt, heardAt });
  }

  function now(): number {
    const steady = world.now();
    forgetSilent(state, steady);
    state.offset = nextOffset(state, options.wallClock() * microsPerMillisecond - steady);
    const estimate = steady + state.offset;
    const goesBackBy = state.given - estimate;
    if (!(goesBackBy > 0 && goesBackBy < largestWait)) state.given = estimate;
    return Math.floor(state.given / microsPerMillisecond);
  }

  return { addSample: told, now };
}

function forgetSilent(state: ClockState, steady: number): void {
  for (const [source, sample] of state.samples)
    if (steady - sample.heardAt > sourceKeptFor) state.samples.delete(source);
}

/**
 * The offset stays what it was while that is a median; with an even number of sources, all between the middle two are.
 * A machine that hears nobody goes on by its monotonic clock, as its time of day may jump.
 */
function nextOffset(state: ClockState, own: number): number {
  if (state.offset === undefined && state.samples.size === 0) return own;
  if (state.offset !== undefined && state.samples.size === 0) return state.offset;
  const offsets = [own, ...[...state.samples.values()].map((sample) => sample.offset)].sort((a, b) => a - b);
  const lower = offsets[Math.floor((offsets.length - 1) / 2)]!;
  const upper = offsets[Math.floor(offsets.length / 2)]!;
  if (state.offset === undefined) return (lower + upper) / 2;
  return Math.min(Math.max(state.offset, lower), upper);
}
