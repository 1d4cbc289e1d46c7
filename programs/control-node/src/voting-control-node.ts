/**
 * The control-node without its sockets and files: the keys' core and, beside it, the voter for duties.
 * The epochs of duties live as rows of the same file that no owner writes.
 */
import { createControlNode, type ControlNode, type ControlNodeOptions } from '@tansypost/control-state';
import { createVoter } from '@tansypost/duty';
import type { Address, Message, World } from '@tansypost/inner-protocol';

export interface VotingControlNodeOptions extends ControlNodeOptions {
  readonly roleLeaseUs: number;
}

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
      epoch: (d) => node.replica.row(`~ballot/${d}`).promised,
      save: (d, epoch, done) =>
        node.replica.putRow(`~ballot/${d}`, { ...node.replica.row(`~ballot/${d}`), promised: epoch }, [], done),
    },
  });
  function receive(m: Message, from: Address): void {
    if (m.kind === 'Ballot') voter.requestVote(m, (v) => world.send(m.from as Address, v));
    else node.receive(m, from);
  }
  return { ...node, receive };
}
