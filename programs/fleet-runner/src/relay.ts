/**
 * Loopback relays between the members of a run, so that links can be cut and slowed without touching the machine.
 * An inner link's first frame tells who opened it; HTTP to a worker is known only by whom it reaches. A cut
 * link is held as it is: nothing passes, and it is broken when the cut heals, as after a long loss.
 */
import net from 'node:net';
import { splitAddress } from '@tansypost/inner-protocol';

export interface Relays {
  readonly add: (shown: string, real: string, inner: boolean) => Promise<void>;
  readonly block: (name: string, f: (from: string | undefined, to: string) => boolean) => void;
  readonly heal: (name: string) => void;
  readonly setDelay: (shown: string, ms: number) => void;
  readonly close: () => Promise<void>;
}
interface Pipe {
  readonly to: string;
  from: string | undefined;
  stuck: boolean;
  readonly sockets: net.Socket[];
}

export function createRelays(): Relays {
  const cuts = new Map<string, (from: string | undefined, to: string) => boolean>();
  const delays = new Map<string, number>();
  const pipes = new Set<Pipe>();
  const servers: net.Server[] = [];

  function blocked(p: Pipe): boolean {
    return [...cuts.values()].some((f) => f(p.from, p.to));
  }
  function end(p: Pipe): void {
    pipes.delete(p);
    for (const s of p.sockets) s.destroy();
  }
  function pass(p: Pipe, c: Buffer, out: net.Socket): void {
    if (p.stuck || blocked(p)) {
      p.stuck = true;
      return;
    }
    const ms = delays.get(p.to) ?? 0;
    if (ms === 0) out.write(c);
    else
      setTimeout(() => {
        if (!out.destroyed) out.write(c);
      }, ms);
  }

  async function add(shown: string, real: string, inner: boolean): Promise<void> {
    const server = net.createServer((a) => {
      const b = net.connect({ ...splitAddress(real), noDelay: true });
      const p: Pipe = { to: shown, from: undefined, stuck: false, sockets: [a, b] };
      let head: Buffer | undefined = inner ? Buffer.alloc(0) : undefined;
      pipes.add(p);
      a.setNoDelay(true);
      for (const s of p.sockets) {
        s.on('error', () => end(p));
        s.on('close', () => {
          const wait = delays.get(p.to) ?? 0;
          setTimeout(() => end(p), wait + 20);
        });
      }
      a.on('data', (c: Buffer) => {
        if (head !== undefined) {
          head = Buffer.concat([head, c]);
          if (head.length < 4 || head.length < 4 + head.readUInt32BE(0)) return;
          try {
            p.from = (JSON.parse(head.subarray(4, 4 + head.readUInt32BE(0)).toString()) as { from: string }).from;
          } catch {
            p.from = undefined;
          }
          const all = head;
          head = undefined;
          return pass(p, all, b);
        }
        pass(p, c, b);
      });
      b.on('data', (c: Buffer) => pass(p, c, a));
    });
    servers.push(server);
    await new Promise<void>((ok, no) => {
      server.once('error', no);
      server.listen(splitAddress(shown), ok);
    });
  }

  return {
    add,
    block: (n, f) => cuts.set(n, f),
    heal: (n) => {
      cuts.delete(n);
      for (const p of [...pipes]) if (p.stuck) end(p);
    },
    setDelay: (shown, ms) => {
      if (ms > 0) delays.set(shown, ms);
      else delays.delete(shown);
    },
    close: async () => {
      for (const p of [...pipes]) end(p);
      await Promise.all(
        servers.map(
          (s) =>
            new Promise<void>((ok) => {
              s.close(() => ok());
            }),
        ),
      );
    },
  };
}
