/** Mutations of the duty log and runner, each of which removes one guard. */
import type { Mutation } from '../mutations.js';
import { scopeKinds } from './scope.js';

/** A guard and the edits that remove it, with the kind of schedules that detect the removal. */
export interface DutyMutation extends Mutation {
  readonly kind: (typeof scopeKinds)[keyof typeof scopeKinds];
}

const task = 'packages/duty-log/src/duty-task.ts';
const runner = 'packages/duty-log/src/duty-runner.ts';
const record = 'packages/duty-log/src/duty-record.ts';

const { fencesChecked, fencesUnchecked, leasesOverlap } = scopeKinds;

function singleEdit(kind: DutyMutation['kind'], name: string, file: string, from: string, to: string): DutyMutation {
  return { kind, name, file, edits: [{ from, to }] };
}

/** All mutations. */
export const dutyMutations: readonly DutyMutation[] = [
  singleEdit(
    fencesChecked,
    'a call is made after its intent is written',
    task,
    'if (next.record !== term.record && !(await commit(state, term, next))) return false;',
    'if (next.record !== term.record) void commit(state, term, next);\n  term.record = next.record;',
  ),
  singleEdit(
    fencesChecked,
    'a successor finishes the open intents with their content',
    task,
    'const ownRecord: DutyRecord = { ...record, term:',
    'const ownRecord: DutyRecord = { ...record, open: [], term:',
  ),
  singleEdit(
    leasesOverlap,
    'the fence is the version of the write of the term',
    runner,
    'port: options.port,',
    'port: { call: (call) => options.port.call({ ...call, fence: candidate.heldEpoch() ?? 0 }) },',
  ),
  singleEdit(
    leasesOverlap,
    'a write is on top of the version known',
    task,
    'options.record.write(term.version, encodeDutyRecord(next.record));',
    'options.record.write((await options.record.read())?.version ?? 0, encodeDutyRecord(next.record));',
  ),
  singleEdit(
    fencesChecked,
    'a call is made only while the lease outlasts the pause between holders',
    runner,
    'candidate.heldEpochFor(minLeaseLeft) !== undefined',
    'candidate.heldEpoch() !== undefined',
  ),
  singleEdit(
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
  singleEdit(
    fencesChecked,
    'only duties that allow it are overtaken',
    record,
    'const replaced = maySupersede ? sameSubject : [];',
    'const replaced = sameSubject;',
  ),
  singleEdit(
    fencesChecked,
    'the record is read again after a write without an answer',
    task,
    'term.needsReread = true;\n    return false;',
    'term.version += 1;\n    term.record = next.record;\n    return true;',
  ),
  singleEdit(
    leasesOverlap,
    "another's term in the record ends one's own",
    task,
    'if (record.term?.id === id) return false;',
    'if (record.term !== null) return false;',
  ),
  singleEdit(
    leasesOverlap,
    'a node that lost its term to another stands back',
    task,
    'state.holdOffUntil = state.world.now() + state.options.holdOffDuration;',
    'state.holdOffUntil = state.world.now();',
  ),
  singleEdit(
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
  singleEdit(
    fencesChecked,
    'calls for one subject are made in order',
    task,
    'find((intent) => backoff.isElapsed(intent.subject))',
    'findLast((intent) => backoff.isElapsed(intent.subject))',
  ),
  singleEdit(
    fencesChecked,
    'a new order after one without an answer gets a higher fence',
    task,
    "if (outcome === 'unknown') term.uncertainSubjects.add(subject);",
    '',
  ),
  singleEdit(
    fencesChecked,
    'calls are paced',
    task,
    '|| !state.options.rateLimiter.tryAcquire()) return false;',
    ') return false;',
  ),
];
