// The state-keeper without its sockets and files: the keys' core and, beside it, the voter for duties.
// The epochs of duties live as rows of the same file that no owner writes.
import { createKeeper, type Keeper, type KeeperOptions } from '@tansypost/control-state';
import { createVoter } from '@tansypost/duty';
import type { Address, Message, World } from '@tansypost/inner-protocol';

export interface KeeperCoreOptions extends KeeperOptions {
  readonly dutyTenure: number;
}

export function createKeeperCore(w: World, o: KeeperCoreOptions): Keeper {
  const k = createKeeper(w, o);
  const voter = createVoter(w, {
    slot: () => k.place.slot,
    disk: k.place.diskId,
    voting: () => k.place.state() === 'voting',
    votingSince: k.place.votingSince,
    gen: () => k.place.core().gen,
    tenure: o.dutyTenure,
    store: {
      epoch: (d) => k.place.row(`~ballot/${d}`).promised,
      keep: (d, epoch, done) => k.place.keep(`~ballot/${d}`, { ...k.place.row(`~ballot/${d}`), promised: epoch }, done),
    },
  });
  function receive(m: Message, from: Address): void {
    if (m.kind === 'Ballot') voter.ballot(m, (v) => w.send(m.from as Address, v));
    else k.receive(m, from);
  }
  return { ...k, receive };
}
