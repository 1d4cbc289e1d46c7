/**
 * Runs of several virtual minutes with learning: a model is trained from routers' samples, rehearsed, and goes live on all
 * routers; a rehearsal detects a harmful model; the control node that holds the learning roles is killed.
 */
import { expect, it } from 'vitest';
import { encodeMessage, type Message } from '@tansypost/inner-protocol';
import { rehearsalRecordKey } from '@tansypost/learning';
import { modelHash, type Model } from '@tansypost/placement';
import { decodeRehearsalRecord, verdictDefaults, type RehearsalRecord } from '@tansypost/rehearsal';
import type { LearningTerms } from './ground.js';
import { passedDeployments } from './passed-deployment.js';
import { playPassedOne, type PassedOne } from './passed-one.js';
import type { PassedTrouble } from './passed-troubles.js';

interface Observation {
  readonly day: PassedOne;
  readonly records: { readonly at: number; readonly record: RehearsalRecord }[];
  /** Each record that was proposed to the replicas. */
  readonly written: RehearsalRecord[];
  readonly holders: { readonly at: number; readonly who: string; readonly duty: string }[];
}
async function play(
  learning: LearningTerms,
  span: number,
  troubles: readonly PassedTrouble[] = [],
  rate = 1.4,
  sent?: (m: Message) => void,
): Promise<Observation> {
  const records: Observation['records'] = [];
  const written: Observation['written'] = [];
  const holders: Observation['holders'] = [];
  const day = await playPassedOne(passedDeployments['cold-storage']!, 5, {
    troubles,
    closing: 'none',
    replicas: 3,
    span,
    rate,
    learning,
    // Verdicts of such short runs depend on the random draw; this one is with a new connection per request.
    keptConnections: 0,
    net: (n) =>
      n.intercept((m) => {
        sent?.(m);
        if (m.kind === 'Accept' && m.key === rehearsalRecordKey) written.push(decodeRehearsalRecord(m.value));
        return undefined;
      }),
    look: (at, core) => {
      for (const m of core.running()) {
        const r = m.host?.controlNode()?.replica.row(rehearsalRecordKey);
        if (r !== undefined && r.version > 0) records.push({ at, record: decodeRehearsalRecord(r.value) });
        for (const duty of (m.learning?.metrics()['holds'] ?? []) as string[]) holders.push({ at, who: m.name, duty });
      }
    },
  });
  return { day, records, written, holders };
}
function invertModel(m: Model): Model {
  const { weights, biases } = m.predictor;
  return {
    ...m,
    scaling: { ...m.scaling, low: m.scaling.low.map(() => -1e9), high: m.scaling.high.map(() => 1e9) },
    predictor: {
      ...m.predictor,
      weights: weights.map((x, k) => (k === weights.length - 1 ? x.map((y) => -y) : x)),
      biases: biases.map((x, k) => (k === biases.length - 1 ? x.map((y) => -y) : x)),
    },
  };
}

it('trains, rehearses and activates a model on all routers although the control node that holds the roles dies twice', async () => {
  const kills = [30, 100];
  // Wide margins, as the test is about the process and not about the quality of the model.
  const verdict = { ...verdictDefaults, ttftMargin: 0.3, tokenMargin: 0.3 };
  const x = await play(
    { samplesPerTraining: 300, treatmentShare: 0.25, verdict },
    240,
    kills.map((at) => ({ at, do: 'keeper-kill', for: 14, who: 0 })),
  );
  expect(x.day.breaches).toEqual([]);
  for (const at of kills) {
    const held = x.holders.filter((h) => h.duty === 'rehearsals');
    expect(held.find((h) => h.at === at - 1)?.who).toBe('c0');
    expect(held.find((h) => h.at > at && h.who !== 'c0')?.at).toBeLessThan(at + 12);
  }
  // Some states last less than the second between two observations, so all written records are evaluated.
  const stages = x.written.flatMap((record) => (record.running === undefined ? [] : [record.running.state]));
  expect(new Set(stages)).toEqual(new Set(['running', 'passed', 'watched']));
  const live = x.records.at(-1)!.record.live!.hash;
  for (const f of x.day.figures) {
    expect(f['learning']).toMatchObject({ live: live.slice(0, 8) });
    expect((f['counts'] as Record<string, number>)['reader scored']).toBeGreaterThan(100);
  }
});

it('ends the rehearsal of a model that prefers the slowest worker as harmful, and never activates it', async () => {
  const sent = { models: 0, trained: new Set<string>() };
  // Enough samples for the model to know the worst worker, and a treatment share that shows the harm within the run.
  const x = await play(
    { samplesPerTraining: 900, treatmentShare: 0.5, trust: Infinity, spoil: invertModel },
    100,
    [],
    3.5,
    (m) => {
      if (m.kind !== 'Accept' || !m.key.startsWith('blob/')) return;
      sent.models += 1;
      sent.trained.add(modelHash(Buffer.from(m.value)));
    },
  );
  expect(x.day.breaches).toEqual([]);
  const ended = x.records.at(-1)!.record.ended;
  expect(ended.map((e) => e.outcome)).toContain('harmful');
  expect(x.records.every((r) => r.record.live === undefined)).toBe(true);
  // A model is sent to each other replica once, and again only to one that has not acknowledged it.
  expect(sent.models).toBeLessThanOrEqual(3 * sent.trained.size);
});

it('sends only samples in a short run, and starts no election', async () => {
  const kinds = new Map<string, number>();
  const x = await play({ samplesPerTraining: 1000, treatmentShare: 0.2 }, 20, [], 1.4, (m) => {
    kinds.set(m.kind, (kinds.get(m.kind) ?? 0) + encodeMessage(m).length);
  });
  expect(x.day.breaches).toEqual([]);
  expect(kinds.get('Samples')).toBeGreaterThan(0);
  expect(kinds.get('Samples')).toBeLessThan(15_000);
  for (const k of ['Arms', 'Ballot', 'BallotVote']) expect(kinds.get(k)).toBeUndefined();
});
