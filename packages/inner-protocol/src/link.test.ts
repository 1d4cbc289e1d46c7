/** Links between processes: invalid peers, peers with other schemas, and network paths without progress. */
import net from 'node:net';
import { expect, it } from 'vitest';
import type { Address } from './brands.js';
import { encodeHello, encodeShortHello } from './codec.js';
import { encodeFrame } from './frame.js';
import { createTransport } from './link.js';
import type { Message } from './messages.js';
import { splitAddress } from './socket-address.js';

// Test files run in parallel processes; each process uses a loopback address of its own.
const host = `127.${1 + ((process.pid >> 8) & 127)}.${process.pid & 255}.1`;
const port = 20_000;
it('closes and logs a link with garbage, an oversized or truncated frame or another protocol, and serves other links', async () => {
  const logged: string[] = [];
  const received: Message[] = [];
  let onReceived: (() => void) | undefined;
  const address = `${host}:${port}` as Address;
  const receiver = await createTransport({
    listen: address,
    log: (event, fields) => {
      logged.push(`${event} ${String(fields['why'])}`);
    },
    receive: (message) => {
      received.push(message);
      onReceived?.();
    },
  });
  const sender = await createTransport({
    listen: `${host}:${port + 1}` as Address,
    log: () => undefined,
    receive: () => undefined,
  });
  function sendUntilClosed(...chunks: Buffer[]): Promise<void> {
    return new Promise((resolve) => {
      const socket = net.connect(splitAddress(address));
      socket.on('error', () => undefined);
      socket.on('close', () => resolve());
      for (const chunk of chunks) socket.write(chunk);
    });
  }
  const validHello = encodeFrame(encodeHello('127.0.0.1:9'));
  const otherProtocol = Buffer.from(encodeHello('x').toString().replace('"tansypost":1', '"tansypost":99'));
  await sendUntilClosed(Buffer.from('GET / HTTP/1.1\r\n\r\n'));
  await sendUntilClosed(Buffer.from([0x7f, 0, 0, 0]));
  await sendUntilClosed(encodeFrame(otherProtocol));
  await sendUntilClosed(validHello, encodeFrame(Buffer.from([0, 0, 1])));
  await sendUntilClosed(validHello, encodeFrame(Buffer.from([255, 255, 1])));
  expect(logged.length).toBe(5);
  expect(logged.every((line) => line.startsWith('1101 '))).toBe(true);
  const arrived = new Promise<void>((resolve) => {
    onReceived = resolve;
  });
  sender.send(address, { kind: 'MarksDigest', from: 'a', digest: 'b', answer: false, warm: false });
  await arrived;
  expect(received).toEqual([{ kind: 'MarksDigest', from: 'a', digest: 'b', answer: false, warm: false }]);
  await receiver.close();
  await sender.close();
});

it('requests the schemas of a sender that has others, and then decodes the messages that arrived before them', async () => {
  const address = `${host}:${port + 2}` as Address;
  const received: Message[] = [];
  let onReceived: (() => void) | undefined;
  const receiver = await createTransport({
    listen: address,
    log: () => undefined,
    receive: (message) => {
      received.push(message);
      onReceived?.();
    },
  });
  const fullHello = JSON.parse(encodeHello('127.0.0.1:9').toString()) as { schemas: { name: string }[] };
  const index = fullHello.schemas.findIndex((schema) => schema.name === 'Check');
  const arrived = new Promise<void>((resolve) => {
    onReceived = resolve;
  });
  const socket = net.connect(splitAddress(address));
  socket.write(
    encodeFrame(
      Buffer.from(
        encodeShortHello('127.0.0.1:9')
          .toString()
          .replace(/"fingerprint":"..../, '"fingerprint":"0000'),
      ),
    ),
  );
  socket.write(encodeFrame(Buffer.concat([Buffer.from([0, 0]), Buffer.from([2, 97, 2, 98, 2, 99, 4, 6])])));
  socket.once('data', () =>
    socket.write(encodeFrame(Buffer.from(JSON.stringify({ ...fullHello, schemas: [fullHello.schemas[index]] })))),
  );
  await arrived;
  expect(received).toEqual([{ kind: 'Check', id: 'a', from: 'b', key: 'c', epoch: 2, membershipEpoch: 3 }]);
  socket.destroy();
  await receiver.close();
});

it('closes a link without progress, and opens a new one for the next message', async () => {
  const sockets: net.Socket[] = [];
  const unresponsiveServer = net.createServer((socket) => {
    socket.on('error', () => undefined);
    sockets.push(socket);
  });
  const address = `${host}:${port + 3}` as Address;
  await new Promise<void>((resolve) => unresponsiveServer.listen(splitAddress(address), resolve));
  const sender = await createTransport({
    listen: `${host}:${port + 4}` as Address,
    stuckTimeoutMs: 60,
    log: () => undefined,
    receive: () => undefined,
  });
  const message: Message = { kind: 'MarksDigest', from: 'a', digest: 'b', answer: false, warm: false };
  const closed = new Promise<void>((resolve) => {
    unresponsiveServer.once('connection', (socket: net.Socket) => {
      socket.resume();
      socket.once('close', () => resolve());
    });
  });
  sender.send(address, message);
  await closed;
  const reconnected = new Promise<void>((resolve) => {
    unresponsiveServer.once('connection', () => resolve());
  });
  sender.send(address, message);
  await reconnected;
  for (const socket of sockets) socket.destroy();
  await sender.close();
  await new Promise<void>((resolve) => unresponsiveServer.close(() => resolve()));
});

it('replaces a link that is still connecting, with all its messages, when the peer connects to this process', async () => {
  const [earlyAddress, lateAddress] = [6, 7].map((offset) => `${host}:${port + offset}` as Address);
  const received: Message[] = [];
  let onReceived: (() => void) | undefined;
  const arrived = new Promise<void>((resolve) => {
    onReceived = resolve;
  });
  let connects = 0;
  const early = await createTransport({
    listen: earlyAddress!,
    log: () => undefined,
    receive: () => undefined,
    connectTimeoutMs: 60_000,
    // The SYN of the first connection is lost and never retransmitted.
    connect: (options) => {
      connects += 1;
      return connects === 1 ? Object.assign(new net.Socket(), { connecting: true }) : net.connect(options);
    },
  });
  early.send(lateAddress!, { kind: 'MarksDigest', from: 'a', digest: 'waited', answer: false, warm: false });
  const late = await createTransport({
    listen: lateAddress!,
    log: () => undefined,
    receive: (message) => {
      received.push(message);
      onReceived?.();
    },
  });
  late.send(earlyAddress!, { kind: 'MarksDigest', from: 'b', digest: 'here', answer: false, warm: false });
  await arrived;
  expect(received).toMatchObject([{ digest: 'waited' }]);
  expect(connects).toBe(2);
  await early.close();
  await late.close();
});
