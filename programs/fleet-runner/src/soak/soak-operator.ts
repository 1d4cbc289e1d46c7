/** The operator of a soak: sends changes one after the other, each until its outcome is clear, and reads back. */
import { exchange, type SoakAnswer } from './soak-client.js';
import type { SoakCall, SoakAdapter, SoakMachine } from './soak-adapter.js';

export interface SoakOperator {
  /** Orders one more change; it is sent after those that were ordered before. */
  readonly submitChange: () => void;
  /** When all that was ordered is acknowledged or given up. */
  readonly whenSettled: () => Promise<void>;
  /** The newest revision that was acknowledged. */
  readonly acknowledged: () => number;
  /** Changes that got no clear answer in their time. */
  readonly unresolved: () => number;
  /** The revision that is read back, asked again until one comes or the time is over. */
  readonly read: () => Promise<number | undefined>;
}

const changePatienceMs = 60_000;
const pauseMs = 200;

/** Makes the operator; it calls the machines in turn. */
export function createSoakOperator(dialect: SoakAdapter, machines: readonly SoakMachine[]): SoakOperator {
  let [revision, acknowledged, unclear, turn] = [0, 0, 0, 0];
  let queue: Promise<void> = Promise.resolve();

  async function callNext(call: SoakCall): Promise<SoakAnswer | undefined> {
    turn += 1;
    const { answer } = await exchange(machines[turn % machines.length]!.ip, call);
    return answer?.complete === true ? answer : undefined;
  }

  /** Calls one machine after the other until `isClear`, or until the patience is over. */
  async function callUntil(call: SoakCall, isClear: (status: number) => boolean): Promise<SoakAnswer | undefined> {
    const giveUpAt = performance.now() + changePatienceMs;
    while (performance.now() < giveUpAt) {
      const answer = await callNext(call);
      if (answer !== undefined && isClear(answer.status)) return answer;
      await new Promise((again) => setTimeout(again, pauseMs));
    }
    return undefined;
  }

  async function change(): Promise<void> {
    revision += 1;
    const answer = await callUntil(
      dialect.change(revision, acknowledged),
      (status) => status === 200 || status === 412,
    );
    if (answer?.status === 200) acknowledged = revision;
    else unclear += 1;
  }

  async function read(): Promise<number | undefined> {
    const answer = await callUntil(dialect.read, (status) => status === 200);
    return answer === undefined ? undefined : dialect.revisionOf(answer.body);
  }

  return {
    submitChange: () => {
      queue = queue.then(change);
    },
    whenSettled: () => queue,
    acknowledged: () => acknowledged,
    unresolved: () => unclear,
    read,
  };
}
