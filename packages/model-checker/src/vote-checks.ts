/** Checks that each vote is backed by the voter's disk. */
import { membershipKey } from '@tansypost/control-state';
import type { Message } from '@tansypost/inner-protocol';
import { membershipOf, type DurableRow, type DurableState } from './durable-state.js';
import type { Violation } from './quorum-checks.js';

type VoteRequest = Extract<Message, { kind: 'Prepare' | 'Accept' }>;
type Vote = Extract<Message, { kind: 'Vote' }>;

const notDurable = 'durable before promised';

/** Records quorum requests and checks the votes for them. */
export class VoteChecks {
  private readonly requests = new Map<string, VoteRequest>();
  /** The highest epoch that each disk has promised in a vote, by disk and key. */
  private readonly promises = new Map<string, number>();

  /** Records a request that was sent. */
  observeRequest(request: VoteRequest): void {
    this.requests.set(request.id, request);
  }

  /** Checks that the voter's disk says that it is a voting member, and that what its vote promises is synced. */
  findViolation(voter: string, vote: Vote, state: DurableState): Violation | undefined {
    if (!vote.ok || !vote.voting) return undefined;
    if (state.state !== 'voting')
      return { rule: 'only voting replicas vote', detail: `${voter} voted, but its disk is in state ${state.state}` };
    const request = this.requests.get(vote.id);
    if (request === undefined) return undefined;
    return this.findBrokenPromise(voter, request, state) ?? findUnsynced(voter, request, state);
  }

  /** A disk never votes for an epoch below one that it has promised, nor under a membership older than the one it knows. */
  private findBrokenPromise(voter: string, request: VoteRequest, state: DurableState): Violation | undefined {
    const { key, epoch } = request;
    const promised = this.promises.get(`${state.disk}/${key}`) ?? 0;
    if (epoch < promised)
      return {
        rule: 'keeps its promise',
        detail: `${voter} voted for epoch ${epoch} of ${key} after promising ${promised}`,
      };
    if (request.kind === 'Prepare') this.promises.set(`${state.disk}/${key}`, epoch);
    const known = membershipOf(state)?.epoch ?? 0;
    if (key === membershipKey || known <= request.membershipEpoch) return undefined;
    return {
      rule: 'refuses old memberships',
      detail: `${voter} voted under membership ${request.membershipEpoch}, but knows ${known}`,
    };
  }
}

function findUnsynced(voter: string, request: VoteRequest, state: DurableState): Violation | undefined {
  const row = state.rows.get(request.key);
  const promised = row?.promised ?? 0;
  if (promised < request.epoch) {
    const detail = `${voter} voted for epoch ${request.epoch} of ${request.key}, but only ${promised} is synced`;
    return { rule: notDurable, detail };
  }
  return request.kind === 'Accept' ? findMissingValue(voter, request, row) : undefined;
}

function findMissingValue(
  voter: string,
  request: Extract<VoteRequest, { kind: 'Accept' }>,
  row: DurableRow | undefined,
): Violation | undefined {
  const { key, epoch, version, value } = request;
  const isAtLeastAsNew = row !== undefined && (row.epoch > epoch || row.version >= version);
  if (!isAtLeastAsNew)
    return { rule: notDurable, detail: `${voter} voted for version ${version} of ${key} before it was synced` };
  const isConflicting = row.epoch === epoch && row.version === version && !row.value.equals(value);
  if (!isConflicting) return undefined;
  return {
    rule: 'accepted value is stored',
    detail: `${voter} accepted version ${version} of ${key}, but stores a different value`,
  };
}
