/** The operator of a soak test: submits configuration changes one at a time, each until its outcome is known, and reads back. */
import { exchange, type SoakAnswer } from './soak-client.js';
import type { SoakCall, SoakAdapter, SoakMachine } from './soak-adapter.js';

export interface SoakOperator {
  /** Queues one more change; it is sent after those queued before. */
  readonly submitChange: () => void;
  /** Resolves when every queued change is acknowledged or has timed out. */
  readonly whenSettled: () => Promise<void>;
  /** The newest revision that was acknowledged. */
  readonly acknowledged: () => number;
  /** The number of changes that were not acknowledged within the time-out. */
  readonly unresolved: () => number;
  /** Reads the current revision, with retries until the time-out. */
  readonly read: () => Promise<number | undefined>;
}

const changeTimeoutMs = 60_000;
const retryDelayMs = 200;

/** Creates the operator; it calls the machines round-robin. */
export function createSoakOperator(adapter: SoakAdapter, machines: readonly SoakMachine[]): SoakOperator {
  let [revision, acknowledged, unresolved, calls] = [0, 0, 0, 0];
  let queue: Promise<void> = Promise.resolve();

  async function callNext(call: SoakCall): Promise<SoakAnswer | undefined> {
    calls += 1;
    const { answer } = await exchange(machines[calls % machines.length]!.ip, call);
    return answer?.complete === true ? answer : undefined;
  }

  /** Calls the machines round-robin until a response has a definite status, or until the time-out. */
  async function callUntil(call: SoakCall, isDefinite: (status: number) => boolean): Promise<SoakAnswer | undefined> {
    const deadline = performance.now() + changeTimeoutMs;
    while (performance.now() < deadline) {
      const answer = await callNext(call);
      if (answer !== undefined && isDefinite(answer.status)) return answer;
      await new Promise((resolve) => setTimeout(resolve, retryDelayMs));
    }
    return undefined;
  }

  async function sendChange(): Promise<void> {
    revision += 1;
    const answer = await callUntil(
      adapter.change(revision, acknowledged),
      (status) => status === 200 || status === 412,
    );
    if (answer?.status === 200) acknowledged = revision;
    else unresolved += 1;
  }

  async function read(): Promise<number | undefined> {
    const answer = await callUntil(adapter.read, (status) => status === 200);
    return answer === undefined ? undefined : adapter.revisionOf(answer.body);
  }

  return {
    submitChange: () => {
      queue = queue.then(sendChange);
    },
    whenSettled: () => queue,
    acknowledged: () => acknowledged,
    unresolved: () => unresolved,
    read,
  };
}
