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

export function createVotingControlNode(w: World, o: VotingControlNodeOptions): ControlNode {
  const k = createControlNode(w, o);
  const voter = createVoter(w, {
    slot: () => k.replica.slot,
    diskId: k.replica.diskId,
    isVoting: () => k.replica.state() === 'voting',
    votingSince: k.replica.votingSince,
    membershipEpoch: () => k.replica.membership().membershipEpoch,
    leaseDuration: o.roleLeaseUs,
    store: {
      epoch: (d) => k.replica.row(`~ballot/${d}`).promised,
      save: (d, epoch, done) =>
        k.replica.putRow(`~ballot/${d}`, { ...k.replica.row(`~ballot/${d}`), promised: epoch }, [], done),
    },
  });
  function receive(m: Message, from: Address): void {
    if (m.kind === 'Ballot') voter.requestVote(m, (v) => w.send(m.from as Address, v));
    else k.receive(m, from);
  }
  return { ...k, receive };
}
