/**
 * The answers of a control gateway: a machine that serves control but has no replica. Processes contact it because they
 * have it among their seeds. A follower is sent the replicas that the gateway knows, and a request to join is forwarded
 * to them. A replica that is bootstrapping a cluster is told not to wait for the gateway. While the gateway knows no
 * replica, the machines with disks that ask to join are sent the list of all of them. It neither grants nor refuses
 * anything itself.
 */
import type { Address, BootstrapCandidate, Message, MessageOf, ReplicaEntry, World } from '@tansypost/inner-protocol';

/** Options of a control gateway. */
export interface ControlGatewayOptions {
  readonly self: Address;
  /** The replicas of the control cluster as last received by this machine. */
  readonly membership: () => { readonly membershipEpoch: number; readonly replicas: readonly ReplicaEntry[] };
  /**
   * Whether this process has run since the first start of the whole system, so that its list of candidates is
   * complete.
   */
  readonly firstStart: boolean;
}

/** A machine that isn't on the list can't bootstrap a cluster, so it is safe to list no more than this. */
const maxCandidates = 256;

/** Handles a message; returns whether it was for a control node. */
export type ControlGateway = (message: Message, from: Address) => boolean;

/** Creates a gateway that answers with the current result of `membership`. */
export function createControlGateway(world: Pick<World, 'send'>, options: ControlGatewayOptions): ControlGateway {
  const candidates = new Map<string, BootstrapCandidate>();

  function sendMembership(request: MessageOf<'Follow'>, from: Address): void {
    const { membershipEpoch, replicas } = options.membership();
    if (membershipEpoch <= request.membershipEpoch) return;
    world.send(from, { kind: 'News', news: [], membershipEpoch, replicas: [...replicas] });
  }

  /** A machine of the first start stays on the list for as long as this process runs, even if the machine fails. */
  function sendCandidates(request: MessageOf<'Join'>): void {
    const { from: address, disk } = request;
    if (request.first && candidates.size < maxCandidates) candidates.set(`${address} ${disk}`, { address, disk });
    world.send(address as Address, {
      kind: 'FoundingRoster',
      from: options.self,
      firstStart: options.firstStart,
      candidates: [...candidates.values()],
    });
  }

  /** Forwards the request; the replicas answer the machine that asks to join directly. */
  function forwardJoin(request: MessageOf<'Join'>): void {
    if (options.membership().membershipEpoch === 0) return sendCandidates(request);
    for (const { address } of options.membership().replicas)
      if (address !== request.from) world.send(address as Address, request);
  }

  return function receive(message, from) {
    switch (message.kind) {
      case 'Follow':
        sendMembership(message, from);
        return true;
      case 'Join':
        forwardJoin(message);
        return true;
      case 'ReplicaHello':
        world.send(message.from as Address, { kind: 'HoldsNoState', from: options.self });
        return true;
      default:
        return false;
    }
  };
}
