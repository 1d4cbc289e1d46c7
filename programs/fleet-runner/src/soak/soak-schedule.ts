/** Draws what happens in a soak: series of signals, restarts and changes that overlap. The same seed draws the same. */
import { createSeededRandom } from '@tansypost/inner-protocol';

/** One thing that happens. What ends is started again soon after. `who` tells which machine, as a share from 0 to 1 of those it may be. */
export type SoakStep =
  /** SIGTERM; the machine is started again when its process has ended. */
  | { readonly at: number; readonly do: 'stop'; readonly who: number }
  /** SIGTERM to a machine whose process may be stopping already. */
  | { readonly at: number; readonly do: 'stop-again'; readonly who: number }
  | { readonly at: number; readonly do: 'reload'; readonly who: number }
  | { readonly at: number; readonly do: 'kill'; readonly who: number }
  | { readonly at: number; readonly do: 'change' }
  /** The settings of all machines name three others as seeds, drawn by `who`. */
  | { readonly at: number; readonly do: 'seeds'; readonly who: number }
  | { readonly at: number; readonly do: 'kill-all' };

/** The shape of a soak's schedule. */
export interface SoakScheduleOptions {
  readonly seed: number;
  /** How long troubles come, in milliseconds. */
  readonly durationMs: number;
  /** How many machines there are; a series may go round all of them. */
  readonly machines: number;
}

const seriesShortestGap = 40;
const seriesGapSpread = 300;

/** The steps in the order of their times, in milliseconds from the start of the traffic. */
export function drawSoakSchedule(options: SoakScheduleOptions): SoakStep[] {
  const random = createSeededRandom(options.seed * 7919 + 3);
  const steps: SoakStep[] = [];

  function series(length: number, step: (at: number) => SoakStep): void {
    const gap = seriesShortestGap + seriesGapSpread * random();
    const from = 0.7 * options.durationMs * random();
    for (let n = 0; n < length && from + n * gap < options.durationMs; n += 1) steps.push(step(from + n * gap));
  }
  function some(most: number): number {
    return 1 + Math.floor(most * random());
  }

  series(options.machines, (at) => ({ at, do: 'stop', who: random() }));
  series(some(options.machines), (at) => ({ at, do: 'stop', who: random() }));
  series(some(options.machines), (at) => ({ at, do: 'stop-again', who: random() }));
  series(some(options.machines), (at) => ({ at, do: 'reload', who: random() }));
  series(some(20), (at) => ({ at, do: 'change' }));
  if (random() < 0.6) series(some(2), (at) => ({ at, do: 'seeds', who: random() }));
  if (random() < 0.5) series(some(3), (at) => ({ at, do: 'kill', who: random() }));
  if (random() < 0.5) steps.push({ at: options.durationMs, do: 'kill-all' });
  return steps.sort((a, b) => a.at - b.at);
}
