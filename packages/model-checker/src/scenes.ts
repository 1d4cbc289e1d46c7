/**
 * Short runs written by hand for situations that drawn runs meet too seldom. A scene is a function of the state: it
 * makes its moves when what it waits for has come about.
 */
import type { Scope } from './cluster.js';
import { playRun, type Chooser, type Outcome } from './schedule.js';

export interface Scene {
  readonly name: string;
  readonly scope: Scope;
  readonly seed: number;
  readonly untilUs: number;
  /** A new chooser for each run, as it remembers how far it came. */
  readonly choose: () => Chooser;
}

export const scenes: readonly Scene[] = [];

export function playScene(s: Scene): Promise<Outcome> {
  return playRun({ scope: s.scope, seed: s.seed, untilUs: s.untilUs, choose: s.choose() });
}
