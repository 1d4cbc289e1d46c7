/**
 * The control node without its sockets and files: the replica of the control state, and the voter for elections of
 * singleton roles. The epochs of these roles are stored as rows of the same file, which no key leader writes.
 */
import { createControlNode, type ControlNode, type ControlNodeOptions } from '@tansypost/control-state';
import { createVoter } from '@tansypost/duty';
import type { Address, Message, World } from '@tansypost/inner-protocol';

/** Settings of the node; `roleLeaseUs` is the lease of the leader of a singleton role. */
export interface VotingControlNodeOptions extends ControlNodeOptions {
  readonly roleLeaseUs: number;
}

/** Creates a control node that also votes in elections of singleton roles. */
export function createVotingControlNode(world: World, options: VotingControlNodeOptions): ControlNode {
  const node = createControlNode(world, options);
  const voter = createVoter(world, {
    slot: () => node.replica.slot,
    diskId: node.replica.diskId,
    isVoting: () => node.replica.state() === 'voting',
    votingSince: node.replica.votingSince,
    membershipEpoch: () => node.replica.membership().membershipEpoch,
    leaseDuration: options.roleLeaseUs,
    store: {
      epoch: (role) => node.replica.row(`~ballot/${role}`).promised,
      save: (role, epoch, done) =>
        node.replica.putRow(`~ballot/${role}`, { ...node.replica.row(`~ballot/${role}`), promised: epoch }, [], done),
    },
  });
  function receive(message: Message, from: Address): void {
    if (message.kind === 'Ballot') voter.requestVote(message, (vote) => world.send(message.from as Address, vote));
    else node.receive(message, from);
  }
  return { ...node, receive };
}
