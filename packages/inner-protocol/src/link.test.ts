/** Links between processes: bad peers, other schemas, paths on which nothing gets through. */
import net from 'node:net';
import { expect, it } from 'vitest';
import type { Address } from './brands.js';
import { encodeHello, encodeShortHello } from './codec.js';
import { encodeFrame } from './frame.js';
import { createTransport } from './link.js';
import type { Message } from './messages.js';
import { splitAddress } from './socket-address.js';

// Processes of other test files run beside this one; each has a loopback address of its own.
const host = `127.${1 + ((process.pid >> 8) & 127)}.${process.pid & 255}.1`;
const port = 20_000;
it('closes a link on garbage, an oversized or cut frame or another protocol, logs it, and goes on with others', async () => {
  const logged: string[] = [];
  const got: Message[] = [];
  let more: (() => void) | undefined;
  const at = `${host}:${port}` as Address;
  const c = await createTransport({
    listen: at,
    log: (n, f) => {
      logged.push(`${n} ${String(f['why'])}`);
    },
    receive: (m) => {
      got.push(m);
      more?.();
    },
  });
  const other = await createTransport({
    listen: `${host}:${port + 1}` as Address,
    log: () => undefined,
    receive: () => undefined,
  });
  function closed(...bs: Buffer[]): Promise<void> {
    return new Promise((ok) => {
      const s = net.connect(splitAddress(at));
      s.on('error', () => undefined);
      s.on('close', () => ok());
      for (const b of bs) s.write(b);
    });
  }
  const hi = encodeFrame(encodeHello('127.0.0.1:9'));
  const old = Buffer.from(encodeHello('x').toString().replace('"tansypost":1', '"tansypost":99'));
  await closed(Buffer.from('GET / HTTP/1.1\r\n\r\n'));
  await closed(Buffer.from([0x7f, 0, 0, 0]));
  await closed(encodeFrame(old));
  await closed(hi, encodeFrame(Buffer.from([0, 0, 1])));
  await closed(hi, encodeFrame(Buffer.from([255, 255, 1])));
  expect(logged.length).toBe(5);
  expect(logged.every((l) => l.startsWith('1101 '))).toBe(true);
  const told = new Promise<void>((ok) => {
    more = ok;
  });
  other.send(at, { kind: 'MarksDigest', from: 'a', digest: 'b', answer: false, warm: false });
  await told;
  expect(got).toEqual([{ kind: 'MarksDigest', from: 'a', digest: 'b', answer: false, warm: false }]);
  await c.close();
  await other.close();
});

it('asks a sender of other schemas for them and then reads what came before', async () => {
  const at = `${host}:${port + 2}` as Address;
  const got: Message[] = [];
  let more: (() => void) | undefined;
  const c = await createTransport({
    listen: at,
    log: () => undefined,
    receive: (m) => {
      got.push(m);
      more?.();
    },
  });
  const all = JSON.parse(encodeHello('127.0.0.1:9').toString()) as { schemas: { name: string }[] };
  const i = all.schemas.findIndex((x) => x.name === 'Check');
  const told = new Promise<void>((ok) => {
    more = ok;
  });
  const s = net.connect(splitAddress(at));
  s.write(
    encodeFrame(
      Buffer.from(
        encodeShortHello('127.0.0.1:9')
          .toString()
          .replace(/"fingerprint":"..../, '"fingerprint":"0000'),
      ),
    ),
  );
  s.write(encodeFrame(Buffer.concat([Buffer.from([0, 0]), Buffer.from([2, 97, 2, 98, 2, 99, 4, 6])])));
  s.once('data', () => s.write(encodeFrame(Buffer.from(JSON.stringify({ ...all, schemas: [all.schemas[i]] })))));
  await told;
  expect(got).toEqual([{ kind: 'Check', id: 'a', from: 'b', key: 'c', epoch: 2, membershipEpoch: 3 }]);
  s.destroy();
  await c.close();
});

it('drops a link on which nothing gets through, and uses a new one as soon as the path is well', async () => {
  const held: net.Socket[] = [];
  const swallow = net.createServer((s) => {
    s.on('error', () => undefined);
    held.push(s);
  });
  const at = `${host}:${port + 3}` as Address;
  await new Promise<void>((ok) => swallow.listen(splitAddress(at), ok));
  const c = await createTransport({
    listen: `${host}:${port + 4}` as Address,
    stuckMs: 60,
    log: () => undefined,
    receive: () => undefined,
  });
  const m: Message = { kind: 'MarksDigest', from: 'a', digest: 'b', answer: false, warm: false };
  const ended = new Promise<void>((ok) => {
    swallow.once('connection', (s: net.Socket) => {
      s.resume();
      s.once('close', () => ok());
    });
  });
  c.send(at, m);
  await ended;
  const again = new Promise<void>((ok) => {
    swallow.once('connection', () => ok());
  });
  c.send(at, m);
  await again;
  for (const s of held) s.destroy();
  await c.close();
  await new Promise<void>((ok) => swallow.close(() => ok()));
});

it('connects anew, with all that waited, when the other side shows that it is there', async () => {
  const [a, b] = [6, 7].map((n) => `${host}:${port + n}` as Address);
  const got: Message[] = [];
  let more: (() => void) | undefined;
  const told = new Promise<void>((ok) => {
    more = ok;
  });
  let tries = 0;
  const early = await createTransport({
    listen: a!,
    log: () => undefined,
    receive: () => undefined,
    connectMs: 60_000,
    // The first opening packet is lost for good.
    connect: (x) => {
      tries += 1;
      return tries === 1 ? Object.assign(new net.Socket(), { connecting: true }) : net.connect(x);
    },
  });
  early.send(b!, { kind: 'MarksDigest', from: 'a', digest: 'waited', answer: false, warm: false });
  const late = await createTransport({
    listen: b!,
    log: () => undefined,
    receive: (m) => {
      got.push(m);
      more?.();
    },
  });
  late.send(a!, { kind: 'MarksDigest', from: 'b', digest: 'here', answer: false, warm: false });
  await told;
  expect(got).toMatchObject([{ digest: 'waited' }]);
  expect(tries).toBe(2);
  await early.close();
  await late.close();
});
