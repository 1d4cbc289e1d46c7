/** Guards of the duties' log and runner, each with the edits that take it away. */
import type { Mutation } from '../mutations.js';
import { scopeKinds } from './scope.js';

/** A guard taken away, and the kind of schedules that show it. */
export interface DutyMutation extends Mutation {
  readonly kind: (typeof scopeKinds)[keyof typeof scopeKinds];
}

const task = 'packages/duty-log/src/duty-task.ts';
const runner = 'packages/duty-log/src/duty-runner.ts';
const record = 'packages/duty-log/src/duty-record.ts';

const { fencesChecked, fencesUnchecked, leasesOverlap } = scopeKinds;

function removed(kind: DutyMutation['kind'], name: string, file: string, from: string, to: string): DutyMutation {
  return { kind, name, file, edits: [{ from, to }] };
}

/** All guards that are taken away. */
export const dutyMutations: readonly DutyMutation[] = [
  removed(
    fencesChecked,
    'a call is made after its intent is written',
    task,
    'if (next.record !== term.record && !(await commit(state, term, next))) return false;',
    'if (next.record !== term.record) void commit(state, term, next);\n  term.record = next.record;',
  ),
  removed(
    fencesChecked,
    'a successor finishes the open intents with their content',
    task,
    'const ownRecord: DutyRecord = { ...record, term:',
    'const ownRecord: DutyRecord = { ...record, open: [], term:',
  ),
  removed(
    leasesOverlap,
    'the fence is the version of the write of the term',
    runner,
    'port: options.port,',
    'port: { call: (call) => options.port.call({ ...call, fence: candidate.heldEpoch() ?? 0 }) },',
  ),
  removed(
    leasesOverlap,
    'a write is on top of the version known',
    task,
    'options.record.write(term.version, encodeDutyRecord(next.record));',
    'options.record.write((await options.record.read())?.version ?? 0, encodeDutyRecord(next.record));',
  ),
  removed(
    fencesChecked,
    'a call is made only while the lease outlasts the pause between holders',
    runner,
    'candidate.heldEpochFor(minLeaseLeft) !== undefined',
    'candidate.heldEpoch() !== undefined',
  ),
  removed(
    fencesUnchecked,
    'the lease is looked at right before a call',
    task,
    'if (intent === undefined || !state.options.canCall() ||',
    'if (intent === undefined ||',
  ),
  {
    kind: leasesOverlap,
    name: 'a higher fence seen ends the term',
    file: task,
    edits: [
      {
        from: "if (outcome === 'fenced') return handleFenced(state, term, subject);",
        to: "if (outcome === 'fenced') return state.backoff.recordFailure(subject);",
      },
    ],
  },
  removed(
    fencesChecked,
    'only duties that allow it are overtaken',
    record,
    'const replaced = maySupersede ? sameSubject : [];',
    'const replaced = sameSubject;',
  ),
  removed(
    fencesChecked,
    'the record is read again after a write without an answer',
    task,
    'term.needsReread = true;\n    return false;',
    'term.version += 1;\n    term.record = next.record;\n    return true;',
  ),
  removed(
    leasesOverlap,
    "another's term in the record ends one's own",
    task,
    'if (record.term?.id === id) return false;',
    'if (record.term !== null) return false;',
  ),
  removed(
    leasesOverlap,
    'a node that lost its term to another stands back',
    task,
    'state.holdOffUntil = state.world.now() + state.options.holdOffDuration;',
    'state.holdOffUntil = state.world.now();',
  ),
  removed(
    fencesUnchecked,
    'a lost lease ends the terms',
    runner,
    'onElected: endAllTerms,\n    onLeaseLost: endAllTerms,',
    'onElected: () => undefined,\n    onLeaseLost: () => undefined,',
  ),
  {
    kind: leasesOverlap,
    name: 'a call without an answer is repeated',
    file: task,
    edits: [
      {
        from: "if (outcome === 'busy' || outcome === 'unknown') return backoff",
        to: "if (outcome === 'busy') return backoff",
      },
      { from: "outcome === 'busy' || outcome === 'unknown') return;", to: "outcome === 'busy') return;" },
      { from: 'term.unrecordedOutcomes.set(id, outcome);', to: "term.unrecordedOutcomes.set(id, 'accepted');" },
    ],
  },
  removed(
    fencesChecked,
    'calls for one subject are made in order',
    task,
    'find((intent) => backoff.isElapsed(intent.subject))',
    'findLast((intent) => backoff.isElapsed(intent.subject))',
  ),
  removed(
    fencesChecked,
    'a new order after one without an answer gets a higher fence',
    task,
    "if (outcome === 'unknown') term.uncertainSubjects.add(subject);",
    '',
  ),
  removed(
    fencesChecked,
    'calls are paced',
    task,
    '|| !state.options.rateLimiter.tryAcquire()) return false;',
    ') return false;',
  ),
];
