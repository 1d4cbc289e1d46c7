/** Draws the schedule of a soak test: overlapping bursts of signals, restarts and changes. It depends on the seed alone. */
import { createSeededRandom } from '@tansypost/inner-protocol';

/** One step. A process that exits is restarted soon after. `who` selects the machine, as a position from 0 to 1 among the candidates. */
export type SoakStep =
  /** SIGTERM; the process is restarted after its exit. */
  | { readonly at: number; readonly do: 'stop'; readonly who: number }
  /** SIGTERM to a machine whose process may be stopping already. */
  | { readonly at: number; readonly do: 'stop-again'; readonly who: number }
  | { readonly at: number; readonly do: 'reload'; readonly who: number }
  | { readonly at: number; readonly do: 'kill'; readonly who: number }
  | { readonly at: number; readonly do: 'change' }
  /** Changes the seeds in the settings of all machines to three machines selected by `who`. */
  | { readonly at: number; readonly do: 'seeds'; readonly who: number }
  | { readonly at: number; readonly do: 'kill-all' };

/** The parameters of a schedule. */
export interface SoakScheduleOptions {
  readonly seed: number;
  /** How long faults are injected, in milliseconds. */
  readonly durationMs: number;
  /** The number of machines; a burst may reach all of them. */
  readonly machines: number;
}

const minGapMs = 40;
const gapSpreadMs = 300;

/** The steps in order; `at` is in milliseconds from the start of the traffic. */
export function drawSoakSchedule(options: SoakScheduleOptions): SoakStep[] {
  const random = createSeededRandom(options.seed * 7919 + 3);
  const steps: SoakStep[] = [];

  function addBurst(stepCount: number, step: (at: number) => SoakStep): void {
    const gapMs = minGapMs + gapSpreadMs * random();
    const startMs = 0.7 * options.durationMs * random();
    for (let index = 0; index < stepCount && startMs + index * gapMs < options.durationMs; index += 1)
      steps.push(step(startMs + index * gapMs));
  }
  function drawCount(maximum: number): number {
    return 1 + Math.floor(maximum * random());
  }

  addBurst(options.machines, (at) => ({ at, do: 'stop', who: random() }));
  addBurst(drawCount(options.machines), (at) => ({ at, do: 'stop', who: random() }));
  addBurst(drawCount(options.machines), (at) => ({ at, do: 'stop-again', who: random() }));
  addBurst(drawCount(options.machines), (at) => ({ at, do: 'reload', who: random() }));
  addBurst(drawCount(20), (at) => ({ at, do: 'change' }));
  if (random() < 0.6) addBurst(drawCount(2), (at) => ({ at, do: 'seeds', who: random() }));
  if (random() < 0.5) addBurst(drawCount(3), (at) => ({ at, do: 'kill', who: random() }));
  if (random() < 0.5) steps.push({ at: options.durationMs, do: 'kill-all' });
  return steps.sort((left, right) => left.at - right.at);
}
