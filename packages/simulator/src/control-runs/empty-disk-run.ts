/**
 * Point 3, beyond the fault budget: one member is outdated because messages to it are lost, another loses its disk, and
 * the only complete copy freezes at some moment of the repair or exactly when the repaired member votes for the first
 * time. Nothing served in that state may be outdated, and nothing may be lost once the complete copy is back.
 */
import { configurationKey } from '@tansypost/control-feed';
import type { ControlBreach } from './control-history.js';
import { checkControlInvariants } from './control-invariants.js';
import { createControlRun } from './control-run.js';
import { memberNames } from './partition-run.js';

export interface EmptyDiskRunOptions {
  readonly seed: number;
  /** Whether the empty disk returns at the address of the lost one or on a new machine. */
  readonly replacement: 'same address' | 'successor';
}

const missedUpdates = 3;
const updateTimeoutMs = 4000;
const freezeDurationMs = 5000;
const maxRepairMs = 2500;
const copyDelayUs = 400_000;
const recoveryTimeoutMs = 8000;
const readIntervalMs = 40;

/** Plays one such loss with constant reads through the outdated and the returned machine. */
export async function playEmptyDiskRun(options: EmptyDiskRunOptions): Promise<readonly ControlBreach[]> {
  const names = memberNames(3);
  const run = await createControlRun(options.seed, names);
  const { cluster } = run;
  await cluster.run(1000);
  async function requireUpdate(nodes: readonly string[], timeoutMs: number, when: string): Promise<void> {
    if (
      (await run.waitFor(
        run.submitChange(() => nodes, timeoutMs),
        timeoutMs + updateTimeoutMs,
      )) !== true
    )
      run.breaches.push({ check: 'majorityVotes', what: `seed ${options.seed}: no update acknowledged ${when}` });
  }
  await requireUpdate(names, updateTimeoutMs, 'at the start');
  // The leader holds what it writes, so the outdated member is a different one.
  const leader = cluster.leaders()[0] ?? names[0]!;
  const [outdated, third] = names.filter((name) => name !== leader) as [string, string];
  const [lost, complete] = cluster.random() < 0.5 ? [leader, third] : [third, leader];
  const returned = options.replacement === 'successor' ? 'n0' : lost;
  cluster.network.intercept((message, from, to) => {
    const carriesValue = (message.kind === 'Accept' && message.key === configurationKey) || message.kind === 'CopyPage';
    if (carriesValue && to === outdated) return [];
    // Values from the complete copy are delayed, so for a while the empty disk has at most an outdated copy.
    return carriesValue && to === returned && from === complete ? [{ message, delayUs: copyDelayUs }] : undefined;
  });
  for (let i = 0; i < missedUpdates; i += 1)
    await requireUpdate([lost, complete], updateTimeoutMs, 'by two of three members');

  run.wipe(lost);
  if (options.replacement === 'successor') cluster.add(returned);
  cluster.start(returned, false, [...new Set([returned, ...names])]);
  const state = { reading: true };
  async function read(node: string): Promise<void> {
    while (state.reading) {
      await run.get(node);
      await run.sleep(readIntervalMs);
    }
  }
  const readers = [read(returned), read(outdated)];
  // Odd seeds freeze at the first vote, when the empty disk must hold a copy; even seeds at a random moment.
  if (options.seed % 2 === 0) await cluster.run(maxRepairMs * cluster.random());
  else
    for (let waited = 0; waited < maxRepairMs && !cluster.voting().includes(returned); waited += 1)
      await cluster.run(1);
  run.freeze(complete);
  await cluster.run(freezeDurationMs);
  run.resume(complete);
  cluster.network.intercept(undefined);
  await requireUpdate([complete, outdated], recoveryTimeoutMs, 'after the complete copy returned');
  state.reading = false;
  await run.waitFor(Promise.all(readers), updateTimeoutMs);
  return [...run.breaches, ...checkControlInvariants(run.history)];
}
