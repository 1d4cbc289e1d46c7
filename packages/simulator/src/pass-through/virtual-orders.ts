/** The way from one life of a control node to the virtual workers: reports, and orders to change their stage. */
import type { ListedWorker } from '@tansypost/control-feed';
import { hash32, createSeededRandom } from '@tansypost/inner-protocol';
import type { OrderOutcome, StageOrder, WorkerStageClient } from '@tansypost/worker-stages';
import { deliver, type SimProcess } from '../process.js';
import type { Ground } from './ground.js';
import { createPipe } from './pipe.js';
import type { VirtualWorkers } from './virtual-workers.js';
import type { WorkerLife } from './virtual-worker.js';

/** How long an answer is waited for; what a cut holds up then is lost, as the connection is reset. */
const patience = 400_000;
const outcomes: { readonly [status: number]: OrderOutcome } = {
  200: 'holds',
  202: 'accepted',
  409: 'busy',
  412: 'fenced',
  421: 'other',
};

/** The orders of the control node `proc` on a machine of that name. */
export function createVirtualOrders(ground: Ground, workers: VirtualWorkers, proc: SimProcess): WorkerStageClient {
  const { engine: engine, network: net, h: history } = ground;
  const { machine, incarnation } = proc;
  // How often workers are asked for reports shifts no other draw of the day.
  const drawReport = createSeededRandom(hash32(machine) + incarnation);

  /** Calls the worker that has the address; undefined where no answer comes in time. */
  function call<T>(worker: ListedWorker, ask: (life: WorkerLife) => T, draw?: () => number): Promise<T | undefined> {
    return new Promise((done) => {
      const away = workers.machineAt(worker.address);
      const there = createPipe(engine, net, machine, away, draw);
      const back = createPipe(engine, net, away, machine, draw);
      let over = false;
      function end(answer: T | undefined): void {
        if (!over) deliver(proc, incarnation, () => done(answer));
        over = true;
      }
      engine.at(engine.now() + patience, () => end(undefined));
      there(() => {
        const life = workers.lifeAt(worker.address);
        if (over || life === undefined || !life.alive() || life.isDark()) return;
        const answer = ask(life);
        back(() => end(answer));
      });
    });
  }

  function take(order: StageOrder, life: WorkerLife): number {
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
          return { stage: life.part(), changing: life.changing(), ordersTaken: life.ordersTaken(), load };
        },
        drawReport,
      ),
    order: async (order) => {
      const status = await call(order.worker, (life) => take(order, life));
      return status === undefined ? 'unknown' : (outcomes[status] ?? 'refused');
    },
  };
}
