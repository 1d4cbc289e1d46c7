// The candidate's side. While a duty seems vacant it calls a round of ballots after a short random
// wait, under an epoch above all it has seen. It counts its tenure from before it asked, and
// renews at a third of it. A holder asks `holds` directly before each order, so that one that was frozen
// finds its tenure gone by the clock; the worker's fence stops what slips past that.
import {
  every,
  micros,
  type Address,
  type DutyMark,
  type MessageOf,
  type ReplicaEntry,
  type World,
} from '@tansypost/inner-protocol';

export interface CandidateOptions {
  readonly duty: string;
  readonly member: string;
  readonly self: Address;
  readonly slot: number;
  readonly tenure: number;
  readonly replicas: () => { membershipEpoch: number; replicas: readonly ReplicaEntry[] };
  readonly willing: () => boolean;
  readonly won: (epoch: number) => void;
  readonly lost: () => void;
}
export interface Candidate {
  readonly holds: () => number | undefined;
  readonly holder: () => DutyMark | undefined;
  readonly vote: (v: MessageOf<'BallotVote'>) => void;
  readonly heard: (d: DutyMark) => void;
  readonly stop: () => void;
}

export function createCandidate(w: World, o: CandidateOptions): Candidate {
  let seen = 0;
  let epoch = 0;
  let until = 0;
  let holding = false;
  let known: DutyMark | undefined;
  let knownAt = -Infinity;
  let round: { id: string; at: number; epoch: number; yes: Set<number>; ended: boolean } | undefined;
  let nextTry = 0;
  let n = 0;

  function holds(): number | undefined {
    if (holding && w.now() >= until) {
      holding = false;
      w.log(3102, { duty: o.duty, epoch });
      o.lost();
    }
    return holding ? epoch : undefined;
  }

  function holder(): DutyMark | undefined {
    if (holds() !== undefined) return { duty: o.duty, holder: o.member, address: o.self, epoch };
    return w.now() - knownAt < o.tenure ? known : undefined;
  }

  function call(e: number): void {
    n += 1;
    const c = o.replicas();
    round = { id: `${o.duty}/${o.member}/${n}`, at: w.now(), epoch: e, yes: new Set(), ended: false };
    for (const p of c.replicas) {
      w.send(p.address as Address, {
        kind: 'Ballot',
        id: round.id,
        from: o.self,
        duty: o.duty,
        candidate: o.member,
        epoch: e,
        membershipEpoch: c.membershipEpoch,
      });
    }
  }

  function tick(): void {
    // A duty that is of no use now is not renewed.
    if (holds() !== undefined) return o.willing() ? call(epoch) : undefined;
    if (!o.willing() || w.now() < nextTry || holder() !== undefined) return;
    nextTry = w.now() + 500_000 + Math.round(w.random() * 1_500_000);
    call((Math.floor(seen / 64) + 1) * 64 + o.slot);
  }

  function vote(v: MessageOf<'BallotVote'>): void {
    if (v.duty !== o.duty) return;
    seen = Math.max(seen, v.epoch);
    if (v.holder !== '' && v.holder !== o.member) {
      heard({ duty: o.duty, holder: v.holder, address: v.address, epoch: v.epoch });
      knownAt = Math.min(knownAt, w.now() - o.tenure + 700_000);
    }
    const r = round;
    if (r === undefined || r.id !== v.id || r.ended || !v.granted) return;
    if (!o.replicas().replicas.some((p) => p.slot === v.slot && p.disk === v.disk)) return;
    r.yes.add(v.slot);
    if (r.yes.size <= o.replicas().replicas.length / 2) return;
    r.ended = true;
    if (w.now() >= r.at + o.tenure) return;
    until = r.at + o.tenure;
    if (!holding) {
      holding = true;
      epoch = r.epoch;
      w.log(3101, { duty: o.duty, epoch });
      o.won(epoch);
    }
  }

  function heard(d: DutyMark): void {
    if (d.duty !== o.duty || d.holder === o.member || d.epoch < (known?.epoch ?? 0)) return;
    seen = Math.max(seen, d.epoch);
    known = d;
    knownAt = w.now();
  }

  const stop = every(w, () => micros(o.tenure / 6), tick);
  return { holds, holder, vote, heard, stop };
}
