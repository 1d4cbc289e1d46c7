/**
 * The worker client of one router process in the simulation, with kept-alive connections that go stale, bytes that are
 * delayed by a partition and lost once their sender has closed, and responses that belong to another request. Like the
 * real client, it guarantees that nothing ran only if no byte was sent or the worker says so.
 */
import type {
  FleetWorker,
  IncomingRequest,
  PrefillResult,
  RunResult,
  ResponseSink,
  RunParameters,
  WorkerPort,
} from '@tansypost/pass-through';
import type { Engine } from '../engine.js';
import type { Network } from '../network.js';
import { deliver, type SimProcess } from '../process.js';
import { createPipe } from './pipe.js';
import type { ArrivalRecord } from './passed-history.js';
import type { WorkerCall, WorkerLife } from './virtual-worker.js';

export interface VirtualWorkerClientOptions {
  readonly proc: SimProcess;
  readonly network: Network;
  readonly random: () => number;
  readonly lifeAt: (address: string) => WorkerLife | undefined;
  // The machine that last had the address. Connecting to a silent machine hangs until the timeout.
  readonly machineAt: (address: string) => string;
  readonly isMachineSilent: (machine: string) => boolean;
  readonly onArrival: (arrival: ArrivalRecord) => void;
  readonly isStreaming: (request: IncomingRequest) => boolean;
  // Probability that a new connection is reset.
  readonly resetRate: () => number;
}
interface Connection {
  readonly life: WorkerLife;
  hasSurplus: boolean;
}
interface ExchangeResult {
  readonly tag: 'complete' | 'unsent' | 'broken';
  readonly reason: string;
}
const connectTimeoutUs = 300_000;

export function createVirtualWorkerClient(engine: Engine, options: VirtualWorkerClientOptions): WorkerPort {
  const { proc, network: net, random } = options;
  const incarnation = proc.incarnation;
  const ownMachine = proc.machine;
  const idleConnections = new Map<string, Connection[]>();

  function call(
    worker: FleetWorker,
    request: IncomingRequest,
    c: Omit<WorkerCall, 'closed' | 'taken' | 'head' | 'data' | 'end' | 'reset' | 'target' | 'request'>,
    head: (id: string, status: number, unrun: boolean) => boolean,
    data: (bytes: Buffer) => void | Promise<void>,
    abortSignal: AbortSignal,
  ): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      let [sent, isSettled] = [false, false];
      let connection: Connection | undefined;
      let openCall: WorkerCall | undefined;
      const pendingEvents: (() => void | Promise<void>)[] = [];
      let isHandling = false;
      const sentAt = engine.now();

      function settle(result: ExchangeResult): void {
        if (isSettled) return;
        isSettled = true;
        abortSignal.removeEventListener('abort', onAbort);
        proc.exitHandlers.delete(onRouterExit);
        resolve(result);
      }
      function close(): void {
        const k = openCall;
        if (k === undefined || connection === undefined) return;
        k.closed = true;
        const { life } = connection;
        createPipe(engine, net, ownMachine, life.o.machine)(() => life.closed(k));
      }
      function onAbort(): void {
        if (isSettled) return;
        close();
        settle({ tag: sent ? 'broken' : 'unsent', reason: 'left' });
      }
      function onRouterExit(): void {
        isSettled = true;
        close();
      }
      function enqueue(handler: () => void | Promise<void>): void {
        pendingEvents.push(handler);
        if (!isHandling) handleNext();
      }
      function handleNext(): void {
        const handler = pendingEvents.shift();
        if (handler === undefined || isSettled) return;
        const result = handler();
        if (result === undefined) return handleNext();
        isHandling = true;
        void result.then(() => {
          isHandling = false;
          handleNext();
        });
      }

      function connect(): void {
        const life = options.lifeAt(worker.address);
        const machine = options.machineAt(worker.address);
        const rtt = net.latency(ownMachine, machine) + net.latency(machine, ownMachine);
        const silent =
          net.isBlocked(ownMachine, machine) || net.isBlocked(machine, ownMachine) || options.isMachineSilent(machine);
        const reset = life === undefined || !life.alive() || random() < options.resetRate();
        const after = silent ? connectTimeoutUs : rtt + 1000;
        engine.at(engine.now() + after, () =>
          deliver(proc, incarnation, () => {
            if (isSettled) return;
            if (silent || reset) return settle({ tag: 'unsent', reason: silent ? 'connect timeout' : 'reset' });
            connection = { life: life!, hasSurplus: false };
            send(connection);
          }),
        );
      }
      function send(k: Connection): void {
        sent = true;
        const { life } = k;
        const toWorker = createPipe(engine, net, ownMachine, life.o.machine);
        const toRouterPipe = createPipe(engine, net, life.o.machine, ownMachine);
        function sendToRouter(handler: () => void | Promise<void>): void {
          toRouterPipe(() => deliver(proc, incarnation, () => enqueue(handler)));
        }
        const workerCall: WorkerCall = {
          ...c,
          request: request.id,
          target: worker.id,
          closed: false,
          taken: () => {
            arrival.wasAccepted = true;
          },
          head: (id, status, unrun) => {
            if (status === 421) arrival.wasMisdirected = true;
            sendToRouter(() => {
              if (!head(k.hasSurplus ? 'another' : id, status, unrun)) {
                close();
                settle({ tag: 'broken', reason: 'response of another request' });
              }
            });
          },
          data: (bytes) => sendToRouter(() => data(bytes)),
          end: (surplus) =>
            sendToRouter(() => {
              k.hasSurplus = surplus;
              if (life.alive())
                idleConnections.set(worker.address, [...(idleConnections.get(worker.address) ?? []), k]);
              settle({ tag: 'complete', reason: '' });
            }),
          reset: () => {
            // The connections of a worker whose machine lost power are not reset.
            if (!options.isMachineSilent(life.o.machine))
              sendToRouter(() => settle({ tag: 'broken', reason: 'reset' }));
          },
        };
        openCall = workerCall;
        const arrival: ArrivalRecord = {
          at: 0,
          sentAt,
          request: request.id,
          doing: c.doing,
          worker: life.o.id,
          service: life.o.service,
          router: ownMachine,
          tenant: request.tenant,
          gotCredentials: request.credentialHeaders !== undefined,
          wasMisdirected: false,
          wasAccepted: false,
        };
        toWorker(() => {
          // Most requests that a partition delayed are lost once their sender has closed the connection.
          if (workerCall.closed && random() < 0.8) return;
          if (!life.alive()) return workerCall.reset();
          const arrived = Object.assign(arrival, { at: engine.now() });
          options.onArrival(arrived);
          life.accept(workerCall);
        });
      }

      if (abortSignal.aborted) return settle({ tag: 'unsent', reason: 'left' });
      abortSignal.addEventListener('abort', onAbort, { once: true });
      proc.exitHandlers.add(onRouterExit);
      const free = idleConnections.get(worker.address)?.filter((k) => k.life.alive() || random() < 0.1) ?? [];
      connection = free.pop();
      idleConnections.set(worker.address, free);
      if (connection === undefined) connect();
      else send(connection);
    });
  }

  async function prefill(
    worker: FleetWorker,
    request: IncomingRequest,
    left: number,
    urgency: number | undefined,
    abortSignal: AbortSignal,
  ): Promise<PrefillResult> {
    let [status, unrun, handle] = [0, false, ''];
    const result = await call(
      worker,
      request,
      {
        doing: 'read',
        promptTokens: request.promptTokens,
        answerTokens: request.maxOutputTokens,
        segments: request.promptSegments,
        remainingTime: left,
        urgency: urgency ?? 5,
        streaming: true,
        lastEvent: 0,
        from: undefined,
      },
      (id, s, u) => {
        [status, unrun] = [s, u];
        return id === request.id;
      },
      (bytes) => {
        handle += bytes.toString();
      },
      abortSignal,
    );
    if (result.tag === 'unsent') return { tag: 'unsent', reason: result.reason };
    if (result.tag === 'broken') return { tag: 'unknown', reason: result.reason };
    if (unrun) return { tag: 'refused', reason: `${status}`, misdirected: status === 421 };
    if (status !== 200) return { tag: 'unknown', reason: `${status}` };
    return { tag: 'read', kvHandle: handle, tokens: request.promptTokens };
  }

  async function run(
    worker: FleetWorker,
    request: IncomingRequest,
    parameters: RunParameters,
    sink: ResponseSink,
    abortSignal: AbortSignal,
  ): Promise<RunResult> {
    let [status, unrun, known] = [0, false, false];
    const parts: Buffer[] = [];
    const result = await call(
      worker,
      request,
      {
        doing: 'run',
        promptTokens: request.promptTokens,
        answerTokens: request.maxOutputTokens,
        segments: request.promptSegments,
        remainingTime: parameters.remainingTime,
        urgency: parameters.urgency ?? 5,
        streaming: options.isStreaming(request),
        lastEvent: parameters.lastEventId ?? 0,
        from:
          parameters.kvSource === undefined
            ? undefined
            : { address: parameters.kvSource.worker.address, handle: parameters.kvSource.kvHandle },
      },
      (id, s, u) => {
        if (id !== request.id) return false;
        [status, unrun, known] = [s, u, true];
        if (s < 300) sink.head({ status: s, headers: ['X-Worker', worker.id] });
        return true;
      },
      (bytes) => {
        if (status < 300) return sink.chunk(bytes);
        parts.push(bytes);
        return undefined;
      },
      abortSignal,
    );
    if (result.tag === 'unsent') return { tag: 'unsent', reason: result.reason };
    if (!known || result.tag === 'broken') return { tag: 'unknown', reason: result.reason };
    if (status < 300) return { tag: 'whole' };
    const answer = { status, headers: [], body: Buffer.concat(parts) };
    if (unrun) return { tag: 'refused', reason: `${status}`, misdirected: status === 421, response: answer };
    return { tag: 'failed', response: answer };
  }

  function free(worker: FleetWorker, handle: string): void {
    const life = options.lifeAt(worker.address);
    if (life !== undefined) createPipe(engine, net, ownMachine, life.o.machine)(() => life.free(handle));
  }
  return { prefill, run, freeKv: free };
}
