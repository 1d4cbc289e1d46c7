/**
 * Random schedules of a first start with stateless seeds: the production bootstrap code of each candidate and the
 * production answers of each seed, with lost, duplicated and late messages, blocked links, restarts of seeds and
 * candidates, and lost disks, each between any two messages. No virtual time passes, so a schedule takes microseconds.
 */
import { createControlGateway, type ControlGateway } from '@tansypost/control-feed';
import { createDiscoveryBootstrap, type DiscoveryBootstrap } from '@tansypost/control-state';
import { createSeededRandom, type Address, type Message, type ReplicaEntry } from '@tansypost/inner-protocol';
import type { Violation } from './quorum-checks.js';

interface InFlight {
  readonly from: Address;
  readonly to: Address;
  readonly message: Message;
}

interface Candidate {
  readonly address: Address;
  disk: string;
  /** Whether its process has not been restarted since the first start of the system. */
  sinceFirstStart: boolean;
  bootstrap: DiscoveryBootstrap;
  record: readonly ReplicaEntry[] | undefined;
}

const seedCount = 3;
const stepsPerSchedule = 160;
const maxInFlight = 24;
/** Probabilities that a step restarts a process; each schedule draws one for seeds and one for candidates. */
const restartProbabilities = [0, 0.02, 0.08] as const;

class BootstrapSchedule {
  private readonly random: () => number;
  private readonly gateways = new Map<Address, ControlGateway>();
  private readonly candidates: Candidate[];
  private readonly blockedLinks = new Set<string>();
  private readonly minMembers: number;
  private readonly seedRestartProbability: number;
  private readonly candidateRestartProbability: number;
  private inFlight: InFlight[] = [];
  private diskCount = 0;
  private violation: Violation | undefined;
  private recordCount = 0;

  constructor(seed: number) {
    this.random = createSeededRandom(seed * 7907 + 3);
    this.minMembers = this.pick([1, 1, 2, 3]);
    this.seedRestartProbability = this.pick(restartProbabilities);
    this.candidateRestartProbability = this.pick(restartProbabilities);
    for (let index = 0; index < seedCount; index += 1) this.startSeed(`s${index}:1` as Address, true);
    const count = this.minMembers + this.below(4);
    this.candidates = Array.from({ length: count }, (_unused, index) => this.candidate(`c${index}:1` as Address));
  }

  /** Plays the schedule; returns the broken rule and how many membership records candidates wrote. */
  play(): { readonly violation: Violation | undefined; readonly records: number } {
    for (let step = 0; step < stepsPerSchedule && this.violation === undefined; step += 1) this.step();
    return { violation: this.violation, records: this.recordCount };
  }

  private step(): void {
    if (this.random() < this.seedRestartProbability) return this.startSeed(this.pick([...this.gateways.keys()]), false);
    if (this.random() < this.candidateRestartProbability)
      return this.restart(this.pick(this.candidates), this.random() < 0.2);
    const draw = this.random();
    if (draw < 0.25) return this.sendJoin(this.pick(this.candidates));
    if (draw < 0.9) return this.deliver();
    if (draw < 0.95) return void this.inFlight.splice(this.below(this.inFlight.length), 1);
    return this.toggleLink();
  }

  private below(limit: number): number {
    return Math.floor(this.random() * limit);
  }

  private pick<T>(items: readonly T[]): T {
    return items[this.below(items.length)]!;
  }

  private startSeed(self: Address, firstStart: boolean): void {
    const gateway = createControlGateway(
      { send: (to, message) => this.send(self, to, message) },
      { self, firstStart, membership: () => ({ membershipEpoch: 0, replicas: [] }) },
    );
    this.gateways.set(self, gateway);
  }

  private newDisk(address: Address): string {
    this.diskCount += 1;
    return `${address}.${this.diskCount}`;
  }

  private candidate(address: Address): Candidate {
    const initial = { address, disk: this.newDisk(address), sinceFirstStart: true, record: undefined };
    const candidate: Candidate = { ...initial, bootstrap: this.createBootstrap(initial) };
    return candidate;
  }

  private createBootstrap(candidate: Pick<Candidate, 'address' | 'disk' | 'sinceFirstStart'>): DiscoveryBootstrap {
    const { address, disk, sinceFirstStart: first } = candidate;
    return createDiscoveryBootstrap({
      self: address,
      diskId: () => disk,
      seeds: Array.from({ length: seedCount }, (_unused, index) => `s${index}:1` as Address),
      mayBootstrap: first,
      minMembers: this.minMembers,
      maxMembers: 9,
    });
  }

  private restart(candidate: Candidate, losesDisk: boolean): void {
    candidate.sinceFirstStart = false;
    if (losesDisk) {
      candidate.disk = this.newDisk(candidate.address);
      candidate.record = undefined;
    }
    candidate.bootstrap = this.createBootstrap(candidate);
  }

  private sendJoin(candidate: Candidate): void {
    if (candidate.record !== undefined) return;
    const { address: from, disk, sinceFirstStart: first } = candidate;
    for (const seed of this.gateways.keys())
      this.send(from, seed, { kind: 'Join', from, disk, first, caughtUp: false });
    const view = candidate.bootstrap.viewMessage();
    for (const to of view?.to ?? []) this.send(from, to, view!.message);
  }

  private send(from: Address, to: Address, message: Message): void {
    this.inFlight.push({ from, to, message });
    if (this.inFlight.length > maxInFlight) this.inFlight.splice(this.below(this.inFlight.length), 1);
  }

  private toggleLink(): void {
    const from = this.pick(this.candidates).address;
    const to = this.pick([...this.gateways.keys()]);
    const link = `${from} ${to}`;
    if (!this.blockedLinks.delete(link)) this.blockedLinks.add(link);
  }

  private deliver(): void {
    const index = this.below(this.inFlight.length);
    const message = this.inFlight[index];
    if (message === undefined) return;
    if (this.random() > 0.1) this.inFlight.splice(index, 1);
    const { from, to } = message;
    if (this.blockedLinks.has(`${from} ${to}`) || this.blockedLinks.has(`${to} ${from}`)) return;
    const gateway = this.gateways.get(to);
    if (gateway !== undefined) return void gateway(message.message, from);
    const candidate = this.candidates.find((each) => each.address === to);
    if (candidate !== undefined) this.receive(candidate, message.message);
  }

  private receive(candidate: Candidate, message: Message): void {
    if (candidate.record !== undefined) return;
    if (message.kind === 'FoundingRoster') candidate.bootstrap.receiveRoster(message);
    if (message.kind === 'FoundingView') candidate.bootstrap.receiveView(message);
    const members = candidate.bootstrap.members();
    if (members === undefined) return;
    candidate.record = members;
    this.check(members);
  }

  private firstRecord: string | undefined;

  private check(members: readonly ReplicaEntry[]): void {
    this.recordCount += 1;
    const record = members.map((member) => member.disk).join(' ');
    if (members.length < this.minMembers)
      this.violation = { rule: 'enough bootstrap members', detail: `${record} are fewer than ${this.minMembers}` };
    this.firstRecord ??= record;
    if (this.firstRecord !== record)
      this.violation = { rule: 'one bootstrap', detail: `${this.firstRecord} bootstrapped, and so did ${record}` };
  }
}

/** The result of playing many schedules. */
export interface BootstrapScheduleResult {
  readonly violation: Violation | undefined;
  readonly seed: number;
  /** The number of schedules in which a cluster was bootstrapped. */
  readonly bootstrapped: number;
}

/** Plays schedules with the seeds 1 to `count` until one breaks a rule. */
export function playBootstrapSchedules(count: number): BootstrapScheduleResult {
  let bootstrapped = 0;
  for (let seed = 1; seed <= count; seed += 1) {
    const { violation, records } = new BootstrapSchedule(seed).play();
    if (records > 0) bootstrapped += 1;
    if (violation !== undefined) return { violation, seed, bootstrapped };
  }
  return { violation: undefined, seed: count, bootstrapped };
}
