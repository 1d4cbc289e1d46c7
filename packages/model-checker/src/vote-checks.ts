/** What a vote says must be true of the disk of who gives it. */
import { membershipKey } from '@tansypost/control-state';
import type { Message } from '@tansypost/inner-protocol';
import { membershipOf, type DurableRow, type DurableState } from './durable-state.js';
import type { Violation } from './quorum-checks.js';

type VoteRequest = Extract<Message, { kind: 'Prepare' | 'Accept' }>;
type Vote = Extract<Message, { kind: 'Vote' }>;

const notDurable = 'durable before promised';

/** Remembers what was asked, and looks at the votes for it. */
export class VoteChecks {
  private readonly requests = new Map<string, VoteRequest>();
  /** The highest epoch that each disk has promised for each key by a vote. */
  private readonly promises = new Map<string, number>();

  /** Takes in a request that was sent. */
  observeRequest(request: VoteRequest): void {
    this.requests.set(request.id, request);
  }

  /** Whoever votes is a voting member by its disk, and what its vote promises is synced. */
  findViolation(voter: string, vote: Vote, state: DurableState): Violation | undefined {
    if (!vote.ok || !vote.voting) return undefined;
    if (state.state !== 'voting')
      return { rule: 'who votes', detail: `${voter} voted though its disk says ${state.state}` };
    const request = this.requests.get(vote.id);
    if (request === undefined) return undefined;
    return this.findBrokenPromise(voter, request, state) ?? findUnsynced(voter, request, state);
  }

  /** A disk that has promised an epoch votes for none below it, and one that knows a membership for no older one. */
  private findBrokenPromise(voter: string, request: VoteRequest, state: DurableState): Violation | undefined {
    const { key, epoch } = request;
    const promised = this.promises.get(`${state.disk}/${key}`) ?? 0;
    if (epoch < promised)
      return { rule: 'keeps its promise', detail: `${voter} voted for epoch ${epoch} of ${key} after ${promised}` };
    if (request.kind === 'Prepare') this.promises.set(`${state.disk}/${key}`, epoch);
    const known = membershipOf(state)?.epoch ?? 0;
    if (key === membershipKey || known <= request.membershipEpoch) return undefined;
    return {
      rule: 'refuses old memberships',
      detail: `${voter} voted under ${request.membershipEpoch}, knowing ${known}`,
    };
  }
}

function findUnsynced(voter: string, request: VoteRequest, state: DurableState): Violation | undefined {
  const row = state.rows.get(request.key);
  const promised = row?.promised ?? 0;
  if (promised < request.epoch) {
    const detail = `${voter} voted for epoch ${request.epoch} of ${request.key}, ${promised} synced`;
    return { rule: notDurable, detail: detail };
  }
  return request.kind === 'Accept' ? findMissingValue(voter, request, row) : undefined;
}

function findMissingValue(
  voter: string,
  request: Extract<VoteRequest, { kind: 'Accept' }>,
  row: DurableRow | undefined,
): Violation | undefined {
  const { key, epoch, version, value } = request;
  const holds = row !== undefined && (row.epoch > epoch || row.version >= version);
  if (!holds) return { rule: notDurable, detail: `${voter} voted for version ${version} of ${key} without a sync` };
  const isOther = row.epoch === epoch && row.version === version && !row.value.equals(value);
  if (!isOther) return undefined;
  return { rule: 'accepted what it holds', detail: `${voter} accepted version ${version} of ${key}, holding another` };
}
