// A round asks all places one thing and counts their votes: won with a majority that says yes, lost when no
// majority can any more, when one shows that a higher epoch was promised, or when time runs out. A vote
// counts only if it comes from the disk that the core record names for that place. A place that starts anew
// names its rounds anew, as votes for those before may still come.
import type { Address, Cancel, Message, MessageOf, World } from '@tansypost/inner-protocol';
import { micros } from '@tansypost/inner-protocol';
import { majorityOf } from './core-record.js';
import type { Replica } from './place.js';

export type AskVote = MessageOf<'Prepare' | 'Accept' | 'Check'>;
export interface RoundResult {
  readonly won: boolean;
  readonly votes: readonly MessageOf<'Vote'>[];
}
export interface RoundOptions {
  readonly make: (id: string) => AskVote;
  readonly without?: number;
  readonly patience?: number;
  // Told of the votes that come after the round was won.
  readonly late?: (v: MessageOf<'Vote'>) => void;
}
export interface Rounds {
  readonly start: (o: RoundOptions, done: (r: RoundResult) => void) => void;
  readonly vote: (v: MessageOf<'Vote'>) => void;
}

interface Round {
  readonly votes: Map<number, MessageOf<'Vote'>>;
  readonly o: RoundOptions;
  readonly ask: AskVote;
  readonly end: (won: boolean) => void;
}

const lateFor = 1_000_000;

export function createRounds(w: World, replica: Replica): Rounds {
  const run = Math.floor(w.random() * 2 ** 40).toString(36);
  const open = new Map<string, Round>();
  const late = new Map<string, (v: MessageOf<'Vote'>) => void>();
  let n = 0;

  function start(o: RoundOptions, done: (r: RoundResult) => void): void {
    n += 1;
    const id = `${replica.diskId().slice(0, 8)}/${run}/${n}`;
    const ask = o.make(id);
    const membershipEpoch = replica.membership().membershipEpoch;
    const votes = new Map<number, MessageOf<'Vote'>>();
    const limit = w.now() + (o.patience ?? 1_500_000);
    let cancel: Cancel | undefined;
    function end(won: boolean): void {
      if (!open.delete(id)) return;
      cancel?.();
      if (won && o.late !== undefined && votes.size < replica.membership().replicas.length) {
        late.set(id, o.late);
        w.after(micros(lateFor), () => late.delete(id));
      }
      done({ won, votes: [...votes.values()] });
    }
    open.set(id, { votes, o, ask, end });
    function beat(): void {
      if (!open.has(id)) return;
      if (w.now() >= limit || replica.membership().membershipEpoch !== membershipEpoch || replica.state() !== 'voting')
        return end(false);
      for (const p of replica.membership().replicas) {
        if (votes.has(p.slot)) continue;
        if (p.slot === replica.slot) replica.vote(ask, vote);
        else w.send(p.address as Address, ask as Message);
      }
      if (open.has(id)) cancel = w.after(micros(200_000), beat);
    }
    beat();
  }

  function vote(v: MessageOf<'Vote'>): void {
    const r = open.get(v.id);
    const p = replica.membership().replicas.find((x) => x.slot === v.slot);
    if (p === undefined || p.disk !== v.disk || !v.voting) return;
    if (r === undefined) return late.get(v.id)?.(v);
    if (v.slot === r.o.without) return;
    r.votes.set(v.slot, v);
    const vs = [...r.votes.values()];
    const yes = vs.filter((x) => x.ok);
    const all = replica.membership().replicas.length;
    if (yes.length >= majorityOf(all)) return r.end(true);
    if (vs.length - yes.length > all - majorityOf(all)) return r.end(false);
    if (r.ask.kind === 'Prepare' && vs.some((x) => !x.ok && x.promised > r.ask.epoch)) r.end(false);
  }
  return { start, vote };
}
