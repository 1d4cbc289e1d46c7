/**
 * The configuration that the agent feeds to the router. The desired state and the rehearsal record only ever move to a
 * higher version, models are identified by hash, and the feed lease says whether this router may handle requests at all.
 * A lease runs from the time of this router's own request for it, by this router's clock.
 */
import * as E from 'fp-ts/lib/Either.js';
import type { Micros, MessageOf, KeyUpdate } from '@tansypost/inner-protocol';
import { checkDesiredState, type DesiredState } from '@tansypost/desired-state';
import { decodeModel, predictTtft, type Model } from '@tansypost/placement';
import { emptyRecord, decodeRehearsalRecord, type ModelRef, type RehearsalRecord } from '@tansypost/rehearsal';

/** Settings of the feed. */
export interface ConfigurationFeedOptions {
  readonly service: string;
  readonly leaseDurationUs: number;
  readonly now: () => Micros;
  readonly log: (event: number, fields: Record<string, unknown>) => void;
}
/** The configuration in force at this router. */
export interface ConfigurationFeed {
  readonly receive: (message: MessageOf<'Feed'>) => void;
  readonly hasLease: () => boolean;
  readonly appliedVersion: () => number;
  readonly desiredState: () => DesiredState | undefined;
  readonly rehearsalRecord: () => RehearsalRecord;
  readonly model: (reference: ModelRef | undefined) => Model | undefined;
  readonly heldVersions: () => { key: string; epoch: number; version: number }[];
  readonly otherRouters: () => readonly string[];
}

/** Creates a feed that holds nothing yet and no lease. */
export function createConfigurationFeed(options: ConfigurationFeedOptions): ConfigurationFeed {
  const updates = new Map<string, KeyUpdate>();
  const models = new Map<string, Model>();
  let leaseUntil = -Infinity;
  let grantedRequestAt = -Infinity;
  let receivedAt = -Infinity;
  let agentInContact = false;
  let wasLeased = false;
  let reportedModel = '';
  let desiredState: DesiredState | undefined;
  let version = 0;
  let rehearsalRecord = emptyRecord;
  let otherRouters: readonly string[] = [];
  const desiredKey = `desired/${options.service}`;

  function receive(message: MessageOf<'Feed'>): void {
    for (const update of message.news) {
      if (update.version <= 0) continue;
      const previous = updates.get(update.key);
      if (
        previous !== undefined &&
        (update.version < previous.version || (update.version === previous.version && update.epoch <= previous.epoch))
      )
        continue;
      const unchanged = previous !== undefined && previous.version === update.version;
      updates.set(update.key, update);
      if (!unchanged) apply(update);
    }
    for (const grant of message.grants) {
      if (grant.version !== version) continue;
      leaseUntil = Math.max(leaseUntil, grant.asked + options.leaseDurationUs);
      grantedRequestAt = Math.max(grantedRequestAt, grant.asked);
    }
    receivedAt = options.now();
    agentInContact = message.contact;
    if (message.others.length > 0) otherRouters = message.others;
    prepareModels();
    hasLease();
  }

  // Decodes the models of the record before a request needs them, and runs each a few times so that the JIT compiler has
  // optimized it by then.
  function prepareModels(): void {
    const subject = rehearsalRecord.running?.subject;
    for (const reference of [rehearsalRecord.live, subject?.type === 'model' ? subject.model : undefined]) {
      if (reference === undefined || models.has(reference.hash)) continue;
      const decoded = findModel(reference);
      if (decoded === undefined) continue;
      const rows = Array.from({ length: 12 }, () => new Float32Array(decoded.predictor.sizes[0]!));
      for (let run = 0; run < 3; run += 1) predictTtft(decoded, rows);
    }
  }

  function apply(update: KeyUpdate): void {
    if (update.key === desiredKey) {
      const checked = checkDesiredState(JSON.parse(update.value.toString()));
      if (E.isLeft(checked)) return;
      desiredState = checked.right;
      version = update.version;
      options.log(5003, { version, epoch: update.epoch, change: 'desired' });
    } else if (update.key === `rehearsal/${options.service}`) {
      rehearsalRecord = decodeRehearsalRecord(update.value);
    }
    for (const hash of models.keys()) {
      const subject = rehearsalRecord.running?.subject;
      if (
        hash !== rehearsalRecord.live?.hash &&
        hash !== rehearsalRecord.before?.hash &&
        !(subject?.type === 'model' && subject.model.hash === hash)
      )
        models.delete(hash);
    }
  }

  // Besides the lease, the worker states must be current: the agent has sent them just now, and either the control cluster
  // has answered by way of the zone leader or the agent is in contact with at least half of the members that it knows.
  // Otherwise this machine may have missed that a worker is leaving.
  function hasLease(): boolean {
    const now = options.now();
    const current = now - receivedAt < 1_500_000 && (now - grantedRequestAt < 1_500_000 || agentInContact);
    const leased = now < leaseUntil && current;
    if (leased !== wasLeased) options.log(leased ? 5001 : 5002, { version });
    wasLeased = leased;
    return leased;
  }

  function findModel(reference: ModelRef | undefined): Model | undefined {
    if (reference === undefined) return undefined;
    const cached = models.get(reference.hash);
    if (cached !== undefined) return cached;
    const blob = updates.get(reference.blob);
    if (blob === undefined) return undefined;
    const decoded = decodeModel(blob.value, reference.hash);
    if (E.isLeft(decoded)) {
      if (reportedModel !== `${reference.hash}/${blob.version}`)
        options.log(4004, { version: reference.version, hash: reference.hash, blob: reference.blob });
      reportedModel = `${reference.hash}/${blob.version}`;
      return undefined;
    }
    models.set(reference.hash, decoded.right);
    options.log(4002, { version: reference.version, hash: reference.hash });
    return decoded.right;
  }

  return {
    receive,
    hasLease,
    model: findModel,
    appliedVersion: () => version,
    desiredState: () => desiredState,
    rehearsalRecord: () => rehearsalRecord,
    heldVersions: () =>
      [...updates.values()].map((update) => ({ key: update.key, epoch: update.epoch, version: update.version })),
    otherRouters: () => otherRouters,
  };
}
