/**
 * What a machine says that serves control and holds none of its state. A router or a replica that knows it from its
 * seeds is shown to the replicas that this machine follows; a replica that would found a cluster with it is told not to
 * wait for it; machines with disks that ask to join while no replica is known are told of each other. It confirms nothing
 * and refuses nothing by itself.
 */
import type { Address, BootstrapCandidate, Message, MessageOf, ReplicaEntry, World } from '@tansypost/inner-protocol';

export interface ControlGatewayOptions {
  readonly self: Address;
  /** The replicas of the control cluster as this machine last heard of them. */
  readonly membership: () => { readonly membershipEpoch: number; readonly replicas: readonly ReplicaEntry[] };
  /** Whether this process was started by the first start of the whole system, so that it has forgotten nobody. */
  readonly firstStart: boolean;
}

/** A machine that is not listed cannot found a cluster, so a full list is safe. */
const mostCandidates = 256;

/** Takes in a message and says whether it was meant for a control node. */
export type ControlGateway = (message: Message, from: Address) => boolean;

/** A guide that answers with what `membership` gives at that moment. */
export function createControlGateway(world: Pick<World, 'send'>, options: ControlGatewayOptions): ControlGateway {
  const candidates = new Map<string, BootstrapCandidate>();

  function showMembers(question: MessageOf<'Follow'>, from: Address): void {
    const { membershipEpoch, replicas } = options.membership();
    if (membershipEpoch <= question.membershipEpoch) return;
    world.send(from, { kind: 'News', news: [], membershipEpoch, replicas: [...replicas] });
  }

  /** A machine of the first start is listed for as long as this process runs, whatever becomes of it. */
  function tellOfCandidates(request: MessageOf<'Join'>): void {
    const { from: address, disk } = request;
    if (request.first && candidates.size < mostCandidates) candidates.set(`${address} ${disk}`, { address, disk });
    world.send(address as Address, {
      kind: 'FoundingRoster',
      from: options.self,
      firstStart: options.firstStart,
      candidates: [...candidates.values()],
    });
  }

  /** The replicas answer the machine that asks to join, as it would have asked them. */
  function passOnJoin(request: MessageOf<'Join'>): void {
    if (options.membership().membershipEpoch === 0) return tellOfCandidates(request);
    for (const { address } of options.membership().replicas)
      if (address !== request.from) world.send(address as Address, request);
  }

  return function receive(message, from) {
    switch (message.kind) {
      case 'Follow':
        showMembers(message, from);
        return true;
      case 'Join':
        passOnJoin(message);
        return true;
      case 'ReplicaHello':
        world.send(message.from as Address, { kind: 'HoldsNoState', from: options.self });
        return true;
      default:
        return false;
    }
  };
}
