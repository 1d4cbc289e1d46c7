/** The stage client of one control node process in the simulation: worker reports, and orders to change the stage. */
import type { ListedWorker } from '@tansypost/control-feed';
import { hash32, createSeededRandom } from '@tansypost/inner-protocol';
import type { OrderOutcome, StageOrder, WorkerStageClient } from '@tansypost/worker-stages';
import { deliver, type SimProcess } from '../process.js';
import type { Ground } from './ground.js';
import { createPipe } from './pipe.js';
import type { VirtualWorkers } from './virtual-workers.js';
import type { WorkerLife } from './virtual-worker.js';

/** Response timeout. Messages that a partition still holds up then are lost, as the connection is reset. */
const responseTimeoutUs = 400_000;
const outcomes: { readonly [status: number]: OrderOutcome } = {
  200: 'holds',
  202: 'accepted',
  409: 'busy',
  412: 'fenced',
  421: 'other',
};

/** Creates the stage client of the control node process `proc`. */
export function createVirtualOrders(ground: Ground, workers: VirtualWorkers, proc: SimProcess): WorkerStageClient {
  const { engine, network, h: history } = ground;
  const { machine, incarnation } = proc;
  // A separate generator, so that the number of report polls does not shift the other random draws of the run.
  const drawReport = createSeededRandom(hash32(machine) + incarnation);

  /** Calls the worker at the address. Returns undefined if no answer arrives in time. */
  function call<T>(worker: ListedWorker, query: (life: WorkerLife) => T, draw?: () => number): Promise<T | undefined> {
    return new Promise((resolve) => {
      const workerMachine = workers.machineAt(worker.address);
      const toWorker = createPipe(engine, network, machine, workerMachine, draw);
      const toControlNode = createPipe(engine, network, workerMachine, machine, draw);
      let isSettled = false;
      function settle(answer: T | undefined): void {
        if (!isSettled) deliver(proc, incarnation, () => resolve(answer));
        isSettled = true;
      }
      engine.at(engine.now() + responseTimeoutUs, () => settle(undefined));
      toWorker(() => {
        const life = workers.lifeAt(worker.address);
        if (isSettled || life === undefined || !life.alive() || life.isUnresponsive()) return;
        const answer = query(life);
        toControlNode(() => settle(answer));
      });
    });
  }

  function deliverOrder(order: StageOrder, life: WorkerLife): number {
    const { stage, holder, fence, ordersTaken, worker } = order;
    const status = life.order({ part: stage, holder, fence, ordersTaken, target: worker.id });
    history.orders.push({ at: engine.now(), worker: life.o.id, machine, holder, fence, stage, status });
    return status;
  }

  return {
    report: (worker) =>
      call(
        worker,
        (life) => {
          const { queued, active } = life.load();
          const load = queued + active;
          return { stage: life.part(), changing: life.isSwitching(), ordersTaken: life.ordersTaken(), load };
        },
        drawReport,
      ),
    order: async (order) => {
      const status = await call(order.worker, (life) => deliverOrder(order, life));
      return status === undefined ? 'unknown' : (outcomes[status] ?? 'refused');
    },
  };
}
