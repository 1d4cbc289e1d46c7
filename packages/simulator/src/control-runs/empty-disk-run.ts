/**
 * Point 3, beyond the fault budget: messages to one member get lost, so that it is behind, another one loses its disk, and
 * at some moment of its repair, or just as it votes, the only complete copy freezes. Whatever is served then must not be old, and once the
 * complete copy is back nothing is lost.
 */
import { configurationKey } from '@tansypost/control-feed';
import type { ControlBreach } from './control-history.js';
import { checkControlInvariants } from './control-invariants.js';
import { createControlRun } from './control-run.js';
import { memberNames } from './partition-run.js';

export interface EmptyDiskRunOptions {
  readonly seed: number;
  /** Whether the empty disk is back at the address of the lost one, or on a new machine. */
  readonly replacement: 'same address' | 'successor';
}

const changesBehind = 3;
const orderWithin = 4000;
const frozenFor = 5000;
const longestRepair = 2500;
const copyTime = 400_000;
const recoverWithin = 8000;
const pauseBetweenReads = 40;

/** Plays one such loss, with reads through every machine all the time. */
export async function playEmptyDiskRun(o: EmptyDiskRunOptions): Promise<readonly ControlBreach[]> {
  const names = memberNames(3);
  const run = await createControlRun(o.seed, names);
  const { cluster } = run;
  await cluster.run(1000);
  async function mustChange(nodes: readonly string[], within: number, when: string): Promise<void> {
    if (
      (await run.waitFor(
        run.submitChange(() => nodes, within),
        within + orderWithin,
      )) !== true
    )
      run.breaches.push({ check: 'majorityVotes', what: `seed ${o.seed}: no order taken ${when}` });
  }
  await mustChange(names, orderWithin, 'at first');
  // The leader has what it writes, so the one that is behind is another.
  const leader = cluster.leaders()[0] ?? names[0]!;
  const [behind, third] = names.filter((n) => n !== leader) as [string, string];
  const [lost, complete] = cluster.random() < 0.5 ? [leader, third] : [third, leader];
  const back = o.replacement === 'successor' ? 'n0' : lost;
  cluster.network.intercept((m, from, to) => {
    const tellsValue = (m.kind === 'Accept' && m.key === configurationKey) || m.kind === 'CopyPage';
    if (tellsValue && to === behind) return [];
    // What the complete copy tells comes late, so there is a moment in which the empty disk has at most an old copy.
    return tellsValue && to === back && from === complete ? [{ message: m, delayUs: copyTime }] : undefined;
  });
  for (let i = 0; i < changesBehind; i += 1) await mustChange([lost, complete], orderWithin, 'by two of three');

  run.wipe(lost);
  if (o.replacement === 'successor') cluster.add(back);
  cluster.start(back, false, [...new Set([back, ...names])]);
  const state = { reading: true };
  async function read(node: string): Promise<void> {
    while (state.reading) {
      await run.get(node);
      await run.sleep(pauseBetweenReads);
    }
  }
  const readers = [read(back), read(behind)];
  // At its first vote the empty disk must hold a copy; any other moment is drawn.
  if (o.seed % 2 === 0) await cluster.run(longestRepair * cluster.random());
  else
    for (let waited = 0; waited < longestRepair && !cluster.voting().includes(back); waited += 1) await cluster.run(1);
  run.freeze(complete);
  await cluster.run(frozenFor);
  run.resume(complete);
  cluster.network.intercept(undefined);
  await mustChange([complete, behind], recoverWithin, 'after the complete copy came back');
  state.reading = false;
  await run.waitFor(Promise.all(readers), orderWithin);
  return [...run.breaches, ...checkControlInvariants(run.history)];
}
