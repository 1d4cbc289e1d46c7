/**
 * Estimates true time on a machine whose time of day may be wrong or jump. Control nodes report their time of day; each is
 * converted to an offset from this machine's monotonic clock, and the estimate is the median of these offsets and that of
 * the machine's own time of day. Wrong clocks therefore have no effect as long as they are a minority.
 */
import type { World } from '@tansypost/inner-protocol';

/** Dependencies of the clock. */
export interface FleetClockOptions {
  /** This machine's time of day, in milliseconds since 1970. */
  readonly wallClock: () => number;
}

/** An estimate of true time. */
export interface FleetClock {
  /**
   * Adds a source's time of day, `wall`, in milliseconds since 1970, that was read between `sentAt` and `receivedAt` of this
   * machine's monotonic clock, in microseconds. Samples with too long a round trip are ignored.
   */
  readonly addSample: (source: string, wall: number, sentAt: number, receivedAt: number) => void;
  /**
   * Returns milliseconds since 1970. It never goes back by less than a second: after a small backward correction it stands
   * still until true time has caught up, so that a window which has ended is not entered again. A larger correction, for
   * example after a start with a wrong time of day, takes effect at once. A window may then be entered twice, but each
   * request is still counted once, in the window that was current when it was counted.
   */
  readonly now: () => number;
}

/** Samples older than this are dropped. */
const sourceRetentionUs = 5_000_000;
/** Samples with a longer round trip are too inaccurate, as the time may have been read at any moment in between. */
const maxRoundTripUs = 500_000;
/** For backward corrections smaller than this the clock stands still instead of going back. */
const maxStandstillUs = 1_000_000;
const microsPerMillisecond = 1000;

interface Sample {
  /** True time minus the monotonic clock, in microseconds. */
  readonly offset: number;
  readonly receivedAt: number;
}

interface ClockState {
  readonly samples: Map<string, Sample>;
  /** The current offset, in microseconds. */
  offset: number | undefined;
  /** The time returned last, in microseconds since 1970. */
  lastReturned: number;
}

/** Creates a clock that starts with the machine's own time of day. */
export function createFleetClock(world: Pick<World, 'now'>, options: FleetClockOptions): FleetClock {
  const state: ClockState = { samples: new Map(), offset: undefined, lastReturned: -Infinity };

  function addSample(source: string, wall: number, sentAt: number, receivedAt: number): void {
    const roundTrip = receivedAt - sentAt;
    if (roundTrip < 0 || roundTrip > maxRoundTripUs) return;
    const readAt = sentAt + roundTrip / 2;
    state.samples.set(source, { offset: wall * microsPerMillisecond - readAt, receivedAt });
  }

  function now(): number {
    const monotonic = world.now();
    dropExpiredSamples(state, monotonic);
    state.offset = nextOffset(state, options.wallClock() * microsPerMillisecond - monotonic);
    const estimate = monotonic + state.offset;
    const backwardStep = state.lastReturned - estimate;
    if (!(backwardStep > 0 && backwardStep < maxStandstillUs)) state.lastReturned = estimate;
    return Math.floor(state.lastReturned / microsPerMillisecond);
  }

  return { addSample, now };
}

function dropExpiredSamples(state: ClockState, monotonic: number): void {
  for (const [source, sample] of state.samples)
    if (monotonic - sample.receivedAt > sourceRetentionUs) state.samples.delete(source);
}

/**
 * The offset is unchanged while it is still a median; with an even number of sources, any value between the middle two is
 * one. Without any samples the machine continues by its monotonic clock, as its time of day may jump.
 */
function nextOffset(state: ClockState, ownOffset: number): number {
  if (state.offset === undefined && state.samples.size === 0) return ownOffset;
  if (state.offset !== undefined && state.samples.size === 0) return state.offset;
  const offsets = [ownOffset, ...[...state.samples.values()].map((sample) => sample.offset)].sort((a, b) => a - b);
  const lower = offsets[Math.floor((offsets.length - 1) / 2)]!;
  const upper = offsets[Math.floor(offsets.length / 2)]!;
  if (state.offset === undefined) return (lower + upper) / 2;
  return Math.min(Math.max(state.offset, lower), upper);
}
