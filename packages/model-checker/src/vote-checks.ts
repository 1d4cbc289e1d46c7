/** What a vote says must be true of the disk of who gives it. */
import type { Message } from '@tansypost/inner-protocol';
import type { DurableRow, DurableState } from './durable-state.js';
import type { Violation } from './quorum-checks.js';

type VoteRequest = Extract<Message, { kind: 'Prepare' | 'Accept' }>;
type Vote = Extract<Message, { kind: 'Vote' }>;

const notDurable = 'durable before promised';

/** Remembers what was asked, and looks at the votes for it. */
export class VoteChecks {
  private readonly requests = new Map<string, VoteRequest>();

  /** Takes in a request that was sent. */
  asked(request: VoteRequest): void {
    this.requests.set(request.id, request);
  }

  /** Whoever votes is a voting member by its disk, and what its vote promises is synced. */
  find(voter: string, vote: Vote, state: DurableState): Violation | undefined {
    if (!vote.ok || !vote.voting) return undefined;
    if (state.state !== 'voting')
      return { rule: 'who votes', what: `${voter} voted though its disk says ${state.state}` };
    const request = this.requests.get(vote.id);
    if (request === undefined) return undefined;
    const row = state.rows.get(request.key);
    const promised = row?.promised ?? 0;
    if (promised < request.epoch) {
      const what = `${voter} voted for epoch ${request.epoch} of ${request.key}, ${promised} synced`;
      return { rule: notDurable, what };
    }
    return request.kind === 'Accept' ? findMissingValue(voter, request, row) : undefined;
  }
}

function findMissingValue(
  voter: string,
  request: Extract<VoteRequest, { kind: 'Accept' }>,
  row: DurableRow | undefined,
): Violation | undefined {
  const { key, epoch, version, value } = request;
  const holds = row !== undefined && (row.epoch > epoch || row.version >= version);
  if (!holds) return { rule: notDurable, what: `${voter} voted for version ${version} of ${key} without a sync` };
  const isOther = row.epoch === epoch && row.version === version && !row.value.equals(value);
  if (!isOther) return undefined;
  return { rule: 'accepted what it holds', what: `${voter} accepted version ${version} of ${key}, holding another` };
}
