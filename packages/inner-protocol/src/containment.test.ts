/** Errors in timers, handlers and background tasks of a real process, and messages that can't be sent. */
import { expect, it } from 'vitest';
import { micros, type Address } from './brands.js';
import { runInBackground } from './containment.js';
import type { Message } from './messages.js';
import { createRealWorld, startTimer } from './real-world.js';
import { createVirtualClock, type LoggedEvent } from './virtual-clock.js';
import { every } from './world.js';

const host = `127.${1 + ((process.pid >> 8) & 127)}.${process.pid & 255}.2`;
const digest: Message = { kind: 'MarksDigest', from: 'a', digest: 'b', answer: false, warm: false };
const beyondLong = 2 ** 64;

it('continues after an error in a timer and in the handler of a message', async () => {
  const logged: LoggedEvent[] = [];
  const receiverAddress = `${host}:20000` as Address;
  const receiver = await createRealWorld(receiverAddress, (event, fields) => logged.push({ event, fields }));
  const sender = await createRealWorld(`${host}:20001` as Address, () => undefined);
  let received = 0;
  const bothReceived = new Promise<void>((resolve) => {
    receiver.onMessage(() => {
      received += 1;
      if (received === 2) resolve();
      throw new Error('handler failed');
    });
  });
  sender.world.send(receiverAddress, digest);
  sender.world.send(receiverAddress, digest);
  await bothReceived;
  await new Promise<void>((resolve) => {
    receiver.world.after(micros(1), () => {
      queueMicrotask(resolve);
      throw new Error('timer failed');
    });
  });
  expect(logged.map(({ event, fields }) => [event, fields['work']])).toEqual([
    [1005, 'message MarksDigest'],
    [1005, 'message MarksDigest'],
    [1005, 'timer'],
  ]);
  await receiver.transport.close();
  await sender.transport.close();
});

// Guards against processes that ended because a field of a message could not be encoded.
it('drops and logs a message that cannot be encoded or whose receiver is no address, and sends the next one', async () => {
  const logged: LoggedEvent[] = [];
  const receiverAddress = `${host}:20002` as Address;
  const receiver = await createRealWorld(receiverAddress, () => undefined);
  const sender = await createRealWorld(`${host}:20003` as Address, (event, fields) => logged.push({ event, fields }));
  const arrived = new Promise<Message>((resolve) => receiver.onMessage(resolve));
  sender.world.send(receiverAddress, { kind: 'Peers', digest: beyondLong, addresses: [], all: true });
  sender.world.send('nowhere' as Address, digest);
  sender.world.send('1.2.3.4:99999' as Address, digest);
  sender.world.send(receiverAddress, digest);
  expect(await arrived).toEqual(digest);
  expect(logged.map(({ event, fields }) => [event, fields['kind']])).toEqual([
    [1102, 'Peers'],
    [1102, 'MarksDigest'],
    [1102, 'MarksDigest'],
  ]);
  await receiver.transport.close();
  await sender.transport.close();
});

it('goes on with a periodic task after a run that threw', () => {
  const pending: (() => void)[] = [];
  let runs = 0;
  const stop = every(
    { after: (_delay, run) => (pending.push(run), () => undefined) },
    () => micros(1),
    () => {
      runs += 1;
      throw new Error('task failed');
    },
  );
  for (let round = 0; round < 3; round += 1) expect(() => pending.shift()!()).toThrow('task failed');
  expect([runs, pending.length]).toEqual([3, 1]);
  stop();
});

it('logs the rejection of a background task', async () => {
  const { world, logged } = createVirtualClock();
  runInBackground(world.log, 'task', Promise.reject(new Error('failed')));
  await new Promise((done) => setImmediate(done));
  expect(logged.map(({ event, fields }) => [event, fields['work']])).toEqual([[1005, 'task']]);
});

// Guards against deadlines of more than 24 days, which Node.js would let pass at once, with this warning.
it('cuts the delay of a timer to what Node.js accepts', async () => {
  const warnings: string[] = [];
  function recordWarning(warning: Error): void {
    warnings.push(warning.name);
  }
  process.on('warning', recordWarning);
  startTimer(micros(2 ** 50), () => undefined)();
  await new Promise((done) => setImmediate(done));
  process.off('warning', recordWarning);
  expect(warnings).toEqual([]);
});
