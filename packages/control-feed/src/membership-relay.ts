/**
 * Relays the replicas of the control cluster from a control gateway to its seeds. A seed that is itself a gateway knows
 * only its own seeds after a restart, and control nodes may be configured with other seeds, so that they don't announce
 * themselves to it. A change is relayed soon, and repeated with an exponentially growing interval.
 */
import { every, micros, type Address, type ReplicaEntry, type World } from '@tansypost/inner-protocol';

/** Options of the relay. */
export interface MembershipRelayOptions {
  readonly self: Address;
  readonly seeds: () => readonly Address[];
  /** The replicas as last received by this machine; the epoch is 0 while it knows none. */
  readonly membership: () => { readonly membershipEpoch: number; readonly replicas: readonly ReplicaEntry[] };
}

const checkIntervalUs = 500_000;
const minRelayIntervalUs = 1_000_000;
const maxRelayIntervalUs = 120_000_000;
/**
 * A check comes after 0.5 to 1.5 times the interval, so that machines that start together don't send at the same time.
 */
const checkJitter = 0.5;

/** Relays to the seeds until the returned function is called. */
export function startMembershipRelay(world: World, options: MembershipRelayOptions): () => void {
  let lastState = '';
  let nextRelayAt = 0;
  let relayInterval = minRelayIntervalUs;

  function check(): void {
    const { membershipEpoch, replicas } = options.membership();
    if (membershipEpoch === 0) return;
    const members = new Set<string>(replicas.map((replica) => replica.address));
    const seeds = options.seeds().filter((seed) => seed !== options.self && !members.has(seed));
    restartIfChanged(`${membershipEpoch} ${seeds.join(' ')}`);
    if (world.now() < nextRelayAt) return;
    nextRelayAt = world.now() + relayInterval;
    relayInterval = Math.min(2 * relayInterval, maxRelayIntervalUs);
    for (const seed of seeds) world.send(seed, { kind: 'News', news: [], membershipEpoch, replicas: [...replicas] });
  }

  /**
   * If the replicas or the seeds have changed, the next relay is due now and the interval starts again at its minimum.
   */
  function restartIfChanged(state: string): void {
    if (state === lastState) return;
    lastState = state;
    nextRelayAt = world.now();
    relayInterval = minRelayIntervalUs;
  }

  function nextCheckDelay(): number {
    return checkIntervalUs * (1 - checkJitter + 2 * checkJitter * world.random());
  }

  return every(world, () => micros(nextCheckDelay()), check);
}
