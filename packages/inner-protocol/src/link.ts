// Carries messages over TCP. A process listens on one address and keeps at most one outgoing link
// to each other address; every message names none but its receiver, and a link that fails drops what
// waited on it. The hello tells the receiver the sender's listening address and the fingerprint of its schemas; a
// receiver with others asks for the schemas themselves. The receiver says every so often how much has reached it; a
// link on which nothing more gets through for a while is dropped, so that a healed path is used at once by a new one.
import net from 'node:net';
import * as E from 'fp-ts/lib/Either.js';
import type { Address } from './brands.js';
import { encode, hello, readHello, shortHello, type Decode } from './codec.js';
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
  readonly connectMs?: number;
  // How long a link may hold bytes without any of them getting through.
  readonly stuckMs?: number;
  readonly idleMs?: number;
  // How a connection is begun; `net.connect` unless a test says otherwise.
  readonly connect?: (o: net.TcpNetConnectOpts) => net.Socket;
}
interface Out {
  readonly socket: net.Socket;
  sent: number;
  got: number;
  watch: NodeJS.Timeout | undefined;
  // What waits for the connection; none once it has come about.
  held: Buffer[] | undefined;
}

const replyReceived = 1;
const replyWantSchemas = 2;
const replySize = 7;
const replyEveryMs = 500;

export function splitAddress(a: string): { host: string; port: number } {
  const i = a.lastIndexOf(':');
  return { host: a.slice(0, i), port: Number(a.slice(i + 1)) };
}

function reply(what: number, received: number): Buffer {
  const b = Buffer.alloc(replySize);
  b.writeUInt8(what, 0);
  b.writeUIntBE(received, 1, 6);
  return b;
}

export async function createCarrier(o: CarrierOptions): Promise<Carrier> {
  const limit = o.heldLimit ?? 16 * 1024 * 1024;
  const stuckMs = o.stuckMs ?? 1500;
  const outs = new Map<Address, Out>();
  const ins = new Set<net.Socket>();
  let lost = 0;
  let closed = false;

  function open(to: Address, held: readonly Buffer[] = []): Out {
    const s = (o.connect ?? net.connect)({ ...splitAddress(to), noDelay: true });
    const x: Out = { socket: s, sent: 0, got: 0, watch: undefined, held: [] };
    const connecting = setTimeout(() => s.destroy(), o.connectMs ?? 300);
    let replies: Buffer = Buffer.alloc(0);
    s.on('connect', () => {
      clearTimeout(connecting);
      x.held = undefined;
    });
    s.on('error', () => undefined);
    s.on('close', () => {
      clearTimeout(connecting);
      clearTimeout(x.watch);
      if (outs.get(to) === x) outs.delete(to);
    });
    s.on('data', (c: Buffer) => {
      replies = replies.length === 0 ? c : Buffer.concat([replies, c]);
      for (; replies.length >= replySize; replies = replies.subarray(replySize)) {
        if (replies[0] === replyWantSchemas) put(x, frame(hello(o.advertise ?? o.listen)));
        else through(x, replies.readUIntBE(1, 6));
      }
    });
    outs.set(to, x);
    put(x, frame(shortHello(o.advertise ?? o.listen)), false);
    for (const b of held) put(x, b);
    return x;
  }

  // The other side is there, so an opening packet that went out before it was is not waited for.
  function isThere(to: Address): void {
    const x = outs.get(to);
    if (x?.held === undefined || x.socket.destroyed) return;
    const held = x.held;
    outs.delete(to);
    x.socket.destroy();
    open(to, held);
  }

  function put(x: Out, b: Buffer, hold = true): void {
    x.sent += b.length;
    if (hold) x.held?.push(b);
    x.socket.write(b);
    if (x.watch === undefined) watch(x);
  }

  function watch(x: Out): void {
    x.watch = setTimeout(() => x.socket.destroy(), stuckMs);
    x.watch.unref();
  }

  function through(x: Out, got: number): void {
    if (got <= x.got) return;
    x.got = got;
    clearTimeout(x.watch);
    x.watch = undefined;
    if (x.got < x.sent) watch(x);
  }

  function send(to: Address, m: Message): void {
    if (closed) return;
    const had = outs.get(to);
    const x = had === undefined || had.socket.destroyed ? open(to) : had;
    if (x.socket.writableLength > limit) {
      lost += 1;
      return;
    }
    put(x, frame(encode(m)));
  }

  function incoming(s: net.Socket): void {
    const u = createUnframer();
    let from: Address | undefined;
    let decode: Decode | undefined;
    let early: Buffer[] = [];
    let received = 0;
    let saying: NodeJS.Timeout | undefined;
    ins.add(s);
    s.setNoDelay(true);
    s.setTimeout(o.idleMs ?? 30_000, () => s.destroy());
    s.on('error', () => undefined);
    s.on('close', () => {
      clearTimeout(saying);
      ins.delete(s);
    });
    function bad(e: Error): void {
      o.log(1101, { from: from ?? s.remoteAddress ?? '?', why: e.message });
      s.destroy();
    }
    function greeted(b: Buffer): boolean {
      const h = readHello(b);
      if (E.isLeft(h)) {
        bad(h.left);
        return false;
      }
      from = h.right.from as Address;
      if (!closed) isThere(from);
      decode = h.right.decode;
      if (decode === undefined) s.write(reply(replyWantSchemas, received));
      return true;
    }
    function take(b: Buffer): boolean {
      const d = decode!(b);
      if (E.isLeft(d)) {
        bad(d.left);
        return false;
      }
      if (d.right.known) o.receive(d.right.message, from!);
      return true;
    }
    // What comes before the schemas asked for waits for them; a hello is told by its first byte.
    function one(b: Buffer): boolean {
      if (from === undefined) return greeted(b);
      if (decode !== undefined) return take(b);
      if (b[0] !== 0x7b) {
        early.push(b);
        return true;
      }
      if (!greeted(b)) return false;
      const bs = early;
      early = [];
      return bs.every(take);
    }
    s.on('data', (c: Buffer) => {
      received += c.length;
      saying ??= setTimeout(() => {
        saying = undefined;
        s.write(reply(replyReceived, received));
      }, replyEveryMs);
      const r = u.push(c);
      if (E.isLeft(r)) return bad(r.left);
      for (const b of r.right) if (!one(b)) return;
    });
  }

  const server = net.createServer(incoming);
  await new Promise<void>((ok, no) => {
    server.once('error', no);
    server.listen(splitAddress(o.listen), ok);
  });

  async function close(): Promise<void> {
    closed = true;
    for (const s of [...[...outs.values()].map((x) => x.socket), ...ins]) s.destroy();
    await new Promise<void>((ok) => server.close(() => ok()));
  }
  return { send, close, dropped: () => lost };
}
