/**
 * TCP relays on loopback between the members of a fleet, so that links can be partitioned and delayed without changing
 * the host's network. The first frame of an internal link names the side that opened it; of an HTTP connection to a worker
 * only the destination is known. A connection that carries data during a partition stalls: its data is dropped, and it
 * is closed when the partition heals, as after a long packet loss.
 */
import net from 'node:net';
import { splitAddress } from '@tansypost/inner-protocol';

/** `block` adds a named rule; `heal` removes it and closes the connections that stalled. */
export interface Relays {
  readonly open: (advertised: string, target: string, isInternalLink: boolean) => Promise<void>;
  readonly block: (name: string, isBlocked: (from: string | undefined, to: string) => boolean) => void;
  readonly heal: (name: string) => void;
  readonly setDelay: (address: string, delayMs: number) => void;
  readonly close: () => Promise<void>;
}
interface Connection {
  readonly to: string;
  from: string | undefined;
  isStalled: boolean;
  readonly sockets: net.Socket[];
}

export function createRelays(): Relays {
  const blockRules = new Map<string, (from: string | undefined, to: string) => boolean>();
  const delaysMs = new Map<string, number>();
  const connections = new Set<Connection>();
  const servers: net.Server[] = [];

  function isBlocked(connection: Connection): boolean {
    return [...blockRules.values()].some((rule) => rule(connection.from, connection.to));
  }
  function close(connection: Connection): void {
    connections.delete(connection);
    for (const socket of connection.sockets) socket.destroy();
  }
  function forward(connection: Connection, chunk: Buffer, destination: net.Socket): void {
    if (connection.isStalled || isBlocked(connection)) {
      connection.isStalled = true;
      return;
    }
    const delayMs = delaysMs.get(connection.to) ?? 0;
    if (delayMs === 0) destination.write(chunk);
    else
      setTimeout(() => {
        if (!destination.destroyed) destination.write(chunk);
      }, delayMs);
  }

  async function open(advertised: string, target: string, isInternalLink: boolean): Promise<void> {
    const server = net.createServer((source) => {
      const destination = net.connect({ ...splitAddress(target), noDelay: true });
      const connection: Connection = {
        to: advertised,
        from: undefined,
        isStalled: false,
        sockets: [source, destination],
      };
      let pendingFrame: Buffer | undefined = isInternalLink ? Buffer.alloc(0) : undefined;
      connections.add(connection);
      source.setNoDelay(true);
      for (const socket of connection.sockets) {
        socket.on('error', () => close(connection));
        socket.on('close', () => {
          const delayMs = delaysMs.get(connection.to) ?? 0;
          setTimeout(() => close(connection), delayMs + 20);
        });
      }
      source.on('data', (chunk: Buffer) => {
        if (pendingFrame !== undefined) {
          pendingFrame = Buffer.concat([pendingFrame, chunk]);
          if (pendingFrame.length < 4 || pendingFrame.length < 4 + pendingFrame.readUInt32BE(0)) return;
          try {
            connection.from = (
              JSON.parse(pendingFrame.subarray(4, 4 + pendingFrame.readUInt32BE(0)).toString()) as { from: string }
            ).from;
          } catch {
            connection.from = undefined;
          }
          const firstFrame = pendingFrame;
          pendingFrame = undefined;
          return forward(connection, firstFrame, destination);
        }
        forward(connection, chunk, destination);
      });
      destination.on('data', (chunk: Buffer) => forward(connection, chunk, source));
    });
    servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(splitAddress(advertised), resolve);
    });
  }

  return {
    open,
    block: (name, isBlocked) => blockRules.set(name, isBlocked),
    heal: (name) => {
      blockRules.delete(name);
      for (const connection of [...connections]) if (connection.isStalled) close(connection);
    },
    setDelay: (address, delayMs) => {
      if (delayMs > 0) delaysMs.set(address, delayMs);
      else delaysMs.delete(address);
    },
    close: async () => {
      for (const connection of [...connections]) close(connection);
      await Promise.all(
        servers.map(
          (server) =>
            new Promise<void>((resolve) => {
              server.close(() => resolve());
            }),
        ),
      );
    },
  };
}
