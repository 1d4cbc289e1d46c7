/**
 * How an agent asks the core: it sends to one place after the other until one answers. A write is repeated under
 * the same change id, which the owner remembers, so repeating it is harmless; what is still open
 * when patience ends is reported as unknown, with the id to ask after.
 */
import { micros, type Address, type MessageOf, type ReplicaEntry, type World } from '@tansypost/inner-protocol';
import type {
  ControlStateClient,
  ControlStateRequest,
  ControlStateResponse,
  ControlStateStatus,
} from '@tansypost/learning';

const none = Buffer.alloc(0);

export function createAsker(w: World, self: Address, replicas: () => readonly ReplicaEntry[]): ControlStateClient {
  const open = new Map<string, (m: MessageOf<'Answer'>) => void>();
  let n = Math.floor(w.random() * 1e9);

  function ask(r: ControlStateRequest): Promise<ControlStateResponse> {
    const limit = w.now() + r.timeoutUs;
    let turn = Math.floor(w.random() * 3);
    // Only a change of the desired state may rightly be long in answering: it waits for the routers.
    const perTry = r.op === 'write' && r.key.startsWith('desired/') ? 2_500_000 : 600_000;
    return new Promise((done) => {
      function once(): void {
        const ps = replicas();
        const left = limit - w.now();
        if (left <= 0) return done({ status: 'unknown', epoch: 0, version: 0, value: none });
        if (ps.length === 0) return void w.after(micros(Math.min(left, 200_000)), once);
        n += 1;
        turn += 1;
        const id = `${self}/${n}`;
        let cancel = w.after(micros(Math.min(left, perTry)), again);
        function again(): void {
          open.delete(id);
          cancel();
          once();
        }
        open.set(id, (m) => {
          cancel();
          if (m.status === 'retry' || m.status === 'unknown') {
            open.delete(id);
            cancel = w.after(micros(100_000 + w.random() * 100_000), once);
            return;
          }
          open.delete(id);
          done({ status: m.status as ControlStateStatus, epoch: m.epoch, version: m.version, value: m.value });
        });
        w.send(ps[turn % ps.length]!.address as Address, {
          kind: 'Ask',
          id,
          origin: self,
          key: r.key,
          op: r.op,
          change: r.change ?? '',
          base: r.base ?? 0,
          value: r.value ?? none,
          hops: 0,
        });
      }
      once();
    });
  }
  return { request: ask, handleAnswer: (m) => open.get(m.id)?.(m) };
}
