// Carries messages over TCP. A process listens on one address and keeps at most one outgoing link
// to each other address; every message names none but its receiver, and a link that fails drops what
// waited on it. The hello tells the receiver the sender's listening address.
import net from 'node:net';
import * as E from 'fp-ts/lib/Either.js';
import type { Address } from './brands.js';
import { encode, hello, readHello, type Decode } from './codec.js';
import { createUnframer, frame } from './frame.js';
import type { Message } from './messages.js';

export interface Carrier {
  readonly send: (to: Address, m: Message) => void;
  readonly close: () => Promise<void>;
  readonly dropped: () => number;
}
export interface CarrierOptions {
  readonly listen: Address;
  readonly advertise?: Address;
  readonly receive: (m: Message, from: Address) => void;
  readonly log: (event: number, fields: Record<string, unknown>) => void;
  readonly heldLimit?: number;
}

export function splitAddress(a: string): { host: string; port: number } {
  const i = a.lastIndexOf(':');
  return { host: a.slice(0, i), port: Number(a.slice(i + 1)) };
}

export async function createCarrier(o: CarrierOptions): Promise<Carrier> {
  const limit = o.heldLimit ?? 16 * 1024 * 1024;
  const outs = new Map<Address, net.Socket>();
  const ins = new Set<net.Socket>();
  let lost = 0;
  let closed = false;

  function open(to: Address): net.Socket {
    const s = net.connect({ ...splitAddress(to), noDelay: true });
    s.on('error', () => undefined);
    s.on('close', () => {
      if (outs.get(to) === s) outs.delete(to);
    });
    s.setTimeout(3000, () => {
      if (s.connecting) s.destroy();
    });
    s.on('data', () => undefined);
    s.write(frame(hello(o.advertise ?? o.listen)));
    outs.set(to, s);
    return s;
  }

  function send(to: Address, m: Message): void {
    if (closed) return;
    const s = outs.get(to) ?? open(to);
    if (s.writableLength > limit) {
      lost += 1;
      return;
    }
    s.write(frame(encode(m)));
  }

  function incoming(s: net.Socket): void {
    const u = createUnframer();
    let from: Address | undefined;
    let decode: Decode | undefined;
    ins.add(s);
    s.setNoDelay(true);
    s.on('error', () => undefined);
    s.on('close', () => ins.delete(s));
    function bad(e: Error): void {
      o.log(1101, { from: from ?? s.remoteAddress ?? '?', why: e.message });
      s.destroy();
    }
    s.on('data', (c: Buffer) => {
      const r = u.push(c);
      if (E.isLeft(r)) return bad(r.left);
      for (const b of r.right) {
        if (decode === undefined) {
          const h = readHello(b);
          if (E.isLeft(h)) return bad(h.left);
          from = h.right.from as Address;
          decode = h.right.decode;
          continue;
        }
        const d = decode(b);
        if (E.isLeft(d)) return bad(d.left);
        if (d.right.known) o.receive(d.right.message, from!);
      }
    });
  }

  const server = net.createServer(incoming);
  await new Promise<void>((ok, no) => {
    server.once('error', no);
    server.listen(splitAddress(o.listen), ok);
  });

  async function close(): Promise<void> {
    closed = true;
    for (const s of [...outs.values(), ...ins]) s.destroy();
    await new Promise<void>((ok) => server.close(() => ok()));
  }
  return { send, close, dropped: () => lost };
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  const port = 20_000 + (process.pid % 20_000);
  it('closes a link on garbage, an oversized or cut frame or another protocol, logs it, and goes on with others', async () => {
    const logged: string[] = [];
    const got: Message[] = [];
    let more: (() => void) | undefined;
    const at = `127.0.0.1:${port}` as Address;
    const c = await createCarrier({
      listen: at,
      log: (n, f) => {
        logged.push(`${n} ${String(f['why'])}`);
      },
      receive: (m) => {
        got.push(m);
        more?.();
      },
    });
    const other = await createCarrier({
      listen: `127.0.0.1:${port + 1}` as Address,
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
    const hi = frame(hello('127.0.0.1:9'));
    const old = Buffer.from(hello('x').toString().replace('"tansypost":1', '"tansypost":99'));
    await closed(Buffer.from('GET / HTTP/1.1\r\n\r\n'));
    await closed(Buffer.from([0x7f, 0, 0, 0]));
    await closed(frame(old));
    await closed(hi, frame(Buffer.from([0, 0, 1])));
    await closed(hi, frame(Buffer.from([255, 255, 1])));
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
}
