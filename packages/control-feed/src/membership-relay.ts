/**
 * Passes on where the replicas of the control cluster are, from a machine that serves control without holding its state
 * to the seeds that it knows. A seed of that kind which was restarted knows nobody but its own seeds; control nodes may
 * have been given others. What this machine knows is told soon, and then more and more seldom.
 */
import { every, micros, type Address, type ReplicaEntry, type World } from '@tansypost/inner-protocol';

/** Whom the relay tells, and what. */
export interface MembershipRelayOptions {
  readonly self: Address;
  readonly seeds: () => readonly Address[];
  /** The replicas as this machine last heard of them; the epoch is 0 as long as it knows of none. */
  readonly membership: () => { readonly membershipEpoch: number; readonly replicas: readonly ReplicaEntry[] };
}

const lookEvery = 500_000;
const firstPause = 1_000_000;
const longestPause = 120_000_000;
/** Each look comes after 0.5 to 1.5 of its period, so that machines that start together do not tell at once. */
const lookSpread = 0.5;

/** Tells the seeds until it is stopped. */
export function startMembershipRelay(world: World, options: MembershipRelayOptions): () => void {
  let told = '';
  let tellAt = 0;
  let pause = firstPause;

  function look(): void {
    const { membershipEpoch, replicas } = options.membership();
    if (membershipEpoch === 0) return;
    const members = new Set<string>(replicas.map((replica) => replica.address));
    const seeds = options.seeds().filter((seed) => seed !== options.self && !members.has(seed));
    startAnewIfChanged(`${membershipEpoch} ${seeds.join(' ')}`);
    if (world.now() < tellAt) return;
    tellAt = world.now() + pause;
    pause = Math.min(2 * pause, longestPause);
    for (const seed of seeds) world.send(seed, { kind: 'News', news: [], membershipEpoch, replicas: [...replicas] });
  }

  function startAnewIfChanged(current: string): void {
    if (current === told) return;
    told = current;
    tellAt = world.now();
    pause = firstPause;
  }

  function nextLook(): number {
    return lookEvery * (1 - lookSpread + 2 * lookSpread * world.random());
  }

  return every(world, () => micros(nextLook()), look);
}
